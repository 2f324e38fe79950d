/**
 * Load estimates of one service: expected waiting times, inputs of the admission control and demand for slots.
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
 * Estimates waiting times from the queue length, the usable slots and the average task duration.
 * @internal
 */
export class LoadEstimator {
	readonly #state: ServiceState;
	readonly #getRunningTaskCount: () => number;

	constructor(options: LoadEstimatorOptions) {
		this.#state = options.state;
		this.#getRunningTaskCount = options.getRunningTaskCount;
	}

	/** Gets the status of the queue with the expected waiting time. */
	getQueueStatus(): QueueStatus {
		const queuedTasks = this.#state.jobs.getQueuedTaskCount();
		return {
			service: this.#state.service,
			queuedTasks,
			runningTasks: this.#getRunningTaskCount(),
			expectedWaitMs: queuedTasks * this.#getMsPerTask(this.#getExpectedSlots()),
		};
	}

	/**
	 * Gets the inputs of the admission decision for a job.
	 * @param job - Submitted job.
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
			tasksAhead: this.#getTaskCountAhead(tasks.length),
			msPerTask: this.#getMsPerTask(this.#getExpectedSlots()),
			quotaWaitMs: limits.getWaitMs(team, tasks.length, taskTime.getMean()),
		};
	}

	/** Gets the demand for slots of the tasks queued on this entry VM. */
	getLocalDemand(): LocalDemand {
		const {queue, pool, getProfile} = this.#state;
		const readyTasks = queue.getReadyTaskCount();
		const nextGroup = this.#getNextListedGroup();
		const usableSlots = pool.getUpstreamTable().getUsableSlots();
		const msPerTask = this.#getMsPerTask(usableSlots);
		const waitMs = readyTasks * msPerTask;
		const urgentTasks = nextGroup ? Math.min(this.#getUrgentTaskCount(nextGroup), readyTasks) : 0;
		const {spillToOtherDataCenters, spillWaitMs} = getProfile();
		return {
			order: queue.getOrder(),
			readyTasks,
			nextGroup,
			waitMs,
			urgentTasks,
			urgentWaitMs: urgentTasks * msPerTask,
			maySpill: spillToOtherDataCenters && waitMs > spillWaitMs,
			hasSlots: usableSlots > 0,
		};
	}

	/** Gets the group that is next on any listed upstream, regardless of free slots. */
	#getNextListedGroup(): TaskGroup | undefined {
		const {queue, shapes, limits} = this.#state;
		if (queue.getReadyTaskCount() === 0) {
			return undefined;
		}

		return queue.getNextGroup((shape, team) => shapes.hasLiveUpstreamFor(shape) && limits.mayStart(team));
	}

	#getUrgentTaskCount({job}: TaskGroup): number {
		return this.#isShortestFirst() ? this.#state.jobs.countTasksUpToSize(job.queuedTasks) : job.queuedTasks;
	}

	#getTaskCountAhead(taskCount: number): number {
		const {jobs, pool} = this.#state;
		const queuedAhead = this.#isShortestFirst() ? jobs.countTasksUpToSize(taskCount) : jobs.getQueuedTaskCount();
		return Math.max(queuedAhead + taskCount - pool.getUpstreamTable().getUsableSlots() + this.#getRunningTaskCount(), 0);
	}

	#isShortestFirst(): boolean {
		return this.#state.getProfile().order === 'shortest-remaining';
	}

	/** Gets the larger of the usable slots and the even share of all slots, which leases can provide. */
	#getExpectedSlots(): number {
		const {pool} = this.#state;
		return Math.max(pool.getUpstreamTable().getUsableSlots(), pool.getEvenShare());
	}

	#getMsPerTask(slots: number): number {
		return this.#state.taskTime.getMean() / Math.max(slots, 1);
	}
}
