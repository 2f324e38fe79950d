/**
 * Jobs of tasks that need a part of an upstream each.
 */

/** What one task takes of an upstream while it runs. */
export type TaskNeeds = {
	/** Thousandths of a core. */
	readonly cpu: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** Tasks of a job that are alike. */
export type JobStep = {
	readonly taskCount: number;
	readonly needs: TaskNeeds;
	/** The caller's rough estimate of one task's duration, in milliseconds. */
	readonly estimateMs: number;
	/** Positions of earlier steps whose tasks must all be done first. */
	readonly after: readonly number[];
	/** Label that an upstream must have. */
	readonly requiredLabel?: string;
	/** Rack where the step's data lies; an upstream elsewhere is slower. */
	readonly dataRack?: string;
	/** Most tasks of the step on one upstream at a time. */
	readonly maxPerUpstream?: number;
};

/** How the jobs of a route are run, by the configuration version that admitted them. */
export type RouteRules = {
	readonly route: string;
	readonly service: string;
	/** 0 comes first. */
	readonly priority: number;
	/** Failed runs of a task after which its job has failed. */
	readonly maxAttempts: number;
	/** Factor from a job's longest chain of work to its objective. */
	readonly stretch: number;
	/** Time added to the objective, in milliseconds. */
	readonly slackMs: number;
};

/** A job as a caller submitted it. */
export type PoolJobRequest = {
	/** The caller's identifier; copies of one job carry the same. */
	readonly id: string;
	/** Text that each start of a task hands to its upstream. */
	readonly spec: string;
	readonly steps: readonly JobStep[];
	readonly rules: RouteRules;
};

/** A job on its way from an entry VM to the owner of a pool. */
export type SubmittedJob = PoolJobRequest & {
	/** Time since the caller's request came in, in milliseconds. */
	readonly ageMs: number;
	/** Time until the caller stops waiting, in milliseconds. */
	readonly remainingMs: number;
	/** Fence of an earlier owner of the pool that may have started tasks of the job; 0 for none. */
	readonly priorFence: number;
};

/**
 * What became of a job. `refused`: no task was started and none will be. `moved`: another entry VM owns the pool now, which has to look
 * for tasks only where some may have been started.
 * `interrupted`: tasks may have run and the job is given up; none runs on.
 */
export type PoolJobOutcome =
	| {readonly kind: 'completed'}
	| {readonly kind: 'failed'}
	| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number}
	| {readonly kind: 'moved'; readonly hasStarted: boolean}
	| {readonly kind: 'interrupted'; readonly reason: string};

/** Why a job was refused. */
export type RefusalReason = 'no-upstream' | 'does-not-fit' | 'overloaded' | 'deadline' | 'not-owner' | 'stopping';

/**
 * Gets the work of a step in core-milliseconds, by the caller's estimate.
 * @param step - Step.
 */
export function getStepWork({taskCount, needs, estimateMs}: JobStep): number {
	return taskCount * needs.cpu / 1000 * estimateMs;
}

/**
 * Gets the longest chain of tasks that must run one after the other, in milliseconds of estimated time.
 * @param steps - Steps of a job, each after those that it depends on.
 */
export function getCriticalPathMs(steps: readonly JobStep[]): number {
	const ends: number[] = [];
	for (const step of steps) {
		const startMs = Math.max(0, ...step.after.map(position => ends[position] ?? 0));
		ends.push(startMs + step.estimateMs);
	}

	return Math.max(0, ...ends);
}
