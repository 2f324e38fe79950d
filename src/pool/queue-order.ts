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
	const classes = new Map(jobs.map(job => [job, getUrgencyClass(job, now)]));
	return jobs.toSorted((a, b) =>
		(classes.get(a)! - classes.get(b)!)
		|| (a.priority - b.priority)
		|| (a.remainingWork - b.remainingWork)
		|| (a.arrivedAt - b.arrivedAt));
}
