/**
 * Compares the upstream client with bare undici in the same run, and measures the cost of silent connections.
 * `npm run bench -- upstream` writes bench/results/upstream.json.
 */
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {Pool} from 'undici';
import {type UpstreamRequestOptions, createUpstreamClient} from '../src/connection/index.js';
import {type ListedUpstream, upstreamSchema} from '../src/platform/index.js';
import {writeResults} from './support/results.js';
import {getMainThreadCpuUs} from './support/thread-cpu.js';
import {workerExecArgv} from './support/worker-exec-argv.js';

type SendRequest = (upstream: ListedUpstream, signal: AbortSignal) => Promise<boolean>;

type Measurement = {
	readonly requestsPerSecond: number;
	/** Processor time of the main thread per request, in microseconds. */
	readonly cpuUsPerRequest: number;
};

const upstreamCount = 4;
const slotsPerUpstream = 8;
const roundCount = 7;
const requestsPerRound = 40_000;
const runOptions: UpstreamRequestOptions = {timeoutMs: 5000, notStartedStatuses: [503], idleConnectionMs: 4000};
const headers = [['content-type', 'application/json'], ['x-request-id', '0123456789abcdef']] as const;
const path = '/seats/hold?chair=17';

const burstCount = 10;
const burstSize = 200;
const pauseMs = 400;
const forgetIdleMs = 250;
const shortIdleMs = 150;
const longIdleMs = 60_000;
const silentTimeoutMs = 100;

function createWorker(forgetAfterMs: number): Worker {
	const extension = import.meta.url.slice(-2);
	return new Worker(new URL(`support/idle-silent-upstream-main.${extension}`, import.meta.url), {workerData: {forgetIdleMs: forgetAfterMs}, execArgv: [...workerExecArgv]});
}

async function startUpstreams(forgetAfterMs: number): Promise<{readonly upstreams: readonly ListedUpstream[]; readonly workers: readonly Worker[]}> {
	const workers = Array.from({length: upstreamCount}, () => createWorker(forgetAfterMs));
	const ports = await Promise.all(workers.map(async worker => {
		const [port] = await once(worker, 'message') as [number];
		return port;
	}));
	const upstreams = ports.map((port, index) => upstreamSchema.parse({
		kind: 'upstream', name: `upstream-${index}`, dataCenter: 'kolkata', state: 'live', service: 'seats', address: `127.0.0.1:${port}`, slots: slotsPerUpstream, connections: 64,
	}));
	return {upstreams, workers};
}

/** Sends requests with every slot of every upstream in use; returns the number of answered requests. */
async function sendAll(upstreams: readonly ListedUpstream[], send: SendRequest, count: number): Promise<number> {
	let remaining = count;
	let answered = 0;
	const {signal} = new AbortController();
	const runSlot = async (upstream: ListedUpstream): Promise<void> => {
		while (remaining > 0) {
			remaining--;
			const isAnswered = await send(upstream, signal);
			answered += isAnswered ? 1 : 0;
		}
	};

	await Promise.all(upstreams.flatMap(upstream => Array.from({length: slotsPerUpstream}, async () => runSlot(upstream))));
	return answered;
}

async function measureRound(upstreams: readonly ListedUpstream[], send: SendRequest): Promise<Measurement> {
	const startCpu = await getMainThreadCpuUs();
	const startTime = performance.now();
	const answered = await sendAll(upstreams, send, requestsPerRound);
	const seconds = (performance.now() - startTime) / 1000;
	const cpuUs = await getMainThreadCpuUs() - startCpu;
	if (answered !== requestsPerRound) {
		throw new Error(`${requestsPerRound - answered} requests were not answered`);
	}

	return {requestsPerSecond: requestsPerRound / seconds, cpuUsPerRequest: cpuUs / requestsPerRound};
}

function getMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return Math.round(sorted[Math.floor(sorted.length / 2)]! * 10) / 10;
}

