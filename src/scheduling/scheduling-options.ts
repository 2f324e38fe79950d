/**
 * Switches of the scheduling decisions, by which the effect of each part can be measured by itself.
 */

/** Which parts of the scheduling decisions are on. */
export type SchedulingOptions = {
	/** Whether jobs move to other data centres by their expected end, also after a refusal. */
	readonly balancesDataCentres: boolean;
};

/** All parts are on. */
export const defaultSchedulingOptions: SchedulingOptions = {balancesDataCentres: true};

/**
 * Creates the options from the names of the parts that are off.
 * @param names - Names of fields, separated by commas; unknown names are ignored.
 */
export function createSchedulingOptions(names = ''): SchedulingOptions {
	const off = new Set(names.split(',').map(name => name.trim()));
	const entries = Object.entries(defaultSchedulingOptions).map(([name, isOn]) => [name, isOn && !off.has(name)] as const);
	return Object.fromEntries(entries) as SchedulingOptions;
}
