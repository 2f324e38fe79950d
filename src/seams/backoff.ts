/**
 * Exponential backoff: delays double with each failure, with full jitter above a minimum.
 */
import {type Random, systemRandom} from './random.js';

/** Options of a {@link Backoff}. */
export type BackoffOptions = {
	readonly random?: Random;
	/** Maximum delay after the first failure, in milliseconds. */
	readonly firstDelayMs?: number;
	/** Maximum delay after any failure, in milliseconds. */
	readonly maxDelayMs?: number;
};

const defaultFirstDelayMs = 100;
const defaultMaxDelayMs = 2000;

/** Minimum delay as a fraction of the maximum delay. */
const minDelayFraction = 0.25;

/** Computes the delay before each retry. */
export class Backoff {
	readonly #random: Random;
	readonly #firstDelayMs: number;
	readonly #maxDelayMs: number;
	#failures = 0;

	constructor(options: BackoffOptions = {}) {
		this.#random = options.random ?? systemRandom;
		this.#firstDelayMs = options.firstDelayMs ?? defaultFirstDelayMs;
		this.#maxDelayMs = options.maxDelayMs ?? defaultMaxDelayMs;
	}

	/** Counts a failure and gets the delay in milliseconds before the next retry. */
	getNextDelay(): number {
		const maxDelayMs = Math.min(this.#maxDelayMs, this.#firstDelayMs * (2 ** Math.min(this.#failures, 30)));
		this.#failures++;
		return maxDelayMs * (minDelayFraction + ((1 - minDelayFraction) * this.#random.getFloat()));
	}

	/** Resets the number of failures, as after a success. */
	reset(): void {
		this.#failures = 0;
	}
}
