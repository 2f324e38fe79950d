/**
 * Replay of generated arrivals on the upstreams of one pool, without a network: jobs are admitted, wait, start and end on a virtual clock.
 */
import {type JobStep, type TaskNeeds} from '../../src/pool/index.js';
import {
	chooseUpstream, decideAdmission, fits, getMeanRemainingMs, OfferedLoad, planStarts, sortByUrgency, type StartPlanOptions, type WaitingTasks,
} from '../../src/scheduling/index.js';
import {createSeededRandom, type Random} from '../../src/seams/index.js';

/** Load of a customer. */
export type ReplayLoad = {
	readonly sizes: readonly number[];
	readonly speeds: readonly number[];
	readonly taskCores: number;
	readonly maxTaskCores: number;
	readonly wave: number;
	readonly tailShare: number;
	readonly routes: ReadonlyArray<{
		readonly name: string; readonly priority: number; readonly meanTasks: number; readonly maxTasks: number; readonly durationMs: number; readonly share: number; readonly deadlineMs: number;
		readonly worth: number; readonly slackMs: number;
	}>;
};

const createRoutes = (durations: readonly number[]): ReplayLoad['routes'] => [
	{
		name: 'short', priority: 0, meanTasks: 8, maxTasks: 32, durationMs: durations[0]!, share: 0.24, deadlineMs: 1517, worth: 0.004_85, slackMs: 60,
	},
	{
		name: 'long', priority: 2, meanTasks: 4, maxTasks: 16, durationMs: durations[1]!, share: 0.045, deadlineMs: 1513, worth: 0.0267, slackMs: 61,
	},
	{
		name: 'small', priority: 1, meanTasks: 2, maxTasks: 8, durationMs: durations[2]!, share: 0.71, deadlineMs: 1517, worth: 0.001_67, slackMs: 61,
	},
];

/** The loads of the two customers in docs/HARD-LOAD.md. */
export const customerOne: ReplayLoad = {
	sizes: [64, 64, 96], speeds: [0.8, 1, 1.25], taskCores: 32, maxTaskCores: 48, wave: 0.15, tailShare: 0, routes: createRoutes([60, 900, 200]),
};
export const customerTwo: ReplayLoad = {
	sizes: [16, 16, 24], speeds: [0.6, 1, 1.6], taskCores: 8, maxTaskCores: 12, wave: 0.55, tailShare: 0.03, routes: createRoutes([51, 760, 170]),
};

const stretch = 1.6;
const spread = 0.4;
const siblingSpread = 0.15;
const tailFactor = 7;
const reevaluationShare = 0.18;

type Task = {readonly workMs: number};
type Job = {
	readonly route: ReplayLoad['routes'][number]; readonly needs: TaskNeeds; readonly step: JobStep; readonly tasks: readonly Task[]; readonly arrivedAt: number; readonly estimateMs: number;
	readonly priority: number; hasStarted: boolean; readonly isCommitted: boolean; readonly objectiveAt: number; readonly remainingMs: number; remainingWork: number; started: number; done: number; isReevaluated: boolean;
	readonly lastUsefulAt: number; longestMs: number; isHeld: boolean;
};
type Run = {readonly job: Job; readonly upstream: Upstream; readonly startedAt: number; readonly endsAt: number};
type Upstream = {
	readonly id: string; readonly rack: string; readonly labels: readonly string[]; readonly capacity: TaskNeeds; free: TaskNeeds; readonly slowness: number; readonly isSuspect: boolean;
	readonly runs: Set<Run>;
};

/** Result of a replay. */
export type ReplayResult = {
	/** Share of the jobs answered within their objective, and share of the worth earned. */
	readonly inTime: number;
	readonly worth: number;
	readonly byRoute: Readonly<Record<string, number>>;
	/** Share in time by decile of the cores of a task. */
	readonly bySize: readonly number[];
	readonly bySizeWorth: readonly number[];
	readonly reservations: number;
	readonly backfilled: number;
	readonly late: number;
	readonly used: number;
};

