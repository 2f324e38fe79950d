/**
 * Detection of overdue runs: runs so long that their upstream must be slow or stuck. Such upstreams may still answer every poll
 * while their tasks stall or take many times as long.
 */

/** Age and reference durations of a run, in milliseconds. */
export type RunAge = {
	readonly ageMs: number;
	/** The caller's estimate, corrected by the measured durations of the route. */
	readonly expectedMs: number;
	/** Longest duration of another task of the same job; 0 for none. */
	readonly siblingMs: number;
};

/** The estimates of 95% of jobs are off by a factor of at most 2.2, and the speeds of upstreams differ by a factor of 1.6. */
const maxExpectedFactor = 4;

/** Tasks of a job differ by 15%, upstreams by a factor of 1.6, so a sibling's duration is a closer bound than the estimate. */
const maxSiblingFactor = 2.2;

/** Time for orders and polls, in milliseconds. */
const overheadAllowanceMs = 60;

/**
 * Gets the age above which a run is overdue, in milliseconds.
 * @param run - Reference durations of the run.
 */
export function getOverdueAgeMs({expectedMs, siblingMs}: Omit<RunAge, 'ageMs'>): number {
	return overheadAllowanceMs + (siblingMs > 0 ? siblingMs * maxSiblingFactor : expectedMs * maxExpectedFactor);
}

/**
 * Gets whether a run is overdue.
 * @param run - Age and reference durations of the run.
 */
export function isOverdue(run: RunAge): boolean {
	return run.ageMs > getOverdueAgeMs(run);
}
