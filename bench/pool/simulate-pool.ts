/**
 * Runs a load pattern against the owners of pools with simulated upstreams.
 */
import {
	type DecisionLog, getDataCenter, getInitialCpu, getPoolNames, type PoolDirectory, type PoolJobOutcome, type SubmittedJob,
} from '../../src/pool/index.js';
import {choosePool, type SchedulingOptions} from '../../src/scheduling/index.js';
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
};

const silentLog: DecisionLog = {
	debug() {/* Discarded. */},
	info() {/* Discarded. */},
	warn() {/* Discarded. */},
};

const stretch = 1.6;
const slackMs = 60;
const deadlineMs = 1500;
const settleTimeMs = 5000;
/** Speeds of upstreams, assigned in rotation. */
const speeds = [0.8, 1, 1.25];

/** Number of entry VMs that choose pools. */
const entryCount = 7;

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
	/** Parts of the scheduling that are in use; by default, all. */
	readonly scheduling?: SchedulingOptions;
};

/**
 * Simulates arrivals.
 * @param arrivals - Arrivals in order of time.
 * @param upstreamCount - Number of upstreams; they have 16 cores, and every third has 24.
 * @param options - Pools.
 * @returns Results by kind of job.
 */
export async function simulatePool(arrivals: readonly Arrival[], upstreamCount: number, options: SimulationOptions = {}): Promise<Readonly<Record<string, KindResult>>> {
	const {poolCount = 1, isLending = true, dataCenterCount = poolCount} = options;
	const clock = new ManualClock();
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
		capacity: {cpu: position % 3 === 2 ? 24_000 : 16_000, memoryMb: 32_768, accelerators: 0},
	}));
	for (const [position, description] of descriptions.entries()) {
		upstreams.addUpstream(description).slowness = 1 / speeds[Math.floor(position / 3) % 3]!;
	}

	const deployment = new SimulatedPools({
		clock, log: silentLog, orders: upstreams, upstreams: descriptions, isLending, scheduling: options.scheduling,
	});
	const directories = Array.from({length: entryCount}, (_, position) => deployment.createDirectory(getDataCenter(pools[position % poolCount]!)));
	const results: Record<string, KindResult> = {};
	await clock.advance(300);
	const startedAt = clock.getMonotonicTime();
	for (const [position, arrival] of arrivals.entries()) {
		await clock.advance(startedAt + arrival.at - clock.getMonotonicTime());
		void run(position, arrival);
	}

	await clock.advance(settleTimeMs);
	return results;

	async function submit(job: SubmittedJob, directory: PoolDirectory, signal: AbortSignal): Promise<PoolJobOutcome> {
		let outcome: PoolJobOutcome = {kind: 'failed'};
		const triedPools = new Set<string>();
		while (triedPools.size < maxPoolsTried) {
			const view = choosePool(directory.getViews(), {cpu: getInitialCpu(job), isSinglePool: !isLending, triedPools}, random);
			if (view === undefined) {
				break;
			}

			triedPools.add(view.pool);
			directory.addSentJob(view.pool, job);
			const owner = deployment.getOwner(view.pool);
			outcome = await owner.submit(job, signal);
			directory.setLoad(view.pool, owner.getLoad());
			if (outcome.kind !== 'refused' || outcome.reason === 'deadline' || (outcome.reason === 'overloaded' && isLending && view.freeCpu < getInitialCpu(job))) {
				break;
			}
		}

		return outcome;
	}

	async function run(position: number, arrival: Arrival): Promise<void> {
		const id = `j${position}`;
		for (const [index, durationMs] of arrival.durations.entries()) {
			works.set(`${id}.0.0.${index}`, {arrival, durationMs});
		}

		const job = createJob(id, arrival);
		const arrivedAt = clock.getMonotonicTime();
		const controller = new AbortController();
		const timer = clock.setTimer(() => {
			controller.abort();
		}, deadlineMs);
		const outcome = await submit(job, directories[position % entryCount]!, controller.signal);
		timer.close();
		addResult(results[arrival.kind.name] ??= createResult(), outcome, clock.getMonotonicTime() - arrivedAt, getObjectiveMs(arrival));
	}
}

function createJob(id: string, {kind, taskCount, cpu, estimateMs}: Arrival): SubmittedJob {
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
		remainingMs: deadlineMs,
		priorFence: 0,
	};
}

function createResult(): KindResult {
	return {
		submitted: 0, inTime: 0, late: 0, refused: 0, refusedLate: 0, failed: 0,
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
		result.refusedLate += Number(totalMs > objectiveMs / 4);
	} else {
		result.failed++;
	}
}
