/**
 * The profiles that a service can name without declaring them.
 */
import {type Profile, profileSchema} from './configuration.js';

/** Profiles by name; one that is declared under the same name goes before it. */
export const builtInProfiles: Readonly<Record<string, Profile>> = {
	/** Puts the response time first: tries again early, and uses other data centres when the local wait is long. */
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
	/** Puts few messages first: seldom tries again, and stays in the data centre. */
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
 * Gets the declared profiles together with the built-in ones that services name.
 * @param declared - Profiles as declared.
 * @param usedNames - Names of the profiles that services use.
 */
export function addUsedBuiltInProfiles(declared: Readonly<Record<string, Profile>>, usedNames: readonly string[]): Readonly<Record<string, Profile>> {
	const used = Object.entries(builtInProfiles).filter(([name]) => usedNames.includes(name) && !Object.hasOwn(declared, name));
	return {...declared, ...Object.fromEntries(used)};
}