/** Options of {@link replay}. */
export type ReplayOptions = {
	readonly load: ReplayLoad;
	/** Offered work as a share of the capacity. */
	readonly rate: number;
	readonly seed: number;
	readonly upstreamCount?: number;
	readonly durationMs?: number;
	/** `undefined` for the greedy decision. */
	readonly plan?: Partial<StartPlanOptions<unknown>>;
};

/** Replays a load. */
export function replay({load, rate, seed, upstreamCount = 27, durationMs = 20_000, plan}: ReplayOptions): ReplayResult {
	const random = createSeededRandom(seed);
	const upstreams = Array.from({length: upstreamCount}, (_, index): Upstream => {
		const capacity = createNeeds(load.sizes[index % load.sizes.length]! * 1000);
		return {
			id: `u${index}`, rack: '', labels: [], capacity, free: capacity, slowness: 1 / load.speeds[Math.floor(index / 3) % load.speeds.length]!, isSuspect: false, runs: new Set(),
		};
	});
	const capacity = upstreams.reduce((sum, {capacity: {cpu}, slowness}) => sum + (cpu / 1000 / slowness), 0);
	const cores = upstreams.reduce((sum, {capacity: {cpu}}) => sum + (cpu / 1000), 0);
	const jobs = createJobs(load, rate * capacity, durationMs, random);
	const offered = new OfferedLoad();
	const outcomes = new Map<Job, number>();
	const queue = new Set<Job>();
	const runs: Run[] = [];
	let reservations = 0;
	let backfilled = 0;
	let usedWork = 0;

	const start = (job: Job, upstream: Upstream, now: number): void => {
		const ms = job.tasks[job.started]!.workMs * upstream.slowness;
		const run: Run = {
			job, upstream, startedAt: now, endsAt: now + ms + 2,
		};
		usedWork += job.needs.cpu / 1000 * ms;
		job.started++;
		job.hasStarted = true;
		job.remainingWork = (job.tasks.length - job.started) * job.needs.cpu / 1000 * job.estimateMs;
		upstream.free = {...upstream.free, cpu: upstream.free.cpu - job.needs.cpu};
		upstream.runs.add(run);
		insertRun(runs, run);
		if (job.started === job.tasks.length) {
			queue.delete(job);
		}
	};

	const pass = (now: number): void => {
		const sorted = sortByUrgency([...queue], now);
		const largest = (): number => Math.max(...upstreams.map(({free}) => free.cpu));
		let free = largest();
		let position = 0;
		for (; position < sorted.length; position++) {
			const job = sorted[position]!;
			if (plan !== undefined && job.tasks.length - job.started > 0 && (job.needs.cpu > free || !fitsWhole(job, upstreams))) {
				break;
			}

			while (job.started < job.tasks.length && job.needs.cpu <= free) {
				const chosen = chooseUpstream(job.step, upstreams);
				if (chosen === undefined) {
					break;
				}

				start(job, chosen, now);
				free = largest();
			}
		}

		const rest = sorted.slice(position);
		if (plan === undefined || rest.every(({needs}) => needs.cpu > free)) {
			return;
		}

		const waiting = rest.map(job => ({
			job, step: job.step, count: job.tasks.length - job.started, expectedMs: job.longestMs > 0 ? job.longestMs : job.estimateMs, hasStarted: job.hasStarted, slackMs: (now + job.estimateMs > job.objectiveAt ? job.lastUsefulAt : job.objectiveAt) - now, avoided: new Set<string>(),
		} satisfies WaitingTasks & {job: Job}));
		const getReleases = ({runs: ofUpstream, slowness}: Upstream) => [...ofUpstream].map(({job, startedAt}) => ({
			inMs: getMeanRemainingMs(now - startedAt, (job.longestMs > 0 ? job.longestMs : job.estimateMs) * slowness), needs: job.needs,
		}));
		const result = planStarts(waiting, upstreams, {getReleases, holdsJobs: waiting.length > 1, ...plan});
		for (const job of queue) {
			job.isHeld = false;
		}

		for (const {job} of result.held) {
			job.isHeld = true;
		}

		reservations += result.reservations.length;
		for (const planStart of result.starts) {
			backfilled += Number(planStart.isBackfilled);
			start(planStart.job.job, planStart.upstream, now);
		}
	};

	const isAdmitted = (job: Job, now: number): boolean => {
		let workAhead = 0;
		for (const other of sortByUrgency([...new Set([...queue, job])], now)) {
			if (other === job) {
				break;
			}

			workAhead += other.remainingWork;
		}

		let unplaced = job.tasks.length;
		for (const {free} of upstreams) {
			unplaced -= Math.floor(free.cpu / job.needs.cpu);
		}

		return decideAdmission({
			fittingUpstreams: upstreams.filter(upstream => fits(job.needs, upstream.capacity)).length, workAhead, work: job.remainingWork, cores,
			higherPriorityCores: offered.getHigherPriorityCores(job.priority, now),
			unplacedWork: Math.max(0, unplaced) * job.needs.cpu / 1000 * job.estimateMs, criticalPathMs: job.estimateMs, objectiveMs: job.objectiveAt - now, deadlineMs: job.lastUsefulAt - now,
			nextRunEndMs: 5,
		}).isAdmitted;
	};

	let nextArrival = 0;
	let nextSweep = 0;
	for (;;) {
		const arrival = jobs[nextArrival]?.arrivedAt ?? Infinity;
		const end = runs[0]?.endsAt ?? Infinity;
		if (arrival === Infinity && end === Infinity && queue.size === 0) {
			break;
		}

		const now = Math.min(arrival, end, nextSweep);
		if (now === end) {
			const run = runs.shift()!;
			run.upstream.runs.delete(run);
			run.upstream.free = {...run.upstream.free, cpu: run.upstream.free.cpu + run.job.needs.cpu};
			run.job.done++;
			run.job.longestMs = Math.max(run.job.longestMs, (now - run.startedAt));
			if (run.job.done === run.job.tasks.length) {
				outcomes.set(run.job, now <= run.job.objectiveAt ? 1 : (now <= run.job.lastUsefulAt ? 0.2 : 0));
			}
		} else if (now === arrival) {
			const job = jobs[nextArrival++]!;
			if (isAdmitted(job, now)) {
				queue.add(job);
				offered.addWork(job.priority, job.remainingWork, now);
			}
		} else {
			nextSweep = now + 20;
			for (const job of queue) {
				if (job.hasStarted) {
					continue;
				}

				if (now + job.estimateMs > job.lastUsefulAt) {
					queue.delete(job);
				} else if (!job.isReevaluated && now - job.arrivedAt >= (job.objectiveAt - job.arrivedAt) * reevaluationShare) {
					job.isReevaluated = true;
					if (job.isHeld || !isAdmitted(job, now)) {
						queue.delete(job);
					}
				}
			}
		}

		pass(now);
	}

	return summarize({
		jobs, outcomes, load, reservations, backfilled, used: usedWork / capacity / durationMs,
	});
}

