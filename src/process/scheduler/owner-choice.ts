/**
 * Choice of the member that owns a name.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Space of the hash values. */
const hashRange = 2 ** 32;

/**
 * Gets the owner of a name by rendezvous hashing, so that a change of the members moves only the names of
 * the member that came or went.
 * @param name - Name of an upstream or a team.
 * @param members - Identifiers of the live members; the order doesn't matter.
 */
export function getOwner(name: string, members: readonly string[]): string | undefined {
	let owner: string | undefined;
	let ownerScore = -1;
	for (const member of members) {
		const score = h32(`${member}/${name}`) / hashRange;
		if (score > ownerScore || (score === ownerScore && member < owner!)) {
			owner = member;
			ownerScore = score;
		}
	}

	return owner;
}
