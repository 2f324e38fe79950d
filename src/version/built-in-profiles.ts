/**
 * Built-in profiles, which services can refer to without declaring them.
 */
import {type Profile, profileSchema} from './configuration.js';

/** Built-in profiles by name; a declared profile of the same name takes precedence. */
export const builtInProfiles: Readonly<Record<string, Profile>> = {
	/** Favours short response times: retries early, and uses other data centres when the local wait is long. */
	'response-first': profileSchema.parse({
		order: 'shortest-remaining',
		retryPercent: 30,
		maxTries: 4,
		retryBackoffMs: 5,
		spillToOtherDataCenters: true,
		spillWaitMs: 150,
		leaseLead: 2,
		leaseWaitMs: 40,
	}),
	/** Favours few messages: retries rarely, and stays within the data centre. */
	'message-frugal': profileSchema.parse({
		order: 'shortest-remaining',
		retryPercent: 5,
		maxTries: 2,
		retryBackoffMs: 50,
		spillToOtherDataCenters: false,
		leaseLead: 8,
		leaseWaitMs: 80,
	}),
};

/**
 * Gets the declared profiles and the built-in ones that services refer to.
 * @param declared - Declared profiles by name.
 * @param usedNames - Names of the profiles that services refer to.
 */
export function addUsedBuiltInProfiles(declared: Readonly<Record<string, Profile>>, usedNames: readonly string[]): Readonly<Record<string, Profile>> {
	const used = Object.entries(builtInProfiles).filter(([name]) => usedNames.includes(name) && !Object.hasOwn(declared, name));
	return {...declared, ...Object.fromEntries(used)};
}