function fitsWhole(job: Job, upstreams: readonly Upstream[]): boolean {
	let count = job.tasks.length - job.started;
	for (const {free} of upstreams) {
		count -= Math.floor(free.cpu / job.needs.cpu);
	}

	return count <= 0;
}

function summarize({jobs, outcomes, load, reservations, backfilled, used}: {readonly jobs: readonly Job[]; readonly outcomes: ReadonlyMap<Job, number>; readonly load: ReplayLoad; readonly reservations: number; readonly backfilled: number; readonly used: number}): ReplayResult {
	const getShare = (selected: readonly Job[]): number => selected.filter(job => outcomes.get(job) === 1).length / Math.max(1, selected.length);
	const getWorth = (selected: readonly Job[]): number => selected.reduce((sum, job) => sum + (job.route.worth * (outcomes.get(job) ?? 0)), 0) / selected.reduce((sum, job) => sum + job.route.worth, 0);
	const bySize = jobs.toSorted((a, b) => a.needs.cpu - b.needs.cpu);
	const byWork = jobs.toSorted((a, b) => (a.needs.cpu * a.tasks.length) - (b.needs.cpu * b.tasks.length));
	const toDeciles = (sorted: readonly Job[]): readonly number[] => Array.from({length: 10}, (_, decile) => getShare(sorted.slice(Math.floor(decile * sorted.length / 10), Math.floor((decile + 1) * sorted.length / 10))));
	return {
		inTime: getShare(jobs), worth: getWorth(jobs), byRoute: Object.fromEntries(load.routes.map(route => [route.name, getShare(jobs.filter(job => job.route === route))])),
		bySize: toDeciles(bySize), bySizeWorth: toDeciles(byWork), reservations, backfilled, late: [...outcomes.values()].filter(value => value === 0.2).length / jobs.length, used,
	};
}

