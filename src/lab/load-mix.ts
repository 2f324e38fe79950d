/**
 * Draws the jobs and requests of a synthetic load.
 */
import {type Random} from '../seams/index.js';

/** A range of job sizes and its part of all jobs. */
export type JobSizeRange = {
	readonly weight: number;
	readonly minTasks: number;
	readonly maxTasks: number;
};

/** What a load consists of. */
export type LoadMix = {
	/** Job sizes. */
	readonly sizes: readonly JobSizeRange[];
	/** Median of the log-normal run times, in milliseconds. */
	readonly medianRunMs: number;
	/** Standard deviation of the logarithm of the run times. */
	readonly runSigma: number;
	/** Longest run time in milliseconds. */
	readonly maxRunMs: number;
	/** Part of the jobs that are submitted again through another entry VM. */
	readonly resubmitFraction: number;
	/** Part of the jobs that are cancelled soon after. */
	readonly cancelFraction: number;
	/** Part of the arrivals that are one plain request in place of a job. */
	readonly singleFraction: number;
	/** Part of the plain requests that are idempotent. */
	readonly idempotentFraction: number;
};

/** One arrival of a load. */
export type Arrival = {
	readonly kind: 'job' | 'single';
	/** Run time of each task in milliseconds. */
	readonly runMs: readonly number[];
	readonly isIdempotent: boolean;
	/** Time after the first call at which the work is submitted again; absent: never. */
	readonly resubmitAfterMs?: number;
	/** Time after the first call at which the work is cancelled; absent: never. */
	readonly cancelAfterMs?: number;
};

/** The mix that stands for the measured workloads: many small jobs, few large ones. */
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
 * @param mix - What the load consists of.
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
 * Draws the time to the next arrival of a Poisson process in milliseconds.
 * @param perSecond - Arrivals a second.
 * @param random - Source of random numbers.
 */
export function drawInterarrivalMs(perSecond: number, random: Random): number {
	return -Math.log(1 - random.getFloat()) * 1000 / perSecond;
}

function drawSize(sizes: readonly JobSizeRange[], random: Random): number {
	const total = sizes.reduce((sum, size) => sum + size.weight, 0);
	let rest = random.getFloat() * total;
	const range = sizes.find(size => {
		rest -= size.weight;
		return rest < 0;
	}) ?? sizes.at(-1)!;
	return range.minTasks + Math.floor(random.getFloat() * (range.maxTasks - range.minTasks + 1));
}

function drawRunMs(mix: LoadMix, random: Random): number {
	const runMs = mix.medianRunMs * Math.exp(mix.runSigma * drawNormal(random));
	return Math.round(Math.min(runMs, mix.maxRunMs));
}

/** Draws from the standard normal distribution by the method of Box and Muller. */
function drawNormal(random: Random): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.getFloat()));
	return radius * Math.cos(2 * Math.PI * random.getFloat());
}
