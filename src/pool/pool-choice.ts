/**
 * To which pool a job goes. Answers callers that crowd into one data centre: their jobs start where room comes free
 * soonest, and stay near as long as that is about as soon.
 */

/** A pool as an entry VM last heard of it. */
export type PoolView = {
	readonly pool: string;
	readonly isNear: boolean;
	readonly ownerId: string;
	/** Cores of the upstreams that take new tasks. */
	readonly cores: number;
	/** Thousandths of a core that are free, less what this VM sent there since. */
	readonly freeCpu: number;
	/** Core-milliseconds that wait, with what this VM sent there since. */
	readonly queuedWork: number;
};

/** Wait in another data centre that counts as equal to none at home, in milliseconds: two trips between data centres. */
const farPenaltyMs = 6;

/**
 * Gets the expected wait for room in a pool in milliseconds.
 * @param view - Pool.
 * @param jobCpu - Thousandths of a core that the job's first tasks take together.
 */
export function getExpectedWait({cores, freeCpu, queuedWork, isNear}: PoolView, jobCpu: number): number {
	const missingCores = Math.max(0, jobCpu - freeCpu) / 1000;
	const penaltyMs = isNear ? 0 : farPenaltyMs;
	return penaltyMs + ((queuedWork + (missingCores * meanTaskMs)) / Math.max(1, cores));
}

/** Time for which a missing core is expected to be taken, in milliseconds: the mean task of the sites takes about 200. */
const meanTaskMs = 200;

/**
 * Sorts pools, the best first.
 * @param views - Pools with an owner.
 * @param jobCpu - Thousandths of a core that the job's first tasks take together.
 */
export function sortPools(views: readonly PoolView[], jobCpu: number): readonly PoolView[] {
	const waits = new Map(views.map(view => [view, view.cores === 0 ? Infinity : getExpectedWait(view, jobCpu)]));
	return views.toSorted((a, b) => {
		const difference = waits.get(a)! - waits.get(b)!;
		return Number.isNaN(difference) || difference === 0 ? Number(b.isNear) - Number(a.isNear) : difference;
	});
}
