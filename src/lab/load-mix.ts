/**
 * Draws the jobs and requests of a synthetic load.
 */
import {type Random} from '../seams/index.js';

/** A range of job sizes and its relative weight. */
export type JobSizeRange = {
	readonly weight: number;
	readonly minTasks: number;
	readonly maxTasks: number;
};

/** Composition of a load. */
export type LoadMix = {
	/** Distribution of job sizes. */
	readonly sizes: readonly JobSizeRange[];
	/** Median of the log-normal run times, in milliseconds. */
	readonly medianRunMs: number;
	/** Standard deviation of the logarithm of the run times. */
	readonly runSigma: number;
	/** Longest run time in milliseconds. */
	readonly maxRunMs: number;
	/** Fraction of the jobs that are resubmitted through another entry VM. */
	readonly resubmitFraction: number;
	/** Fraction of the jobs that are cancelled while they run. */
	readonly cancelFraction: number;
	/** Fraction of the arrivals that are plain requests in place of jobs. */
	readonly singleFraction: number;
	/** Fraction of the plain requests that are idempotent. */
	readonly idempotentFraction: number;
};

/** One arrival of a load. */
export type Arrival = {
	readonly kind: 'job' | 'single';
	/** Run time of each task in milliseconds. */
	readonly runMs: readonly number[];
	readonly isIdempotent: boolean;
	/** Time in milliseconds after the first call at which the work is resubmitted; absent: never. */
	readonly resubmitAfterMs?: number;
	/** Time in milliseconds after the first call at which the work is cancelled; absent: never. */
	readonly cancelAfterMs?: number;
};

/** The default mix: many small jobs and a few large ones. */
export const defaultLoadMix: LoadMix = {
	sizes: [
		{weight: 60, minTasks: 1, maxTasks: 4},
		{weight: 33, minTasks: 5, maxTasks: 34},
		{weight: 7, minTasks: 40, maxTasks: 199},
	],
	medianRunMs: 200,
	runSigma: 0.7,
	maxRunMs: 5000,
	resubmitFraction: 0.05,
	cancelFraction: 0.01,
	singleFraction: 0.2,
	idempotentFraction: 0.5,
};

/**
 * Draws one arrival.
 * @param mix - Composition of the load.
 * @param random - Source of random numbers.
 */
export function drawArrival(mix: LoadMix, random: Random): Arrival {
	const isSingle = random.getFloat() < mix.singleFraction;
	const count = isSingle ? 1 : drawSize(mix.sizes, random);
	const runMs = Array.from({length: count}, () => drawRunMs(mix, random));
	const longest = Math.max(...runMs);
	return {
		kind: isSingle ? 'single' : 'job',
		runMs,
		isIdempotent: isSingle && random.getFloat() < mix.idempotentFraction,
		resubmitAfterMs: random.getFloat() < mix.resubmitFraction ? random.getFloat() * 2 * longest : undefined,
		cancelAfterMs: !isSingle && random.getFloat() < mix.cancelFraction ? random.getFloat() * longest : undefined,
	};
}

/**
 * Draws the time to the next arrival of a Poisson process, in milliseconds.
 * @param perSecond - Arrivals per second.
 * @param random - Source of random numbers.
 */
export function drawInterarrivalMs(perSecond: number, random: Random): number {
	return -Math.log(1 - random.getFloat()) * 1000 / perSecond;
}

function drawSize(sizes: readonly JobSizeRange[], random: Random): number {
	const totalWeight = sizes.reduce((sum, size) => sum + size.weight, 0);
	let remainingWeight = random.getFloat() * totalWeight;
	const range = sizes.find(size => {
		remainingWeight -= size.weight;
		return remainingWeight < 0;
	}) ?? sizes.at(-1)!;
	return range.minTasks + Math.floor(random.getFloat() * (range.maxTasks - range.minTasks + 1));
}

function drawRunMs(mix: LoadMix, random: Random): number {
	const runMs = mix.medianRunMs * Math.exp(mix.runSigma * drawNormal(random));
	return Math.round(Math.min(runMs, mix.maxRunMs));
}

/** Draws from the standard normal distribution with the Box-Muller transform. */
function drawNormal(random: Random): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.getFloat()));
	return radius * Math.cos(2 * Math.PI * random.getFloat());
}
