/**
 * Measures the cost of the links between entry VMs: control traffic and processor time by number of entry VMs and of data
 * centres, and requests between two entry VMs.
 */
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	createPeerMesh, type PeerMesh, type PeerMeshOptions, type TrafficCounts,
} from '../src/connection/index.js';
import {sleep, systemClock} from '../src/seams/index.js';
import {writeResults} from './support/results.js';

/** Options of {@link measurePeers}. */
export type PeersBenchOptions = {
	readonly entryVmCounts?: readonly number[];
	readonly dataCenterCounts?: readonly number[];
	/** Duration of the measurement of control traffic, in milliseconds. */
	readonly windowMs?: number;
	/** Number of requests in each measurement of requests. */
	readonly requestCount?: number;
};

/** Cost of control traffic for one entry VM. */
export type ControlFigures = {
	readonly entryVms: number;
	readonly dataCenters: number;
	readonly meanKilobytesPerSecond: number;
	readonly maxKilobytesPerSecond: number;
	readonly meanMessagesPerSecond: number;
	readonly cpuPercentOfCore: number;
	readonly heapMegabytes: number;
};

/** Cost of requests between two entry VMs that share a process. */
export type RequestFigures = {
	readonly bodyBytes: number;
	readonly concurrency: number;
	readonly requestsPerSecond: number;
	/** Processor time of both ends together. */
	readonly cpuMicrosecondsPerRequest: number;
};

/** Result of {@link measurePeers}. */
export type PeersReport = {
	readonly control: readonly ControlFigures[];
	readonly requests: readonly RequestFigures[];
};

const defaults = {
	entryVmCounts: [3, 7, 14, 28], dataCenterCounts: [2, 5], windowMs: 5000, requestCount: 40_000,
} as const satisfies PeersBenchOptions;

setFlagsFromString('--expose-gc');

const collectGarbage = runInNewContext('gc') as () => void;

const settleMs = 3000;
const garbageSettleMs = 1000;
const kilobyte = 1000;
const megabyte = 1_000_000;

/**
 * Measures the links between entry VMs that share this process.
 * @param options - What to measure.
 */
export async function measurePeers(options: PeersBenchOptions = {}): Promise<PeersReport> {
	const settings = {...defaults, ...options};
	// The first meshes include the cost of loading code, so their measurement is discarded.
	await measureControl(2, 1, 0);
	const control: ControlFigures[] = [];
	for (const dataCenters of settings.dataCenterCounts) {
		for (const entryVms of settings.entryVmCounts) {
			control.push(await measureControl(entryVms, dataCenters, settings.windowMs));
		}
	}

	const requests: RequestFigures[] = [];
	for (const [bodyBytes, concurrency] of [[200, 1], [200, 64], [20_000, 64]] as const) {
		requests.push(await measureRequests(bodyBytes, concurrency, settings.requestCount));
	}

	return {control, requests};
}

async function measureControl(entryVms: number, dataCenters: number, windowMs: number): Promise<ControlFigures> {
	// The memory of the previous meshes is released first.
	await sleep(systemClock, garbageSettleMs);
	const heapBefore = getHeapBytes();
	const meshes = await createMeshes(entryVms, dataCenters);
	await sleep(systemClock, settleMs);
	const trafficBefore = meshes.map(mesh => mesh.getTraffic().control);
	const cpuBefore = process.cpuUsage();
	const start = systemClock.getMonotonicTime();
	await sleep(systemClock, windowMs);
	const cpu = process.cpuUsage(cpuBefore);
	const elapsedMs = systemClock.getMonotonicTime() - start;
	const used = meshes.map((mesh, index) => subtract(mesh.getTraffic().control, trafficBefore[index]!));
	const heapBytes = getHeapBytes() - heapBefore;
	await closeAll(meshes);
	const bytes = used.map(({bytesSent, bytesReceived}) => bytesSent + bytesReceived);
	const messages = used.map(({messagesSent, messagesReceived}) => messagesSent + messagesReceived);
	const seconds = elapsedMs / 1000;
	return {
		entryVms,
		dataCenters,
		meanKilobytesPerSecond: round(getMean(bytes) / kilobyte / seconds),
		maxKilobytesPerSecond: round(Math.max(...bytes) / kilobyte / seconds),
		meanMessagesPerSecond: round(getMean(messages) / seconds),
		cpuPercentOfCore: round((cpu.user + cpu.system) / 10 / elapsedMs / entryVms),
		heapMegabytes: round(heapBytes / megabyte / entryVms),
	};
}

