/**
 * Runs a load pattern against the owners of pools with simulated upstreams.
 */
import {
	type DecisionLog, type LogFields, getCriticalPathMs, getDataCenter, getInitialCpu, getPoolNames, type PoolDirectory, type PoolJobOutcome, type SubmittedJob,
} from '../../src/pool/index.js';
import {
	choosePool, decidePool, getGroupName, type PoolView, type RankedDemand, RecentRefusals, type SchedulingOptions,
} from '../../src/scheduling/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {SimulatedPools} from '../../src/testing/simulated-pools.js';
import {SimulatedUpstreams} from '../../src/testing/simulated-upstreams.js';
import {type Arrival} from './load-pattern.js';

/** Numbers of jobs of one kind by outcome. */
export type KindResult = {
	submitted: number;
	inTime: number;
	late: number;
	refused: number;
	/** Jobs refused after more than a quarter of the objective. */
	refusedLate: number;
	failed: number;
	/** Milliseconds of waiting for a refusal, over all refused jobs. */
	refusalMs: number;
};

/** Results by kind of job, by data centre of the callers and by decile of the job's work within its kind. */
export type SimulationResults = {
	readonly byKind: Readonly<Record<string, KindResult>>;
	readonly byDataCenter: Readonly<Record<string, KindResult>>;
	readonly byDecile: Readonly<Record<string, KindResult>>;
};

const silentLog: DecisionLog = {
	debug() {/* Discarded. */},
	info() {/* Discarded. */},
	warn() {/* Discarded. */},
};

/** Fault of an upstream from a time on; its tasks never end, or take longer by a factor. */
export type InjectedFault = {readonly upstream: number; readonly atMs: number; readonly slowness: number};

const stretch = 1.6;
const slackMs = 60;
const deadlineMs = 1500;
const settleTimeMs = 5000;
/** Speeds of three upstreams each, assigned in rotation. */
const defaultSpeeds = [0.8, 1, 1.25];
const defaultUpstreamCpu = 16_000;

/** Number of entry VMs that choose pools. */
const entryCount = 7;

/** Mean duration of a task weighted by its cores, in milliseconds, by which routers rate the ages of reports. */
const meanTaskMs = 200;

/** Number of pools to which a job is submitted before it is refused. */
const maxPoolsTried = 3;

/** Options of {@link simulatePool}. */
export type SimulationOptions = {
	/** Number of pools to which the upstreams are distributed evenly. */
	readonly poolCount?: number;
	/** Whether the pools lend each other free capacity and have a common queue. */
	readonly isLending?: boolean;
	/** Number of data centres to which the pools are distributed evenly; by default, each has one pool. */
	readonly dataCenterCount?: number;
	/** Thousandths of a core of a small upstream; every third one is half as large again. */
	readonly upstreamCpu?: number;
	/** Speeds of three upstreams each, assigned in rotation. */
	readonly speeds?: readonly number[];
	readonly scheduling?: SchedulingOptions;
	/** Faults of upstreams; `Infinity` as slowness if tasks never end. */
	readonly faults?: readonly InjectedFault[];
	/** Receives the log of the owners, with the time since the first arrival in milliseconds. */
	readonly onLog?: (message: string, fields: LogFields, atMs: number) => void;
	/** Receives all starts at the end, with times since the first arrival in milliseconds. */
	readonly onStarts?: (starts: ReadonlyArray<{readonly upstream: string; readonly atMs: number}>) => void;
	/** Receives the outcome of each job. */
	readonly onOutcome?: (arrival: Arrival, outcome: PoolJobOutcome, totalMs: number, objectiveMs: number) => void;
};

/**
 * Simulates arrivals.
 * @param arrivals - Arrivals in order of time.
 * @param upstreamCount - Number of upstreams.
 * @param options - Pools and upstreams.
 */
