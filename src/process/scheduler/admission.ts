/**
 * Admission control: admits or refuses whole jobs before any of their tasks starts.
 */
import {type Admission} from '../task-scheduler.js';

/** Properties of a job and of the queue that it would join. */
export type AdmissionRequest = {
	/** Number of tasks of the job. */
	readonly taskCount: number;
	/** Time until the job's deadline in milliseconds. */
	readonly remainingMs: number;
	/** Whether the service has an upstream that is not leaving. */
	readonly hasUpstream: boolean;
	/** Whether each task can run on some upstream. */
	readonly isRunnable: boolean;
	readonly queuedTasks: number;
	readonly maxQueuedTasks: number;
	/** Number of tasks that must end before the job's last task starts. */
	readonly tasksAhead: number;
	/** Average time between two task starts from the queue, in milliseconds. */
	readonly msPerTask: number;
	/** Time until the team's quota permits the job's last task, in milliseconds; infinite when it never does. */
	readonly quotaWaitMs: number;
};

/** Admits a job as a whole or refuses it. */
export type AdmissionPolicy = (request: AdmissionRequest) => Admission;

/** Minimum time after which a refused job should be submitted again, in milliseconds. */
const minRetryAfterMs = 10;

/** Time after which a job should be submitted again to a service without upstreams, in milliseconds. */
const noUpstreamRetryMs = 2000;

/**
 * Admits a job that fits the queue and whose last task is expected to start before the deadline.
 * @param request - Properties of the job and its queue.
 */
export const admitBeforeDeadline: AdmissionPolicy = request => {
	if (!request.hasUpstream) {
		return refuse('no-upstream', 'No upstream of the service is listed as live', noUpstreamRetryMs);
	}

	if (!request.isRunnable) {
		return {admitted: false, reason: 'never-runnable', detail: 'No upstream of the service fits the declared needs of a task'};
	}

	return refuseFullQueue(request) ?? refuseQuota(request) ?? refuseDeadline(request) ?? {admitted: true};
};

function refuseFullQueue(request: AdmissionRequest): Admission | undefined {
	const excess = request.queuedTasks + request.taskCount - request.maxQueuedTasks;
	if (excess <= 0) {
		return undefined;
	}

	if (request.taskCount > request.maxQueuedTasks) {
		return {admitted: false, reason: 'queue-full', detail: `The job has more tasks than the queue takes, ${request.maxQueuedTasks}`};
	}

	return refuse('queue-full', `${request.queuedTasks} tasks are queued, the limit is ${request.maxQueuedTasks}`, excess * request.msPerTask);
}

function refuseQuota(request: AdmissionRequest): Admission | undefined {
	const excessMs = request.quotaWaitMs - request.remainingMs;
	if (request.quotaWaitMs === Number.POSITIVE_INFINITY) {
		return {admitted: false, reason: 'team-quota', detail: 'The quota of the team allows no task'};
	}

	return excessMs > 0
		? refuse('team-quota', `The quota of the team lets the job start only in ${Math.ceil(request.quotaWaitMs)} ms`, excessMs)
		: undefined;
}

function refuseDeadline(request: AdmissionRequest): Admission | undefined {
	const waitMs = request.tasksAhead * request.msPerTask;
	const excessMs = waitMs - request.remainingMs;
	return excessMs > 0
		? refuse('deadline-too-short', `The last task is expected to start in ${Math.ceil(waitMs)} ms`, excessMs)
		: undefined;
}

function refuse(reason: 'no-upstream' | 'queue-full' | 'team-quota' | 'deadline-too-short', detail: string, retryAfterMs: number): Admission {
	return {
		admitted: false, reason, detail, retryAfterMs: Math.max(Math.ceil(retryAfterMs), minRetryAfterMs),
	};
}
