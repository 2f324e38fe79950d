/**
 * Measures memory and processor time of an entry VM per upstream, team, held job, kept record and task start, as slopes over
 * several sizes. The cost per peer is measured by `peers`.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {type ListedUpstream} from '../src/platform/index.js';
import {createEntryVm, type EntryVm} from '../src/process/index.js';
import {sleep, systemClock} from '../src/seams/index.js';
import {createUpstreamWorker} from '../src/testing/index.js';
import {runDriver} from './support/driver.js';
import {createFixedPlatform} from './support/fixed-platform.js';
import {fitLine, type Line} from './support/line-fit.js';
import {writeResults} from './support/results.js';
import {getMainThreadCpuUs} from './support/thread-cpu.js';
import {workerExecArgv} from './support/worker-exec-argv.js';

/** Cost of an entry VM at one size. */
type Cost = {
	readonly size: number;
	readonly heapBytes: number;
	readonly cpuUsPerSecond: number;
};

/** Costs by size, with the lines fitted to them. */
type CostLines = {
	readonly costs: readonly Cost[];
	readonly heapBytes: Line;
	readonly cpuUsPerSecond: Line;
};

/** Cost of task starts at one rate. */
type StartCost = {
	readonly concurrency: number;
	readonly startsPerSecond: number;
	readonly cpuUsPerSecond: number;
	readonly failed: number;
};

/** Upstreams and teams of a measured entry VM. */
type EntryVmContent = {
	readonly upstreams: readonly ListedUpstream[];
	readonly teams?: number;
};

const deployment = 'capacity';
const dataCenter = 'dc1';
const service = 'seats';
const anyPort = '127.0.0.1:0';
/** Address without a listener, for upstreams that get no task. */
const unusedAddress = '127.0.0.1:9';
const idleMs = 4000;
const settleMs = 500;
const tasksPerJob = 10;
const startTasksPerJob = 20;
const startRunMs = 20;
const workerCount = 3;
const slotsPerWorker = 64;
const startMs = 3000;
const upstreamCounts = [35, 176, 440, 880];
const teamCounts = [0, 28, 280];
const heldCounts = [0, 1000, 2000, 4000];
const recordCounts = [0, 2000, 4000, 8000];
const startConcurrencies = [1, 2, 4, 8];

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Runs the measurement. */
export async function run(): Promise<void> {
	// The first entry VM includes the cost of loading code, so its measurement is discarded.
	await measureIdle({upstreams: createUpstreams(35)}, 35);
	const perUpstream = await measureAll(upstreamCounts, async size => measureIdle({upstreams: createUpstreams(size)}, size));
	print('upstream', perUpstream);
	const perTeam = await measureAll(teamCounts, async size => measureIdle({upstreams: createUpstreams(35), teams: size}, size));
	print('team', perTeam);
	const perJobHeld = await measureAll(heldCounts, measureHeld);
	print(`job held (${tasksPerJob} tasks)`, perJobHeld);
	const perRecord = await measureAll(recordCounts, measureRecords);
	print(`record kept (${tasksPerJob} answers)`, perRecord);
	const starts = await measureStarts();
	const perStart = fitLine(starts.map(({cpuUsPerSecond, startsPerSecond}) => ({size: startsPerSecond, value: cpuUsPerSecond})));
	process.stdout.write(`start: ${perStart.slope.toFixed(1)} us\n`);
	await writeResults('entry-vm-cost', {
		tasksPerJob, perUpstream, perTeam, perJobHeld, perRecord, starts, perStart,
	});
}

async function measureAll(sizes: readonly number[], measure: (size: number) => Promise<Cost>): Promise<CostLines> {
	const costs: Cost[] = [];
	for (const size of sizes) {
		costs.push(await measure(size));
	}

	return {
		costs,
		heapBytes: fitLine(costs.map(({heapBytes, size}) => ({size, value: heapBytes}))),
		cpuUsPerSecond: fitLine(costs.map(({cpuUsPerSecond, size}) => ({size, value: cpuUsPerSecond}))),
	};
}

async function measureIdle(content: EntryVmContent, size: number): Promise<Cost> {
	const heapBefore = getHeapBytes();
	const entryVm = await startEntryVm(content);
	return finishMeasurement(entryVm, heapBefore, size);
}

/** Measures waiting jobs: some of their tasks run on an upstream that never answers. */
async function measureHeld(size: number): Promise<Cost> {
	const worker = createUpstreamWorker({execArgv: workerExecArgv});
	await worker.setFaults({mode: 'silent'});
	const heapBefore = getHeapBytes();
	const entryVm = await startEntryVm({
		upstreams: [{
			...createUpstream(0), address: await worker.getAddress(), slots: 100, connections: 100,
		}],
	});
	const body = createJobBody(tasksPerJob, 0);
	for (let index = 0; index < size; index++) {
		await createJob(entryVm, body, 0);
	}

	const held = entryVm.getStatus().jobsInProgress;
	if (held !== size) {
		throw new Error(`${held} of ${size} jobs are held`);
	}

	const cost = await finishMeasurement(entryVm, heapBefore, size);
	await worker.close();
	return cost;
}

