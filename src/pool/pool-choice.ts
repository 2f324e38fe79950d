/**
 * To which pool a job goes. Answers callers that crowd into one data centre: their jobs start where room comes free
 * soonest, and stay near as long as that is about as soon. Answers overload of all data centres: the jobs that wait then do so
 * in one queue, which gets the room of all pools in the order of the jobs; several queues would leave wide and urgent jobs
 * waiting in one pool while others work on less urgent ones.
 */

import {type Random} from '../seams/index.js';

/** A pool as an entry VM last heard of it. */
export type PoolView = {
	readonly pool: string;
	readonly isNear: boolean;
	/** Whether this VM owns it, so that a job there needs no way between VMs. */
	readonly isOwn: boolean;
	readonly ownerId: string;
	/** Cores of the upstreams that take new tasks. */
	readonly cores: number;
	/** Thousandths of a core that are free, less what this VM sent there since. */
	readonly freeCpu: number;
	/** Thousandths of a core that are free on each of the emptiest upstreams, less what this VM sent there since. */
	readonly rooms: readonly number[];
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
export function getExpectedWaitMs({cores, freeCpu, queuedWork, isNear}: PoolView, jobCpu: number): number {
	const missingCores = Math.max(0, jobCpu - freeCpu) / 1000;
	const penaltyMs = isNear ? 0 : farPenaltyMs;
	return penaltyMs + ((queuedWork + (missingCores * meanTaskMs)) / Math.max(1, cores));
}

/**
 * Time for which a missing core is expected to be taken, in milliseconds. Smaller, jobs go to pools near by that are full; larger, to others that
 * are no sooner free.
 */
const meanTaskMs = 200;

/**
 * Sorts pools, the best first.
 * @param views - Pools with an owner.
 * @param jobCpu - Thousandths of a core that the job's first tasks take together.
 */
export function sortByExpectedWait(views: readonly PoolView[], jobCpu: number): readonly PoolView[] {
	const waits = new Map(views.map(view => [view, view.cores === 0 ? Infinity : getExpectedWaitMs(view, jobCpu)]));
	return views.toSorted((a, b) => {
		const difference = waits.get(a)! - waits.get(b)!;
		return Number.isNaN(difference) || difference === 0 ? Number(b.isNear) - Number(a.isNear) : difference;
	});
}

/** What the choice of a pool looks at of a job. */
export type JobDemand = {
	/** Thousandths of a core that the job's first tasks take together. */
	readonly cpu: number;
	/** Whether all of its tasks must run in one pool. */
	readonly isSinglePool: boolean;
	/** Pools that refused it. */
	readonly triedPools: ReadonlySet<string>;
};

/**
 * Chooses the pool for a job: one with room for all of it now, or else the one whose queue is common to the pools of a data centre,
 * or of all data centres where each has one pool.
 * @param views - Pools with an owner, in the same order on all entry VMs.
 * @param job - Job.
 * @param random - Source of random numbers.
 */
export function choosePool(views: readonly PoolView[], job: JobDemand, random: Pick<Random, 'getFloat'>): PoolView | undefined {
	const near = views.filter(({isNear, cores}) => isNear && cores > 0);
	if (near.length <= 1) {
		return chooseAmongAll(views, views, job);
	}

	const roomy = near.filter(({pool, freeCpu}) => freeCpu >= job.cpu && !job.triedPools.has(pool));
	return roomy.find(({isOwn}) => isOwn) ?? (roomy.length > 0 ? pickRoomier(roomy, random) : chooseAmongAll(views, near, job));
}

/**
 * Of two pools taken at random, gets the one with more room. Many VMs choose at the same time by news of the same age; if all took
 * the best pool, it would be full before the next news.
 */
function pickRoomier(roomy: readonly PoolView[], random: Pick<Random, 'getFloat'>): PoolView {
	const first = roomy[Math.floor(random.getFloat() * roomy.length)]!;
	const second = roomy[Math.floor(random.getFloat() * roomy.length)]!;
	return second.freeCpu > first.freeCpu ? second : first;
}

function chooseAmongAll(views: readonly PoolView[], sharing: readonly PoolView[], {cpu, isSinglePool: isBound, triedPools: asked}: JobDemand): PoolView | undefined {
	const best = sortByExpectedWait(views.filter(({pool}) => !asked.has(pool)), cpu)[0];
	if (best === undefined || isBound || best.freeCpu >= cpu) {
		return best;
	}

	const common = sharing.find(({cores}) => cores > 0);
	return common === undefined || asked.has(common.pool) ? best : common;
}
