/**
 * Queue of one service's jobs.
 */
import {type JobOrder} from './job-order.js';
import {type TaskGroup, type QueuedJob, type QueuedTask} from './queued-job.js';
import {RankHeap} from './rank-heap.js';
import {TeamRoundRobin} from './team-round-robin.js';

/** Task groups of one team that can run on the same set of upstreams. */
type SubQueue = {
	readonly shape: string;
	readonly team: string;
	readonly heap: RankHeap<TaskGroup>;
};

/** Returns whether a task of a shape and team may start now. */
export type StartFilter = (shape: string, team: string) => boolean;

/** Options of a {@link JobQueue}. */
export type JobQueueOptions = {
	readonly order: JobOrder;
	/** Gets the weight of a team in the round robin; 1 by default. */
	readonly getWeight?: (team: string) => number;
};

/**
 * Queue of one service's jobs, with a heap for each team and shape. Finding the next task takes time linear in the
 * number of teams and shapes; taking it takes time logarithmic in the number of jobs.
 * @internal
 */
export class JobQueue {
	readonly #subQueues = new Map<string, SubQueue>();
	readonly #roundRobin: TeamRoundRobin;
	#order: JobOrder;
	#readyTaskCount = 0;
	#eligibleTeams: ReadonlySet<string> = new Set();

	constructor(options: JobQueueOptions) {
		this.#order = options.order;
		this.#roundRobin = new TeamRoundRobin(options.getWeight ?? (() => 1));
	}

	/** Gets the number of queued tasks, without those that wait for the back-off of a retry. */
	getReadyTaskCount(): number {
		return this.#readyTaskCount;
	}

	/** Gets the current order. */
	getOrder(): JobOrder {
		return this.#order;
	}

	/**
	 * Adds tasks to a group; they run in the order given, before the group's earlier ones.
	 * @param group - Group that the tasks belong to.
	 * @param tasks - Tasks that are ready to start.
	 */
	addTasks(group: TaskGroup, tasks: readonly QueuedTask[]): void {
		this.#readyTaskCount += tasks.length;
		group.ready.push(...tasks.toReversed());
		if (group.heapIndex < 0 && group.ready.length > 0) {
			group.rank = this.#order.getRank(group.job);
			this.#addToHeap(group);
		}
	}

	/**
	 * Removes all tasks of a job.
	 * @param job - Job to remove.
	 */
	removeJob(job: QueuedJob): void {
		for (const group of job.groups) {
			this.#readyTaskCount -= group.ready.length;
			group.ready.length = 0;
			this.#removeFromHeap(group);
		}
	}

	/**
	 * Removes the queued tasks of a group.
	 * @param group - Group to remove.
	 * @returns The removed tasks in the order in which they would have run.
	 */
	removeGroup(group: TaskGroup): readonly QueuedTask[] {
		const tasks = group.ready.splice(0).toReversed();
		this.#readyTaskCount -= tasks.length;
		this.#removeFromHeap(group);
		return tasks;
	}

	/**
	 * Gets the group whose first task is next; `undefined` when the filter accepts none.
	 * @param filter - Selects the shapes and teams whose tasks may start now.
	 */
	getNextGroup(filter: StartFilter): TaskGroup | undefined {
		const candidates: TaskGroup[] = [];
		for (const {shape, team, heap} of this.#subQueues.values()) {
			if (filter(shape, team)) {
				candidates.push(heap.getFirst()!);
			}
		}

		if (!this.#order.isFairAcrossTeams) {
			return getLowestRanked(candidates);
		}

		this.#eligibleTeams = new Set(candidates.map(group => group.job.source.team));
		return this.#roundRobin.chooseGroup(candidates);
	}

	/**
	 * Removes and returns the next task of a group that was returned by {@link getNextGroup}.
	 * @param group - Group to take the task from.
	 */
	takeTask(group: TaskGroup): QueuedTask {
		const task = group.ready.pop()!;
		this.#readyTaskCount--;
		if (group.ready.length === 0) {
			this.#removeFromHeap(group);
		}

		if (this.#order.isFairAcrossTeams) {
			this.#roundRobin.chargeStart(group.job.source.team, this.#eligibleTeams);
		}

		return task;
	}

	/**
	 * Recomputes the rank of a job after its task counts or durations have changed.
	 * @param job - Job to rank.
	 */
	updateRank(job: QueuedJob): void {
		const rank = this.#order.getRank(job);
		for (const group of job.groups) {
			group.heap?.changeRank(group, rank);
		}
	}

	/**
	 * Replaces the order and re-ranks all jobs.
	 * @param order - New order.
	 */
	setOrder(order: JobOrder): void {
		this.#order = order;
		this.#rebuild();
	}

	/**
	 * Reassigns the shapes of all groups after a change of the upstreams.
	 * @param getShape - Gets the new shape of a group.
	 */
	updateShapes(getShape: (group: TaskGroup) => string): void {
		this.#rebuild(getShape);
	}

	/** Gets all groups that have queued tasks. */
	getGroups(): readonly TaskGroup[] {
		const groups: TaskGroup[] = [];
		for (const {heap} of this.#subQueues.values()) {
			groups.push(...heap.getItems());
		}

		return groups;
	}

	#rebuild(getShape?: (group: TaskGroup) => string): void {
		const groups = this.getGroups();
		this.#subQueues.clear();
		for (const group of groups) {
			group.heapIndex = -1;
			group.shape = getShape ? getShape(group) : group.shape;
			group.rank = this.#order.getRank(group.job);
			this.#addToHeap(group);
		}
	}

	#addToHeap(group: TaskGroup): void {
		group.heap = this.#getSubQueue(group).heap;
		group.heap.addItem(group);
	}

	#getSubQueue(group: TaskGroup): SubQueue {
		const {team} = group.job.source;
		const key = `${group.shape}/${team}`;
		const existing = this.#subQueues.get(key);
		if (existing) {
			return existing;
		}

		const created = {shape: group.shape, team, heap: new RankHeap<TaskGroup>()};
		this.#subQueues.set(key, created);
		return created;
	}

	#removeFromHeap(group: TaskGroup): void {
		const {heap} = group;
		if (!heap) {
			return;
		}

		heap.removeItem(group);
		group.heap = undefined;
		if (heap.getSize() === 0) {
			this.#subQueues.delete(`${group.shape}/${group.job.source.team}`);
		}
	}
}

function getLowestRanked(groups: readonly TaskGroup[]): TaskGroup | undefined {
	let best: TaskGroup | undefined;
	for (const group of groups) {
		if (!best || group.rank < best.rank || (group.rank === best.rank && group.sequence < best.sequence)) {
			best = group;
		}
	}

	return best;
}
