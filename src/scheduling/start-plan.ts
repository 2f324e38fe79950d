/**
 * Plan of the starts while not all waiting tasks fit. The most urgent job whose tasks do not fit gets a reservation on the upstreams that will fit them
 * soonest; jobs behind it start only where they are expected to end before, or beside what is reserved (EASY backfilling). A job that has not started is
 * held back while its last task is expected to end too late.
 */
import {type JobStep, type TaskNeeds} from '../pool/pool-job.js';
import {
	compareCosts, countFitting, fits, getRemainingLimit, isAllowedOn, type PlacementCandidate,
} from './placement.js';

/** Capacity that is expected to become free on an upstream. */
export type ExpectedRelease = {
	/** Expected time until then, in milliseconds. */
	readonly inMs: number;
	readonly needs: TaskNeeds;
};

/** Waiting tasks of one step of a job, which have the same needs. */
export type WaitingTasks = {
	readonly step: JobStep;
	/** Number of the tasks. */
	readonly count: number;
	/** Expected duration of one of them on an average upstream, in milliseconds. */
	readonly expectedMs: number;
	/** Whether a task of the job was started; the job is then not held back. */
	readonly hasStarted: boolean;
	/** Time within which the last task has to end, in milliseconds. */
	readonly slackMs: number;
	/** Upstreams that are used only if the task fits no other. */
	readonly avoided: ReadonlySet<string>;
	/** Upstreams on which the tasks do not start, since they would be late there only; none by default. */
	readonly excluded?: ReadonlySet<string>;
	/** Number of running tasks of the step by upstream, where it is limited. */
	readonly placedCounts?: ReadonlyMap<string, number>;
};

/** Options of {@link planStarts}. */
export type StartPlanOptions<U> = {
	/**
	 * Gets the expected releases of an upstream, in any order. They are read only where something is reserved or a whole job does
	 * not fit.
	 */
	readonly getReleases: (upstream: U) => readonly ExpectedRelease[];
	/** Maximum number of jobs with a reservation. */
	readonly maxReservedJobs?: number;
	/** Whether jobs are held back whose last task is expected to end too late. */
	readonly holdsJobs?: boolean;
	/** Thousandths of a core that are free on each of other pools' upstreams. */
	readonly freeElsewhere?: readonly number[];
	/**
	 * Number of starts in all pools for each start here, by which what becomes free in time is counted, since pools start each other's tasks; 1 for a
	 * pool by itself.
	 */
	readonly startsPerOwnStart?: number;
};

/** A task to start. */
export type PlannedStart<J, U> = {
	readonly job: J;
	readonly upstream: U;
	/** Whether a job before it waits with a reservation. */
	readonly isBackfilled: boolean;
};

/** Capacity of an upstream that is kept for tasks of a job. */
export type Reservation<J, U> = {
	readonly job: J;
	readonly upstream: U;
	/** Expected time until the capacity is free, in milliseconds. */
	readonly inMs: number;
	/** What is expected to be free then beside the reserved capacity. */
	readonly beside: TaskNeeds;
};

/** Result of {@link planStarts}. */
export type StartPlan<J, U> = {
	readonly starts: ReadonlyArray<PlannedStart<J, U>>;
	/** At most one for each upstream. */
	readonly reservations: ReadonlyArray<Reservation<J, U>>;
	/** Jobs of which no task is started, since the last one would end too late. */
	readonly held: readonly J[];
};

type Site<U> = Pick<PlacementCandidate, 'isSuspect' | 'rack' | 'slowness'> & {
	readonly upstream: U;
	readonly readReleases: () => readonly ExpectedRelease[];
	free: TaskNeeds;
	/** Expected releases in their order, also of the started tasks; `undefined` until they are needed. */
	releases: readonly ExpectedRelease[] | undefined;
	/** Releases of the tasks that the plan starts. */
	readonly started: ExpectedRelease[];
	reservation: {readonly inMs: number; beside: TaskNeeds} | undefined;
};

/** Waiting tasks with the counts that the plan raises for what it starts. */
type PlannedTasks = WaitingTasks & {readonly placedCounts?: Map<string, number>};

/**
 * Plans the starts of waiting tasks.
 * @param jobs - Waiting tasks, the most urgent first.
 * @param upstreams - Upstreams that accept starts, all of the service that the tasks need.
 * @param options - Options.
 */
