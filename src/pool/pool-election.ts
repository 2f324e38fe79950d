/**
 * Election of the entry VM that owns a pool and alone sends orders to its upstreams.
 *
 * The election is based on heartbeats and not on the store, which may be unavailable or refuse a VM while the others serve. Two
 * owners at a time are harmless, since every order carries a fence and upstreams refuse all but the highest.
 */
import {getDataCenter} from './pool-layout.js';

/** An entry VM as a candidate of the election. */
export type Candidate = {
	readonly id: string;
	readonly dataCenter: string;
	/** Cores that the VM may use; pools go to VMs in proportion to them. */
	readonly cores: number;
	readonly isUp: boolean;
	readonly isLeaving: boolean;
	/** Fences of the pools that the VM claims to own, by pool. */
	readonly claims: Readonly<Record<string, number>>;
};

/**
 * Elects the owners of pools; a pool without any VM that is up has none. A claim holds while its holder is eligible, so that a VM
 * that comes back does not cause another transfer of the pool. Pools without a claim go to the VM with the lowest resulting load
 * per core: each start costs an owner processor time, and VMs differ by a factor of four.
 * @param pools - Names of the pools, in the same order on all entry VMs.
 * @param candidates - All known entry VMs, including this one.
 * @returns The owners by pool.
 */
export function electOwners(pools: readonly string[], candidates: readonly Candidate[]): ReadonlyMap<string, Candidate> {
	const eligible = new Map<string, readonly Candidate[]>();
	const getEligibleOf = (pool: string): readonly Candidate[] => {
		const dataCenter = getDataCenter(pool);
		const cached = eligible.get(dataCenter) ?? getEligible(dataCenter, candidates);
		eligible.set(dataCenter, cached);
		return cached;
	};

	const counts = new Map(candidates.map(candidate => [candidate, countClaims(candidate)]));
	const elected = new Map<string, Candidate>();
	for (const pool of pools) {
		const holder = getClaimHolder(pool, getEligibleOf(pool));
		if (holder !== undefined) {
			elected.set(pool, holder);
		}
	}

	for (const pool of pools.filter(name => !elected.has(name))) {
		const leastLoaded = getLeastLoaded(getEligibleOf(pool), counts);
		if (leastLoaded !== undefined) {
			counts.set(leastLoaded, counts.get(leastLoaded)! + 1);
			elected.set(pool, leastLoaded);
		}
	}

	return elected;
}

/** Gets the VMs that may own the pools of a data centre: local VMs are preferred to remote ones, and staying VMs to leaving ones. */
function getEligible(dataCenter: string, candidates: readonly Candidate[]): readonly Candidate[] {
	const up = candidates.filter(({isUp}) => isUp);
	const local = up.filter(candidate => candidate.dataCenter === dataCenter);
	const preferred = local.length > 0 ? local : up;
	const staying = preferred.filter(({isLeaving}) => !isLeaving);
	return staying.length > 0 ? staying : preferred;
}

function getClaimHolder(pool: string, eligible: readonly Candidate[]): Candidate | undefined {
	let holder: Candidate | undefined;
	for (const candidate of eligible) {
		const fence = candidate.claims[pool];
		if (fence === undefined) {
			continue;
		}

		const difference = holder === undefined ? 1 : fence - holder.claims[pool]!;
		if (difference > 0 || (difference === 0 && candidate.id < holder!.id)) {
			holder = candidate;
		}
	}

	return holder;
}

function getLeastLoaded(eligible: readonly Candidate[], counts: ReadonlyMap<Candidate, number>): Candidate | undefined {
	let best: Candidate | undefined;
	let bestLoad = Infinity;
	for (const candidate of eligible) {
		const load = (counts.get(candidate)! + 1) / candidate.cores;
		if (load < bestLoad || (load === bestLoad && candidate.id < best!.id)) {
			best = candidate;
			bestLoad = load;
		}
	}

	return best;
}

function countClaims({claims}: Candidate): number {
	return Object.keys(claims).length;
}