async function measureRequests(bodyBytes: number, concurrency: number, requestCount: number): Promise<RequestFigures> {
	const [first, second] = await createMeshes(2, 1);
	const body = 'x'.repeat(bodyBytes);
	const [{incarnation}] = first!.getMembers() as [ReturnType<PeerMesh['getMembers']>[number]];
	const sendRequests = async (count: number): Promise<void> => {
		for (let sent = 0; sent < count; sent++) {
			const outcome = await first!.request(incarnation.id, {topic: 'bench', body});
			if (outcome.kind !== 'answered') {
				throw new Error(`a request ended with ${outcome.kind}: ${outcome.detail}`);
			}
		}
	};

	const sendAllRequests = async (count: number): Promise<void> => {
		await Promise.all(Array.from({length: concurrency}, async () => sendRequests(Math.ceil(count / concurrency))));
	};

	await sendAllRequests(requestCount / 10);
	const cpuBefore = process.cpuUsage();
	const start = systemClock.getMonotonicTime();
	await sendAllRequests(requestCount);
	const elapsedMs = systemClock.getMonotonicTime() - start;
	const cpu = process.cpuUsage(cpuBefore);
	await closeAll([first!, second!]);
	return {
		bodyBytes,
		concurrency,
		requestsPerSecond: Math.round(requestCount / elapsedMs * 1000),
		cpuMicrosecondsPerRequest: round((cpu.user + cpu.system) / requestCount),
	};
}

async function createMeshes(entryVms: number, dataCenters: number): Promise<readonly PeerMesh[]> {
	const meshes: PeerMesh[] = [];
	for (let index = 0; index < entryVms; index++) {
		const seeds = meshes.slice(0, 1).map(mesh => mesh.getAddress());
		meshes.push(await createPeerMesh(createOptions(index, dataCenters, seeds)));
	}

	await Promise.all(meshes.map(async mesh => waitForPeers(mesh, entryVms - 1)));
	return meshes;
}

async function waitForPeers(mesh: PeerMesh, count: number): Promise<void> {
	await mesh.getMemberStream().filter(members => members.filter(({state}) => state === 'up').length === count).take(1).drain();
}

function createOptions(index: number, dataCenters: number, seeds: readonly string[]): PeerMeshOptions {
	const vm = `vm-${index}`;
	let heartbeatCount = 0;
	return {
		deployment: 'bench',
		key: 'a key for the measurement',
		self: {dataCenter: `dc-${index % dataCenters}`, vm, id: `${vm}-0123456789ab`},
		listenAddress: '127.0.0.1:0',
		seeds,
		// The load of a busy scheduler, which differs in each heartbeat.
		getHeartbeat: () => ({
			configurationVersion: 1, isLeaving: false, load: {queuedTasks: ++heartbeatCount, runningTasks: 96, teams: {sales: [12, 40], floor: [8, 22]}},
		}),
		onRequest: async ({body}) => body,
	};
}

async function closeAll(meshes: readonly PeerMesh[]): Promise<void> {
	await Promise.all(meshes.map(async mesh => mesh.close()));
}

type MessageCounts = Omit<TrafficCounts, 'sentByKind' | 'writes'>;

function subtract(after: MessageCounts, before: MessageCounts): MessageCounts {
	return {
		bytesSent: after.bytesSent - before.bytesSent,
		bytesReceived: after.bytesReceived - before.bytesReceived,
		messagesSent: after.messagesSent - before.messagesSent,
		messagesReceived: after.messagesReceived - before.messagesReceived,
	};
}

function getHeapBytes(): number {
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

function getMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

/** Runs the measurement. */
export async function run(): Promise<void> {
	const {control, requests} = await measurePeers();
	console.table(control);
	console.table(requests);
	await writeResults('peers', {control, requests});
}

if (process.argv[1] !== undefined && import.meta.url === pathToFileURL(process.argv[1]).href) {
	await run();
}
