/**
 * A small deployment on loopback: entry VMs as processes, with stand-ins of the store, the minions and the clients in this process.
 */
/* eslint-disable camelcase -- The field names of the platform's messages are given. */
import {
	mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Minion} from './minion.mjs';
import {Store} from './store.mjs';
import {ports, Vm} from './vm.mjs';

export const exitCodes = {held: 0, broken: 1, notRun: 2};
const startTimeoutMs = 40_000;
const clientHost = 'jobs.example';
const prefix = '/jobs/';
const service = 's';
const zones = ['a', 'b', 'c'];
/** Job that shows whether an entry VM serves. */
const probe = {spec: 'probe', work: {cpu: 500, workMs: 50}};
const vmZones = ['a', 'a', 'a', 'b', 'b', 'c', 'c'];

/** Whether the script applies its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export class Deployment {
	#options;
	#startedAt = performance.now();
	#events = [];
	#store = new Store();
	#folder = mkdtempSync(path.join(tmpdir(), 'endivemill-review-'));
	#agents = new Set();
	vms = [];
	minions = [];

	/**
	 * @param options - `minionsPerZone`, `getKind(position)` and `getWork(task, spec)`.
	 */
	constructor(options) {
		this.#options = options;
	}

	get store() {
		return this.#store;
	}

	get events() {
		return this.#events;
	}

	/** Adds an event to the record, with its time in milliseconds. */
	record = event => {
		const recorded = {at: this.getTime(), ...event};
		this.#events.push(recorded);
		return recorded;
	};

	getTime() {
		return Math.round(performance.now() - this.#startedAt);
	}

	/** Starts everything and waits until jobs are served. */
	async start() {
		const {minionsPerZone = 11, getKind = () => 'a', getWork, capacity = {cpu: 16_000, mem_mb: 32_768, gpu: 0}} = this.#options;
		const network = await chooseNetwork();
		const storeHost = `${network}.200`;
		await this.#store.open(storeHost);
		this.#store.set('op/config', {
			version: 1,
			routes: [{
				name: 'r', host: clientHost, prefix, service, timeout_ms: 30_000, target_runtime_ms: 60, priority: 0, max_attempts: 3, stretch: 1.6,
			}],
			services: [{
				name: service, health_path: '/health', max_conns: 64, admission_control: true,
			}],
			limits: {},
		});
		for (const zone of zones) {
			for (let position = 0; position < minionsPerZone; position++) {
				const minion = new Minion({
					id: `i-${zone}${position}`, host: `${network}.201`, zone, service, kind: getKind(position), rack: `r${zone}`, capacity, store: this.#store, record: this.record,
					getWork: (task, spec) => spec === probe.spec ? probe.work : getWork(task, spec),
				});
				this.minions.push(minion);
				await minion.start();
			}
		}

		const ips = vmZones.map((_, position) => `${network}.${position + 1}`);
		this.vms = vmZones.map((zone, position) => new Vm({
			name: `edge-${zone}-${position}`, zone, zones, ip: ips[position], seeds: [ips[0], ips[3], ips[5]], storeAddress: this.#store.address, folder: this.#folder, record: this.record,
		}));
		for (const vm of this.vms) {
			vm.start();
		}

		const endAt = performance.now() + startTimeoutMs;
		for (const vm of this.vms) {
			await this.#waitUntilServed(vm, endAt);
		}
	}

	/** Creates a client that keeps one connection to an entry VM. */
	createClient(vm) {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		this.#agents.add(agent);
		return {vm, send: async (method, id, options) => this.#send(agent, vm, {method, id, ...options})};
	}

	/** Creates the body of a best-effort job. */
	createJob(steps, spec = 'work') {
		return {spec, best_effort: true, steps};
	}

	/** Ends all processes and writes the record. */
	async close(recordFile) {
		for (const agent of this.#agents) {
			agent.destroy();
		}

		await Promise.all([...this.vms.map(async vm => vm.close()), ...this.minions.map(async minion => minion.close())]);
		this.#store.close();
		writeFileSync(recordFile, this.#events.map(event => JSON.stringify(event)).join('\n') + '\n');
		rmSync(this.#folder, {recursive: true, force: true});
	}

	/** Sends a request and waits for its complete answer; `end` is `answered`, `cut` or `unconnected`. */
	async #send(agent, vm, {method, id, body, deadlineMs = 1500}) {
		const text = body === undefined ? '' : JSON.stringify(body);
		const sent = this.record({
			event: 'request', vm: vm.name, method, id, bytes: text.length,
		});
		const result = await new Promise(resolve => {
			let isConnected = false;
			const req = request({
				agent, host: vm.ip, port: ports.front, method, path: `${prefix}${id}`,
				headers: {
					host: clientHost, 'x-endivemill-deadline-ms': String(deadlineMs), ...(text && {'content-type': 'application/json', 'content-length': String(text.length)}),
				},
			}, res => {
				let answer = '';
				res.setEncoding('utf8');
				res.on('data', chunk => {
					answer += chunk;
				});
				res.once('close', () => {
					resolve(res.complete ? {end: 'answered', status: res.statusCode, answer} : {end: 'cut', status: res.statusCode});
				});
			});
			req.once('socket', socket => {
				if (socket.connecting) {
					socket.once('connect', () => {
						isConnected = true;
					});
				} else {
					isConnected = true;
				}
			});
			const timer = setTimeout(() => {
				resolve({end: 'left'});
				req.destroy();
			}, deadlineMs);
			req.once('error', err => {
				clearTimeout(timer);
				resolve({end: isConnected ? 'cut' : 'unconnected', detail: err.code});
			});
			req.once('close', () => {
				clearTimeout(timer);
			});
			req.end(text);
		});
		this.record({
			event: 'request ended', vm: vm.name, method, id, ...result,
		});
		return {sentAt: sent.at, endedAt: this.getTime(), ...result};
	}

	async #waitUntilServed(vm, endAt) {
		let served = 0;
		for (let count = 0; served < 3; count++) {
			if (performance.now() > endAt) {
				throw new NotRunError(`${vm.name} did not serve jobs in time`);
			}

			if (await vm.isReady()) {
				const client = this.createClient(vm);
				const id = `f${vm.ip.split('.').at(-1)}${count.toString(16)}`.padEnd(16, '0');
				const result = await client.send('POST', id, {
					body: this.createJob([{
						count: 1, cpu: probe.work.cpu, mem_mb: 64, estimate_ms: probe.work.workMs,
					}], probe.spec),
				});
				served = result.status === 200 ? served + 1 : 0;
			}

			await delay(100);
		}
	}
}