/** Measures the records of answered jobs. */
async function measureRecords(size: number): Promise<Cost> {
	const worker = createUpstreamWorker({execArgv: workerExecArgv});
	const heapBefore = getHeapBytes();
	const entryVm = await startEntryVm({
		upstreams: [{
			...createUpstream(0), address: await worker.getAddress(), slots: 64, connections: 64,
		}],
	});
	const body = createJobBody(tasksPerJob, 0);
	for (let index = 0; index < size; index += 10) {
		await Promise.all(Array.from({length: 10}, async () => createJob(entryVm, body)));
	}

	const cost = await finishMeasurement(entryVm, heapBefore, size);
	await worker.close();
	return cost;
}

async function measureStarts(): Promise<readonly StartCost[]> {
	const workers = Array.from({length: workerCount}, () => createUpstreamWorker({execArgv: workerExecArgv}));
	const upstreams = await Promise.all(workers.map(async (worker, index) => ({
		...createUpstream(index), address: await worker.getAddress(), slots: slotsPerWorker, connections: slotsPerWorker,
	})));
	const entryVm = await startEntryVm({upstreams});
	const costs: StartCost[] = [];
	for (const concurrency of startConcurrencies) {
		const cpuUs: number[] = [];
		const {completed, failed, seconds} = await runDriver({
			address: entryVm.getCallerAddress(),
			method: 'POST',
			path: '/v1/jobs',
			headers: {'content-type': 'application/json'},
			body: createJobBody(startTasksPerJob, startRunMs),
			concurrency,
			warmUpMs: settleMs,
			measureMs: startMs,
		}, async () => {
			cpuUs.push(await getMainThreadCpuUs());
		});
		costs.push({
			concurrency, failed, startsPerSecond: completed * startTasksPerJob / seconds, cpuUsPerSecond: (cpuUs[1]! - cpuUs[0]!) / seconds,
		});
	}

	await entryVm.abort();
	await Promise.all(workers.map(async worker => worker.close()));
	return costs;
}

async function startEntryVm({teams = 0, upstreams}: EntryVmContent): Promise<EntryVm> {
	const declarations = {
		profiles: {p: {maxQueuedTasks: 1_000_000, defaultDeadlineMs: 600_000, taskTimeoutMs: 30_000}},
		services: {[service]: {profile: 'p'}},
		teams: Object.fromEntries(Array.from({length: teams}, (_value, index) => [`team${index}`, {maxSlots: 100, startsPerSecond: 1000}])),
	};
	const entryVm = await createEntryVm({
		deployment,
		dataCenter,
		vm: 'e1',
		callerAddress: anyPort,
		operatorAddress: anyPort,
		peerAddress: anyPort,
		peerKey: 'the key of the measurement',
		platform: createFixedPlatform(deployment, upstreams, declarations),
		limits: {records: {maxRecordsPerPeriod: 1_000_000}},
	});
	const {configuration, vmList} = entryVm.getComponents();
	await configuration.getStream().filter(({version}) => version > 0).take(1).drain();
	await vmList.getStream().filter(list => list.upstreams.length === upstreams.length).take(1).drain();
	return entryVm;
}

async function createJob(entryVm: EntryVm, body: string, waitMs?: number): Promise<void> {
	await entryVm.getComponents().router.performNewOperation({kind: 'create', content: {kind: 'job', body: Buffer.from(body)}, waitMs});
}

async function finishMeasurement(entryVm: EntryVm, heapBefore: number, size: number): Promise<Cost> {
	await sleep(systemClock, settleMs);
	const heapBytes = getHeapBytes() - heapBefore;
	const [cpuBefore, timeBefore] = [await getMainThreadCpuUs(), performance.now()];
	await sleep(systemClock, idleMs);
	const seconds = (performance.now() - timeBefore) / 1000;
	const cpuUsPerSecond = (await getMainThreadCpuUs() - cpuBefore) / seconds;
	await entryVm.getComponents().runner.abortJobs('the measurement has ended');
	await entryVm.abort();
	return {size, heapBytes, cpuUsPerSecond};
}

function getHeapBytes(): number {
	collectGarbage();
	collectGarbage();
	const {arrayBuffers, heapUsed} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

function createUpstreams(count: number): readonly ListedUpstream[] {
	return Array.from({length: count}, (_value, index) => createUpstream(index));
}

function createUpstream(index: number): ListedUpstream {
	return {
		kind: 'upstream',
		name: `u${index}`,
		dataCenter,
		state: 'live',
		service,
		address: unusedAddress,
		slots: 8,
		connections: 64,
		cores: 16,
		memoryMb: 32_768,
		accelerators: 1,
		rack: `r${Math.floor(index / 8)}`,
	};
}

function createJobBody(tasks: number, runMs: number): string {
	return JSON.stringify({service, tasks: Array.from({length: tasks}, (_value, index) => ({path: '/run', headers: {'x-task-id': `t/${index}`, 'x-run-ms': String(runMs)}}))});
}

function print(name: string, {cpuUsPerSecond, heapBytes}: CostLines): void {
	process.stdout.write(`${name}: ${heapBytes.slope.toFixed(0)} bytes, ${cpuUsPerSecond.slope.toFixed(2)} us/s; `
		+ `none: ${(heapBytes.base / 1e6).toFixed(2)} MB, ${cpuUsPerSecond.base.toFixed(0)} us/s\n`);
}
