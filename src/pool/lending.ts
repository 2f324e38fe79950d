/**
 * Lending of free capacity between the owners of pools, for wide jobs and bursts that exceed one data centre while others have free capacity: a
 * job stays with one owner, and its tasks start wherever capacity is free.
 */
import {type FailedRun} from './crash-ledger.js';
import {type JobStep, type PoolJobRequest} from './pool-job.js';
import {getMaxStopMs} from './upstream-link.js';
import {type Run, type RunEnd} from './upstream-orders.js';

/** Task that an owner requests another one to run. */
export type LentTask = Run & {
	/** Text of the job. */
	readonly spec: string;
	readonly service: string;
	/** Step of the task: its needs and where it may run. */
	readonly step: JobStep;
	/** Expected duration of the task, in milliseconds, by which the lender detects slow upstreams. */
	readonly expectedMs: number;
	/** Failed runs of the task that are known to the borrower. */
	readonly failedRuns?: readonly FailedRun[];
};

/**
 * Outcome of a task that was sent to another owner. `refused`: it has not started there. `lost`: possibly executed; it ends within
 * {@link getLostRunTimeoutMs}.
 */
export type LendOutcome =
	| {readonly kind: 'ended'; readonly end: RunEnd}
	| {readonly kind: 'refused'; readonly reason: LendRefusal}
	| {readonly kind: 'lost'};

/** Why a task was not started in another pool. */
export type LendRefusal = 'no-room' | 'does-not-fit' | 'not-owner' | 'stale-owner' | 'not-sent';

/** Free capacity of one upstream of another pool as last reported, less the tasks sent there since. */
export type NeighbourCapacity = {
	readonly pool: string;
	/** Thousandths of a core. */
	readonly cpu: number;
};

/** Access of a pool's owner to the owners of the other pools; the promises never reject. */
export type PoolNeighbours = {
	/** Gets the free capacities of the other pools' upstreams. */
	getFreeCapacities(): readonly NeighbourCapacity[];

	/** Gets the number of cores of the upstreams that accept new tasks in the pools with which this one has a common queue. */
	getCores(): number;

	/**
	 * Runs a task in another pool.
	 * @param pool - Pool.
	 * @param task - Task.
	 * @param signal - Aborts when this owner abandons the task without waiting for its end.
	 * @param getConfirmedAt - Gets the monotonic time at which a sender of the job was last known to wait.
	 */
	run(pool: string, task: LentTask, signal: AbortSignal, getConfirmedAt?: () => number): Promise<LendOutcome>;

	/**
	 * Requests the stop of a run; its end is the outcome of `run`.
	 * @param pool - Pool.
	 * @param run - Run.
	 * @param isOverdue - Whether it has exceeded its time limit, so that its upstream is to be avoided.
	 */
	stop(pool: string, run: Run, isOverdue: boolean): Promise<void>;

	/**
	 * Stops the lent runs of a job whose earlier owner was replaced, or all lent runs of earlier owners.
	 * @param job - Identifier of the job; `undefined` for all jobs of earlier owners.
	 * @param fence - Fence of the pool's current owner; the lenders refuse tasks of earlier owners from then on.
	 * @returns Whether all pools confirmed that none of the runs is left there.
	 */
	recall(job: string | undefined, fence: number): Promise<boolean>;

	/** Publishes this pool's free capacity or queue to the other owners. */
	publishLoad(): void;
};

/** No other pools. */
export const noNeighbours: PoolNeighbours = {
	getFreeCapacities: () => [],
	getCores: () => 0,
	run: async () => ({kind: 'refused', reason: 'not-owner'}),
	async stop() {/* Nothing runs elsewhere. */},
	recall: async () => true,
	publishLoad() {/* There are no other owners. */},
};

/** Time limits that bound how long a run continues in a pool that cannot be reached any more. */
export type LostRunLimits = {
	/** Silence after which a VM closes the connection to another one whose tasks it runs, in milliseconds. */
	readonly peerSilenceMs: number;
	/** Longest lease of a run, in milliseconds. */
	readonly maxLeaseMs: number;
};

/**
 * Maximum delay of an action on a VM that is short of processor time, including the interval of the checks for silence, in milliseconds. With a
 * smaller value, such a VM causes tasks to run twice; with a larger one, tasks whose outcome is unknown wait for longer.
 */
const maxActionDelayMs = 400;

/**
 * Gets the time after which a run in a pool that cannot be reached any more has ended, in milliseconds: the lender detects that the borrower has
 * disconnected, and stops the run.
 * @param limits - Time limits that bound it.
 */
export function getLostRunTimeoutMs({peerSilenceMs, maxLeaseMs}: LostRunLimits): number {
	return peerSilenceMs + maxActionDelayMs + getMaxStopMs(maxLeaseMs);
}

/**
 * Gets whether tasks of a step can run only in the pool of their job, because pools do not publish the free capacity that they need.
 * @param step - Step.
 */
export function isSinglePoolStep({needs, maxPerUpstream}: JobStep): boolean {
	return needs.accelerators > 0 || maxPerUpstream !== undefined;
}

/**
 * Gets whether a job has steps that can run only in its own pool.
 * @param job - Job.
 */
export function isSinglePoolJob({steps}: Pick<PoolJobRequest, 'steps'>): boolean {
	return steps.some(step => isSinglePoolStep(step));
}
