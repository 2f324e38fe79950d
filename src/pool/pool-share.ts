/**
 * How many pools of its data centre an entry VM takes soon after its start, and which. Answers a loss of all VMs, which come back within
 * a second: the first ones up would take all pools, be short of processor time for seconds, and give none back, while those that come
 * later own nothing.
 */
import {getHash} from './pool-layout.js';

/**
 * Time after its start in which a VM takes no more than its share, in milliseconds. Smaller, VMs with slow processors come too late for
 * theirs; larger, pools are without an owner for longer where some VMs do not come back.
 */
const sharingMs = 1000;

/** What the number of pools depends on. */
export type PoolShareInput = {
	/** Pools of the data centre. */
	readonly poolCount: number;
	/** Entry VMs that registered in the data centre, this one included; `Infinity` where the list is not known. */
	readonly vmCount: number;
	/** Pools of the data centre that this VM owns. */
	readonly ownedCount: number;
	/** Time since this VM could first take pools, in milliseconds. */
	readonly ageMs: number;
};

/**
 * Gets whether a VM may take one more pool.
 * @param input - What is known.
 */
export function mayClaimAnotherPool({poolCount, vmCount, ownedCount, ageMs}: PoolShareInput): boolean {
	return ageMs >= sharingMs || ownedCount < Math.max(1, Math.ceil(poolCount / vmCount));
}

/**
 * Sorts pools by the order in which a VM takes them; each VM has another one, so that those that have not heard of each other yet seldom
 * take the same.
 * @param pools - Names of pools.
 * @param vm - Name of the VM.
 */
export function sortByVmPreference(pools: readonly string[], vm: string): readonly string[] {
	const weights = new Map(pools.map(pool => [pool, getHash(`${vm} ${pool}`)]));
	return pools.toSorted((a, b) => weights.get(a)! - weights.get(b)!);
}