function createJobs(load: ReplayLoad, offeredCores: number, durationMs: number, random: Random): readonly Job[] {
	const meanWork = load.routes.reduce((sum, {share, meanTasks, durationMs: ms}) => sum + (share * meanTasks * ms * load.taskCores), 0) * Math.exp(spread * spread / 2) * (1 + (load.tailShare * (tailFactor - 1)));
	const jobs: Job[] = [];
	let now = 0;
	for (;;) {
		const factor = 1 + (load.wave * Math.sin(now / 13_000 * 2 * Math.PI));
		now += -Math.log(1 - random.getFloat()) * meanWork / offeredCores / factor;
		if (now >= durationMs) {
			return jobs;
		}

		jobs.push(createJob(load, now, random));
	}
}

function createJob(load: ReplayLoad, now: number, random: Random): Job {
	let pick = random.getFloat() * load.routes.reduce((sum, {share}) => sum + share, 0);
	const route = load.routes.find(({share}) => {
		pick -= share;
		return pick < 0;
	}) ?? load.routes.at(-1)!;
	const jobMs = route.durationMs * Math.exp(spread * getNormal(random));
	const estimateMs = jobMs * Math.exp(spread * getNormal(random));
	const count = Math.min(route.maxTasks, 1 + Math.floor(-Math.log(1 - random.getFloat()) * (route.meanTasks - 0.5)));
	const cpu = Math.round(1000 * Math.min(load.maxTaskCores, Math.max(load.taskCores / 4, load.taskCores * (1 + (0.2 * getNormal(random))))));
	const needs = createNeeds(cpu);
	const tasks = Array.from({length: count}, () => ({
		workMs: Math.min(9 * route.durationMs, jobMs * Math.exp(siblingSpread * getNormal(random)) * (random.getFloat() < load.tailShare ? tailFactor : 1)),
	}));
	const objectiveAt = now + (stretch * estimateMs) + route.slackMs;
	return {
		route, needs, step: {
			taskCount: count, needs, estimateMs, after: [],
		}, tasks, arrivedAt: now, estimateMs, priority: route.priority, hasStarted: false, isCommitted: false, objectiveAt, remainingMs: estimateMs, remainingWork: count * cpu / 1000 * estimateMs, started: 0, done: 0, isReevaluated: false,
		lastUsefulAt: Math.min(now + route.deadlineMs, now + ((objectiveAt - now) * 3)), longestMs: 0, isHeld: false,
	};
}

function insertRun(runs: Run[], run: Run): void {
	let low = 0;
	let high = runs.length;
	while (low < high) {
		const middle = (low + high) >> 1; // eslint-disable-line no-bitwise
		if (runs[middle]!.endsAt <= run.endsAt) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	runs.splice(low, 0, run);
}

function createNeeds(cpu: number): TaskNeeds {
	return {cpu, memoryMb: 0, accelerators: 0};
}

function getNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
}
