/**
 * Distribution of ratios, such as those of measured to expected durations. A histogram with logarithmic buckets that forgets: it takes 0.7 KB and a few
 * operations for each observation, and gives conditional quantiles.
 */

const bucketsPerOctave = 8;
const minOctave = -4;
const maxOctave = 7;
const bucketCount = (maxOctave - minOctave) * bucketsPerOctave;

/** Number of observations from which all counts are halved, so that a change of the durations shows after about as many. */
const maxCount = 1024;

/** Exponent of the power law by which the distribution goes on above the largest observation; 2 is the heaviest tail with a finite variance. */
const tailExponent = 2;

/** Share of the runs that counts as late. */
const lateShare = 0.1;

/** Share of the runs that end within a likely duration. */
const likelyShare = 0.95;

/** Share below and above the values that are one standard deviation from the mean of a normal distribution. */
const spreadShare = 0.16;

/** Observations between two computations of the summary. */
const summaryInterval = 32;

/** Values of a distribution that are needed often. */
export type DistributionSummary = {
	readonly median: number;
	/** Ratio that 19 of 20 do not exceed. */
	readonly likelyRatio: number;
	/** Ratio above which a run is late: a tenth of all are. */
	readonly lateRatio: number;
	/** Typical deviation of the natural logarithm. */
	readonly spread: number;
};

/** A decaying histogram of ratios. */
export class DurationDistribution {
	readonly #counts = new Float64Array(bucketCount);
	#count = 0;
	#topBucket = -1;
	#summary: DistributionSummary | undefined;
	#untilSummary = 0;

	/**
	 * @param initialRatios - Ratios to begin with, which are as good as so many observations.
	 */
	constructor(initialRatios: readonly number[]) {
		for (const ratio of initialRatios) {
			this.add(ratio);
		}
	}

	/** Gets the number of observations that are remembered; halved when it reaches 1024. */
	getCount(): number {
		return this.#count;
	}

	/**
	 * Adds an observation.
	 * @param ratio - Positive ratio.
	 */
	add(ratio: number): void {
		const bucket = getBucket(ratio);
		this.#counts[bucket]!++;
		this.#count++;
		this.#topBucket = Math.max(this.#topBucket, bucket);
		if (this.#count >= maxCount) {
			this.#halve();
		}

		if (--this.#untilSummary <= 0) {
			this.#summary = undefined;
		}
	}

	/** Gets the values that are needed often; they are computed again after some observations. */
	getSummary(): DistributionSummary {
		if (this.#summary === undefined) {
			const median = this.getQuantile(0.5);
			this.#summary = {
				median,
				likelyRatio: this.getQuantile(likelyShare),
				lateRatio: this.getQuantile(1 - lateShare),
				spread: Math.log(this.getQuantile(1 - spreadShare) / this.getQuantile(spreadShare)) / 2,
			};
			this.#untilSummary = summaryInterval;
		}

		return this.#summary;
	}

	/**
	 * Gets the probability that a ratio exceeds a value, by the rule of succession, so that it is never 0.
	 * @param ratio - Value.
	 */
	getSurvival(ratio: number): number {
		const bucket = getBucket(ratio);
		let above = 0;
		for (let index = bucket + 1; index <= this.#topBucket; index++) {
			above += this.#counts[index]!;
		}

		above += this.#counts[bucket]! * (1 - getPosition(ratio, bucket));
		const beyond = Math.max(1, ratio / getUpperBound(this.#topBucket));
		return (above + (beyond ** -tailExponent)) / (this.#count + 2);
	}

	/**
	 * Gets the ratio that a share of the observations does not exceed.
	 * @param quantile - Share from 0 to 1.
	 */
	getQuantile(quantile: number): number {
		return this.#findRatio(quantile * this.#count);
	}

	/**
	 * Gets the ratio that a share of those runs does not exceed which have reached a ratio.
	 * @param reached - Ratio that is reached.
	 * @param quantile - Share from 0 to 1.
	 * @returns Ratio of the whole duration, not of what remains.
	 */
	getConditionalQuantile(reached: number, quantile: number): number {
		const survival = this.getSurvival(reached) * (1 - quantile);
		const below = this.#count + 1 - (survival * (this.#count + 2));
		if (below < this.#count) {
			return Math.max(reached, this.#findRatio(below));
		}

		// The power law above the largest observation.
		const beyond = (survival * (this.#count + 2)) ** (-1 / tailExponent);
		return Math.max(reached, getUpperBound(this.#topBucket) * beyond);
	}

	#findRatio(below: number): number {
		let sum = 0;
		for (let bucket = 0; bucket <= this.#topBucket; bucket++) {
			const count = this.#counts[bucket]!;
			if (count > 0 && sum + count >= below) {
				return getUpperBound(bucket - 1 + ((below - sum) / count));
			}

			sum += count;
		}

		return getUpperBound(this.#topBucket);
	}

	/** Forgets what is left of single observations of long ago, so that the largest one does not count forever. */
	#halve(): void {
		this.#count = 0;
		this.#topBucket = 0;
		for (const [bucket, count] of this.#counts.entries()) {
			const halved = count < 0.25 ? 0 : count / 2;
			this.#counts[bucket] = halved;
			this.#count += halved;
			if (halved > 0) {
				this.#topBucket = bucket;
			}
		}
	}
}

function getBucket(ratio: number): number {
	const bucket = Math.floor((Math.log2(Math.max(ratio, Number.MIN_VALUE)) - minOctave) * bucketsPerOctave);
	return Math.min(bucketCount - 1, Math.max(0, bucket));
}

/** Gets the upper bound of a bucket; buckets may be fractions. */
function getUpperBound(bucket: number): number {
	return 2 ** (minOctave + ((bucket + 1) / bucketsPerOctave));
}

/** Gets where a ratio is in its bucket, from 0 to 1. */
function getPosition(ratio: number, bucket: number): number {
	const position = ((Math.log2(Math.max(ratio, Number.MIN_VALUE)) - minOctave) * bucketsPerOctave) - bucket;
	return Math.min(1, Math.max(0, position));
}
