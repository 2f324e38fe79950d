/**
 * Jobs whose tasks each need a part of an upstream.
 */

import {type FailedRun} from './crash-ledger.js';

/** Capacity that one task takes of an upstream while it runs. */
export type TaskNeeds = {
	/** Thousandths of a core. */
	readonly cpu: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** Tasks of a job with the same needs and dependencies. */
export type JobStep = {
	readonly taskCount: number;
	readonly needs: TaskNeeds;
	/** The caller's rough estimate of one task's duration, in milliseconds. */
	readonly estimateMs: number;
	/** Positions of the steps whose tasks must all be done first. */
	readonly after: readonly number[];
	/** Label that an upstream must have. */
	readonly requiredLabel?: string;
	/** Rack that holds the step's data; upstreams in other racks are slower. */
	readonly dataRack?: string;
	/** Maximum number of the step's tasks that run on one upstream at a time. */
	readonly maxPerUpstream?: number;
};

/** Rules for the jobs of a route, from the configuration version that admitted them. */
export type RouteRules = {
	readonly route: string;
	readonly service: string;
	/** Priority; 0 is the highest. */
	readonly priority: number;
	/** Number of failed runs of a task after which its job fails. */
	readonly maxAttempts: number;
	/** Ratio of a job's objective to the duration of its critical path, without the slack. */
	readonly stretch: number;
	/** Time added to the objective, in milliseconds. */
	readonly slackMs: number;
};

/** A job as a caller submitted it. */
export type PoolJobRequest = {
	/** The caller's identifier; duplicate submissions of a job carry the same one. */
	readonly id: string;
	/** Text that is sent to the upstream with each start of a task. */
	readonly spec: string;
	readonly steps: readonly JobStep[];
	readonly rules: RouteRules;
};

/** A job that an entry VM submits to the owner of a pool. */
export type SubmittedJob = PoolJobRequest & {
	/** Time since the caller's request arrived, in milliseconds. */
	readonly ageMs: number;
	/** Time until the caller stops waiting, in milliseconds. */
	readonly remainingMs: number;
	/** Fence of an earlier owner of the pool that may have started tasks of the job; 0 for none. */
	readonly priorFence: number;
	/** Failed runs of the job that are known to the entry VM. */
	readonly failedRuns?: readonly FailedRun[];
	/** Whether the job was queued in a pool of an evacuated data centre; it is not offered anew then. */
	readonly isMoved?: boolean;
};

/**
 * Outcome of a job. `refused`: no task was started and none will be. `moved`: another entry VM owns the pool now; it has to find
 * running tasks only if some may have been started.
 * `interrupted`: tasks were possibly executed and the job is abandoned; none keeps running.
 */
export type PoolJobOutcome =
	| {readonly kind: 'completed'}
	| {readonly kind: 'failed'}
	| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number}
	| {readonly kind: 'moved'; readonly hasStarted: boolean}
	| {readonly kind: 'interrupted'; readonly reason: string};

/** Why a job was refused. `evacuated`: the data centre of the pool is evacuated, or all data centres are. */
export type RefusalReason = 'no-upstream' | 'does-not-fit' | 'overloaded' | 'deadline' | 'not-owner' | 'stopping' | 'evacuated';

/**
 * Gets the work of a step by the caller's estimate, in core-milliseconds.
 * @param step - Step.
 */
export function getStepWork({taskCount, needs, estimateMs}: JobStep): number {
	return taskCount * needs.cpu / 1000 * estimateMs;
}

/**
 * Gets the estimated duration of the longest chain of dependent steps, in milliseconds.
 * @param steps - Steps of a job, each positioned after those that it depends on.
 */
export function getCriticalPathMs(steps: readonly JobStep[]): number {
	const ends: number[] = [];
	for (const step of steps) {
		ends.push(getLatest(step.after.map(position => ends[position] ?? 0)) + step.estimateMs);
	}

	return getLatest(ends);
}

/** A list in a message may be too long for the arguments of a call. */
function getLatest(ends: readonly number[]): number {
	let latest = 0;
	for (const end of ends) {
		latest = Math.max(latest, end);
	}

	return latest;
}
