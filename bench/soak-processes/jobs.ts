/**
 * The jobs of a process soak; the first character of an identifier is the index of the kind.
 */
import {type TaskNeeds} from '../../src/pool/index.js';
import {type SimulatedWork} from '../../src/testing/index.js';

/** A kind of job, whose tasks run in parallel; `weight` is its relative frequency. */
export type JobKind = {readonly taskCount: number; readonly durationMs: number; readonly weight: number; readonly needs?: TaskNeeds};

/** Needs of a task by default; an upstream has capacity for two such tasks. */
const usualNeeds: TaskNeeds = {cpu: 6800, memoryMb: 64, accelerators: 0};

/** Kinds of jobs: the fourth has more tasks than one pool can run at the same time, the last two are submitted only if they are asked for. */
export const jobKinds: readonly JobKind[] = [
	{taskCount: 8, durationMs: 60, weight: 24},
	{taskCount: 4, durationMs: 900, weight: 12},
	{taskCount: 2, durationMs: 200, weight: 40},
	{taskCount: 24, durationMs: 300, weight: 12},
	{taskCount: 3, durationMs: 1400, weight: 0},
	{
		taskCount: 600, durationMs: 700, weight: 0, needs: {cpu: 50, memoryMb: 16, accelerators: 0},
	},
];

/** Jobs whose runs outlast the time until a caller that has left submits again. */
export const longJobKind = jobKinds[4]!;

/** Jobs of many small tasks, of which one upstream runs hundreds. */
export const largeJobKind = jobKinds[5]!;

/**
 * Gets the needs of a task of a job.
 * @param kind - Kind of the job.
 */
export function getNeeds({needs = usualNeeds}: JobKind): TaskNeeds {
	return needs;
}

/** Gets the resource needs and the run time of a task from its name. */
export function getWork(task: string): SimulatedWork {
	const kind = jobKinds[Number(task[0])] ?? jobKinds[0]!;
	return {needs: getNeeds(kind), durationMs: kind.durationMs};
}

/**
 * Gets the specification of a job: a byte order mark and characters of each length in UTF-8, which must arrive unchanged.
 * @param job - Identifier of the job.
 */
export function getJobSpec(job: string): string {
	return `\uFEFFé席🎟${job}`.repeat(4);
}
