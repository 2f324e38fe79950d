/**
 * Choice of the pool for a job. When most callers use one data centre, their jobs start where capacity becomes free first, and
 * stay local if that is about as early. When all data centres are overloaded, jobs wait in one common queue, which uses the capacity
 * of all pools in the order of the jobs; with several queues, wide and urgent jobs would wait in one pool while others run less
 * urgent ones.
 */

import {type Random} from '../seams/index.js';

/** State of a pool by the latest report that an entry VM received. */
export type PoolView = {
	readonly pool: string;
	readonly isNear: boolean;
	/** Whether this VM owns the pool, so that submitting a job needs no message to another VM. */
	readonly isOwn: boolean;
	readonly ownerId: string;
	/** Cores of the upstreams that accept starts. */
	readonly cores: number;
	/** Thousandths of a core that are free, less what this VM sent there since the report. */
	readonly freeCpu: number;
	/** Thousandths of a core that are free on each of the emptiest upstreams, less what this VM sent there since the report. */
	readonly rooms: readonly number[];
	/** Core-milliseconds of queued work, including what this VM sent there since the report. */
	readonly queuedWork: number;
	/** Data centre of the pool; the pool itself by default. */
	readonly dataCenter?: string;
	/** Monotonic time at which the report was received; `undefined` if none was. */
	readonly reportedAt?: number;
	/** Thousandths of a core that this VM sent there since the report; 0 by default. */
	readonly sentCpu?: number;
};

/** Time added to the expected wait in a remote data centre, in milliseconds: two trips between data centres. */
export const remotePenaltyMs = 6;

/**
 * Gets the expected wait for free capacity in a pool, in milliseconds.
 * @param view - Pool.
 * @param jobCpu - Thousandths of a core that the job's first tasks take together.
 */
export function getExpectedWaitMs({cores, freeCpu, queuedWork, isNear}: PoolView, jobCpu: number): number {
	const missingCores = Math.max(0, jobCpu - freeCpu) / 1000;
	const penaltyMs = isNear ? 0 : remotePenaltyMs;
	return penaltyMs + ((queuedWork + (missingCores * meanBusyMs)) / Math.max(1, cores));
}

/**
 * Expected time until a missing core becomes free, in milliseconds. If smaller, jobs go to full local pools; if larger, to remote pools
 * that are free no earlier.
 */
const meanBusyMs = 200;

/**
 * Sorts pools by the expected wait of a job, the shortest first; among equal waits, local pools come first.
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

/** Properties of a job that determine the choice of its pool. */
export type JobDemand = {
	/** Thousandths of a core that the job's first tasks take together. */
	readonly cpu: number;
	/** Whether all of its tasks must run in one pool. */
	readonly isSinglePool: boolean;
	/** Pools to which the job was already submitted. */
	readonly triedPools: ReadonlySet<string>;
	/** Whether the pools of all data centres count as local, since the VM's own data centre is evacuated; `false` by default. */
	readonly isSpread?: boolean;
};

/**
 * Chooses the pool for a job: one with enough free capacity for its first tasks, or else the one with the queue that is common to the
 * pools of a data centre, or to all data centres if each has one pool.
 * @param views - Pools with an owner, in the same order on all entry VMs.
 * @param job - Job.
 * @param random - Source of random numbers.
 * @returns The pool; `undefined` if none is left to try.
 */
export function choosePool(views: readonly PoolView[], job: JobDemand, random: Pick<Random, 'getFloat'>): PoolView | undefined {
	const local = views.filter(({isNear, cores}) => (isNear || job.isSpread === true) && cores > 0);
	if (local.length <= 1) {
		return chooseAmongAll(views, views, job);
	}

	const available = local.filter(({pool, freeCpu}) => freeCpu >= job.cpu && !job.triedPools.has(pool));
	return available.find(({isOwn}) => isOwn) ?? (available.length > 0 ? pickByFreeCpu(available, random) : chooseAmongAll(views, local, job));
}

/**
 * Chooses the pool with more free capacity out of two random ones. Many VMs choose at the same time by reports of the same age; if all chose
 * the best pool, it would be full before the next report.
 * @param available - Pools with enough free capacity, at least one.
 * @param random - Source of random numbers.
 */
export function pickByFreeCpu(available: readonly PoolView[], random: Pick<Random, 'getFloat'>): PoolView {
	const first = available[Math.floor(random.getFloat() * available.length)]!;
	const second = available[Math.floor(random.getFloat() * available.length)]!;
	return second.freeCpu > first.freeCpu ? second : first;
}

function chooseAmongAll(views: readonly PoolView[], queueSharing: readonly PoolView[], {cpu, isSinglePool, triedPools}: JobDemand): PoolView | undefined {
	const best = sortByExpectedWait(views.filter(({pool}) => !triedPools.has(pool)), cpu)[0];
	if (best === undefined || isSinglePool || best.freeCpu >= cpu) {
		return best;
	}

	const commonQueue = queueSharing.find(({cores}) => cores > 0);
	return commonQueue === undefined || triedPools.has(commonQueue.pool) ? best : commonQueue;
}
