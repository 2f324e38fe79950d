/**
 * Room that the owners of pools give to tasks of each other's jobs. Answers wide jobs and bursts that one data centre cannot
 * hold while others have room: a job stays with one owner, its tasks start wherever room is free.
 */
import {type JobStep, type PoolJobRequest} from './pool-job.js';
import {getMaxStopMs} from './upstream-link.js';
import {type Run, type RunEnd} from './upstream-orders.js';

/** A task that an owner asks another one to run. */
export type LentTask = Run & {
	/** Text of the job. */
	readonly spec: string;
	readonly service: string;
	/** Step of the task: what it needs and where it may run. */
	readonly step: JobStep;
	/** Time that the task should take, in milliseconds, by which the other owner tells slow upstreams. */
	readonly expectedMs: number;
};

/**
 * What became of a task that was sent to another owner. `refused`: it has not started there. `lost`: it may run, and ends
 * within {@link getLostRunTimeoutMs}.
 */
export type LendOutcome =
	| {readonly kind: 'ended'; readonly end: RunEnd}
	| {readonly kind: 'refused'; readonly reason: LendRefusal}
	| {readonly kind: 'lost'};

/** Why a task was not started in another pool. */
export type LendRefusal = 'no-room' | 'does-not-fit' | 'not-owner' | 'stale-owner' | 'not-sent';

/** Room on one upstream of another pool as last told, less what was sent there since. */
export type NeighbourCapacity = {
	readonly pool: string;
	/** Thousandths of a core. */
	readonly cpu: number;
};

/** The owners of the other pools, as seen by the owner of one; nothing rejects. */
export type PoolNeighbours = {
	/** Gets the rooms of the other pools. */
	getFreeCapacities(): readonly NeighbourCapacity[];

	/** Gets the cores of the upstreams that take new tasks in the other pools whose room this pool's queue can count on. */
	getCores(): number;

	/**
	 * Runs a task in another pool.
	 * @param pool - Pool.
	 * @param task - Task.
	 * @param signal - Aborts when this owner gives the task up without waiting for its end.
	 */
	run(pool: string, task: LentTask, signal: AbortSignal): Promise<LendOutcome>;

	/**
	 * Asks for a run to be stopped; its end comes as the outcome of `run`.
	 * @param pool - Pool.
	 * @param run - Run.
	 * @param isOverdue - Whether it has taken too long, so that its upstream is to be avoided.
	 */
	stop(pool: string, run: Run, isOverdue: boolean): Promise<void>;

	/**
	 * Stops what runs elsewhere of a job whose earlier owner is gone.
	 * @param job - Identifier of the job.
	 * @param fence - Fence of the job's owner now; tasks of earlier owners are refused from then on.
	 * @returns Whether all pools answered that nothing of the job runs there.
	 */
	recall(job: string, fence: number): Promise<boolean>;

	/** Tells the other owners of this pool's room or queue. */
	publishLoad(): void;
};

/** No other pools. */
export const noNeighbours: PoolNeighbours = {
	getFreeCapacities: () => [],
	getCores: () => 0,
	run: async () => ({kind: 'refused', reason: 'not-owner'}),
	async stop() {/* Nothing runs elsewhere. */},
	recall: async () => true,
	publishLoad() {/* Nobody listens. */},
};

/** What bounds the time for which a run goes on in a pool that cannot be asked any more. */
export type LostRunLimits = {
	/** Silence after which a VM gives up the connection of another one whose tasks it runs, in milliseconds. */
	readonly peerSilenceMs: number;
	/** Longest lease of a run, in milliseconds. */
	readonly maxLeaseMs: number;
};

/**
 * Time by which a VM that is short of processor time acts late, with the time between two checks for silence, in milliseconds. Smaller, tasks run twice
 * beside such a VM; larger, tasks whose fate is not known wait for longer.
 */
const maxActionDelayMs = 400;

/**
 * Gets the time after which a run in a pool that cannot be asked any more has ended, in milliseconds: the owner there notices that the borrower
 * is gone, and ends the run.
 * @param bounds - What bounds it.
 */
export function getLostRunTimeoutMs({peerSilenceMs, maxLeaseMs}: LostRunLimits): number {
	return peerSilenceMs + maxActionDelayMs + getMaxStopMs(maxLeaseMs);
}

/**
 * Gets whether tasks of a step can run only in the pool of their job: what they need is not told between pools.
 * @param step - Step.
 */
export function isBoundStep({needs, maxPerUpstream}: JobStep): boolean {
	return needs.accelerators > 0 || maxPerUpstream !== undefined;
}

/**
 * Gets whether a job has steps that can run only in its own pool.
 * @param job - Job.
 */
export function isBoundJob({steps}: Pick<PoolJobRequest, 'steps'>): boolean {
	return steps.some(step => isBoundStep(step));
}
