/**
 * Rate limit of calls to the platform, so that a fleet does not overload the platform when it recovers.
 */
import {type Clock, systemClock} from '../seams/index.js';

/** Options of a {@link CallBudget}. */
export type CallBudgetOptions = {
	readonly clock?: Clock;
	/** Average calls per second. */
	readonly callsPerSecond?: number;
	/** Maximum burst of calls. */
	readonly burst?: number;
};

const defaultCallsPerSecond = 10;
const defaultBurst = 30;

/** Token bucket that limits calls. */
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

	/** Takes one call from the budget; returns false when it is exhausted. */
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
