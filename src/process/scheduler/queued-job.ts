/**
 * Jobs and tasks on their way through the scheduler.
 */
import {type ScheduledJob, type ScheduledTask} from '../task-scheduler.js';
import {type RankedJob} from './job-order.js';
import {type HeapItem, type RankHeap} from './rank-heap.js';

/** A task on its way through the scheduler. */
export type QueuedTask = {
	readonly task: ScheduledTask;
	readonly job: QueuedJob;
	readonly group: TaskGroup;
	/** Tries so far. */
	attempts: number;
	/** Upstreams on which the task ended without an answer. */
	triedUpstreams: readonly string[];
};

/** The tasks of one job that fit the same upstreams. */
export type TaskGroup = HeapItem & {
	readonly job: QueuedJob;
	/** Names the set of upstreams that the tasks fit. */
	shape: string;
	/** Heap that the part is in. */
	heap: RankHeap<TaskGroup> | undefined;
	/** Tasks that may start, the next one last. */
	readonly ready: QueuedTask[];
};

/** Weight of the service's observed task time beside a job's own observations, in tasks. */
const serviceMeanWeight = 4;

/**
 * A job in the queue.
 * @internal
 */
export class QueuedJob implements RankedJob {
	groups: TaskGroup[] = [];
	/** Tasks that did not start, or that wait to be tried again. */
	queuedTasks = 0;
	runningTasks = 0;
	isRemoved = false;
	heapIndex = -1;
	readonly rank: number;
	readonly #getServiceTaskMs: () => number;
	#endedTasks = 0;
	#endedMs = 0;

	constructor(readonly source: ScheduledJob, readonly arrivedAt: number, readonly sequence: number, getServiceTaskMs: () => number) {
		this.rank = source.deadline;
		this.#getServiceTaskMs = getServiceTaskMs;
	}

	/** Gets the expected time of one task: the service's, drawn towards what this job's own tasks took. */
	get taskMs(): number {
		const serviceMs = this.#getServiceTaskMs() * serviceMeanWeight;
		return (serviceMs + this.#endedMs) / (serviceMeanWeight + this.#endedTasks);
	}

	/**
	 * Adds the time that one of the job's tasks took.
	 * @param durationMs - Time in milliseconds.
	 */
	addTaskTime(durationMs: number): void {
		this.#endedTasks++;
		this.#endedMs += durationMs;
	}
}
