/**
 * Mean of observed values that follows their changes.
 */

/**
 * Mean of observed values in which older ones count less.
 * @internal
 */
export class MovingAverage {
	readonly #decay: number;
	#mean: number;
	#weight = 0;

	/**
	 * @param initialValue - Value before the first observation.
	 * @param sampleCount - Number of observations after which a value has lost most of its weight.
	 */
	constructor(initialValue: number, sampleCount: number) {
		this.#mean = initialValue;
		this.#decay = 1 - (1 / sampleCount);
	}

	/** Gets the mean, or the initial value when there was no observation. */
	getMean(): number {
		return this.#mean;
	}

	/** Gets the number of observations that the mean is worth. */
	getWeight(): number {
		return this.#weight;
	}

	/**
	 * Adds an observation.
	 * @param value - Observed value.
	 */
	addValue(value: number): void {
		const kept = this.#weight * this.#decay;
		this.#mean = ((this.#mean * kept) + value) / (kept + 1);
		this.#weight = kept + 1;
	}

	/** Drops all observations and keeps the mean as the new initial value. */
	clear(): void {
		this.#weight = 0;
	}
}
