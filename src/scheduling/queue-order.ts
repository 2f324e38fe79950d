/**
 * The order in which queued jobs are started. Under overload, free capacity goes to jobs that can still be answered within
 * their objective; a job that has started is finished before another one starts, and a job that has waited for long is not passed by later ones.
 */

/** Properties of a job that determine its place in the queue. */
export type OrderedJob = {
	readonly priority: number;
	readonly hasStarted: boolean;
	/** Whether the job has waited for so long that a refusal would come late. */
	readonly isCommitted: boolean;
	/** Monotonic time until which an answer meets the objective. */
	readonly objectiveAt: number;
	/** Expected time to the job's end if it started immediately, in milliseconds. */
	readonly remainingMs: number;
	/** Expected core-milliseconds of the tasks that have not been started. */
	readonly remainingWork: number;
	/** Monotonic time at which the job arrived. */
	readonly arrivedAt: number;
};

/**
 * Gets whether a job can still be answered within its objective.
 * @param job - Job.
 * @param now - Monotonic time.
 */
export function canMeetObjective(job: Pick<OrderedJob, 'objectiveAt' | 'remainingMs'>, now: number): boolean {
	return now + job.remainingMs <= job.objectiveAt;
}

/**
 * Gets the urgency class of a job: 0 for started, 1 for committed or able to meet its objective, 2 for late.
 * @param job - Job.
 * @param now - Monotonic time.
 */
function getUrgencyClass(job: OrderedJob, now: number): number {
	if (job.hasStarted) {
		return 0;
	}

	return job.isCommitted || canMeetObjective(job, now) ? 1 : 2;
}

/**
 * Sorts jobs into the order in which they are started: by urgency class and priority, committed jobs first, then by remaining work and arrival.
 * @param jobs - Queued jobs.
 * @param now - Monotonic time.
 */
export function sortByUrgency<T extends OrderedJob>(jobs: readonly T[], now: number): readonly T[] {
	if (jobs.length <= 1) {
		return jobs;
	}

	// The keys are computed once for each job, since they are costly and a sort compares each job many times.
	const keyed = jobs.map(job => ({
		job, urgency: getUrgencyClass(job, now), priority: job.priority, work: job.isCommitted ? 0 : job.remainingWork, arrivedAt: job.arrivedAt,
	}));
	keyed.sort((a, b) => (a.urgency - b.urgency) || (a.priority - b.priority) || (a.work - b.work) || (a.arrivedAt - b.arrivedAt));
	return keyed.map(({job}) => job);
}
