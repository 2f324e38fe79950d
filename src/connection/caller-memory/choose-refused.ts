/**
 * The decision which callers' connections are refused while memory or connections are short.
 */

/** A connection without a whole request that waits for its answer. */
export type RefusalCandidate = {
	/** Address of the caller. */
	readonly address: string;
	/** Bytes held for the connection, as allocated. */
	readonly heldBytes: number;
	/** Time since its incomplete request began, in milliseconds; time since the last answer if there is none. */
	readonly ageMs: number;
	/** Time since bytes were last received or taken, in milliseconds. */
	readonly stalledMs: number;
	/** Whether its requests have been answered and no other one has begun. */
	readonly isIdle: boolean;
};

/** What has to be given up. */
export type Shortage = {
	readonly bytes: number;
	readonly connections: number;
};

type AddressGroup<Candidate> = {heldBytes: number; readonly candidates: Candidate[]};

/**
 * Chooses the connections to refuse. The address that holds most gives up its worst connection until the shortage is covered, so that many connections of
 * one caller cannot crowd out others. Idle connections are chosen only when no others are left.
 * @param candidates - Connections that may be refused.
 * @param shortage - Bytes and connections that have to become free.
 */
export function chooseRefused<Candidate extends RefusalCandidate>(candidates: readonly Candidate[], shortage: Shortage): readonly Candidate[] {
	const busy = chooseAmong(candidates.filter(({isIdle}) => !isIdle), shortage);
	const remaining = subtract(shortage, busy);
	return isCovered(remaining) ? busy : [...busy, ...chooseAmong(candidates.filter(({isIdle}) => isIdle), remaining)];
}

function chooseAmong<Candidate extends RefusalCandidate>(candidates: readonly Candidate[], shortage: Shortage): readonly Candidate[] {
	const groups = new Map<string, AddressGroup<Candidate>>();
	for (const candidate of candidates) {
		const group = groups.get(candidate.address);
		if (group === undefined) {
			groups.set(candidate.address, {heldBytes: candidate.heldBytes, candidates: [candidate]});
		} else {
			group.heldBytes += candidate.heldBytes;
			group.candidates.push(candidate);
		}
	}

	for (const group of groups.values()) {
		group.candidates.sort((a, b) => getRank(a) - getRank(b));
	}

	const chosen: Candidate[] = [];
	let {bytes, connections} = shortage;
	while (!isCovered({bytes, connections})) {
		const group = findLargest(groups.values());
		const worst = group?.candidates.pop();
		if (group === undefined || worst === undefined) {
			break;
		}

		group.heldBytes -= worst.heldBytes;
		bytes -= worst.heldBytes;
		connections--;
		chosen.push(worst);
	}

	return chosen;
}

/** Gets the byte-milliseconds that a connection has occupied; time without progress counts twice. */
function getRank({heldBytes, ageMs, stalledMs}: RefusalCandidate): number {
	// One millisecond more, so that of connections of the same instant the one that holds most is chosen.
	return heldBytes * (1 + ageMs + stalledMs);
}

function findLargest<Candidate>(groups: Iterable<AddressGroup<Candidate>>): AddressGroup<Candidate> | undefined {
	let largest: AddressGroup<Candidate> | undefined;
	for (const group of groups) {
		if (group.candidates.length > 0 && group.heldBytes > (largest?.heldBytes ?? -1)) {
			largest = group;
		}
	}

	return largest;
}

function subtract({bytes, connections}: Shortage, chosen: readonly RefusalCandidate[]): Shortage {
	return {bytes: bytes - chosen.reduce((sum, {heldBytes}) => sum + heldBytes, 0), connections: connections - chosen.length};
}

function isCovered({bytes, connections}: Shortage): boolean {
	return bytes <= 0 && connections <= 0;
}
