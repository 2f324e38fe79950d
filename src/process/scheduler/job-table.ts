/**
 * Unfinished jobs of one service with their task counts and deadlines.
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
	/** Gets the average duration of the service's tasks in milliseconds. */
	readonly getTaskMs: () => number;
};

/**
 * Holds the jobs of one service that have tasks queued or running, and counts their tasks.
 * @internal
 */
export class JobTable {
	readonly #options: JobTableOptions;
	readonly #jobs = new Map<string, QueuedJob>();
	readonly #deadlines = new RankHeap<QueuedJob>();
	readonly #jobSizes = new JobSizeHistogram();
	#sequence = 0;
	#queuedTaskCount = 0;

	constructor(options: JobTableOptions) {
		this.#options = options;
	}

	/** Gets the number of tasks that wait for their first start or for a retry. */
	getQueuedTaskCount(): number {
		return this.#queuedTaskCount;
	}

	/**
	 * Counts the queued tasks of all jobs up to approximately a size.
	 * @param size - Maximum number of queued tasks of a job.
	 */
	countTasksUpToSize(size: number): number {
		return this.#jobSizes.countTasksUpToSize(size);
	}

	/**
	 * Gets a job; `undefined` when it has no tasks queued or running.
	 * @param jobId - ID of the job.
	 */
	getJob(jobId: string): QueuedJob | undefined {
		return this.#jobs.get(jobId);
	}

	/** Gets all jobs. */
	getJobs(): readonly QueuedJob[] {
		return [...this.#jobs.values()];
	}

	/** Gets the earliest deadline as monotonic time in milliseconds; `undefined` when there are no jobs. */
	getFirstDeadline(): number | undefined {
		return this.#deadlines.getFirst()?.rank;
	}

	/**
	 * Adds a job and counts its tasks as queued.
	 * @param source - Job to add.
	 * @param now - Monotonic time in milliseconds.
	 */
	addJob(source: ScheduledJob, now: number): QueuedJob {
		if (this.#jobs.has(source.id)) {
			throw createInvariantError(`Job ${source.id} is already scheduled`);
		}

		this.#sequence++;
		const job = new QueuedJob(source, now, this.#sequence, this.#options.getTaskMs);
		this.#jobs.set(source.id, job);
		this.#deadlines.addItem(job);
		this.addQueuedTasks(job, source.tasks.length);
		return job;
	}

	/**
	 * Changes the number of queued tasks of a job.
	 * @param job - Job of the tasks.
	 * @param count - Number of tasks added; negative when tasks leave the queue.
	 */
	addQueuedTasks(job: QueuedJob, count: number): void {
		this.#jobSizes.updateJobSize(job.queuedTasks, job.queuedTasks + count);
		job.queuedTasks += count;
		this.#queuedTaskCount += count;
		this.#options.limits.addQueuedTasks(job.source.team, count);
	}

	/**
	 * Removes a job.
	 * @param job - Job to remove.
	 * @returns The number of queued tasks dropped.
	 */
	removeJob(job: QueuedJob): number {
		const dropped = job.queuedTasks;
		job.isRemoved = true;
		this.#options.queue.removeJob(job);
		this.addQueuedTasks(job, -dropped);
		this.#deadlines.removeItem(job);
		this.#jobs.delete(job.source.id);
		return dropped;
	}

	/**
	 * Removes a job if it has no tasks queued or running.
	 * @param job - Job to check.
	 */
	removeIfEnded(job: QueuedJob): void {
		if (job.queuedTasks === 0 && job.runningTasks === 0 && !job.isRemoved) {
			this.removeJob(job);
		}
	}

	/**
	 * Removes a job whose deadline has passed.
	 * @param now - Monotonic time in milliseconds.
	 * @returns The job and the number of tasks dropped; `undefined` when no deadline has passed.
	 */
	takeExpired(now: number): {readonly job: QueuedJob; readonly dropped: number} | undefined {
		const job = this.#deadlines.getFirst();
		return job && job.rank <= now ? {job, dropped: this.removeJob(job)} : undefined;
	}
}
