/**
 * Detection of pauses in which this process did not run. Its state is then stale, and requests that arrived in the meantime may be cancelled: the process
 * must not act on either before it has received updates from other processes.
 */
import {type Clock, type Timer} from '../seams/index.js';

/** Options of {@link PauseDetector}. */
export type PauseDetectorOptions = {
	readonly clock: Clock;
	/** Called when a pause is detected, with its length and the step of the wall clock against the monotonic clock, in milliseconds. */
	readonly onPause?: (pauseMs: number, stepMs: number) => void;
};

/** Interval between checks, in milliseconds: a fraction of the shortest pause. */
const checkIntervalMs = 50;

/**
 * Shortest time that counts as a pause, in milliseconds. If smaller, a VM that is short of processor time suspends its work; if larger, a process acts on
 * requests that callers have abandoned.
 */
const minPauseMs = 400;

/**
 * Share of the elapsed time by which the clocks may drift apart without a pause. With a smaller value, a wall clock that is slewed looks like a pause after
 * a while; with a larger one, short pauses of the monotonic clock are forgotten before they add up to one.
 */
const maxDriftShare = 0.02;

/** Time for which a stop of the clock is remembered, in milliseconds: longer than any proof by which a lease is granted is used. */
const stopRetentionMs = 10_000;

/** Detects pauses of the process by its clocks. */
export class PauseDetector {
	readonly #options: PauseDetectorOptions;
	readonly #timer: Timer;
	#checkedAt: number;
	/**
	 * Wall-clock time minus monotonic time. The monotonic clock of a suspended VM stops; a step of the wall clock counts as a pause too, also one backwards,
	 * since it may hide a suspension.
	 */
	#wallClockOffset: number;
	#detectedAt = -Infinity;
	/** Pauses in which the monotonic clock stood still, the last ones only. */
	#stops: Array<{readonly detectedAt: number; readonly stoppedMs: number}> = [];
	#stoppedMs = 0;
	readonly #listeners = new Set<() => void>();

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
		const gapMs = now - this.#checkedAt;
		const stepMs = clock.getTime() - now - this.#wallClockOffset;
		const isStep = Math.abs(stepMs) >= minPauseMs;
		const maxDriftMs = gapMs * maxDriftShare;
		this.#checkedAt = now;
		this.#wallClockOffset += isStep ? stepMs : Math.min(Math.max(stepMs, -maxDriftMs), maxDriftMs);
		this.#stoppedMs += isStep ? Math.max(0, stepMs) : 0;
		if (isStep || gapMs >= minPauseMs) {
			this.#detectedAt = now;
			if (isStep && stepMs > 0) {
				this.#stops = [...this.#stops.filter(({detectedAt}) => now - detectedAt < stopRetentionMs), {detectedAt: now, stoppedMs: stepMs}];
			}

			onPause?.(Math.max(gapMs, stepMs), stepMs);
			for (const listener of this.#listeners) {
				listener();
			}
		}

		return this.#detectedAt;
	}

	/** Checks for a pause and gets the time in which the monotonic clock stood still so far, in milliseconds. */
	getStoppedMs(): number {
		this.getDetectedAt();
		return this.#stoppedMs;
	}

	/**
	 * Checks for a pause and gets for how long the monotonic clock stood still since a time, in milliseconds.
	 * @param since - Monotonic time, which is at most some seconds ago.
	 */
	getStoppedMsSince(since: number): number {
		this.getDetectedAt();
		return this.#stops.filter(({detectedAt}) => detectedAt >= since).reduce((sum, {stoppedMs}) => sum + stoppedMs, 0);
	}

	/**
	 * Calls a listener after each pause.
	 * @param listener - Listener.
	 * @returns Removes the listener.
	 */
	subscribe(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Stops the checks. */
	close(): void {
		this.#timer.close();
	}
}
