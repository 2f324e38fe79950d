/**
 * Runs the tasks of one service: upstream choice, start, end and retry.
 */
import {type TaskEnd} from '../task-scheduler.js';
import {type OutlierDetector} from './outlier-detector.js';
import {type QueuedTask} from './queued-job.js';
import {RetryPlanner} from './retry-planner.js';
import {type ServiceState} from './service-state.js';
import {type UpstreamChoice} from './upstream-choice.js';
import {type EntryCandidate, type HeldSlot, type UpstreamEntry} from './upstream-entry.js';

/** Maximum number of upstreams that are compared for one task. */
const maxCandidates = 32;

/** Options of a {@link TaskRunner}. */
export type TaskRunnerOptions = {
	readonly state: ServiceState;
	readonly detector: OutlierDetector;
	readonly chooseUpstream: UpstreamChoice;
	/** Called when a slot became free or a retry was queued. */
	readonly onChange: () => void;
};

/**
 * Runs the tasks of one service on slots and retries those that end without an answer.
 * @internal
 */
export class TaskRunner {
	readonly #options: TaskRunnerOptions;
	readonly #state: ServiceState;
	readonly #retryPlanner: RetryPlanner;
	#runningTaskCount = 0;

	constructor(options: TaskRunnerOptions) {
		this.#options = options;
		this.#state = options.state;
		const {context, getProfile} = options.state;
		this.#retryPlanner = new RetryPlanner({context, getProfile});
	}

	/** Gets the number of running tasks. */
	getRunningTaskCount(): number {
		return this.#runningTaskCount;
	}

	/**
	 * Starts a task on one of the available upstreams.
	 * @param queued - Task to start.
	 * @param available - Upstreams with a free slot; at least one must satisfy the task's needs.
	 */
	startTask(queued: QueuedTask, available: readonly UpstreamEntry[]): void {
		const {task, job} = queued;
		const candidates = this.#getCandidates(queued, available);
		const {entry} = this.#options.chooseUpstream(candidates);
		const slot = this.#state.pool.takeSlot(entry);
		queued.attempts++;
		this.#recordStart(queued, slot);
		this.#state.queue.updateRank(job);
		void this.#run(queued, slot, task.run(entry.listed, queued.attempts));
	}

	#getCandidates(queued: QueuedTask, available: readonly UpstreamEntry[]): readonly EntryCandidate[] {
		const candidates: EntryCandidate[] = [];
		for (const entry of available) {
			if (this.#state.shapes.fits(queued.group.shape, entry.listed)) {
				candidates.push(entry.toCandidate(queued.triedUpstreams));
			}

			if (candidates.length === maxCandidates) {
				break;
			}
		}

		return candidates;
	}

	#recordStart(queued: QueuedTask, slot: HeldSlot): void {
		const {job} = queued;
		const {context: {counters}, jobs, limits} = this.#state;
		counters.starts++;
		counters.leasedStarts += slot.lease ? 1 : 0;
		jobs.addQueuedTasks(job, -1);
		job.runningTasks++;
		this.#runningTaskCount++;
		limits.addStart(job.source.team);
		if (queued.attempts === 1) {
			this.#retryPlanner.addFirstAttempt();
		}
	}

	async #run(queued: QueuedTask, slot: HeldSlot, running: Promise<TaskEnd>): Promise<void> {
		const {context: {clock}, jobs, pool, limits} = this.#state;
		const startedAt = clock.getMonotonicTime();
		const end = await running;
		const durationMs = clock.getMonotonicTime() - startedAt;
		const {job} = queued;
		job.runningTasks--;
		this.#runningTaskCount--;
		limits.addEnd(job.source.team);
		this.#options.detector.addTaskEnd(slot.entry, end, durationMs);
		pool.releaseSlot(slot);
		if (end.kind === 'answered') {
			this.#addTaskTime(queued, durationMs);
		} else {
			this.#retryOrAbandon(queued, slot.entry.listed.name, end);
		}

		jobs.removeIfEnded(job);
		this.#options.onChange();
	}

	#addTaskTime({job}: QueuedTask, durationMs: number): void {
		this.#state.taskTime.addValue(durationMs);
		job.addTaskTime(durationMs);
		this.#state.queue.updateRank(job);
	}

	#retryOrAbandon(queued: QueuedTask, upstream: string, end: TaskEnd): void {
		const delayMs = this.#retryPlanner.planRetry(queued, end);
		if (delayMs === undefined) {
			queued.task.abandon(end);
			return;
		}

		const {context, jobs} = this.#state;
		queued.triedUpstreams = [...queued.triedUpstreams, upstream];
		jobs.addQueuedTasks(queued.job, 1);
		context.events.addEvent('task-retried', queued.job.source.id, `attempt ${queued.attempts + 1}, after ${upstream}`);
		context.clock.setTimer(() => {
			this.#enqueueRetry(queued);
		}, delayMs);
	}

	#enqueueRetry(queued: QueuedTask): void {
		if (queued.job.isRemoved) {
			return;
		}

		const {queue, shapes} = this.#state;
		if (queued.group.heapIndex < 0) {
			queued.group.shape = shapes.getShape(queued.task.needs);
		}

		queue.addTasks(queued.group, [queued]);
		this.#options.onChange();
	}
}
