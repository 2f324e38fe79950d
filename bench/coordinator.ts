/**
 * What it costs to run a job at most once, by the way in which the one process that starts it is found: the coordinator named
 * in the id, reached directly or through another entry VM, or a record in the platform's store before the start.
 */
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {createLocalCluster, type LocalCluster} from '../src/lab/index.js';
import {createEtcdPlatform, type Platform} from '../src/platform/index.js';
import {writeResults} from './support/results.js';

const jobsPerRound = 1000;
const roundCount = 5;
/** Tasks of a typical job. */
const tasksPerJob = 10;
const concurrency = 8;
/** Time of a synced write in the store. */
const storeWriteMs = 5;
/** Writes a second that the users' store takes. */
const storeWritesPerSecond = 300;
const targetStartsPerSecond = 33_000;
const microsecondsPerMillisecond = 1000;

/** Figures of one way. */
type WayResult = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly cpuUsPerJob: number;
	readonly storeCallsPerJob: number;
	readonly peerMessagesPerJob: number;
	readonly peerBytesPerJob: number;
};

type SubmitOne = (index: number) => Promise<void>;

/** One way, measured in turns with the others. */
type Way = {
	readonly name: string;
	readonly submitOne: SubmitOne;
	/** Time that each call of the store takes meanwhile, in milliseconds. */
	readonly storeDelayMs: number;
	readonly times: Histogram;
	cpuUs: number;
	storeCalls: number;
	peerMessages: number;
	peerBytes: number;
};

/** Runs the measurement. */
export async function run(): Promise<void> {
	const cluster = await createLocalCluster({dataCenters: [{name: 'dc1', entryVms: 2, upstreams: 2}], slots: 64});
	const platform = createEtcdPlatform({endpoints: [cluster.platform.getUrl()], callsPerSecond: 1_000_000, callBurst: 1_000_000});
	const [owner, other] = cluster.getCallerAddresses() as [string, string];
	const token = await getToken(owner);
	const ways = [
		createWay('direct', 0, async index => submit(owner, token, `direct-${index}`)),
		createWay('forwarded', 0, async index => submit(other, token, `forwarded-${index}`)),
		createWay('recorded', storeWriteMs, async index => {
			await writeRecord(platform, index);
			await submit(owner, token, `recorded-${index}`);
		}),
	];
	for (let round = 0; round < roundCount; round++) {
		for (const way of ways) {
			await measureRound(cluster, way, round);
		}
	}

	await writeFigures(ways);
	await platform.close();
	await cluster.close();
}

async function writeFigures(ways: readonly Way[]): Promise<void> {
	const results = Object.fromEntries(ways.map(way => [way.name, getResult(way)]));
	print(results);
	const jobsPerSecond = storeWritesPerSecond / results.recorded!.storeCallsPerJob;
	await writeResults('coordinator', {
		jobs: jobsPerRound * (roundCount - 1),
		concurrency,
		storeWriteMs,
		ways: results,
		jobsPerSecondThatTheStoreTakes: jobsPerSecond,
		shareOfTheTargetWithJobsOfTenTasks: jobsPerSecond / (targetStartsPerSecond / tasksPerJob),
	});
}

function createWay(name: string, storeDelayMs: number, submitOne: SubmitOne): Way {
	return {
		name, storeDelayMs, submitOne, times: build({numberOfSignificantValueDigits: 3}), cpuUs: 0, storeCalls: 0, peerMessages: 0, peerBytes: 0,
	};
}

/** Writes a record of a job into the store, as a design without a coordinator would before the start. */
async function writeRecord(platform: Platform, index: number): Promise<void> {
	const written = await platform.compareAndSwap(`/records/${index}`, 'started', 0);
	if (!written.ok) {
		throw new Error(`record ${index}: ${written.detail}`);
	}
}

/** Measures one way for one round; the first round only warms up. */
async function measureRound(cluster: LocalCluster, way: Way, round: number): Promise<void> {
	await cluster.platform.setFault({delayMs: way.storeDelayMs});
	const times = build({numberOfSignificantValueDigits: 3});
	const storeCalls = cluster.platform.getCallCount();
	const traffic = getJobTraffic(cluster);
	const cpu = process.cpuUsage();
	await runAll(jobsPerRound, async index => recordTime(times, async () => way.submitOne((round * jobsPerRound) + index)));
	const {user, system} = process.cpuUsage(cpu);
	const trafficAfter = getJobTraffic(cluster);
	await cluster.platform.setFault({});
	if (round === 0) {
		return;
	}

	way.times.add(times);
	way.cpuUs += user + system;
	way.storeCalls += cluster.platform.getCallCount() - storeCalls;
	way.peerMessages += trafficAfter.messages - traffic.messages;
	way.peerBytes += trafficAfter.bytes - traffic.bytes;
}

function getResult(way: Way): WayResult {
	const jobs = jobsPerRound * (roundCount - 1);
	return {
		p50Ms: way.times.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99Ms: way.times.getValueAtPercentile(99) / microsecondsPerMillisecond,
		cpuUsPerJob: way.cpuUs / jobs,
		storeCallsPerJob: Math.round(way.storeCalls / jobs),
		peerMessagesPerJob: way.peerMessages / jobs,
		peerBytesPerJob: way.peerBytes / jobs,
	};
}

async function recordTime(times: Histogram, work: () => Promise<void>): Promise<void> {
	const startedAt = performance.now();
	await work();
	times.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMillisecond));
}

async function runAll(count: number, work: (index: number) => Promise<void>): Promise<void> {
	let next = 0;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (next < count) {
			const index = next;
			next++;
			await work(index);
		}
	}));
}

function getJobTraffic(cluster: LocalCluster): {readonly messages: number; readonly bytes: number} {
	const traffic = cluster.getEntryVms().map(entryVm => entryVm.getStatus().peerTraffic.job);
	return {
		messages: traffic.reduce((sum, {messagesSent}) => sum + messagesSent, 0),
		bytes: traffic.reduce((sum, {bytesSent}) => sum + bytesSent, 0),
	};
}

async function getToken(address: string): Promise<string> {
	const res = await fetch(`http://${address}/v1/coordinator`);
	const {coordinator} = await res.json() as {coordinator: string};
	return coordinator;
}

async function submit(address: string, token: string, key: string): Promise<void> {
	const body = JSON.stringify({service: 'demo', tasks: [{path: '/run'}]});
	const res = await fetch(`http://${address}/v1/jobs/${token}/${key}`, {method: 'PUT', body});
	const text = await res.text();
	if (res.status !== 200) {
		throw new Error(`${key}: ${res.status} ${text}`);
	}
}

function print(results: Readonly<Record<string, WayResult>>): void {
	for (const [name, {p50Ms, p99Ms, cpuUsPerJob, storeCallsPerJob, peerMessagesPerJob, peerBytesPerJob}] of Object.entries(results)) {
		const times = `p50 ${p50Ms.toFixed(2)} ms, p99 ${p99Ms.toFixed(2)} ms, ${cpuUsPerJob.toFixed(0)} us of processor time`;
		const calls = `${storeCallsPerJob} store calls, ${peerMessagesPerJob.toFixed(2)} peer messages, ${peerBytesPerJob.toFixed(0)} peer bytes a job`;
		process.stdout.write(`${name.padEnd(10)} ${times}, ${calls}\n`);
	}
}
