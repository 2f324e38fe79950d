/**
 * Structured, rate-limited log of decisions.
 */
import {type Clock} from '../seams/index.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines; none of its methods blocks or throws. */
export type DecisionLog = {
	/**
	 * Writes a line that is only needed to trace a single request in detail.
	 * @param fields - Fields.
	 * @param message - What was decided.
	 */
	debug(fields: LogFields, message: string): void;

	/**
	 * Writes a line.
	 * @param fields - Fields.
	 * @param message - What was decided.
	 */
	info(fields: LogFields, message: string): void;

	/**
	 * Writes a line that is never omitted.
	 * @param fields - Fields.
	 * @param message - What was decided.
	 */
	warn(fields: LogFields, message: string): void;
};

/** Options of {@link createRateLimitedLog}. */
export type RateLimitedLogOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Maximum number of lines per second of level `info`. */
	readonly linesPerSecond?: number;
	/** Maximum number of lines per second of level `debug`, which do not count against those of `info`. */
	readonly debugLinesPerSecond?: number;
};

/** A line costs about 20 microseconds of processor time, so this limits the log to 1% of a core. */
const defaultLinesPerSecond = 500;

/** If smaller, jobs of a busy owner cannot be traced; if larger, the log takes more of a core. */
const defaultDebugLinesPerSecond = 250;

/**
 * Creates a log that omits lines beyond a rate limit and reports their number.
 * @param options - Underlying log and limits.
 */
export function createRateLimitedLog({
	clock, log, linesPerSecond = defaultLinesPerSecond, debugLinesPerSecond = defaultDebugLinesPerSecond,
}: RateLimitedLogOptions): DecisionLog {
	const createOmissionReporter = (level: string) => (omitted: number): void => {
		log.warn({leftOut: omitted, level}, 'log lines omitted');
	};

	const isDebugWithinLimit = createRateLimiter(clock, debugLinesPerSecond, createOmissionReporter('debug'));
	const isInfoWithinLimit = createRateLimiter(clock, linesPerSecond, createOmissionReporter('info'));
	return {
		debug(fields, message) {
			if (isDebugWithinLimit()) {
				log.debug(fields, message);
			}
		},
		info(fields, message) {
			if (isInfoWithinLimit()) {
				log.info(fields, message);
			}
		},
		warn(fields, message) {
			log.warn(fields, message);
		},
	};
}

/** Creates a function that counts a line and gets whether it is within the limit; omitted lines are reported with the first line of a later second. */
function createRateLimiter(clock: Clock, linesPerSecond: number, onOmitted: (leftOut: number) => void): () => boolean {
	let second = 0;
	let lines = 0;
	return () => {
		const now = Math.floor(clock.getMonotonicTime() / 1000);
		if (now !== second) {
			if (lines > linesPerSecond) {
				onOmitted(lines - linesPerSecond);
			}

			second = now;
			lines = 0;
		}

		lines++;
		return lines <= linesPerSecond;
	};
}
