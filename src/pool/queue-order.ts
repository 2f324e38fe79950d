/**
 * In which order queued jobs get room. Answers the load at which more work waits than the pool can run: room then goes to
 * jobs whose callers can still be answered within their objective, and a job that has begun is finished before another begins.
 */

/** What the order looks at. */
export type OrderedJob = {
	readonly priority: number;
	readonly hasStarted: boolean;
	/** Monotonic time until which an answer meets the objective. */
	readonly objectiveAt: number;
	/** Expected time from now to the job's end if it got room at once, in milliseconds. */
	readonly remainingMs: number;
	/** Expected core-milliseconds that have not been started. */
	readonly remainingWork: number;
	/** Monotonic time at which the job came in. */
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
 * Gets the class of a job, the lowest first: begun, can meet its objective, late.
 * @param job - Job.
 * @param now - Monotonic time.
 */
function getUrgencyClass(job: OrderedJob, now: number): number {
	if (job.hasStarted) {
		return 0;
	}

	return canMeetObjective(job, now) ? 1 : 2;
}

/**
 * Sorts jobs by the order in which they get room.
 * @param jobs - Queued jobs.
 * @param now - Monotonic time.
 */
export function sortByUrgency<T extends OrderedJob>(jobs: readonly T[], now: number): readonly T[] {
	// The keys are worked out once a job, since they are costly and a sort compares each job many times.
	const keyed = jobs.map(job => ({
		job, urgency: getUrgencyClass(job, now), priority: job.priority, work: job.remainingWork, arrivedAt: job.arrivedAt,
	}));
	keyed.sort((a, b) => (a.urgency - b.urgency) || (a.priority - b.priority) || (a.work - b.work) || (a.arrivedAt - b.arrivedAt));
	return keyed.map(({job}) => job);
}
