/**
 * Wait for the running tasks of lease holders that are gone.
 */
import {type Clock, type Timer} from '../../seams/index.js';

/** Options of a {@link DepartedHolderTimers}. */
export type DepartedHolderTimersOptions = {
	readonly clock: Clock;
	/** Gets the longest time that a task may run. */
	readonly getTaskTimeoutMs: () => number;
	/** Called when a holder's tasks must have ended. */
	readonly onExpired: (holder: string) => void;
};

/**
 * Waits for the tasks of holders that are gone, before their leases are free.
 * @internal
 */
export class DepartedHolderTimers {
	readonly #options: DepartedHolderTimersOptions;
	readonly #timers = new Map<string, Timer>();

	constructor(options: DepartedHolderTimersOptions) {
		this.#options = options;
	}

	/**
	 * Takes the present holders, and stops to wait for those that are back.
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

	/** Stops to wait. */
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
