/**
 * Timers for the leases of holders that are no longer up.
 */
import {type Clock, type Timer} from '../../seams/index.js';

/** Options of a {@link DepartedHolderTimers}. */
export type DepartedHolderTimersOptions = {
	readonly clock: Clock;
	/** Gets the maximum run time of a task, in milliseconds. */
	readonly getTaskTimeoutMs: () => number;
	/** Called when all tasks of a holder must have ended. */
	readonly onExpired: (holder: string) => void;
};

/**
 * Waits for the maximum run time of a task after a lease holder has departed, since its tasks may still run.
 * @internal
 */
export class DepartedHolderTimers {
	readonly #options: DepartedHolderTimersOptions;
	readonly #timers = new Map<string, Timer>();

	constructor(options: DepartedHolderTimersOptions) {
		this.#options = options;
	}

	/**
	 * Starts timers for holders that are not up, and stops those of members that are up again.
	 * @param holders - Members that hold leases.
	 * @param up - Members that are up.
	 */
	update(holders: Iterable<string>, up: ReadonlySet<string>): void {
		for (const [holder, timer] of this.#timers) {
			if (up.has(holder)) {
				timer.close();
				this.#timers.delete(holder);
			}
		}

		for (const holder of holders) {
			if (!up.has(holder) && !this.#timers.has(holder)) {
				this.#timers.set(holder, this.#startTimer(holder));
			}
		}
	}

	/** Stops all timers. */
	close(): void {
		for (const timer of this.#timers.values()) {
			timer.close();
		}
	}

	#startTimer(holder: string): Timer {
		return this.#options.clock.setTimer(() => {
			this.#timers.delete(holder);
			this.#options.onExpired(holder);
		}, this.#options.getTaskTimeoutMs());
	}
}
