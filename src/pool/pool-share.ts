/**
 * Limits how many pools of its data centre an entry VM claims soon after its start. When all VMs fail and restart within a second, the
 * first ones up would otherwise claim all pools, be short of processor time for seconds and release none, while the later ones own none.
 */
import {getHash} from './pool-layout.js';

/**
 * Time since a VM could first claim pools in which it claims no more than its share, in milliseconds. If smaller, VMs with slow processors are too late
 * for their share; if larger, pools have no owner for longer when some VMs do not come back.
 */
const claimLimitMs = 1000;

/** State that determines whether a VM may claim another pool. */
export type PoolShareInput = {
	/** Number of pools of the data centre. */
	readonly poolCount: number;
	/** Number of entry VMs registered in the data centre, including this one; `Infinity` if it is not known. */
	readonly vmCount: number;
	/** Number of pools of the data centre that this VM owns. */
	readonly ownedCount: number;
	/** Time since this VM could first claim pools, in milliseconds. */
	readonly ageMs: number;
};

/**
 * Gets whether a VM may claim another pool.
 * @param input - State of the VM and its data centre.
 */
export function mayClaimAnotherPool({poolCount, vmCount, ownedCount, ageMs}: PoolShareInput): boolean {
	return ageMs >= claimLimitMs || ownedCount < Math.max(1, Math.ceil(poolCount / vmCount));
}

/**
 * Sorts pools into the order in which a VM claims them. The order differs from VM to VM, so that VMs that do not know each other yet
 * seldom claim the same pool.
 * @param pools - Names of pools.
 * @param vm - Name of the VM.
 */
export function sortByVmPreference(pools: readonly string[], vm: string): readonly string[] {
	const weights = new Map(pools.map(pool => [pool, getHash(`${vm} ${pool}`)]));
	return pools.toSorted((a, b) => weights.get(a)! - weights.get(b)!);
}
