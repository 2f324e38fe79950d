/**
 * Plan of the links between the entry VMs of two data centres.
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
	/** Entry VMs of this data centre that are up, including this one. */
	readonly local: readonly LinkCandidate[];
	/** Entry VMs of the other data centre that may be up. */
	readonly remote: readonly LinkCandidate[];
	/** Number of links between the two data centres. */
	readonly linkCount: number;
};

/**
 * Gets the addresses in another data centre to which this process keeps links. Both data centres compute the same
 * links from the same entry VMs (rendezvous hashing); an entry VM that is added or removed changes few of them.
 * @param options - Entry VMs of both data centres and the number of links.
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
		// Advancing both indexes together returns to the first pair before all pairs are used, so each round is shifted by one.
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

/** Cache of weights; they are needed again whenever a VM is added or removed. */
const weights = new Map<string, string>();

/** Maximum size of the cache, above which most weights are of removed VMs. */
const maxWeights = 10_000;

function getWeight(pair: string, {dataCenter, vm}: LinkCandidate): string {
	const key = `${pair} ${dataCenter} ${vm}`;
	const cachedWeight = weights.get(key);
	if (cachedWeight !== undefined) {
		return cachedWeight;
	}

	if (weights.size >= maxWeights) {
		weights.clear();
	}

	const weight = createHash('sha256').update(key).digest('hex');
	weights.set(key, weight);
	return weight;
}
