/**
 * Queue of the jobs of one service.
 */
import {type JobOrder} from './job-order.js';
import {type TaskGroup, type QueuedJob, type QueuedTask} from './queued-job.js';
import {RankHeap} from './rank-heap.js';
import {TeamRoundRobin} from './team-round-robin.js';

/** Jobs of one team whose tasks fit the same upstreams. */
type SubQueue = {
	readonly shape: string;
	readonly team: string;
	readonly heap: RankHeap<TaskGroup>;
};

/** Tells whether a task of this shape and team may start now. */
export type StartFilter = (shape: string, team: string) => boolean;

/** Options of a {@link JobQueue}. */
export type JobQueueOptions = {
	readonly order: JobOrder;
	/** Gets a team's share under contention. */
	readonly getWeight?: (team: string) => number;
};

/**
 * Queue of the jobs of one service. Finding the next task takes time in the number of teams and shapes, and the
 * logarithm of the number of jobs.
 * @internal
 */
export class JobQueue {
	readonly #subQueues = new Map<string, SubQueue>();
	readonly #turns: TeamRoundRobin;
	#order: JobOrder;
	#readyTasks = 0;
	#eligibleTeams: ReadonlySet<string> = new Set();

	constructor(options: JobQueueOptions) {
		this.#order = options.order;
		this.#turns = new TeamRoundRobin(options.getWeight ?? (() => 1));
	}

	/** Gets the number of tasks that may start. */
	getReadyTaskCount(): number {
		return this.#readyTasks;
	}

	/** Gets the order in force. */
	getOrder(): JobOrder {
		return this.#order;
	}

	/**
	 * Adds tasks of a job, to be run in the order given.
	 * @param part - Part of the job that the tasks belong to.
	 * @param tasks - Tasks that may start.
	 */
	addTasks(part: TaskGroup, tasks: readonly QueuedTask[]): void {
		this.#readyTasks += tasks.length;
		part.ready.push(...tasks.toReversed());
		if (part.heapIndex < 0 && part.ready.length > 0) {
			part.rank = this.#order.getRank(part.job);
			this.#addToHeap(part);
		}
	}

	/**
	 * Removes all tasks of a job.
	 * @param job - Job to remove.
	 */
	removeJob(job: QueuedJob): void {
		for (const part of job.groups) {
			this.#readyTasks -= part.ready.length;
			part.ready.length = 0;
			this.#removeFromHeap(part);
		}
	}

	/**
	 * Removes the tasks of a part of a job; gets them.
	 * @param part - Part to remove.
	 */
	removeGroup(part: TaskGroup): readonly QueuedTask[] {
		const tasks = part.ready.splice(0).toReversed();
		this.#readyTasks -= tasks.length;
		this.#removeFromHeap(part);
		return tasks;
	}

	/**
	 * Gets the part of a job whose task is next.
	 * @param filter - Tells which tasks may start now.
	 */
	getNextGroup(filter: StartFilter): TaskGroup | undefined {
		const candidates: TaskGroup[] = [];
		for (const {shape, team, heap} of this.#subQueues.values()) {
			if (filter(shape, team)) {
				candidates.push(heap.getFirst()!);
			}
		}

		if (!this.#order.isFairAcrossTeams) {
			return getSmallestRank(candidates);
		}

		this.#eligibleTeams = new Set(candidates.map(part => part.job.source.team));
		return this.#turns.chooseGroup(candidates);
	}

	/**
	 * Takes the next task out of a part that {@link getNextGroup} gave.
	 * @param part - Part to take it from.
	 */
	takeTask(part: TaskGroup): QueuedTask {
		const task = part.ready.pop()!;
		this.#readyTasks--;
		if (part.ready.length === 0) {
			this.#removeFromHeap(part);
		}

		if (this.#order.isFairAcrossTeams) {
			this.#turns.chargeStart(part.job.source.team, this.#eligibleTeams);
		}

		return task;
	}

	/**
	 * Ranks a job again after a change of its counts.
	 * @param job - Job to rank.
	 */
	updateRank(job: QueuedJob): void {
		const rank = this.#order.getRank(job);
		for (const part of job.groups) {
			part.heap?.changeRank(part, rank);
		}
	}

	/**
	 * Puts another order in force.
	 * @param order - New order.
	 */
	setOrder(order: JobOrder): void {
		this.#order = order;
		this.#rebuild();
	}

	/**
	 * Names the shapes of all parts anew, after a change of the upstreams.
	 * @param getShape - Gets the shape of a part.
	 */
	updateShapes(getShape: (part: TaskGroup) => string): void {
		this.#rebuild(getShape);
	}

	/** Gets all parts with tasks that may start. */
	getGroups(): readonly TaskGroup[] {
		const parts: TaskGroup[] = [];
		for (const {heap} of this.#subQueues.values()) {
			parts.push(...heap.getItems());
		}

		return parts;
	}

	#rebuild(getShape?: (part: TaskGroup) => string): void {
		const parts = this.getGroups();
		this.#subQueues.clear();
		for (const part of parts) {
			part.heapIndex = -1;
			part.shape = getShape ? getShape(part) : part.shape;
			part.rank = this.#order.getRank(part.job);
			this.#addToHeap(part);
		}
	}

	#addToHeap(part: TaskGroup): void {
		part.heap = this.#getSubQueue(part).heap;
		part.heap.addItem(part);
	}

	#getSubQueue(part: TaskGroup): SubQueue {
		const {team} = part.job.source;
		const key = `${part.shape}/${team}`;
		const known = this.#subQueues.get(key);
		if (known) {
			return known;
		}

		const created = {shape: part.shape, team, heap: new RankHeap<TaskGroup>()};
		this.#subQueues.set(key, created);
		return created;
	}

	#removeFromHeap(part: TaskGroup): void {
		const {heap} = part;
		if (!heap) {
			return;
		}

		heap.removeItem(part);
		part.heap = undefined;
		if (heap.getSize() === 0) {
			this.#subQueues.delete(`${part.shape}/${part.job.source.team}`);
		}
	}
}

function getSmallestRank(parts: readonly TaskGroup[]): TaskGroup | undefined {
	let best: TaskGroup | undefined;
	for (const part of parts) {
		if (!best || part.rank < best.rank || (part.rank === best.rank && part.sequence < best.sequence)) {
			best = part;
		}
	}

	return best;
}
