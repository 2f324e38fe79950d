/**
 * Starts a second and processor time a start of one entry VM, beside the least that a dispatcher has to do, in one run.
 */
import process from 'node:process';
import {createUpstreamWorker} from '../src/testing/index.js';
import {tsWorkerExecArgv} from '../test/support/ts-worker.js';
import {type CeilingResult, measureBareLoop, startBareForwarder} from './support/ceilings.js';
import {type DriverOptions, type DriverResult, runDriver} from './support/driver.js';
import {writeResults} from './support/results.js';
import {getMainThreadCpuUs} from './support/thread-cpu.js';

const upstreamCount = 4;
const slots = 16;
const connections = 64;
const warmUpMs = 1500;
const measureMs = 4000;
const singleConcurrency = 64;

/** Figures of requests that a driver sent. */
type DrivenResult = CeilingResult & Pick<DriverResult, 'failed' | 'p50Ms' | 'p99Ms'>;

/** Runs the measurement. */
export async function run(): Promise<void> {
	const workers = Array.from({length: upstreamCount}, (_value, index) =>
		createUpstreamWorker({name: `u${index}`, slots, execArgv: tsWorkerExecArgv}));
	const addresses = await Promise.all(workers.map(async worker => worker.getAddress()));
	const bareLoop = await measureBareLoop({
		addresses, connections, concurrency: upstreamCount * slots, warmUpMs, measureMs,
	});
	print('bare undici loop', bareLoop);
	const bareForwarder = await measureForwarder(addresses);
	print('bare forwarder', bareForwarder);
	await writeResults('dispatch', {bareLoop, bareForwarder});
	await Promise.all(workers.map(async worker => worker.close()));
}

async function measureForwarder(addresses: readonly string[]): Promise<DrivenResult> {
	const forwarder = await startBareForwarder(addresses, connections);
	const result = await drive({
		address: forwarder.address, path: '/run', body: '{}', concurrency: singleConcurrency,
	});
	await forwarder.close();
	return result;
}

async function drive(options: Pick<DriverOptions, 'address' | 'body' | 'concurrency' | 'path'>): Promise<DrivenResult> {
	const cpuUs: number[] = [];
	const result = await runDriver({
		method: 'POST', headers: {'content-type': 'application/json'}, warmUpMs, measureMs, ...options,
	}, async () => {
		cpuUs.push(await getMainThreadCpuUs());
	});
	return {
		perSecond: result.completed / result.seconds,
		cpuUsEach: (cpuUs[1]! - cpuUs[0]!) / result.completed,
		failed: result.failed,
		p50Ms: result.p50Ms,
		p99Ms: result.p99Ms,
	};
}

function print(name: string, {cpuUsEach, perSecond}: CeilingResult): void {
	process.stdout.write(`${name.padEnd(20)} ${perSecond.toFixed(0)}/s, ${cpuUsEach.toFixed(1)} us each\n`);
}