export function planStarts<J extends WaitingTasks, U extends PlacementCandidate>(
	jobs: readonly J[],
	upstreams: readonly U[],
	{getReleases, maxReservedJobs = 1, holdsJobs = true, freeElsewhere = [], startsPerOwnStart = 1}: StartPlanOptions<U>,
): StartPlan<J, U> {
	const sites = upstreams.map((upstream): Site<U> => ({
		upstream, isSuspect: upstream.isSuspect, rack: upstream.rack, slowness: upstream.slowness, readReleases: () => getReleases(upstream), free: upstream.free, releases: undefined, started: [], reservation: undefined,
	}));
	let minCpu = Infinity;
	for (const {step} of jobs) {
		minCpu = Math.min(minCpu, step.needs.cpu);
	}

	const openSites = sites.filter(({free}) => free.cpu >= minCpu);
	const starts: Array<PlannedStart<J, U>> = [];
	const held: J[] = [];
	const reserved: Array<{readonly job: J; readonly site: Site<U>}> = [];
	let maxCpu = getMaxCpu(openSites);
	let reservedJobs = 0;
	for (const job of jobs) {
		const fitsSomewhere = job.step.needs.cpu <= maxCpu;
		if (!fitsSomewhere && reservedJobs >= maxReservedJobs) {
			continue;
		}

		if (holdsJobs && !job.hasStarted && isTooLate(job, sites, {freeElsewhere, startsPerOwnStart})) {
			held.push(job);
			continue;
		}

		const tasks = copyPlacedCounts(job);
		let remaining = job.count;
		while (remaining > 0) {
			const site = fitsSomewhere ? chooseSite(tasks, openSites) : undefined;
			if (site === undefined) {
				break;
			}

			starts.push({job, upstream: site.upstream, isBackfilled: reservedJobs > 0});
			take(site, tasks);
			remaining--;
		}

		maxCpu = remaining === job.count ? maxCpu : getMaxCpu(openSites);
		if (remaining > 0 && reservedJobs < maxReservedJobs) {
			const newSites = reserve(tasks, remaining, sites);
			reserved.push(...newSites.map(site => ({job, site})));
			reservedJobs += Number(newSites.length > 0);
		}
	}

	return {starts, held, reservations: reserved.map(({job, site}) => ({job, upstream: site.upstream, ...site.reservation!}))};
}

/**
 * Gets whether a task may start on an upstream with reserved capacity: it is expected to end before, or runs beside it.
 * @param needs - Needs of the task.
 * @param durationMs - Expected duration of the task there, in milliseconds.
 * @param reservation - Reservation; `undefined` for none.
 */
export function respectsReservation(needs: TaskNeeds, durationMs: number, reservation: Pick<Reservation<unknown, unknown>, 'inMs' | 'beside'> | undefined): boolean {
	return reservation === undefined || durationMs <= reservation.inMs || fits(needs, reservation.beside);
}

function getMaxCpu(sites: ReadonlyArray<Site<PlacementCandidate>>): number {
	let maxCpu = -Infinity;
	for (const {free} of sites) {
		maxCpu = Math.max(maxCpu, free.cpu);
	}

	return maxCpu;
}

function chooseSite<U extends PlacementCandidate>(job: WaitingTasks, sites: ReadonlyArray<Site<U>>): Site<U> | undefined {
	const {step, expectedMs} = job;
	let best: Site<U> | undefined;
	for (const site of sites) {
		const {upstream, free, reservation} = site;
		const isPossible = fits(step.needs, free) && mayUse(job, upstream) && respectsReservation(step.needs, expectedMs * upstream.slowness, reservation);
		if (isPossible && (best === undefined || compareSites(job, site, best) < 0)) {
			best = site;
		}
	}

	return best;
}

function compareSites({step, avoided}: WaitingTasks, a: Site<PlacementCandidate>, b: Site<PlacementCandidate>): number {
	return (avoided.size === 0 ? 0 : Number(avoided.has(a.upstream.id)) - Number(avoided.has(b.upstream.id)))
		|| compareCosts(step, a, b);
}

/** Copies the counts of running tasks, if the step of the tasks is limited. */
function copyPlacedCounts({placedCounts, ...tasks}: WaitingTasks): PlannedTasks {
	return tasks.step.maxPerUpstream === undefined ? tasks : {...tasks, placedCounts: new Map(placedCounts)};
}

function take(site: Site<PlacementCandidate>, {step: {needs}, expectedMs, placedCounts}: PlannedTasks): void {
	const {slowness, reservation, upstream} = site;
	placedCounts?.set(upstream.id, (placedCounts.get(upstream.id) ?? 0) + 1);
	const inMs = expectedMs * slowness;
	if (reservation !== undefined && inMs > reservation.inMs) {
		reservation.beside = subtract(reservation.beside, needs);
	}

	site.free = subtract(site.free, needs);
	site.started.push({inMs, needs});
	site.releases = undefined;
}

