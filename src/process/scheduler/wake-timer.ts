/**
 * Timer that fires at the earliest requested time.
 */
import {type Clock, type Timer} from '../../seams/index.js';

/** Minimum delay, in milliseconds. */
const minDelayMs = 1;

/**
 * Calls a function at the earliest of the requested times.
 * @internal
 */
export class WakeTimer {
	readonly #clock: Clock;
	readonly #callback: () => void;
	#timer: Timer | undefined;
	#wakeTime = Number.POSITIVE_INFINITY;

	constructor(clock: Clock, callback: () => void) {
		this.#clock = clock;
		this.#callback = callback;
	}

	/**
	 * Requests a call at a monotonic time; does nothing when an earlier call is pending.
	 * @param time - Monotonic time in milliseconds; infinite for no call.
	 */
	wakeAt(time: number): void {
		if (time >= this.#wakeTime) {
			return;
		}

		this.#timer?.close();
		this.#wakeTime = time;
		this.#timer = this.#clock.setTimer(() => {
			this.#wakeTime = Number.POSITIVE_INFINITY;
			this.#callback();
		}, Math.max(time - this.#clock.getMonotonicTime(), minDelayMs));
	}

	/** Stops the timer. */
	close(): void {
		this.#timer?.close();
	}
}
