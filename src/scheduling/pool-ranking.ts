/**
 * Choice between the data centres for a job, by its expected end in each. Pools of a data centre lend each other free capacity, so they are
 * ranked together: a job that enters any of them can use the capacity of all.
 */
import {type Random} from '../seams/index.js';
import {minRetryAfterMs} from './admission.js';
import {
	choosePool, type JobDemand, pickByFreeCpu, type PoolView, remotePenaltyMs,
} from './pool-choice.js';

/** Properties of a job that determine its expected end. */
export type RankedDemand = JobDemand & {
	/** Expected duration of the longest chain of dependent steps, in milliseconds. */
	readonly criticalPathMs: number;
	/** Time until an answer is late, in milliseconds. */
	readonly limitMs: number;
	/** Whether a refusal now is early enough for the caller to go elsewhere. */
	readonly isEarly: boolean;
	/** Data centres that refused the job because of their load. */
	readonly refusedBy: ReadonlySet<string>;
};

/** What an entry VM knows beside the views. */
export type RankingContext = {
	/** Monotonic time. */
	readonly now: number;
	/** Mean duration of a task, weighted by its cores, in milliseconds: the time scale on which free capacity is taken and becomes free. */
	readonly meanTaskMs: number;
	/** Gets whether known pools of the local data centre have no owner at present, because of a takeover or a loss of VMs. */
	readonly hasOwnerlessPools: () => boolean;
	/** Gets whether a data centre refused such a job a short time ago. */
	readonly isClosed: (dataCenter: string) => boolean;
	readonly random: Pick<Random, 'getFloat'>;
};

