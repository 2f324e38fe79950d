/**
 * Jobs of one service with their counts and deadlines.
 */
import {type ScheduledJob} from '../task-scheduler.js';
import {createInvariantError} from './invariant-error.js';
import {type JobQueue} from './job-queue.js';
import {QueuedJob} from './queued-job.js';
import {RankHeap} from './rank-heap.js';
import {type TeamLimits} from './team-limits.js';
import {JobSizeHistogram} from './job-size-histogram.js';

/** Options of a {@link JobTable}. */
export type JobTableOptions = {
	readonly queue: JobQueue;
	readonly limits: TeamLimits;
	/** Gets the observed time of the service's tasks in milliseconds. */
	readonly getTaskMs: () => number;
};

/**
 * The jobs of one service that have tasks queued or running, with their counts and deadlines.
 * @internal
 */
export class JobTable {
	readonly #options: JobTableOptions;
	readonly #jobs = new Map<string, QueuedJob>();
	readonly #deadlines = new RankHeap<QueuedJob>();
	readonly #ahead = new JobSizeHistogram();
	#sequence = 0;
	#queuedTasks = 0;

	constructor(options: JobTableOptions) {
		this.#options = options;
	}

	/** Gets the number of tasks that did not start, or that wait to be tried again. */
	getQueuedTaskCount(): number {
		return this.#queuedTasks;
	}

	/**
	 * Gets the number of queued tasks in jobs of about a size or smaller.
	 * @param size - Queued tasks of the job to compare with.
	 */
	countTasksUpToSize(size: number): number {
		return this.#ahead.countTasksUpToSize(size);
	}

	/**
	 * Gets a job.
	 * @param jobId - Job to look up.
	 */
	getJob(jobId: string): QueuedJob | undefined {
		return this.#jobs.get(jobId);
	}

	/** Gets all jobs. */
	getJobs(): readonly QueuedJob[] {
		return [...this.#jobs.values()];
	}

	/** Gets the earliest deadline. */
	getFirstDeadline(): number | undefined {
		return this.#deadlines.getFirst()?.rank;
	}

	/**
	 * Adds a job; its tasks count as queued.
	 * @param source - Job to add.
	 * @param now - Monotonic time in milliseconds.
	 */
	addJob(source: ScheduledJob, now: number): QueuedJob {
		if (this.#jobs.has(source.id)) {
			throw createInvariantError(`Job ${source.id} is scheduled already`);
		}

		this.#sequence++;
		const job = new QueuedJob(source, now, this.#sequence, this.#options.getTaskMs);
		this.#jobs.set(source.id, job);
		this.#deadlines.addItem(job);
		this.addQueued(job, source.tasks.length);
		return job;
	}

	/**
	 * Counts tasks of a job that began to wait, or ceased to.
	 * @param job - Job of the tasks.
	 * @param count - Number of tasks; negative when they ceased to wait.
	 */
	addQueued(job: QueuedJob, count: number): void {
		this.#ahead.updateJobSize(job.queuedTasks, job.queuedTasks + count);
		job.queuedTasks += count;
		this.#queuedTasks += count;
		this.#options.limits.addQueued(job.source.team, count);
	}

	/**
	 * Removes a job; gets the number of queued tasks dropped.
	 * @param job - Job to remove.
	 */
	removeJob(job: QueuedJob): number {
		const dropped = job.queuedTasks;
		job.isRemoved = true;
		this.#options.queue.removeJob(job);
		this.addQueued(job, -dropped);
		this.#deadlines.removeItem(job);
		this.#jobs.delete(job.source.id);
		return dropped;
	}

	/**
	 * Removes a job that has no more tasks queued or running.
	 * @param job - Job to check.
	 */
	removeIfEnded(job: QueuedJob): void {
		if (job.queuedTasks === 0 && job.runningTasks === 0 && !job.isRemoved) {
			this.removeJob(job);
		}
	}

	/**
	 * Takes a job out whose deadline has passed; gets it with the number of tasks dropped.
	 * @param now - Monotonic time in milliseconds.
	 */
	takeExpired(now: number): {readonly job: QueuedJob; readonly dropped: number} | undefined {
		const job = this.#deadlines.getFirst();
		return job && job.rank <= now ? {job, dropped: this.removeJob(job)} : undefined;
	}
}
