/**
 * Checks of names that one declaration uses and another has to declare.
 */
import {type Declarations} from './configuration.js';
import {findSimilarName} from './similar-name.js';

/** A name that nothing declares. */
export type ReferenceFault = {
	readonly path: readonly string[];
	readonly message: string;
	readonly hint: string;
};

/**
 * Gets the names that are used and not declared.
 * @param declarations - Declarations to check.
 */
export function findReferenceFaults({services, profiles}: Pick<Declarations, 'services' | 'profiles'>): readonly ReferenceFault[] {
	const known = Object.keys(profiles);
	return Object.entries(services)
		.filter(([, {profile}]) => !known.includes(profile))
		.map(([service, {profile}]) => ({
			path: ['services', service, 'profile'],
			message: `unknown profile '${profile}'`,
			hint: getHint(profile, known),
		}));
}

function getHint(name: string, known: readonly string[]): string {
	const similar = findSimilarName(name, known);
	if (similar) {
		return `did you mean '${similar}'?`;
	}

	return known.length > 0 ? `declared are: ${known.join(', ')}` : 'no profile is declared';
}