/** Where a job goes: to a pool now, nowhere for some time, or back to its caller. */
export type PoolDecision =
	| {readonly kind: 'submit'; readonly view: PoolView; readonly expectedEndMs: number; readonly reportAgeMs: number}
	| {readonly kind: 'wait'; readonly waitMs: number}
	| {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** The pools of one data centre as one. */
type RankedGroup = {
	readonly dataCenter: string;
	readonly isNear: boolean;
	readonly views: readonly PoolView[];
	readonly expectedWaitMs: number;
	/** Pools that were not tried and have room for the whole job. */
	readonly room: readonly PoolView[];
	readonly hasRoom: boolean;
};

/**
 * Time in which a report loses its weight, in mean durations of a task. Tasks come and go within one, but the demand on a data centre changes
 * over several; with a value of 1, free capacity elsewhere was used too late in the replay.
 */
const loadLifetimeTasks = 4;

/** Interval at which a waiting job is ranked again, in milliseconds: a fraction of an election. */
const rankIntervalMs = 20;

/**
 * Decides where a job goes.
 * @param views - Pools with an owner, in the same order on all entry VMs.
 * @param job - Job.
 * @param context - What else is known.
 */
export function decidePool(views: readonly PoolView[], job: RankedDemand, context: RankingContext): PoolDecision {
	if (job.isSinglePool || views.every(({pool, dataCenter}) => dataCenter === undefined || dataCenter === pool)) {
		// The pools of data centres with one pool each lend to each other and have one queue, so a second refusal would tell nothing new.
		return job.refusedBy.size > 0 ? {kind: 'refuse', retryAfterMs: minRetryAfterMs} : submitTo(choosePool(views, job, context.random), job.criticalPathMs, job, context);
	}

	const room = views.filter(({isNear, cores, freeCpu, pool}) => isNear && cores > 0 && freeCpu >= job.cpu && !job.triedPools.has(pool));
	if (room.length > 0) {
		return submitTo(room.find(({isOwn}) => isOwn) ?? pickByFreeCpu(room, context.random), job.criticalPathMs, job, context);
	}

	const groups = rankGroups(views, job, context);
	const {refusedBy, isEarly} = job;
	const open = groups.filter(({dataCenter, hasRoom, isNear}) => refusedBy.has(dataCenter) ? hasRoom && isEarly : isNear || hasRoom || !context.isClosed(dataCenter));
	const chosen = chooseGroup(open, context);
	const expectedEndMs = chosen === undefined ? Infinity : chosen.expectedWaitMs + job.criticalPathMs;
	// The data centre asked first was the earliest; after its refusal, only room that is free now can serve the job in time.
	const isInTime = expectedEndMs <= job.limitMs && refusedBy.size === 0;
	if (chosen !== undefined && (chosen.hasRoom || isInTime)) {
		return submitTo(chooseEntry(chosen, job, context), expectedEndMs, job, context);
	}

	if (isEarly && context.hasOwnerlessPools()) {
		return {kind: 'wait', waitMs: rankIntervalMs};
	}

	if (refusedBy.size === 0) {
		// The views may be wrong; the owner of the local queue knows its queue and refuses at little cost.
		const local = groups.find(({isNear, views: pools}) => isNear && pools.some(({cores}) => cores > 0)) ?? chosen;
		return submitTo(local === undefined ? choosePool(views, job, context.random) : chooseEntry(local, job, context), expectedEndMs, job, context);
	}

	const lateMs = Math.min(...groups.map(({expectedWaitMs}) => expectedWaitMs + job.criticalPathMs - job.limitMs));
	return {kind: 'refuse', retryAfterMs: Number.isFinite(lateMs) ? Math.max(minRetryAfterMs, lateMs) : minRetryAfterMs};
}

/**
 * Gets the name under which the pools of a data centre are ranked together.
 * @param view - One of the pools.
 */
export function getGroupName({pool, dataCenter}: Pick<PoolView, 'pool' | 'dataCenter'>): string {
	return dataCenter ?? pool;
}

/** What is known of all data centres beside the context. */
type GroupContext = RankingContext & {
	/** Cores of a pool whose load was never received. */
	readonly typicalCores: number;
};

function rankGroups(views: readonly PoolView[], job: RankedDemand, context: RankingContext): readonly RankedGroup[] {
	const reported = views.filter(({cores}) => cores > 0);
	// A pool whose load was never received is taken to be like the others.
	const typicalCores = reported.length === 0 ? 1 : reported.reduce((sum, {cores}) => sum + cores, 0) / reported.length;
	const groups = new Map<string, PoolView[]>();
	for (const view of views) {
		const name = getGroupName(view);
		const group = groups.get(name);
		if (group === undefined) {
			groups.set(name, [view]);
		} else {
			group.push(view);
		}
	}

	const groupContext = {...context, typicalCores};
	return [...groups].map(([dataCenter, pools]) => rankGroup(dataCenter, pools, job, groupContext));
}

/** Ranks the pools of a data centre together. With its age, a report loses its weight: the pool then counts as full, without a queue. */
function rankGroup(dataCenter: string, views: readonly PoolView[], job: RankedDemand, context: GroupContext): RankedGroup {
	const {now, meanTaskMs, typicalCores} = context;
	const {isNear} = views[0]!;
	let cores = 0;
	let freeCpu = 0;
	let queuedWork = 0;
	const room: PoolView[] = [];
	for (const view of views) {
		if (view.reportedAt === undefined) {
			cores += typicalCores;
			continue;
		}

		const ageMs = Math.max(0, now - view.reportedAt);
		const free = getExpectedFreeCpu(view, ageMs, meanTaskMs);
		cores += view.cores;
		freeCpu += free;
		// A queue lasts at least until it has been worked off.
		queuedWork += view.queuedWork * Math.exp(-ageMs / ((meanTaskMs * loadLifetimeTasks) + (view.queuedWork / Math.max(1, view.cores))));
		if (view.cores > 0 && view.freeCpu >= job.cpu && ageMs <= meanTaskMs * loadLifetimeTasks && !job.triedPools.has(view.pool)) {
			room.push(view);
		}
	}

	const missingCores = Math.max(0, job.cpu - freeCpu) / 1000;
	const waitMs = cores === 0 ? Infinity : (queuedWork + (missingCores * meanTaskMs)) / cores;
	return {
		dataCenter, isNear, views, room, hasRoom: room.length > 0, expectedWaitMs: waitMs + (isNear ? 0 : remotePenaltyMs),
	};
}

/** Gets what is expected to be still free after a report has lost some of its weight. */
function getExpectedFreeCpu({freeCpu}: PoolView, ageMs: number, meanTaskMs: number): number {
	return Math.max(0, freeCpu) * Math.exp(-ageMs / (meanTaskMs * loadLifetimeTasks));
}

/**
 * Chooses another data centre with a pool that has enough for the whole job, and otherwise the earliest one. Of data centres that are about as early,
 * the local one is chosen, or else one at random, so that VMs that read the same reports do not all choose the same.
 */
function chooseGroup(groups: readonly RankedGroup[], {random}: RankingContext): RankedGroup | undefined {
	const withRoom = groups.filter(({isNear, hasRoom}) => !isNear && hasRoom);
	if (withRoom.length > 0) {
		// Several pools that lend each other free capacity start a job later than one that has enough for all of it.
		return withRoom[Math.floor(random.getFloat() * withRoom.length)];
	}

	const earliestMs = Math.min(...groups.map(({expectedWaitMs}) => expectedWaitMs));
	const early = groups.filter(({expectedWaitMs}) => expectedWaitMs <= earliestMs + remotePenaltyMs);
	return early.find(({isNear}) => isNear) ?? early[Math.floor(random.getFloat() * early.length)];
}

/**
 * Chooses a pool with room for the whole job, or else that of the data centre's common queue. Jobs in another pool would start before those that wait
 * there, and its owner would admit them as if there was no queue.
 */
function chooseEntry({views, room}: RankedGroup, {triedPools}: RankedDemand, {random}: RankingContext): PoolView | undefined {
	return room.length > 0 ? pickByFreeCpu(room, random) : views.find(({pool, cores, reportedAt}) => !triedPools.has(pool) && (cores > 0 || reportedAt === undefined));
}

function submitTo(view: PoolView | undefined, expectedEndMs: number, job: RankedDemand, {now, hasOwnerlessPools}: RankingContext): PoolDecision {
	if (view !== undefined) {
		return {
			kind: 'submit', view, expectedEndMs, reportAgeMs: view.reportedAt === undefined ? Infinity : Math.max(0, now - view.reportedAt),
		};
	}

	return job.isEarly && hasOwnerlessPools() ? {kind: 'wait', waitMs: rankIntervalMs} : {kind: 'refuse', retryAfterMs: minRetryAfterMs};
}