export async function simulatePool(arrivals: readonly Arrival[], upstreamCount: number, options: SimulationOptions = {}): Promise<SimulationResults> {
	const {
		poolCount = 1, isLending = true, dataCenterCount = poolCount, upstreamCpu = defaultUpstreamCpu, speeds = defaultSpeeds, scheduling, faults = [],
	} = options;
	const getDecile = createDecileGetter(arrivals);
	const balancesDataCentres = scheduling?.balancesDataCentres ?? true;
	const recentRefusals = new Map<PoolDirectory, RecentRefusals>();
	const clock = new ManualClock();
	let startedAt = Infinity;
	const works = new Map<string, {readonly arrival: Arrival; readonly durationMs: number}>();
	const upstreams = new SimulatedUpstreams({
		clock,
		getWork(task) {
			const {arrival, durationMs} = works.get(task)!;
			return {needs: {cpu: arrival.cpu, memoryMb: 64, accelerators: 0}, durationMs};
		},
	});
	const random = createSeededRandom(1);
	const pools = Array.from({length: dataCenterCount}, (_, position) => getPoolNames(`dc${position}`, poolCount / dataCenterCount)).flat();
	const descriptions = Array.from({length: upstreamCount}, (_, position) => ({
		id: `u${position}`, bornMs: 1, address: `u${position}`, dataCenter: pools[position % poolCount]!, service: 's', rack: 'r', labels: [], isLeaving: false,
		capacity: {cpu: position % 3 === 2 ? 1.5 * upstreamCpu : upstreamCpu, memoryMb: 32_768, accelerators: 0},
	}));
	const upstreamFaults = descriptions.map((description, position) => {
		const upstreamFault = upstreams.addUpstream(description);
		upstreamFault.slowness = 1 / speeds[Math.floor(position / 3) % speeds.length]!;
		return upstreamFault;
	});

	const deployment = new SimulatedPools({
		clock, log: options.onLog === undefined ? silentLog : createLog(options.onLog), orders: upstreams, upstreams: descriptions, isLending, scheduling,
	});
	const dataCenters = [...new Set(pools.map(pool => getDataCenter(pool)))];
	const directories = Array.from({length: entryCount}, (_, position) => deployment.createDirectory(getDataCenter(pools[position % poolCount]!)));
	const localDirectories = dataCenters.map(dataCenter => Array.from({length: entryCount}, () => deployment.createDirectory(dataCenter)));
	const byKind: Record<string, KindResult> = {};
	const byDataCenter: Record<string, KindResult> = {};
	const byDecile: Record<string, KindResult> = {};
	await clock.advance(300);
	startedAt = clock.getMonotonicTime();
	for (const {upstream, atMs, slowness} of faults) {
		clock.setTimer(() => {
			const upstreamFault = upstreamFaults[upstream]!;
			upstreamFault.isHanging = slowness === Infinity;
			upstreamFault.slowness *= slowness === Infinity ? 1 : slowness;
		}, atMs);
	}

	for (const [position, arrival] of arrivals.entries()) {
		await clock.advance(startedAt + arrival.at - clock.getMonotonicTime());
		void run(position, arrival);
	}

	await clock.advance(settleTimeMs);
	options.onStarts?.(upstreams.starts.map(start => ({upstream: start.upstream, atMs: start.startedAt - startedAt})));
	return {byKind, byDataCenter, byDecile};

	function createLog(onLog: NonNullable<SimulationOptions['onLog']>): DecisionLog {
		const write = (fields: LogFields, message: string): void => {
			onLog(message, fields, clock.getMonotonicTime() - startedAt);
		};

		return {debug: write, info: write, warn: write};
	}

	/** Submits a job as the router of an entry VM does. */
	async function submit(job: SubmittedJob, directory: PoolDirectory, signal: AbortSignal): Promise<PoolJobOutcome> {
		const submittedAt = clock.getMonotonicTime();
		const cpu = getInitialCpu(job);
		const criticalPathMs = getCriticalPathMs(job.steps);
		const objectiveMs = (stretch * criticalPathMs) + slackMs;
		let outcome: PoolJobOutcome = {kind: 'refused', reason: 'overloaded', retryAfterMs: 0};
		const triedPools = new Set<string>();
		const refusedBy = new Set<string>();
		const refusals = recentRefusals.get(directory) ?? new RecentRefusals();
		recentRefusals.set(directory, refusals);
		let loadRefusals = 0;
		while (triedPools.size - loadRefusals < maxPoolsTried) {
			const ageMs = clock.getMonotonicTime() - submittedAt;
			const demand = {
				cpu, isSinglePool: !isLending, triedPools, refusedBy, criticalPathMs, limitMs: Math.min(objectiveMs, job.remainingMs) - ageMs, isEarly: ageMs <= objectiveMs / 4,
			};
			const view = chooseView(directory, demand, job.rules.route, refusals);
			if (view === undefined) {
				break;
			}

			triedPools.add(view.pool);
			directory.addSentJob(view.pool, job);
			const owner = deployment.getOwner(view.pool);
			outcome = await owner.submit({...job, ageMs, remainingMs: job.remainingMs - ageMs}, signal);
			directory.setLoad(view.pool, owner.getLoad());
			const dataCenter = getGroupName(view);
			if (outcome.kind !== 'refused') {
				refusals.removeRefusals(dataCenter, job.rules.route);
				break;
			}

			if (outcome.reason === 'deadline' || (outcome.reason === 'overloaded' && isLending && view.freeCpu < cpu)) {
				if (!balancesDataCentres) {
					break;
				}

				loadRefusals++;
				refusedBy.add(dataCenter);
				refusals.addRefusal(dataCenter, job.rules.route, objectiveMs, clock.getMonotonicTime());
			}
		}

		return outcome;
	}

	function chooseView(directory: PoolDirectory, demand: RankedDemand, route: string, refusals: RecentRefusals): PoolView | undefined {
		const views = directory.getViews();
		if (!balancesDataCentres) {
			return choosePool(views, demand, random);
		}

		const now = clock.getMonotonicTime();
		const decision = decidePool(views, demand, {
			now, random, meanTaskMs, hasOwnerlessPools: () => false, isClosed: dataCenter => refusals.isClosed(dataCenter, route, now),
		});
		return decision.kind === 'submit' ? decision.view : undefined;
	}

	async function run(position: number, arrival: Arrival): Promise<void> {
		const id = `j${position}`;
		for (const [index, durationMs] of arrival.durations.entries()) {
			works.set(`${id}.0.0.${index}`, {arrival, durationMs});
		}

		// Callers wait for late answers as long as these have value.
		const waitMs = Math.max(deadlineMs, 3 * getObjectiveMs(arrival));
		const job = createJob(id, arrival, waitMs);
		const arrivedAt = clock.getMonotonicTime();
		const controller = new AbortController();
		const timer = clock.setTimer(() => {
			controller.abort();
		}, waitMs);
		const outcome = await submit(job, getDirectory(position, arrival), controller.signal);
		timer.close();
		options.onOutcome?.(arrival, outcome, clock.getMonotonicTime() - arrivedAt, getObjectiveMs(arrival));
		for (const result of [byKind[arrival.kind.name] ??= createResult(), byDataCenter[`dc${arrival.dataCenter ?? ''}`] ??= createResult(), byDecile[getDecile(arrival)] ??= createResult()]) {
			addResult(result, outcome, clock.getMonotonicTime() - arrivedAt, getObjectiveMs(arrival));
		}
	}

	function getDirectory(position: number, {dataCenter}: Arrival): PoolDirectory {
		return (dataCenter === undefined ? directories : localDirectories[dataCenter]!)[position % entryCount]!;
	}
}

