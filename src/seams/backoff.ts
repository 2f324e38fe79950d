/**
 * Delays between tries: they double from one failure to the next, with full jitter above a floor.
 */
import {type Random, systemRandom} from './random.js';

/** Options of a {@link Backoff}. */
export type BackoffOptions = {
	readonly random?: Random;
	/** Longest delay after the first failure, in milliseconds. */
	readonly firstDelayMs?: number;
	/** Longest delay after any failure, in milliseconds. */
	readonly maxDelayMs?: number;
};

const defaultFirstDelayMs = 100;
const defaultMaxDelayMs = 2000;

/** Share of the longest delay that is always waited. */
const floorShare = 0.25;

/** Gives the delay before each next try. */
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

	/** Gets the delay in milliseconds before the next try, and counts a failure. */
	getNextDelay(): number {
		const longest = Math.min(this.#maxDelayMs, this.#firstDelayMs * (2 ** Math.min(this.#failures, 30)));
		this.#failures++;
		return longest * (floorShare + ((1 - floorShare) * this.#random.getFloat()));
	}

	/** Starts again with the shortest delay. */
	reset(): void {
		this.#failures = 0;
	}
}
