/**
 * Interface of the task scheduler for coordinators: it accepts whole jobs, and calls back for each task when a slot is
 * free.
 */
import {type ListedUpstream} from '../platform/index.js';

/** Resource requirements of a task; absent ones are not checked. */
export type TaskNeeds = {
	readonly cores?: number;
	readonly memoryMb?: number;
	readonly accelerators?: number;
};

/**
 * How an attempt to run a task ended. `answered`: the upstream answered. `failed`: the task may have started, but the
 * upstream gave no answer or a failure status. `not_started`: it is proven that the upstream did not start the task, so
 * it may run again.
 */
export type TaskEnd =
	| {readonly kind: 'answered'; readonly status: number}
	| {readonly kind: 'failed'; readonly detail: string}
	| {
		readonly kind: 'not_started';
		readonly detail: string;
		/** Whether the upstream could not be reached, as opposed to a refusal by status. */
		readonly isUnreachable: boolean;
	};

/** One task of a scheduled job. */
export type ScheduledTask = {
	readonly needs: TaskNeeds;
	/** Whether the task may be retried after an attempt that possibly started. */
	readonly isIdempotent: boolean;
	/**
	 * Runs the task on an upstream on which a slot is held for it. Called again only after `not_started`, or after
	 * `failed` when the task is idempotent, and only if the retry budget permits it. The promise never rejects.
	 */
	readonly run: (upstream: ListedUpstream, attempt: number) => Promise<TaskEnd>;
	/** Called when the task will not run again: retries are exhausted, or no upstream is left that can run it. */
	readonly abandon: (end: TaskEnd) => void;
};

/** A job as submitted to the scheduler. */
export type ScheduledJob = {
	readonly id: string;
	readonly service: string;
	readonly team: string;
	/** Monotonic time in milliseconds after which no task may start. */
	readonly deadline: number;
	readonly tasks: readonly ScheduledTask[];
	/** Called when the deadline has passed with tasks still queued; these have been dropped and will never start. */
	readonly expire: () => void;
};

/** Why a job was refused; a refusal proves that none of its tasks started. */
export type RefusalReason =
	| 'unknown-service' | 'unknown-team' | 'never-runnable' | 'queue-full' | 'deadline-too-short' | 'team-quota' | 'no-upstream' | 'stopping';

/** Whether a job was admitted as a whole. */
export type Admission =
	| {readonly admitted: true}
	| {
		readonly admitted: false;
		readonly reason: RefusalReason;
		readonly detail: string;
		/** Time after which a new submission may be admitted, in milliseconds; absent when it never can be. */
		readonly retryAfterMs?: number;
	};

/** Queues jobs and starts their tasks as slots become free. */
export type TaskScheduler = {
	/**
	 * Admits a job as a whole or refuses it; its first tasks may start before this returns.
	 * @param job - Job to run.
	 */
	addJob(job: ScheduledJob): Admission;

	/**
	 * Drops the queued tasks of a job; running tasks continue.
	 * @param jobId - ID of the job.
	 * @returns The number of tasks dropped.
	 */
	removeJob(jobId: string): number;

	/** Gets the status for operators: queues, slots, leases, health and quotas. */
	getStatus(): SchedulerStatus;

	/** Returns all leases and drops all queued tasks. */
	close(): Promise<void>;
};

/** Status of one upstream from the view of this entry VM. */
export type UpstreamStatus = {
	readonly name: string;
	readonly service: string;
	readonly state: 'live' | 'leaving' | 'ejected' | 'probing';
	readonly isOwned: boolean;
	readonly slots: number;
	readonly inUse: number;
	readonly leasedOut: number;
	/** Slots owned by this entry VM that are neither in use nor leased out. */
	readonly free: number;
	readonly held: number;
	readonly failurePercent: number;
	readonly latencyMs: number;
};

/** Status of one service's queue. */
export type QueueStatus = {
	readonly service: string;
	readonly queuedTasks: number;
	readonly runningTasks: number;
	readonly expectedWaitMs: number;
};

/** Status of the scheduler. */
export type SchedulerStatus = {
	readonly upstreams: readonly UpstreamStatus[];
	readonly queues: readonly QueueStatus[];
	readonly teams: ReadonlyArray<{readonly team: string; readonly running: number; readonly share: number; readonly startsPerSecondShare: number}>;
};
