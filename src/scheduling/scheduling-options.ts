/**
 * Switches by which parts of the scheduling can be turned off, to measure what each is worth.
 */

/** Parts of the scheduling that are in use. */
export type SchedulingOptions = {
	/** Whether capacity is reserved for the head of a queue, and waiting tasks are placed by what fits beside them. */
	readonly reservesCapacity: boolean;
};

/** All parts are in use. */
export const defaultSchedulingOptions: SchedulingOptions = {reservesCapacity: true};

/**
 * Gets the options with some parts turned off.
 * @param names - Names of the fields to turn off, separated by commas; unknown names are ignored.
 */
export function parseSchedulingOptions(names = ''): SchedulingOptions {
	const off = new Set(names.split(',').map(name => name.trim()));
	return Object.fromEntries(Object.entries(defaultSchedulingOptions).map(([name, isOn]) => [name, isOn && !off.has(name)])) as SchedulingOptions;
}
