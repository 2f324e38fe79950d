/**
 * When a run has taken so long that its upstream must be slow or stuck. Answers upstreams on which tasks stand still or take
 * many times as long while they answer every look.
 */

/** What is known of a run. */
export type RunAge = {
	readonly ageMs: number;
	/** Expected duration by the caller's estimate and what was learnt of the route. */
	readonly expectedMs: number;
	/** Longest time that another task of the same job took; 0 for none. */
	readonly siblingMs: number;
};

/** Estimates are off by a factor of up to 2.2 in nineteen of twenty jobs, and upstreams differ by a factor of 1.6. */
const expectedFactor = 4;

/** Tasks of a job differ by 15%, upstreams by a factor of 1.6; what a sibling took tells more than the estimate. */
const siblingFactor = 2.2;

/** Time for orders and looks, in milliseconds. */
const allowanceMs = 60;

/**
 * Gets the age in milliseconds from which a run is overdue.
 * @param run - What is known of it.
 */
export function getOverdueAgeMs({expectedMs, siblingMs}: Omit<RunAge, 'ageMs'>): number {
	return allowanceMs + (siblingMs > 0 ? siblingMs * siblingFactor : expectedMs * expectedFactor);
}

/**
 * Gets whether a run is overdue.
 * @param run - What is known of it.
 */
export function isOverdue(run: RunAge): boolean {
	return run.ageMs > getOverdueAgeMs(run);
}
