/**
 * Measures the cost of running a job at most once for three ways of choosing the process that starts it: the coordinator in the
 * id, reached directly or through another entry VM, or a record written to the platform's store before the start.
 */
import process from 'node:process';
import {build, type Histogram} from 'hdr-histogram-js';
import {createLocalCluster, type LocalCluster} from '../src/lab/index.js';
import {createEtcdPlatform, type Platform} from '../src/platform/index.js';
import {writeResults} from './support/results.js';

const jobsPerRound = 1000;
const roundCount = 5;
/** Number of tasks of a typical job. */
const tasksPerJob = 10;
const concurrency = 8;
/** Duration of a synced write in the store. */
const storeWriteMs = 5;
/** Writes per second that the users' store sustains. */
const storeWritesPerSecond = 300;
const targetStartsPerSecond = 33_000;
const microsecondsPerMillisecond = 1000;

/** Measurements of one variant. */
type VariantResult = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly cpuUsPerJob: number;
	readonly storeCallsPerJob: number;
	readonly peerMessagesPerJob: number;
	readonly peerBytesPerJob: number;
};

type SubmitOne = (index: number) => Promise<void>;

/** One variant; the rounds of all variants are interleaved. */
type Variant = {
	readonly name: string;
	readonly submitOne: SubmitOne;
	/** Delay of each store call during the measurement, in milliseconds. */
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
	const variants = [
		createVariant('direct', 0, async index => submit(owner, token, `direct-${index}`)),
		createVariant('forwarded', 0, async index => submit(other, token, `forwarded-${index}`)),
		createVariant('recorded', storeWriteMs, async index => {
			await writeRecord(platform, index);
			await submit(owner, token, `recorded-${index}`);
		}),
	];
	for (let round = 0; round < roundCount; round++) {
		for (const variant of variants) {
			await measureRound(cluster, variant, round);
		}
	}

	await writeFigures(variants);
	await platform.close();
	await cluster.close();
}

async function writeFigures(variants: readonly Variant[]): Promise<void> {
	const results = Object.fromEntries(variants.map(variant => [variant.name, getResult(variant)]));
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

function createVariant(name: string, storeDelayMs: number, submitOne: SubmitOne): Variant {
	return {
		name, storeDelayMs, submitOne, times: build({numberOfSignificantValueDigits: 3}), cpuUs: 0, storeCalls: 0, peerMessages: 0, peerBytes: 0,
	};
}

/** Writes a job record to the store, as a design without a coordinator would do before the start. */
async function writeRecord(platform: Platform, index: number): Promise<void> {
	const written = await platform.compareAndSwap(`/records/${index}`, 'started', 0);
	if (!written.ok) {
		throw new Error(`record ${index}: ${written.detail}`);
	}
}

/** Measures one round of a variant; round 0 is the warm-up. */
async function measureRound(cluster: LocalCluster, variant: Variant, round: number): Promise<void> {
	await cluster.platform.setFault({delayMs: variant.storeDelayMs});
	const times = build({numberOfSignificantValueDigits: 3});
	const storeCalls = cluster.platform.getCallCount();
	const traffic = getJobTraffic(cluster);
	const cpu = process.cpuUsage();
	await runAll(jobsPerRound, async index => recordTime(times, async () => variant.submitOne((round * jobsPerRound) + index)));
	const {user, system} = process.cpuUsage(cpu);
	const trafficAfter = getJobTraffic(cluster);
	await cluster.platform.setFault({});
	if (round === 0) {
		return;
	}

	variant.times.add(times);
	variant.cpuUs += user + system;
	variant.storeCalls += cluster.platform.getCallCount() - storeCalls;
	variant.peerMessages += trafficAfter.messages - traffic.messages;
	variant.peerBytes += trafficAfter.bytes - traffic.bytes;
}

function getResult(variant: Variant): VariantResult {
	const jobs = jobsPerRound * (roundCount - 1);
	return {
		p50Ms: variant.times.getValueAtPercentile(50) / microsecondsPerMillisecond,
		p99Ms: variant.times.getValueAtPercentile(99) / microsecondsPerMillisecond,
		cpuUsPerJob: variant.cpuUs / jobs,
		storeCallsPerJob: Math.round(variant.storeCalls / jobs),
		peerMessagesPerJob: variant.peerMessages / jobs,
		peerBytesPerJob: variant.peerBytes / jobs,
	};
}

async function recordTime(times: Histogram, operation: () => Promise<void>): Promise<void> {
	const startedAt = performance.now();
	await operation();
	times.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMillisecond));
}

async function runAll(count: number, operation: (index: number) => Promise<void>): Promise<void> {
	let next = 0;
	await Promise.all(Array.from({length: concurrency}, async () => {
		while (next < count) {
			const index = next;
			next++;
			await operation(index);
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

function print(results: Readonly<Record<string, VariantResult>>): void {
	for (const [name, {p50Ms, p99Ms, cpuUsPerJob, storeCallsPerJob, peerMessagesPerJob, peerBytesPerJob}] of Object.entries(results)) {
		const times = `p50 ${p50Ms.toFixed(2)} ms, p99 ${p99Ms.toFixed(2)} ms, ${cpuUsPerJob.toFixed(0)} us of processor time`;
		const calls = `${storeCallsPerJob} store calls, ${peerMessagesPerJob.toFixed(2)} peer messages, ${peerBytesPerJob.toFixed(0)} peer bytes per job`;
		process.stdout.write(`${name.padEnd(10)} ${times}, ${calls}\n`);
	}
}
