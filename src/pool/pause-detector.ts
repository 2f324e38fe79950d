/**
 * Detection of pauses in which this process did not run. Its state is then stale, and requests that arrived in the meantime may be cancelled: the process
 * must not act on either before it has received updates from other processes.
 */
import {type Clock, type Timer} from '../seams/index.js';

/** Options of {@link PauseDetector}. */
export type PauseDetectorOptions = {
	readonly clock: Clock;
	/** Called when a pause is detected, with its length in milliseconds. */
	readonly onPause?: (pauseMs: number) => void;
};

/** Interval between checks, in milliseconds: a fraction of the shortest pause. */
const checkIntervalMs = 50;

/**
 * Shortest time that counts as a pause, in milliseconds. If smaller, a VM that is short of processor time suspends its work; if larger, a process acts on
 * requests that callers have abandoned.
 */
const minPauseMs = 400;

/**
 * Time after a pause in which pending ends of connections are read, in milliseconds. If smaller, jobs of disconnected callers are submitted to owners;
 * if larger, the other jobs wait longer.
 */
const settleMs = 30;

/** Detects pauses of the process by its clocks. */
export class PauseDetector {
	readonly #options: PauseDetectorOptions;
	readonly #timer: Timer;
	#checkedAt: number;
	/** Wall-clock time minus monotonic time. The monotonic clock of a suspended VM stops; a step of the wall clock is harmlessly detected as a pause too. */
	#wallClockOffset: number;
	#detectedAt = -Infinity;

	constructor(options: PauseDetectorOptions) {
		this.#options = options;
		const {clock} = options;
		this.#checkedAt = clock.getMonotonicTime();
		this.#wallClockOffset = clock.getTime() - this.#checkedAt;
		this.#timer = clock.setRepeatingTimer(() => {
			this.getDetectedAt();
		}, checkIntervalMs);
	}

	/** Checks for a pause and gets the monotonic time at which the last one was detected; `-Infinity` for none. */
	getDetectedAt(): number {
		const {clock, onPause} = this.#options;
		const now = clock.getMonotonicTime();
		const wallClockOffset = clock.getTime() - now;
		const pauseMs = Math.max(now - this.#checkedAt, wallClockOffset - this.#wallClockOffset);
		this.#checkedAt = now;
		this.#wallClockOffset = wallClockOffset;
		if (pauseMs >= minPauseMs) {
			this.#detectedAt = now;
			onPause?.(pauseMs);
		}

		return this.#detectedAt;
	}

	/** Gets the remaining time until pending ends of connections are read after the last pause, in milliseconds; 0 for none. */
	getRemainingSettleMs(): number {
		return Math.max(0, this.getDetectedAt() + settleMs - this.#options.clock.getMonotonicTime());
	}

	/** Stops the checks. */
	close(): void {
		this.#timer.close();
	}
}
