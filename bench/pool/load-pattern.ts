/**
 * Load patterns for pools: kinds of jobs that arrive as Poisson processes with time-dependent rates.
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
	/** Longest duration of a task, in milliseconds; unbounded by default. */
	readonly maxMs?: number;
	/** Share of the tasks that take longer by a factor, and the factor; none by default. */
	readonly tail?: {readonly share: number; readonly factor: number};
};

/** The arrival of a job. */
export type Arrival = {
	readonly at: number;
	readonly kind: JobKind;
	readonly taskCount: number;
	readonly cpu: number;
	/** Duration of each task, in milliseconds. */
	readonly durations: readonly number[];
	/** The caller's estimate of a task's duration, in milliseconds. */
	readonly estimateMs: number;
	/** Position of the caller's data centre; any entry VM gets the job if absent. */
	readonly dataCenter?: number;
};

/** The three kinds of jobs on the users' sites, with the rates of one data centre of three. */
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

const workSpread = 0.4;
const cpuSpread = 0.2;
const taskDurationSpread = 0.15;

/** Needs of tasks. */
export type TaskShape = {
	/** Thousandths of a core. */
	readonly meanCpu: number;
	readonly maxCpu: number;
};

/** Tasks of the users' sites: two of them fit an upstream of 16 cores. */
export const siteTasks: TaskShape = {meanCpu: 6800, maxCpu: 10_000};

/** Options of {@link createArrivals}. */
export type ArrivalOptions = {
	readonly kinds: readonly JobKind[];
	readonly durationMs: number;
	/** Gets the factor of all rates at a time in milliseconds. */
	readonly getFactor: (at: number) => number;
	readonly random: Random;
	/** Needs of tasks; by default, those of the users' sites. */
	readonly tasks?: TaskShape;
	/** Position of the callers' data centre; by default, the callers are spread over all entry VMs. */
	readonly dataCenter?: number;
};

/**
 * Creates the arrivals of a period, in order of time.
 * @param options - Kinds of jobs, rates and source of random numbers.
 */
export function createArrivals({
	kinds, durationMs, getFactor, random, tasks = siteTasks, dataCenter,
}: ArrivalOptions): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	for (const kind of kinds) {
		let at = 0;
		for (;;) {
			at += -Math.log(1 - random.getFloat()) / (kind.perSecond * getFactor(at) / 1000);
			if (at >= durationMs) {
				break;
			}

			arrivals.push({...createArrival(at, kind, tasks, random), dataCenter});
		}
	}

	return arrivals.toSorted((a, b) => a.at - b.at);
}

function createArrival(at: number, kind: JobKind, {meanCpu, maxCpu}: TaskShape, random: Random): Omit<Arrival, 'dataCenter'> {
	const taskCount = Math.max(1, Math.min(kind.maxTasks, Math.round(kind.meanTasks * getLogNormal(random, workSpread))));
	const workMs = kind.meanMs * getLogNormal(random, workSpread);
	return {
		at,
		kind,
		taskCount,
		cpu: Math.min(maxCpu, Math.round(meanCpu * getLogNormal(random, cpuSpread))),
		durations: Array.from({length: taskCount}, () => Math.min(kind.maxMs ?? Infinity, workMs * getLogNormal(random, taskDurationSpread) * getTailFactor(kind, random))),
		estimateMs: workMs * getLogNormal(random, workSpread),
	};
}

/** Draws no random number without a tail, so that the same seed gives the same arrivals as before there were any. */
function getTailFactor({tail}: JobKind, random: Random): number {
	return tail !== undefined && random.getFloat() < tail.share ? tail.factor : 1;
}

/** Gets a log-normally distributed factor with a mean of 1. */
function getLogNormal(random: Random, sigma: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
	return Math.exp((sigma * normal) - (sigma * sigma / 2));
}
