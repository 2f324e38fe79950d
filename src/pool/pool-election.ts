/**
 * Which entry VM owns a pool: it alone gives orders to the pool's upstreams.
 *
 * Heartbeats decide, not the store, which may be away or turn a VM away while the others serve. Two owners at a time are
 * harmless, since every order carries a fence and upstreams refuse all but the highest.
 */
import {getDataCenter} from './pool-layout.js';

/** An entry VM as the election sees it. */
export type Candidate = {
	readonly id: string;
	readonly dataCenter: string;
	/** Cores that the VM may use; pools go to VMs in proportion to them. */
	readonly cores: number;
	readonly isUp: boolean;
	readonly isLeaving: boolean;
	/** Fences of the pools that the VM says it owns. */
	readonly claims: Readonly<Record<string, number>>;
};

/**
 * Elects the owners of pools; a pool for which no VM is up is left out. A claim is kept while its holder may own the pool, so
 * that a VM that comes back does not move the pool again. Pools without a claim go where they add least to the load of a VM:
 * a start costs an owner processor time, and VMs differ by a factor of four.
 * @param pools - Pools, in the same order on all entry VMs.
 * @param candidates - All entry VMs known, this one included.
 */
export function electOwners(pools: readonly string[], candidates: readonly Candidate[]): ReadonlyMap<string, Candidate> {
	const eligible = new Map<string, readonly Candidate[]>();
	const getEligibleOf = (pool: string): readonly Candidate[] => {
		const dataCenter = getDataCenter(pool);
		const known = eligible.get(dataCenter) ?? getEligible(dataCenter, candidates);
		eligible.set(dataCenter, known);
		return known;
	};

	const counts = new Map(candidates.map(candidate => [candidate, countClaims(candidate)]));
	const elected = new Map<string, Candidate>();
	for (const pool of pools) {
		const holder = getHolder(pool, getEligibleOf(pool));
		if (holder !== undefined) {
			elected.set(pool, holder);
		}
	}

	for (const pool of pools.filter(name => !elected.has(name))) {
		const next = getLeastLoaded(getEligibleOf(pool), counts);
		if (next !== undefined) {
			counts.set(next, counts.get(next)! + 1);
			elected.set(pool, next);
		}
	}

	return elected;
}

/** VMs of the pool's data centre go before others, and those that stay before those that leave. */
function getEligible(dataCenter: string, candidates: readonly Candidate[]): readonly Candidate[] {
	const up = candidates.filter(({isUp}) => isUp);
	const near = up.filter(candidate => candidate.dataCenter === dataCenter);
	const preferred = near.length > 0 ? near : up;
	const staying = preferred.filter(({isLeaving}) => !isLeaving);
	return staying.length > 0 ? staying : preferred;
}

function getHolder(pool: string, eligible: readonly Candidate[]): Candidate | undefined {
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
