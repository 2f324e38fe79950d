/**
 * Jobs and tasks inside the scheduler.
 */
import {type ScheduledJob, type ScheduledTask} from '../task-scheduler.js';
import {type RankedJob} from './job-order.js';
import {type HeapItem, type RankHeap} from './rank-heap.js';

/** A task of a job inside the scheduler, with the state of its attempts. */
export type QueuedTask = {
	readonly task: ScheduledTask;
	readonly job: QueuedJob;
	readonly group: TaskGroup;
	/** Number of attempts started so far. */
	attempts: number;
	/** Names of the upstreams on which an attempt ended without an answer. */
	triedUpstreams: readonly string[];
};

/** Tasks of one job that can run on the same set of upstreams. */
export type TaskGroup = HeapItem & {
	readonly job: QueuedJob;
	/** Key of the set of upstreams that the tasks can run on. */
	shape: string;
	/** Heap that contains the group; `undefined` while it has no ready tasks. */
	heap: RankHeap<TaskGroup> | undefined;
	/** Tasks that are ready to start, in reverse order of execution. */
	readonly ready: QueuedTask[];
};

/** Weight of the service's average task duration relative to a job's own observations, in tasks. */
const serviceMeanWeight = 4;

/**
 * An admitted job with its task counts and observed task durations. Its rank in a heap is its deadline.
 * @internal
 */
export class QueuedJob implements RankedJob {
	groups: TaskGroup[] = [];
	/** Number of tasks that wait for their first start or for a retry. */
	queuedTasks = 0;
	runningTasks = 0;
	isRemoved = false;
	heapIndex = -1;
	readonly rank: number;
	readonly #getServiceTaskMs: () => number;
	#endedTaskCount = 0;
	#totalDurationMs = 0;

	constructor(readonly source: ScheduledJob, readonly arrivedAt: number, readonly sequence: number, getServiceTaskMs: () => number) {
		this.rank = source.deadline;
		this.#getServiceTaskMs = getServiceTaskMs;
	}

	/** Gets the expected duration of one task: the weighted mean of the service's average and of this job's own tasks. */
	get taskMs(): number {
		const serviceMs = this.#getServiceTaskMs() * serviceMeanWeight;
		return (serviceMs + this.#totalDurationMs) / (serviceMeanWeight + this.#endedTaskCount);
	}

	/**
	 * Records the duration of one of the job's tasks.
	 * @param durationMs - Duration in milliseconds.
	 */
	addTaskTime(durationMs: number): void {
		this.#endedTaskCount++;
		this.#totalDurationMs += durationMs;
	}
}
