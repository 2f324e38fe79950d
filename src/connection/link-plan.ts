/**
 * Which entry VMs of two data centres hold the links between them.
 */
import {createHash} from 'node:crypto';

/** An entry VM that may hold a link. */
export type LinkCandidate = {
	readonly dataCenter: string;
	readonly vm: string;
	readonly address: string;
};

/** Options of {@link planLinks}. */
export type LinkPlanOptions = {
	readonly self: LinkCandidate;
	/** Entry VMs of this data centre that are up, this one included. */
	readonly local: readonly LinkCandidate[];
	/** Entry VMs of the other data centre that may be up. */
	readonly remote: readonly LinkCandidate[];
	readonly linkCount: number;
};

/**
 * Gets the addresses in another data centre to which this process holds links. Both data centres come to the same
 * links where they see the same entry VMs; one that comes or goes moves few of them.
 * @param options - Who is there.
 */
export function planLinks({self, local, remote, linkCount}: LinkPlanOptions): readonly string[] {
	if (remote.length === 0) {
		return [];
	}

	const pair = [self.dataCenter, remote[0]!.dataCenter].toSorted().join(' ');
	const rankedLocal = rank(local, pair);
	const rankedRemote = rank(remote, pair);
	const addresses: string[] = [];
	const isFirst = self.dataCenter < remote[0]!.dataCenter;
	const pairCount = rankedLocal.length * rankedRemote.length;
	for (let index = 0; index < Math.min(linkCount, pairCount); index++) {
		// Walking both lists at the same pace comes back to the first pair before all were met; each round is shifted by one.
		const round = Math.floor(index / getLeastCommonMultiple(rankedLocal.length, rankedRemote.length));
		const [localIndex, remoteIndex] = isFirst ? [index, index + round] : [index + round, index];
		const {vm} = rankedLocal[localIndex % rankedLocal.length]!;
		const {address} = rankedRemote[remoteIndex % rankedRemote.length]!;
		if (vm === self.vm && !addresses.includes(address)) {
			addresses.push(address);
		}
	}

	return addresses;
}

function getLeastCommonMultiple(a: number, b: number): number {
	let multiple = Math.max(a, b);
	while (multiple % a !== 0 || multiple % b !== 0) {
		multiple += Math.max(a, b);
	}

	return multiple;
}

function rank(candidates: readonly LinkCandidate[], pair: string): readonly LinkCandidate[] {
	const weighted = candidates.map(candidate => ({candidate, weight: getWeight(pair, candidate)}));
	return weighted.toSorted((a, b) => a.weight < b.weight ? 1 : -1).map(({candidate}) => candidate);
}

/** Weights worked out so far; they are asked for again whenever a VM comes or goes. */
const weights = new Map<string, string>();

/** More weights than this are of VMs that are long gone. */
const maxWeights = 10_000;

function getWeight(pair: string, {dataCenter, vm}: LinkCandidate): string {
	const key = `${pair} ${dataCenter} ${vm}`;
	const known = weights.get(key);
	if (known !== undefined) {
		return known;
	}

	if (weights.size >= maxWeights) {
		weights.clear();
	}

	const weight = createHash('sha256').update(key).digest('hex');
	weights.set(key, weight);
	return weight;
}
