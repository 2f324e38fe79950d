/**
 * What a coordinator sees of the scheduler: it takes whole jobs, and calls back for each task when a slot is free.
 */
import {type ListedUpstream} from '../platform/index.js';

/** Resources that a task declares; absent ones are not checked. */
export type TaskNeeds = {
	readonly cores?: number;
	readonly memoryMb?: number;
	readonly accelerators?: number;
};

/**
 * How the run of a task ended. `answered`: the upstream's answer is there. `failed`: it started and gave none, or a
 * failure status. `not_started`: proven that the upstream did not begin; the task may run again.
 */
export type TaskEnd =
	| {readonly kind: 'answered'; readonly status: number}
	| {readonly kind: 'failed'; readonly detail: string}
	| {
		readonly kind: 'not_started';
		readonly detail: string;
		/** Whether the upstream could not be reached at all, as against a refusal by status. */
		readonly isUnreachable: boolean;
	};

/** One task of a job that waits for a slot. */
export type ScheduledTask = {
	readonly needs: TaskNeeds;
	/** Whether the task may be tried again after it may have started. */
	readonly isIdempotent: boolean;
	/**
	 * Runs the task on an upstream whose slot is held for it. Called again only after `not_started`, or after `failed`
	 * when the task is idempotent, and only if the retry budget allows. The promise never rejects.
	 */
	readonly run: (upstream: ListedUpstream, attempt: number) => Promise<TaskEnd>;
	/** Tells that the task will not run: retries are used up, or no upstream is left that can run it. */
	readonly abandon: (end: TaskEnd) => void;
};

/** A job as handed to the scheduler. */
export type ScheduledJob = {
	readonly id: string;
	readonly service: string;
	readonly team: string;
	/** Monotonic time in milliseconds after which no task may start. */
	readonly deadline: number;
	readonly tasks: readonly ScheduledTask[];
	/** Tells that the deadline passed with tasks still queued; these were dropped and never start. */
	readonly expire: () => void;
};

/** Why a job was not admitted; proven that none of its tasks started. */
export type RefusalReason =
	| 'unknown-service' | 'unknown-team' | 'never-runnable' | 'queue-full' | 'deadline-too-short' | 'team-quota' | 'no-upstream' | 'stopping';

/** Whether a job was admitted as a whole. */
export type Admission =
	| {readonly admitted: true}
	| {
		readonly admitted: false;
		readonly reason: RefusalReason;
		readonly detail: string;
		/** Time after which a new attempt has a chance; absent when none ever has. */
		readonly retryAfterMs?: number;
	};

/** Queues jobs and starts their tasks as slots become free. */
export type TaskScheduler = {
	/**
	 * Admits a job as a whole or refuses it; the first tasks may be run before this returns.
	 * @param job - Job to run.
	 */
	addJob(job: ScheduledJob): Admission;

	/**
	 * Drops the queued tasks of a job; running ones go on. Gets the number of tasks dropped.
	 * @param jobId - Job to drop.
	 */
	removeJob(jobId: string): number;

	/** Gets the state for operators: queues, slots, leases, health, quotas. */
	getStatus(): SchedulerStatus;

	/** Gives back all leases and drops all queued tasks. */
	close(): Promise<void>;
};

/** State of one upstream as this entry VM sees it. */
export type UpstreamStatus = {
	readonly name: string;
	readonly service: string;
	readonly state: 'live' | 'leaving' | 'ejected' | 'probing';
	readonly isOwned: boolean;
	readonly slots: number;
	readonly inUse: number;
	readonly leasedOut: number;
	/** Slots that this entry VM counts and nobody has. */
	readonly free: number;
	readonly held: number;
	readonly failurePercent: number;
	readonly latencyMs: number;
};

/** State of one service's queue. */
export type QueueStatus = {
	readonly service: string;
	readonly queuedTasks: number;
	readonly runningTasks: number;
	readonly expectedWaitMs: number;
};

/** State of the scheduler. */
export type SchedulerStatus = {
	readonly upstreams: readonly UpstreamStatus[];
	readonly queues: readonly QueueStatus[];
	readonly teams: ReadonlyArray<{readonly team: string; readonly running: number; readonly share: number; readonly startsPerSecondShare: number}>;
};
