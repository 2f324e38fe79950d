/**
 * Timer that keeps the earliest time asked for.
 */
import {type Clock, type Timer} from '../../seams/index.js';

/** Least delay, in milliseconds. */
const minDelayMs = 1;

/**
 * Calls a function at the earliest of the times that were asked for.
 * @internal
 */
export class WakeTimer {
	readonly #clock: Clock;
	readonly #wake: () => void;
	#timer: Timer | undefined;
	#time = Number.POSITIVE_INFINITY;

	constructor(clock: Clock, wake: () => void) {
		this.#clock = clock;
		this.#wake = wake;
	}

	/**
	 * Wakes at a monotonic time, or earlier if that was asked for.
	 * @param time - Time in milliseconds; infinite for none.
	 */
	wakeAt(time: number): void {
		if (time >= this.#time) {
			return;
		}

		this.#timer?.close();
		this.#time = time;
		this.#timer = this.#clock.setTimer(() => {
			this.#time = Number.POSITIVE_INFINITY;
			this.#wake();
		}, Math.max(time - this.#clock.getMonotonicTime(), minDelayMs));
	}

	/** Stops the timer. */
	close(): void {
		this.#timer?.close();
	}
}
