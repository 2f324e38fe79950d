/**
 * Structured log lines of decisions, bounded in number.
 */
import {type Clock} from '../seams/index.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Takes log lines; none of its methods blocks or throws. */
export type DecisionLog = {
	/**
	 * Adds a line that only helps to trace one request in detail.
	 * @param fields - Fields.
	 * @param message - What was decided.
	 */
	debug(fields: LogFields, message: string): void;

	/**
	 * Adds a line.
	 * @param fields - Fields.
	 * @param message - What was decided.
	 */
	info(fields: LogFields, message: string): void;

	/**
	 * Adds a line that is never left out.
	 * @param fields - Fields.
	 * @param message - What was decided.
	 */
	warn(fields: LogFields, message: string): void;
};

/** Options of {@link createBoundedLog}. */
export type BoundedLogOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Lines a second of the levels `debug` and `info` together. */
	readonly linesPerSecond?: number;
};

/** A line costs about 20 microseconds of processor time, so that this bounds logs to 1% of a core. */
const defaultLinesPerSecond = 500;

/**
 * Creates a log that leaves out lines beyond a number a second and tells how many.
 * @param options - Log behind it and limit.
 */
export function createBoundedLog({clock, log, linesPerSecond = defaultLinesPerSecond}: BoundedLogOptions): DecisionLog {
	let second = 0;
	let lines = 0;
	let leftOut = 0;
	const take = (): boolean => {
		const now = Math.floor(clock.getMonotonicTime() / 1000);
		if (now !== second) {
			if (leftOut > 0) {
				log.warn({leftOut}, 'log lines left out');
			}

			second = now;
			lines = 0;
			leftOut = 0;
		}

		const isWithin = lines < linesPerSecond;
		lines++;
		leftOut += Number(!isWithin);
		return isWithin;
	};

	return {
		debug(fields, message) {
			if (take()) {
				log.debug(fields, message);
			}
		},
		info(fields, message) {
			if (take()) {
				log.info(fields, message);
			}
		},
		warn(fields, message) {
			log.warn(fields, message);
		},
	};
}
