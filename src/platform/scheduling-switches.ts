/**
 * Switches of the scheduling, by which the effect of each part can be measured.
 */
import {type SchedulingOptions} from '../scheduling/index.js';

/**
 * Gets the options with some parts switched off.
 * @param off - Names of the options, separated by commas; other names have no effect.
 */
export function getSchedulingOptions(off = ''): SchedulingOptions {
	return Object.fromEntries(off.split(',').map(name => name.trim()).filter(name => name !== '').map(name => [name, false]));
}
