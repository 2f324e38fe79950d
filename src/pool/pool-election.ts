/**
 * Which entry VM owns a pool: it alone gives orders to the pool's upstreams.
 *
 * Heartbeats decide, not the store, which may be away or turn a VM away while the others serve. Two owners at a time are
 * harmless, since every order carries a fence and upstreams refuse all but the highest.
 */

/** An entry VM as the election sees it. */
export type Candidate = {
	readonly id: string;
	readonly dataCenter: string;
	readonly isUp: boolean;
	readonly isLeaving: boolean;
	/** Fences of the pools that the VM says it owns. */
	readonly claims: Readonly<Record<string, number>>;
};

/**
 * Elects the owner of a pool; `undefined` where no VM is up. A claim is kept while its holder may own the pool, so that a
 * VM that comes back does not move the pool again.
 * @param pool - Data centre of the pool.
 * @param candidates - All entry VMs known, this one included.
 */
export function electOwner(pool: string, candidates: readonly Candidate[]): Candidate | undefined {
	const eligible = getEligible(pool, candidates);
	const claimants = eligible.filter(({claims}) => claims[pool] !== undefined);
	if (claimants.length > 0) {
		return claimants.toSorted((a, b) => (b.claims[pool]! - a.claims[pool]!) || compareText(a.id, b.id))[0];
	}

	return eligible.toSorted((a, b) => countClaims(a) - countClaims(b) || compareText(a.id, b.id))[0];
}

/** VMs of the pool's data centre go before others, and those that stay before those that leave. */
function getEligible(pool: string, candidates: readonly Candidate[]): readonly Candidate[] {
	const up = candidates.filter(({isUp}) => isUp);
	const near = up.filter(({dataCenter}) => dataCenter === pool);
	const preferred = near.length > 0 ? near : up;
	const staying = preferred.filter(({isLeaving}) => !isLeaving);
	return staying.length > 0 ? staying : preferred;
}

function countClaims({claims}: Candidate): number {
	return Object.keys(claims).length;
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : Number(a > b);
}
