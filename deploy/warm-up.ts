/**
 * Creates the code cache of the bundled daemon: two daemons run jobs against stand-ins on loopback, and one of them writes what V8 has compiled. A process
 * that starts later then compiles little of what its first requests need. If the run fails, the cache has only what the start compiles.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {createPlatformStore, createPlatformUpstream} from '../src/testing/index.js';

const runtimeArguments = process.argv.slice(2);
const dataCenters = ['dc1', 'dc2'];
const upstreamsPerDataCenter = 4;
const ips = dataCenters.map((_, position) => `127.${64 + (process.pid % 64)}.${Math.floor(process.pid / 64) % 256}.${1 + position}`);
const callerPort = 8161;
const peerPort = 8166;
const readinessPort = 8167;

const readyTimeoutMs = 20_000;
const readyPollMs = 100;
const stopTimeoutMs = 10_000;
const readinessTimeoutMs = 1000;
const jobTimeoutMs = 5000;

/** Time after which everything is ended, in milliseconds; whatever answers or does not answer on the ports. */
const totalTimeoutMs = 60_000;

/** Rounds of jobs that start at the same time, and their number in each: enough that jobs wait and are lent to the other pool. */
const roundCount = 12;
const jobsPerRound = 12;
const taskCpu = 6800;

const route = {
	name: 'r', host: 'jobs.example', prefix: '/jobs/', service: 's', timeout_ms: 1500, target_runtime_ms: 60, priority: 0, max_attempts: 3, stretch: 1.6,
};

const folder = mkdtempSync(path.join(tmpdir(), 'endivemill-cache-'));
const store = await createPlatformStore();
const upstreams = await Promise.all(dataCenters.flatMap(dataCenter => Array.from({length: upstreamsPerDataCenter}, async (_, position) => createPlatformUpstream({
	id: `i-${dataCenter}-${position}`, dataCenter, service: 's', store, getWork: () => ({needs: {cpu: taskCpu, memoryMb: 64, accelerators: 0}, durationMs: 30}),
}))));
store.setText('op/config', JSON.stringify({
	version: 1, routes: [route], services: [{
		name: 's', health_path: '/health', max_conns: 64, admission_control: true,
	}], limits: {},
}));

function startDaemon(position: number): ChildProcess {
	const ip = ips[position]!;
	const settingsFile = path.join(folder, `${position}.conf`);
	writeFileSync(settingsFile, [
		`node_name=edge-${position}`,
		'machine_class=edge',
		'serves=edge,control',
		`ip=${ip}`,
		`zone=${dataCenters[position]!}`,
		...dataCenters.map(dataCenter => `zones.${dataCenter}=region`),
		`listen.front=${ip}:${callerPort}`,
		`listen.ready=${ip}:${readinessPort}`,
		`listen.control=${ip}:${peerPort}`,
		`seeds=${ips.map(seed => `${seed}:${peerPort}`).join(',')}`,
		'limits.cpu_share=1',
		'limits.cores=1',
		'bounds.grace_s=6',
		'bounds.max_hold_ms=1000',
		`platform.address=${store.getAddress()}`,
	].join('\n'));
	const parameters = [...runtimeArguments, ...(position === 0 ? ['--create-cache'] : [])];
	return spawn(process.execPath, parameters, {env: {PATH: process.env.PATH, ENDIVEMILL_CONFIG: settingsFile}, stdio: ['ignore', 'ignore', 'inherit']});
}

async function isReady(ip: string): Promise<boolean> {
	try {
		const res = await request(`http://${ip}:${readinessPort}/api/readiness`, {signal: AbortSignal.timeout(readinessTimeoutMs)});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}

async function waitUntilReady(): Promise<void> {
	const endAt = Date.now() + readyTimeoutMs;
	for (const ip of ips) {
		while (!await isReady(ip)) {
			if (Date.now() > endAt || daemons.some(daemon => hasEnded(daemon))) {
				throw new Error(`the daemon at ${ip} is not ready`);
			}

			await delay(readyPollMs);
		}
	}
}

async function submitJob(position: number, number: number): Promise<number> {
	const res = await request(`http://${ips[position % ips.length]!}:${callerPort}${route.prefix}${number.toString(16).padStart(16, '0')}`, {
		method: 'POST',
		signal: AbortSignal.timeout(jobTimeoutMs),
		headers: {host: route.host, 'content-type': 'application/json', 'x-endivemill-deadline-ms': '1500'},
		body: JSON.stringify({
			spec: 'x', best_effort: true, steps: [{
				count: 1 + (number % 6), cpu: taskCpu, mem_mb: 64, estimate_ms: 30,
			}],
		}),
	});
	await res.body.dump();
	return res.statusCode;
}

async function runJobs(): Promise<void> {
	let servedCount = 0;
	for (let round = 0; round < roundCount; round++) {
		const statuses = await Promise.all(Array.from({length: jobsPerRound}, async (_, position) => submitJob(position, (round * jobsPerRound) + position)));
		servedCount += statuses.filter(status => status === 200).length;
	}

	if (servedCount === 0) {
		throw new Error('no job was served');
	}
}

function hasEnded({exitCode, signalCode}: ChildProcess): boolean {
	return exitCode !== null || signalCode !== null;
}

async function stop(daemon: ChildProcess): Promise<void> {
	if (!hasEnded(daemon)) {
		const ended = once(daemon, 'exit');
		daemon.kill('SIGTERM');
		await Promise.race([ended, delay(stopTimeoutMs, undefined, {ref: false})]);
		daemon.kill('SIGKILL');
	}
}

const daemons = ips.map((_, position) => startDaemon(position));
setTimeout(() => {
	for (const daemon of daemons) {
		daemon.kill('SIGKILL');
	}

	process.stderr.write('the code cache has only what a start compiles: the jobs took too long\n');
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}, totalTimeoutMs);
try {
	await waitUntilReady();
	await runJobs();
} catch (err) {
	process.stderr.write(`the code cache has only what a start compiles: ${err instanceof Error ? err.message : String(err)}\n`);
} finally {
	await Promise.all(daemons.map(async daemon => stop(daemon)));
	await Promise.all(upstreams.map(async upstream => upstream.crash()));
	rmSync(folder, {recursive: true});
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}
