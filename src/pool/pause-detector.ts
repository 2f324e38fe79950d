/**
 * Tells when this process did not run for a while. What it believes is then old, and what was sent to it meanwhile may be over: it must act on neither
 * before it has heard from the others.
 */
import {type Clock, type Timer} from '../seams/index.js';

/** Options of {@link PauseDetector}. */
export type PauseDetectorOptions = {
	readonly clock: Clock;
	/** Called when a pause is noticed, with its length in milliseconds. */
	readonly onPause?: (pauseMs: number) => void;
};

/** Time between checks, in milliseconds: a fraction of the shortest pause. */
const checkMs = 50;

/**
 * Shortest time that counts as a pause, in milliseconds. Smaller, a VM that is short of processor time holds its work back; larger, a process acts on
 * what callers have given up.
 */
const shortestPauseMs = 400;

/**
 * Time after a pause in which the ends of connections that came meanwhile are read, in milliseconds. Smaller, jobs of callers that have gone are brought to
 * owners; larger, the others wait for longer.
 */
const settleMs = 30;

/** Watches the clocks of one process. */
export class PauseDetector {
	readonly #options: PauseDetectorOptions;
	readonly #timer: Timer;
	#checkedAt: number;
	/** Wall-clock time less monotonic time. A suspended VM's monotonic clock stands still; a step of the wall clock looks the same and does no harm. */
	#wallLead: number;
	#noticedAt = -Infinity;

	constructor(options: PauseDetectorOptions) {
		this.#options = options;
		const {clock} = options;
		this.#checkedAt = clock.getMonotonicTime();
		this.#wallLead = clock.getTime() - this.#checkedAt;
		this.#timer = clock.setRepeatingTimer(() => {
			this.getDetectedAt();
		}, checkMs);
	}

	/** Gets the monotonic time at which the last pause was noticed; looks for one before. */
	getDetectedAt(): number {
		const {clock, onPause} = this.#options;
		const now = clock.getMonotonicTime();
		const wallLead = clock.getTime() - now;
		const pauseMs = Math.max(now - this.#checkedAt, wallLead - this.#wallLead);
		this.#checkedAt = now;
		this.#wallLead = wallLead;
		if (pauseMs >= shortestPauseMs) {
			this.#noticedAt = now;
			onPause?.(pauseMs);
		}

		return this.#noticedAt;
	}

	/** Gets the time left until what came during the last pause has been read, in milliseconds; 0 for none. */
	getRemainingSettleMs(): number {
		return Math.max(0, this.getDetectedAt() + settleMs - this.#options.clock.getMonotonicTime());
	}

	/** Ends the watch. */
	close(): void {
		this.#timer.close();
	}
}
