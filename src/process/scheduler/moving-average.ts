/**
 * Exponentially weighted moving average.
 */

/**
 * Exponentially weighted moving average of observed values.
 * @internal
 */
export class MovingAverage {
	readonly #decay: number;
	#mean: number;
	#weight = 0;

	/**
	 * @param initialValue - Mean before the first observation.
	 * @param sampleCount - Number of observations after which a value's weight has decayed to about 1/e.
	 */
	constructor(initialValue: number, sampleCount: number) {
		this.#mean = initialValue;
		this.#decay = 1 - (1 / sampleCount);
	}

	/** Gets the mean, or the initial value before the first observation. */
	getMean(): number {
		return this.#mean;
	}

	/** Gets the sum of the decayed weights of all observations; the latest one weighs 1. */
	getWeight(): number {
		return this.#weight;
	}

	/**
	 * Adds an observation.
	 * @param value - Observed value.
	 */
	addValue(value: number): void {
		const decayedWeight = this.#weight * this.#decay;
		this.#mean = ((this.#mean * decayedWeight) + value) / (decayedWeight + 1);
		this.#weight = decayedWeight + 1;
	}

	/** Discards all observations and keeps the mean as the new initial value. */
	clear(): void {
		this.#weight = 0;
	}
}
