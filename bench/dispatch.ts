/**
 * Measures task starts per second and processor time per start of one entry VM, compared with minimal dispatchers in the same run.
 */
import process from 'node:process';
import {createLocalCluster, type LocalCluster} from '../src/lab/index.js';
import {createUpstreamWorker} from '../src/testing/index.js';
import {type CeilingResult, measureBareLoop, startBareForwarder} from './support/ceilings.js';
import {type DriverOptions, type DriverResult, runDriver} from './support/driver.js';
import {writeResults} from './support/results.js';
import {getMainThreadCpuUs} from './support/thread-cpu.js';
import {workerExecArgv} from './support/worker-exec-argv.js';

const upstreamCount = 4;
const slots = 16;
const connections = 64;
const warmUpMs = 1500;
const measureMs = 4000;
const singleConcurrency = 64;
const jobConcurrency = 8;
const tasksPerJob = 100;
const service = 'demo';
const declarations = {profiles: {p: {}}, services: {[service]: {profile: 'p'}}};

/** Measurements of requests sent by a driver. */
type DrivenResult = CeilingResult & Pick<DriverResult, 'failed' | 'p50Ms' | 'p99Ms'>;

/** Runs the measurement. */
export async function run(): Promise<void> {
	const workers = Array.from({length: upstreamCount}, (_value, index) =>
		createUpstreamWorker({name: `u${index}`, slots, execArgv: workerExecArgv}));
	const addresses = await Promise.all(workers.map(async worker => worker.getAddress()));
	const bareLoop = await measureBareLoop({
		addresses, connections, concurrency: upstreamCount * slots, warmUpMs, measureMs,
	});
	print('bare undici loop', bareLoop);
	const bareForwarder = await measureForwarder(addresses);
	print('bare forwarder', bareForwarder);
	const deployment = await createLocalCluster({dataCenters: [{name: 'dc1', entryVms: 1, upstreams: 0}], declarations});
	await listUpstreams(deployment, addresses);
	const jobs = await measureJobs(deployment);
	print('tasks of jobs', jobs);
	const single = await measureSingle(deployment);
	print('single requests', single);
	await deployment.close();
	await writeResults('dispatch', {
		bareLoop,
		bareForwarder,
		jobs,
		single,
		jobsToBareLoop: jobs.perSecond / bareLoop.perSecond,
		singleToBareForwarder: single.perSecond / bareForwarder.perSecond,
	});
	await Promise.all(workers.map(async worker => worker.close()));
}

async function listUpstreams(deployment: LocalCluster, addresses: readonly string[]): Promise<void> {
	for (const [index, address] of addresses.entries()) {
		deployment.platform.addVm({
			kind: 'upstream', name: `u${index}`, dataCenter: 'dc1', state: 'live', service, address, slots, connections, cores: 0, memoryMb: 0, accelerators: 0, rack: '',
		});
	}

	const [entryVm] = deployment.getEntryVms();
	await entryVm!.getComponents().vmList.getStream().filter(({upstreams}) => upstreams.length === upstreamCount).take(1).drain();
}

/** Measures jobs of many tasks; rate and cost are per task. */
async function measureJobs(deployment: LocalCluster): Promise<DrivenResult> {
	const tasks = Array.from({length: tasksPerJob}, () => ({path: '/run', body: '{}'}));
	const result = await drive({
		address: deployment.getCallerAddresses()[0]!, path: '/v1/jobs', body: JSON.stringify({service, tasks}), concurrency: jobConcurrency,
	});
	return {...result, perSecond: result.perSecond * tasksPerJob, cpuUsEach: result.cpuUsEach / tasksPerJob};
}

async function measureSingle(deployment: LocalCluster): Promise<DrivenResult> {
	return drive({
		address: deployment.getCallerAddresses()[0]!, path: `/v1/services/${service}/run`, body: '{}', concurrency: singleConcurrency,
	});
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
