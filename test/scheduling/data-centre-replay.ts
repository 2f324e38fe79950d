/**
 * Replays arrivals in three data centres against real routers and owners of pools with simulated upstreams. VMs know of other data centres only what their
 * links and the answers to their jobs tell them.
 */
import {createImmediateProgress, type PeerNetwork, type PeerRequest} from '../../src/connection/index.js';
import {
	type Candidate, CrashLedger, getPoolNames, PauseDetector, PoolDirectory, type PoolJobOutcome, PoolRouter, type RoutingCount, type SubmitRequest,
} from '../../src/pool/index.js';
import {defaultSchedulingOptions} from '../../src/scheduling/index.js';
import {createSeededRandom, sleep} from '../../src/seams/index.js';
import {ManualClock, SimulatedPools, SimulatedUpstreams} from '../../src/testing/index.js';
import {type Arrival, createArrivals, type JobKind} from '../../bench/pool/load-pattern.js';
import {silentLog} from '../pool/pool-harness.js';

/** One replay. */
export type ReplayOptions = {
	readonly balancesDataCentres: boolean;
	readonly durationMs?: number;
	readonly seed?: number;
	/** Gets the demand of a data centre at a time, as a share of the usable capacity of one. */
	readonly getDemand: (dataCenter: number, at: number) => number;
	/** Loss of a share of the upstreams of the first data centre during a period. */
	readonly loss?: {readonly from: number; readonly to: number; readonly share: number};
};

/** Jobs of one group. */
export type ReplayGroup = {submitted: number; inTime: number; late: number; refused: number; refusedLate: number};

/** Result of a replay by route, size decile and data centre. */
export type ReplayResult = {
	readonly all: ReplayGroup;
	readonly byRoute: ReadonlyMap<string, ReplayGroup>;
	readonly byDecile: ReadonlyMap<string, ReplayGroup>;
	readonly byDataCenter: ReadonlyMap<string, ReplayGroup>;
	/** Jobs refused while another data centre had capacity for their first tasks, by the data centre of their callers. */
	readonly refusedBesideRoom: ReadonlyMap<string, number>;
	readonly doubleRuns: number;
	readonly submissions: number;
	readonly counts: readonly RoutingCount[];
};

const dataCenters = ['dc0', 'dc1', 'dc2'];
const poolsPerDataCenter = 5;
const upstreamsPerDataCenter = 30;
const vmsPerDataCenter = 8;
const linksPerPair = 3;
const speeds = [0.8, 1, 1.25];
const localHeartbeatMs = 200;
const remoteHeartbeatMs = 500;
const localLatencyMs = 0.2;
const remoteLatencyMs = 0.7;
const stretch = 1.6;
const slackMs = 60;
const deadlineMs = 1517;
const settleMs = 4000;

/** Rates at which the jobs take three quarters of the cores of one data centre: tasks need half an upstream, so that the rest is lost. */
const kinds: readonly JobKind[] = [
	{
		name: 'wide', perSecond: 22, meanTasks: 8, maxTasks: 32, meanMs: 60, priority: 0, maxAttempts: 3,
	},
	{
		name: 'long', perSecond: 4.3, meanTasks: 4, maxTasks: 16, meanMs: 900, priority: 2, maxAttempts: 2,
	},
	{
		name: 'small', perSecond: 66, meanTasks: 2, maxTasks: 8, meanMs: 200, priority: 1, maxAttempts: 3,
	},
];

/**
 * Replays the arrivals of a demand.
 * @param options - Demand, loss and the decision in use.
 */
