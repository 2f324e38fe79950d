/**
 * Switches of the scheduling decisions, to measure the effect of each by itself.
 */

/** Parts of the scheduling; each is on by default. */
export type SchedulingOptions = {
	/** Whether runs are stopped on evidence against their upstream, instead of by multiples of their expected duration. */
	readonly stopsByEvidence?: boolean;
	/** Whether durations are learnt relative to the speeds of the upstreams, and tasks are placed by their slack. */
	readonly learnsDurations?: boolean;
};