/** Gets whether tasks may start on an upstream. */
function mayUse({step, excluded, placedCounts}: WaitingTasks, upstream: PlacementCandidate): boolean {
	return excluded?.has(upstream.id) !== true && isAllowedOn(step, upstream, placedCounts);
}

/** Reserves capacity for tasks of a job where it becomes free soonest; gets the upstreams. */
function reserve<U extends PlacementCandidate>(job: WaitingTasks, count: number, sites: ReadonlyArray<Site<U>>): ReadonlyArray<Site<U>> {
	const {step, placedCounts} = job;
	const found: Array<{readonly site: Site<U>; readonly inMs: number; readonly free: TaskNeeds}> = [];
	for (const site of sites) {
		if (site.reservation !== undefined || !mayUse(job, site.upstream)) {
			continue;
		}

		let {free} = site;
		for (const release of getReleases(site)) {
			free = add(free, release.needs);
			if (fits(step.needs, free)) {
				found.push({site, inMs: release.inMs, free});
				break;
			}
		}
	}

	found.sort((a, b) => a.inMs - b.inMs);
	const reserved: Array<Site<U>> = [];
	let remaining = count;
	for (const {site, inMs, free} of found) {
		if (remaining <= 0) {
			break;
		}

		const fitting = Math.min(remaining, getRemainingLimit(step, site.upstream, placedCounts), countFitting(step.needs, free));
		site.reservation = {inMs, beside: subtract(free, multiply(step.needs, fitting))};
		reserved.push(site);
		remaining -= fitting;
	}

	return reserved;
}

/** Gets whether the last task of a job is expected to end too late, if the tasks start wherever capacity becomes free from now on. */
function isTooLate(job: WaitingTasks, sites: ReadonlyArray<Site<PlacementCandidate>>, {freeElsewhere, startsPerOwnStart}: Required<Pick<StartPlanOptions<unknown>, 'freeElsewhere' | 'startsPerOwnStart'>>): boolean {
	const {step, count, expectedMs, slackMs, placedCounts} = job;
	let remaining = count;
	for (const cpu of freeElsewhere) {
		remaining -= Math.floor(cpu / step.needs.cpu);
	}

	const allowed: Array<{readonly site: Site<PlacementCandidate>; readonly fittingNow: number; readonly limit: number}> = [];
	for (const site of sites) {
		if (mayUse(job, site.upstream)) {
			const limit = getRemainingLimit(step, site.upstream, placedCounts);
			const fittingNow = step.needs.cpu > site.free.cpu ? 0 : Math.min(limit, countFitting(step.needs, site.free));
			allowed.push({site, fittingNow, limit});
			remaining -= fittingNow;
			if (remaining <= 0) {
				return false;
			}
		}
	}

	remaining /= startsPerOwnStart;
	// Later starts, each on what becomes free or after a task of the job itself.
	for (const {site, fittingNow, limit} of allowed) {
		const durationMs = expectedMs * site.upstream.slowness;
		const latestMs = slackMs - expectedMs;
		const countStarts = (fromMs: number): number => Math.max(0, Math.floor((latestMs - fromMs) / Math.max(1, durationMs)));
		let {free} = site;
		let fitting = fittingNow;
		remaining -= multiplyCounts(fitting, countStarts(0));
		for (const {inMs, needs} of getReleases(site)) {
			if (inMs > latestMs || remaining <= 0) {
				break;
			}

			free = add(free, needs);
			const fittingThen = Math.min(limit, countFitting(step.needs, free));
			remaining -= multiplyCounts(Math.max(0, fittingThen - fitting), 1 + countStarts(inMs));
			fitting = Math.max(fitting, fittingThen);
		}

		if (remaining <= 0) {
			return false;
		}
	}

	return true;
}

/** Multiplies two counts, either of which may be infinite. */
function multiplyCounts(a: number, b: number): number {
	return a === 0 || b === 0 ? 0 : a * b;
}

function getReleases(site: Site<PlacementCandidate>): readonly ExpectedRelease[] {
	site.releases ??= [...site.readReleases(), ...site.started].sort((a, b) => a.inMs - b.inMs);
	return site.releases;
}

function add(a: TaskNeeds, b: TaskNeeds): TaskNeeds {
	return {cpu: a.cpu + b.cpu, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators};
}

function subtract(a: TaskNeeds, b: TaskNeeds): TaskNeeds {
	return {cpu: a.cpu - b.cpu, memoryMb: a.memoryMb - b.memoryMb, accelerators: a.accelerators - b.accelerators};
}

function multiply({cpu, memoryMb, accelerators}: TaskNeeds, factor: number): TaskNeeds {
	return {cpu: cpu * factor, memoryMb: memoryMb * factor, accelerators: accelerators * factor};
}