export async function replay({balancesDataCentres, durationMs = 8000, seed = 1, getDemand, loss}: ReplayOptions): Promise<ReplayResult> {
	const clock = new ManualClock();
	const works = new Map<string, {readonly arrival: Arrival; readonly durationMs: number}>();
	const upstreams = new SimulatedUpstreams({
		clock,
		getWork(task) {
			const {arrival, durationMs: taskMs} = works.get(task)!;
			return {needs: {cpu: arrival.cpu, memoryMb: 64, accelerators: 0}, durationMs: taskMs};
		},
	});
	const pools = dataCenters.flatMap(name => getPoolNames(name, poolsPerDataCenter));
	const descriptions = pools.flatMap((pool, poolPosition) => Array.from({length: upstreamsPerDataCenter / poolsPerDataCenter}, (_, position) => ({
		id: `u${poolPosition}-${position}`, bornMs: 1, address: `u${poolPosition}-${position}`, dataCenter: pool, service: 's', rack: 'r', labels: [], isLeaving: false,
		capacity: {cpu: position % 3 === 2 ? 20_400 : 13_600, memoryMb: 32_768, accelerators: 0},
	})));
	const faults = descriptions.map(description => upstreams.addUpstream(description));
	for (const [position, fault] of faults.entries()) {
		fault.slowness = 1 / speeds[Math.floor(position / 3) % speeds.length]!;
	}

	const deployment = new SimulatedPools({
		clock, log: silentLog, orders: upstreams, upstreams: descriptions,
	});
	const candidates: readonly Candidate[] = pools.map((pool, position) => ({
		id: pool, dataCenter: pool.split('#')[0]!, cores: 1, isUp: true, isLeaving: false, claims: {[pool]: position + 1},
	}));
	const random = createSeededRandom(seed);
	let submissions = 0;
	const vms = dataCenters.flatMap(dataCenter => Array.from({length: vmsPerDataCenter}, (_, position) => createVm(dataCenter, position)));
	const result = {
		all: createGroup(), byRoute: new Map<string, ReplayGroup>(), byDecile: new Map<string, ReplayGroup>(), byDataCenter: new Map<string, ReplayGroup>(),
		refusedBesideRoom: new Map<string, number>(),
	};

	await clock.advance(600);
	const startedAt = clock.getMonotonicTime();
	if (loss !== undefined) {
		setLost(loss.from, true);
		setLost(loss.to, false);
	}

	const arrivals = dataCenters.flatMap((name, position) => createArrivals({
		kinds, durationMs, getFactor: at => getDemand(position, at), random: createSeededRandom((seed * 10) + position),
	}).map(arrival => ({dataCenter: name, arrival}))).toSorted((a, b) => a.arrival.at - b.arrival.at);
	const works10 = arrivals.map(({arrival}) => getWorkOf(arrival)).toSorted((a, b) => a - b);
	for (const [position, {dataCenter, arrival}] of arrivals.entries()) {
		await clock.advance(startedAt + arrival.at - clock.getMonotonicTime());
		void run(position, dataCenter, arrival);
	}

	await clock.advance(settleMs);
	return {
		...result, doubleRuns: upstreams.getDoubleRuns().length, submissions, counts: vms.flatMap(({router}) => router.counts.getCounts()),
	};

	function setLost(at: number, isLost: boolean): void {
		clock.setTimer(() => {
			for (const [position, description] of descriptions.entries()) {
				const inFirst = description.dataCenter.startsWith(`${dataCenters[0]}#`);
				if (inFirst && (position % 10) / 10 < loss!.share) {
					faults[position]!.isCutOff = isLost;
				}
			}
		}, at);
	}

	function createVm(dataCenter: string, position: number): {readonly dataCenter: string; readonly router: PoolRouter} {
		const directory = new PoolDirectory({
			clock, selfId: `${dataCenter}-vm${position}`, dataCenter, getPools: () => pools, getCandidates: () => candidates,
		});
		const listen = (pool: string, intervalMs: number): void => {
			const index = pools.indexOf(pool);
			clock.setTimer(() => {
				clock.setRepeatingTimer(() => {
					directory.addClaims({[pool]: {fence: index + 1, load: deployment.getOwner(pool).getLoad()}});
				}, intervalMs);
			}, intervalMs * random.getFloat());
		};

		for (const pool of pools) {
			const isLocal = pool.startsWith(`${dataCenter}#`);
			if (isLocal) {
				listen(pool, localHeartbeatMs);
			} else if (position < linksPerPair && pool.includes(`#${position}/`)) {
				listen(pool, remoteHeartbeatMs);
			}
		}

		const request = async (ownerId: string, {body}: PeerRequest, signal?: AbortSignal): Promise<unknown> => {
			submissions++;
			const latencyMs = ownerId.startsWith(`${dataCenter}#`) ? localLatencyMs : remoteLatencyMs;
			const {pool, job} = body as SubmitRequest;
			await sleep(clock, latencyMs);
			const owner = deployment.getOwner(pool);
			const outcome = await owner.submit({...job, ageMs: job.ageMs + latencyMs, remainingMs: job.remainingMs - latencyMs}, signal);
			const load = owner.getLoad();
			await sleep(clock, latencyMs);
			return {kind: 'answered', body: {outcome, load}};
		};

		const router = new PoolRouter({
			clock, random, log: silentLog, selfId: `${dataCenter}-vm${position}`, dataCenter, directory,
			peers: {request} as unknown as PeerNetwork,
			inputProgress: createImmediateProgress(clock),
			ledger: new CrashLedger(clock),
			getOwner: () => undefined,
			hasReachableVm: () => true,
			hasCededPools: () => false,
			pauses: new PauseDetector({clock}),
			scheduling: {...defaultSchedulingOptions, balancesDataCentres},
		});
		return {dataCenter, router};
	}

	async function run(position: number, dataCenter: string, arrival: Arrival): Promise<void> {
		const id = `j${position}`;
		for (const [index, taskMs] of arrival.durations.entries()) {
			works.set(`${id}.0.0.${index}`, {arrival, durationMs: taskMs});
		}

		const local = vms.filter(vm => vm.dataCenter === dataCenter);
		const {router} = local[position % local.length]!;
		const {kind, taskCount, cpu, estimateMs} = arrival;
		const arrivedAt = clock.getMonotonicTime();
		const controller = new AbortController();
		const timer = clock.setTimer(() => {
			controller.abort();
		}, deadlineMs);
		const outcome = await router.submit({
			id, spec: '', steps: [{
				taskCount, needs: {cpu, memoryMb: 64, accelerators: 0}, estimateMs, after: [],
			}],
			rules: {
				route: kind.name, service: 's', priority: kind.priority, maxAttempts: kind.maxAttempts, stretch, slackMs,
			},
		}, deadlineMs, controller.signal);
		timer.close();
		const decile = Math.floor(works10.indexOf(getWorkOf(arrival)) * 10 / works10.length);
		const totalMs = clock.getMonotonicTime() - arrivedAt;
		const objectiveMs = (stretch * Math.max(...arrival.durations)) + slackMs;
		for (const group of [result.all, getGroup(result.byRoute, kind.name), getGroup(result.byDecile, `${decile}`), getGroup(result.byDataCenter, dataCenter)]) {
			addOutcome(group, outcome, totalMs, objectiveMs);
		}

		const hasRoomElsewhere = dataCenters.some(other => other !== dataCenter && getFreeCpu(other) >= 2 * taskCount * cpu);
		if (outcome.kind === 'refused' && hasRoomElsewhere) {
			result.refusedBesideRoom.set(dataCenter, (result.refusedBesideRoom.get(dataCenter) ?? 0) + 1);
		}
	}

	function getFreeCpu(dataCenter: string): number {
		return pools.filter(pool => pool.startsWith(`${dataCenter}#`)).reduce((sum, pool) => sum + deployment.getOwner(pool).getLoad().freeCpu, 0);
	}
}

function getWorkOf({durations, cpu}: Arrival): number {
	return durations.reduce((sum, durationMs) => sum + durationMs, 0) * cpu;
}

function createGroup(): ReplayGroup {
	return {
		submitted: 0, inTime: 0, late: 0, refused: 0, refusedLate: 0,
	};
}

function getGroup(groups: Map<string, ReplayGroup>, name: string): ReplayGroup {
	const group = groups.get(name) ?? createGroup();
	groups.set(name, group);
	return group;
}

function addOutcome(group: ReplayGroup, {kind}: PoolJobOutcome, totalMs: number, objectiveMs: number): void {
	group.submitted++;
	group.inTime += Number(kind === 'completed' && totalMs <= objectiveMs);
	group.late += Number(kind === 'completed' && totalMs > objectiveMs && totalMs <= 3 * objectiveMs);
	group.refused += Number(kind === 'refused');
	group.refusedLate += Number(kind === 'refused' && totalMs > objectiveMs / 4);
}

/**
 * Gets the share of a group that was served in time.
 * @param group - Jobs.
 */
export function getShare({inTime, submitted}: ReplayGroup): number {
	return inTime / Math.max(1, submitted);
}
