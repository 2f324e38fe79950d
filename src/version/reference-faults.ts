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

	return known.length > 0 ? `declared profiles: ${known.join(', ')}` : 'no profile is declared';
}
