/**
 * Assignment of upstreams and teams to members.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Number of possible hash values. */
const hashRange = 2 ** 32;

/**
 * Gets the owner of a name by rendezvous hashing, so that a membership change moves only the names of the member that
 * joined or left. Returns `undefined` when there are no members.
 * @param name - Name of an upstream or a team.
 * @param members - Identifiers of the live members; their order doesn't matter.
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
