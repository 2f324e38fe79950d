/**
 * Load patterns of pools: kinds of jobs that arrive at random at a rate that changes with time.
 */
import {type Random} from '../../src/seams/index.js';

/** One kind of job. */
export type JobKind = {
	readonly name: string;
	readonly perSecond: number;
	readonly meanTasks: number;
	readonly maxTasks: number;
	readonly meanMs: number;
	readonly priority: number;
	readonly maxAttempts: number;
};

/** A job that arrives. */
export type Arrival = {
	readonly at: number;
	readonly kind: JobKind;
	readonly taskCount: number;
	readonly cpu: number;
	/** Duration of each task. */
	readonly durations: readonly number[];
	/** The caller's estimate. */
	readonly estimateMs: number;
};

/** The three kinds of the users' sites, for one data centre of three. */
export const siteKinds: readonly JobKind[] = [
	{
		name: 'hold', perSecond: 34.4, meanTasks: 8, maxTasks: 32, meanMs: 60, priority: 0, maxAttempts: 3,
	},
	{
		name: 'book', perSecond: 6.25, meanTasks: 4, maxTasks: 16, meanMs: 900, priority: 2, maxAttempts: 2,
	},
	{
		name: 'release', perSecond: 100, meanTasks: 2, maxTasks: 8, meanMs: 200, priority: 1, maxAttempts: 3,
	},
];

const spread = 0.4;
const cpuSpread = 0.2;
const unevenSpread = 0.15;
const meanCpu = 6800;
const maxCpu = 10_000;

/** Options of {@link createArrivals}. */
export type ArrivalOptions = {
	readonly kinds: readonly JobKind[];
	readonly durationMs: number;
	/** Gets the factor of all rates at a time. */
	readonly getFactor: (at: number) => number;
	readonly random: Random;
};

/**
 * Creates the arrivals of a time.
 * @param options - Kinds, rates and random numbers.
 */
export function createArrivals({kinds, durationMs, getFactor, random}: ArrivalOptions): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	for (const kind of kinds) {
		let at = 0;
		for (;;) {
			at += -Math.log(1 - random.getFloat()) / (kind.perSecond * getFactor(at) / 1000);
			if (at >= durationMs) {
				break;
			}

			arrivals.push(createArrival(at, kind, random));
		}
	}

	return arrivals.toSorted((a, b) => a.at - b.at);
}

function createArrival(at: number, kind: JobKind, random: Random): Arrival {
	const taskCount = Math.max(1, Math.min(kind.maxTasks, Math.round(kind.meanTasks * getLogNormal(random, spread))));
	const workMs = kind.meanMs * getLogNormal(random, spread);
	return {
		at,
		kind,
		taskCount,
		cpu: Math.min(maxCpu, Math.round(meanCpu * getLogNormal(random, cpuSpread))),
		durations: Array.from({length: taskCount}, () => workMs * getLogNormal(random, unevenSpread)),
		estimateMs: workMs * getLogNormal(random, spread),
	};
}

/** Gets a factor around 1. */
function getLogNormal(random: Random, sigma: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
	return Math.exp((sigma * normal) - (sigma * sigma / 2));
}
