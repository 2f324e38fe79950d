/**
 * Switches of the scheduling decisions, by which the effect of each part can be measured by itself.
 */

/** Which parts of the scheduling decisions are on; all by default. */
export type SchedulingOptions = {
	/** Whether jobs move to other data centres by their expected end, also after a refusal. */
	readonly balancesDataCentres?: boolean;
	/** Whether runs are stopped on evidence against their upstream, instead of by multiples of their expected duration. */
	readonly stopsByEvidence?: boolean;
	/** Whether durations are learnt relative to the speeds of the upstreams, and tasks are placed by their slack. */
	readonly learnsDurations?: boolean;
	/** Whether capacity is reserved for waiting jobs that do not fit now. */
	readonly reservesCapacity?: boolean;
	/** Whether waiting jobs are refused or committed early in their objective. */
	readonly commitsWaitingJobs?: boolean;
};

/** All parts are on. */
export const defaultSchedulingOptions: Required<SchedulingOptions> = {
	balancesDataCentres: true, stopsByEvidence: true, learnsDurations: true, reservesCapacity: true, commitsWaitingJobs: true,
};

/**
 * Creates the options from the names of the parts that are off.
 * @param names - Names of fields, separated by commas; unknown names are ignored.
 */
export function createSchedulingOptions(names = ''): SchedulingOptions {
	const off = new Set(names.split(',').map(name => name.trim()));
	const entries = Object.entries(defaultSchedulingOptions).map(([name, isOn]) => [name, isOn && !off.has(name)] as const);
	return Object.fromEntries(entries);
}
