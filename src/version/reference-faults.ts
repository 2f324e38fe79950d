/**
 * Checks of references between declarations.
 */
import {type Declarations} from './configuration.js';
import {findSimilarName} from './similar-name.js';

/** A reference to an undeclared name. */
export type ReferenceFault = {
	/** Path of the referring field. */
	readonly path: readonly string[];
	readonly message: string;
	readonly hint: string;
};

/**
 * Finds the references of services to undeclared profiles.
 * @param declarations - Declarations to check.
 */
export function findReferenceFaults({services, profiles}: Pick<Declarations, 'services' | 'profiles'>): readonly ReferenceFault[] {
	const knownProfiles = Object.keys(profiles);
	return Object.entries(services)
		.filter(([, {profile}]) => !knownProfiles.includes(profile))
		.map(([service, {profile}]) => ({
			path: ['services', service, 'profile'],
			message: `unknown profile '${profile}'`,
			hint: getHint(profile, knownProfiles),
		}));
}

function getHint(name: string, knownNames: readonly string[]): string {
	const similar = findSimilarName(name, knownNames);
	if (similar) {
		return `did you mean '${similar}'?`;
	}

	return knownNames.length > 0 ? `declared profiles: ${knownNames.join(', ')}` : 'no profile is declared';
}