async function compare(): Promise<Record<string, Measurement>> {
	const {upstreams, workers} = await startUpstreams(0);
	const client = createUpstreamClient();
	const pools = new Map(upstreams.map(upstream => [upstream, new Pool(`http://${upstream.address}`, {connections: 64, pipelining: 1})]));
	const flatHeaders = headers.flat();
	const variants: Record<string, SendRequest> = {
		async undiciRequest(upstream) {
			const res = await pools.get(upstream)!.request({method: 'GET', path, headers: flatHeaders});
			await res.body.arrayBuffer();
			return res.statusCode === 200;
		},
		async undiciDispatch(upstream) {
			return new Promise(resolve => {
				let status = 0;
				const chunks: Uint8Array[] = [];
				pools.get(upstream)!.dispatch({method: 'GET', path, headers: flatHeaders}, {
					onRequestStart() {
						status = 0;
					},
					onResponseStart(_controller, statusCode) {
						status = statusCode;
					},
					onResponseData(_controller, chunk) {
						chunks.push(chunk);
					},
					onResponseEnd() {
						resolve(status === 200);
					},
					onResponseError() {
						resolve(false);
					},
				});
			});
		},
		async upstreamClient(upstream) {
			const outcome = await client.run(upstream, {method: 'GET', path, headers}, runOptions);
			return outcome.kind === 'answered';
		},
		async upstreamClientWithSignal(upstream, signal) {
			const outcome = await client.run(upstream, {method: 'GET', path, headers}, {...runOptions, signal});
			return outcome.kind === 'answered';
		},
	};
	const rounds = new Map<string, Measurement[]>(Object.keys(variants).map(name => [name, []]));
	for (let round = 0; round <= roundCount; round++) {
		for (const [name, send] of Object.entries(variants)) {
			const measurement = await measureRound(upstreams, send);
			const isWarmUp = round === 0;
			if (!isWarmUp) {
				rounds.get(name)!.push(measurement);
			}
		}
	}

	await client.close();
	await Promise.all([...pools.values()].map(async pool => pool.close()));
	await Promise.all(workers.map(async worker => worker.terminate()));
	return Object.fromEntries([...rounds].map(([name, measurements]) => [name, {
		requestsPerSecond: getMedian(measurements.map(figures => figures.requestsPerSecond)),
		cpuUsPerRequest: getMedian(measurements.map(figures => figures.cpuUsPerRequest)),
	}]));
}

/** Sends bursts with pauses during which kept-alive connections become silent. */
async function measureSilentConnections(idleConnectionMs: number, forgetAfterMs: number): Promise<Record<string, number>> {
	const {upstreams, workers} = await startUpstreams(forgetAfterMs);
	const client = createUpstreamClient();
	const options: UpstreamRequestOptions = {timeoutMs: silentTimeoutMs, notStartedStatuses: [], idleConnectionMs};
	let answered = 0;
	for (let burst = 0; burst < burstCount; burst++) {
		answered += await sendAll(upstreams, async upstream => {
			const outcome = await client.run(upstream, {method: 'GET', path, headers}, options);
			return outcome.kind === 'answered';
		}, burstSize);
		await delay(pauseMs);
	}

	const status = client.getStatus();
	await client.close();
	await Promise.all(workers.map(async worker => worker.terminate()));
	return {
		idleConnectionMs, requests: burstCount * burstSize, answered, failed: status.outcomes.failed, notStarted: status.outcomes.notStarted,
	};
}

/** Runs the measurement. */
export async function run(): Promise<void> {
	const rates = await compare();
	console.table(rates);
	const silence = {
		withoutSilentConnections: await measureSilentConnections(longIdleMs, 0),
		silentConnectionsLongIdle: await measureSilentConnections(longIdleMs, forgetIdleMs),
		silentConnectionsShortIdle: await measureSilentConnections(shortIdleMs, forgetIdleMs),
	};
	console.table(silence);
	await writeResults('upstream', {
		setup: {
			upstreamCount, slotsPerUpstream, roundCount, requestsPerRound, burstCount, burstSize, pauseMs, forgetIdleMs, silentTimeoutMs,
		},
		rates,
		silence,
	});
}
