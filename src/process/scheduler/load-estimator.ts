/**
 * Estimates of the load of one service: expected waits, the inputs of admission, and the demand for slots.
 */
import {type QueueStatus, type ScheduledJob} from '../task-scheduler.js';
import {type AdmissionRequest} from './admission.js';
import {type LocalDemand} from './local-demand.js';
import {type TaskGroup} from './queued-job.js';
import {type ServiceState} from './service-state.js';

/** Options of a {@link LoadEstimator}. */
export type LoadEstimatorOptions = {
	readonly state: ServiceState;
	readonly getRunningTaskCount: () => number;
};

/**
 * Estimates how long tasks of one service wait, from the queue, the slots in hand and the observed time of a task.
 * @internal
 */
export class LoadEstimator {
	readonly #state: ServiceState;
	readonly #getRunningTasks: () => number;

	constructor(options: LoadEstimatorOptions) {
		this.#state = options.state;
		this.#getRunningTasks = options.getRunningTaskCount;
	}

	/** Gets the state of the queue. */
	getQueueStatus(): QueueStatus {
		const queuedTasks = this.#state.jobs.getQueuedTaskCount();
		return {
			service: this.#state.service,
			queuedTasks,
			runningTasks: this.#getRunningTasks(),
			expectedWaitMs: queuedTasks * this.#getMsPerTask(this.#getExpectedSlots()),
		};
	}

	/**
	 * Gets what the admission of a job is decided on.
	 * @param job - Job that asks to be admitted.
	 * @param now - Monotonic time in milliseconds.
	 */
	getAdmissionRequest({tasks, team, deadline}: ScheduledJob, now: number): AdmissionRequest {
		const {
			shapes, jobs, limits, taskTime, getProfile,
		} = this.#state;
		return {
			taskCount: tasks.length,
			remainingMs: deadline - now,
			hasUpstream: shapes.hasLiveUpstream(),
			isRunnable: tasks.every(task => shapes.isRunnable(task.needs)),
			queuedTasks: jobs.getQueuedTaskCount(),
			maxQueuedTasks: getProfile().maxQueuedTasks,
			tasksAhead: this.#getTasksAhead(tasks.length),
			msPerTask: this.#getMsPerTask(this.#getExpectedSlots()),
			quotaWaitMs: limits.getWaitMs(team, tasks.length, taskTime.getMean()),
		};
	}

	/** Gets what waits here for slots. */
	getLocalDemand(): LocalDemand {
		const {queue, pool, getProfile} = this.#state;
		const readyTasks = queue.getReadyTaskCount();
		const next = this.#getNextListed();
		const usableSlots = pool.getTable().getUsableSlots();
		const msPerTask = this.#getMsPerTask(usableSlots);
		const waitMs = readyTasks * msPerTask;
		const urgentTasks = next ? Math.min(this.#getUrgentTasks(next), readyTasks) : 0;
		const {spillToOtherDataCenters, spillWaitMs} = getProfile();
		return {
			order: queue.getOrder(),
			readyTasks,
			next,
			waitMs,
			urgentTasks,
			urgentWaitMs: urgentTasks * msPerTask,
			maySpill: spillToOtherDataCenters && waitMs > spillWaitMs,
			hasSlots: usableSlots > 0,
		};
	}

	/** Gets the part of a job that is next on any listed upstream, whether a slot is free for it or not. */
	#getNextListed(): TaskGroup | undefined {
		const {queue, shapes, limits} = this.#state;
		if (queue.getReadyTaskCount() === 0) {
			return undefined;
		}

		return queue.getNextGroup((shape, team) => shapes.isListed(shape) && limits.mayStart(team));
	}

	#getUrgentTasks({job}: TaskGroup): number {
		return this.#isShortestFirst() ? this.#state.jobs.countTasksUpToSize(job.queuedTasks) : job.queuedTasks;
	}

	#getTasksAhead(taskCount: number): number {
		const {jobs, pool} = this.#state;
		const ahead = this.#isShortestFirst() ? jobs.countTasksUpToSize(taskCount) : jobs.getQueuedTaskCount();
		return Math.max(ahead + taskCount - pool.getTable().getUsableSlots() + this.#getRunningTasks(), 0);
	}

	#isShortestFirst(): boolean {
		return this.#state.getProfile().order === 'shortest-remaining';
	}

	/** Gets the slots in hand, or the even share when that is larger, as leases may bring it. */
	#getExpectedSlots(): number {
		const {pool} = this.#state;
		return Math.max(pool.getTable().getUsableSlots(), pool.getEvenShare());
	}

	#getMsPerTask(slots: number): number {
		return this.#state.taskTime.getMean() / Math.max(slots, 1);
	}
}