/** Creates a function that gets the decile of a job's work within its kind, from 0 for the smallest jobs. */
function createDecileGetter(arrivals: readonly Arrival[]): (arrival: Arrival) => string {
	const getWork = ({cpu, durations}: Arrival): number => durations.reduce((sum, durationMs) => sum + (cpu * durationMs), 0);
	const worksByKind = new Map<string, number[]>();
	for (const arrival of arrivals) {
		const works = worksByKind.get(arrival.kind.name) ?? [];
		works.push(getWork(arrival));
		worksByKind.set(arrival.kind.name, works);
	}

	const boundsByKind = new Map([...worksByKind].map(([kind, works]) => {
		const sorted = works.toSorted((a, b) => a - b);
		return [kind, Array.from({length: 9}, (_, decile) => sorted[Math.floor(sorted.length * (decile + 1) / 10)]!)] as const;
	}));
	return arrival => String(boundsByKind.get(arrival.kind.name)!.filter(bound => getWork(arrival) >= bound).length);
}

function createJob(id: string, {kind, taskCount, cpu, estimateMs}: Arrival, remainingMs: number): SubmittedJob {
	return {
		id,
		spec: '',
		steps: [{
			taskCount, needs: {cpu, memoryMb: 64, accelerators: 0}, estimateMs, after: [],
		}],
		rules: {
			route: kind.name, service: 's', priority: kind.priority, maxAttempts: kind.maxAttempts, stretch, slackMs,
		},
		ageMs: 0,
		remainingMs,
		priorFence: 0,
	};
}

function createResult(): KindResult {
	return {
		submitted: 0, inTime: 0, late: 0, refused: 0, refusedLate: 0, failed: 0, refusalMs: 0,
	};
}

function getObjectiveMs({durations}: Arrival): number {
	return (stretch * Math.max(...durations)) + slackMs;
}

function addResult(result: KindResult, outcome: PoolJobOutcome, totalMs: number, objectiveMs: number): void {
	result.submitted++;
	if (outcome.kind === 'completed') {
		if (totalMs <= objectiveMs) {
			result.inTime++;
		} else {
			result.late += Number(totalMs <= 3 * objectiveMs);
		}
	} else if (outcome.kind === 'refused') {
		result.refused++;
		result.refusalMs += totalMs;
		result.refusedLate += Number(totalMs > objectiveMs / 4);
	} else {
		result.failed++;
	}
}
