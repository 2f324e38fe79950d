/**
 * The limit on calls to the platform, so that a fleet that finds the platform back does not overload it at once.
 */
import {type Clock, systemClock} from '../seams/index.js';

/** Options of a {@link CallBudget}. */
export type CallBudgetOptions = {
	readonly clock?: Clock;
	/** Calls a second on average. */
	readonly callsPerSecond?: number;
	/** Calls that may come at once. */
	readonly burst?: number;
};

const defaultCallsPerSecond = 10;
const defaultBurst = 30;

/** Token bucket of calls. */
export class CallBudget {
	readonly #clock: Clock;
	readonly #callsPerSecond: number;
	readonly #burst: number;
	#tokens: number;
	#lastTime: number;

	constructor(options: CallBudgetOptions = {}) {
		this.#clock = options.clock ?? systemClock;
		this.#callsPerSecond = options.callsPerSecond ?? defaultCallsPerSecond;
		this.#burst = options.burst ?? defaultBurst;
		this.#tokens = this.#burst;
		this.#lastTime = this.#clock.getMonotonicTime();
	}

	/** Takes one call from the budget; false when none is left. */
	take(): boolean {
		this.#refill();
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	#refill(): void {
		const now = this.#clock.getMonotonicTime();
		const refilled = (now - this.#lastTime) / 1000 * this.#callsPerSecond;
		this.#tokens = Math.min(this.#burst, this.#tokens + refilled);
		this.#lastTime = now;
	}
}