/** The case could not run, so it shows nothing. */
export class NotRunError extends Error {}

/** Chooses the first three bytes of loopback addresses at which the ports of the entry VMs are free. */
async function chooseNetwork() {
	for (let attempt = 0; attempt < 50; attempt++) {
		const network = `127.${64 + ((process.pid + (attempt * 7)) % 64)}.${(Math.floor(process.pid / 64) + attempt) % 256}`;
		const results = await Promise.all(vmZones.flatMap((_, position) => Object.values(ports).map(async port => isFree(`${network}.${position + 1}`, port))));
		if (results.every(Boolean)) {
			return network;
		}
	}

	throw new NotRunError('no free ports');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen({host, port}, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/**
 * Runs a case: starts a deployment, plays the case, checks the rule, writes the record and exits with the result.
 * @param folder - URL of the folder of the case.
 * @param options - Options of the deployment.
 * @param play - Plays the case and returns the violations as texts.
 */
export async function runCase(folder, options, play) {
	const deployment = new Deployment(options);
	const recordFile = new URL('record.txt', folder);
	const close = async code => {
		await deployment.close(recordFile);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const timer = setTimeout(() => {
		console.error('the case took too long');
		close(exitCodes.notRun);
	}, 110_000);
	process.once('uncaughtException', err => {
		console.error(err);
		close(exitCodes.notRun);
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			close(exitCodes.notRun);
		});
	}

	try {
		await deployment.start();
		deployment.record({event: 'begin', trouble: hasTrouble});
		const violations = await play(deployment);
		for (const violation of violations) {
			deployment.record({event: 'violation', violation});
			console.log(violation);
		}

		console.log(`${violations.length} violations, trouble: ${hasTrouble}`);
		clearTimeout(timer);
		await close(violations.length > 0 ? exitCodes.broken : exitCodes.held);
	} catch (err) {
		console.error(err);
		deployment.record({event: 'not run', detail: String(err)});
		await close(exitCodes.notRun);
	}
}

/** Creates an identifier of a job. */
export function createId(head, number) {
	return `${head}${number.toString(16).padStart(16 - head.length, '0')}`;
}
