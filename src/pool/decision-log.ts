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

/** Options of {@link createRateLimitedLog}. */
export type RateLimitedLogOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Lines a second of the level `info`. */
	readonly linesPerSecond?: number;
	/** Lines a second of the level `debug`, which leave those of `info` their room. */
	readonly debugLinesPerSecond?: number;
};

/** A line costs about 20 microseconds of processor time, so that this bounds logs to 1% of a core. */
const defaultLinesPerSecond = 500;

/** Smaller, jobs of a busy owner cannot be traced; larger, logs take more of a core. */
const defaultDetailLinesPerSecond = 250;

/**
 * Creates a log that leaves out lines beyond a number a second and tells how many.
 * @param options - Log behind it and limits.
 */
export function createRateLimitedLog({
	clock, log, linesPerSecond = defaultLinesPerSecond, debugLinesPerSecond: detailLinesPerSecond = defaultDetailLinesPerSecond,
}: RateLimitedLogOptions): DecisionLog {
	const tellLeftOut = (level: string) => (leftOut: number): void => {
		log.warn({leftOut, level}, 'log lines left out');
	};

	const takeDetail = createLineLimit(clock, detailLinesPerSecond, tellLeftOut('debug'));
	const takeLine = createLineLimit(clock, linesPerSecond, tellLeftOut('info'));
	return {
		debug(fields, message) {
			if (takeDetail()) {
				log.debug(fields, message);
			}
		},
		info(fields, message) {
			if (takeLine()) {
				log.info(fields, message);
			}
		},
		warn(fields, message) {
			log.warn(fields, message);
		},
	};
}

/** Creates a function that tells whether a line is within a number a second, and reports those beyond in the next second. */
function createLineLimit(clock: Clock, linesPerSecond: number, onLeftOut: (leftOut: number) => void): () => boolean {
	let second = 0;
	let lines = 0;
	return () => {
		const now = Math.floor(clock.getMonotonicTime() / 1000);
		if (now !== second) {
			if (lines > linesPerSecond) {
				onLeftOut(lines - linesPerSecond);
			}

			second = now;
			lines = 0;
		}

		lines++;
		return lines <= linesPerSecond;
	};
}
