/**
 * A small deployment on loopback: the store, the minions, the machines of the system, and clients.
 */
/* eslint camelcase: "off" -- The platform names the fields of its messages. */
import {Buffer} from 'node:buffer';
import {randomBytes, randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Links} from './links.js';
import {Minion} from './minion.js';
import {Store} from './store.js';
import {findSender, ports, Vm} from './vm.js';

/** Host and path prefix of the queue. */
const host = 'queue.example';
const prefix = '/queue/';
const service = 'work';

/** Longest time until the deployment serves, in milliseconds. */
const startTimeoutMs = 40_000;

/** Stands for the machine at the other end of a connection that has ended before it was looked up. */
const unknownSender = 'unknown';

/** Longest time that a case may take, in milliseconds; 120 s are allowed. */
const maxCaseMs = 110_000;

/** Attempts to find machines without pools. */
const maxAttempts = 5;

/** Time without trouble after which all machines are in touch, in milliseconds: `contact_ms`. */
export const contactMs = 3000;

export class Deployment {
	runs = [];
	vms = [];
	links;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#recordFile;
	#startedAt = performance.now();
	#store = new Store();
	minions = [];
	#jobs = new Map();
	#senders = new WeakMap();
	#options;

	/** Options: `recordFile`; `zones`; numbers of machines and minions in each zone; fields of the `route`; fields
	 * of each minion; whether the links between zones are proxied; whether the minions guard
	 * their capacity. */
	constructor({recordFile, zones = ['east', 'west'], vmsPerZone = 2, minionsPerZone = 4, route = {}, getMinion = () => ({}), hasLinks = false, isGuarded = true}) {
		this.#options = {
			zones, vmsPerZone, minionsPerZone, route, getMinion, hasLinks, isGuarded,
		};
		this.#recordFile = recordFile;
		writeFileSync(recordFile, '');
	}

	/** Gets the time since the start, in milliseconds. */
	now() {
		return performance.now() - this.#startedAt;
	}

	/** Writes a line to the record. */
	record = (kind, fields = {}) => {
		appendFileSync(this.#recordFile, `${(this.now() / 1000).toFixed(3).padStart(8)} s  ${kind} ${JSON.stringify(fields)}\n`);
	};

	/** Starts everything and waits until each machine is ready and a job has been completed through it; then waits until all are in touch. */
	async start() {
		const {zones, vmsPerZone, minionsPerZone, getMinion, hasLinks, isGuarded} = this.#options;
		const base = await findFreeNetwork(zones.length * vmsPerZone);
		const storeAddress = await this.#store.start('127.0.0.1');
		this.#store.set('op/config', this.#createConfiguration(1, [this.#createQueue()]));
		for (const [position, zone] of zones.flatMap(name => Array.from({length: minionsPerZone}, () => name)).entries()) {
			const minion = new Minion({
				id: `i-${position}-${randomBytes(3).toString('hex')}`,
				zone,
				service,
				capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0},
				labels: ['a', `${zone}-1`],
				store: this.#store,
				getTask: name => this.#getTask(name),
				findSender: async socket => this.#findSender(socket),
				onRun: run => {
					this.runs.push(run);
					this.record('start', {
						task: run.task, run: run.run, minion: run.minion, by: run.sender, fence: run.fence,
					});
				},
				isGuarded,
				...getMinion(position),
			});
			this.minions.push(minion);
			await minion.start('127.0.0.1');
		}

		const ips = zones.flatMap((zone, row) => Array.from({length: vmsPerZone}, (_, column) => ({zone, ip: `${base}.${1 + (row * vmsPerZone) + column}`})));
		if (hasLinks) {
			this.links = new Links(ips.map(({ip, zone}) => ({address: `${ip}:${ports.control}`, zone})), this.minions);
			await this.links.start();
		}

		for (const [position, {zone, ip}] of ips.entries()) {
			const vm = new Vm({
				name: `edge-${position + 1}`, zone, zones, ip, seeds: ips.slice(0, 3).map(other => other.ip), storeAddress, folder: this.#folder, record: this.record, links: this.links?.getPorts(`${ip}:${ports.control}`),
			});
			this.vms.push(vm);
			vm.start();
		}

		for (const vm of this.vms) {
			await this.waitUntilServing(vm);
		}

		await delay(contactMs + 500);
	}

	/** Waits until a machine is ready and completes a job. */
	async waitUntilServing(vm) {
		const endsAt = performance.now() + startTimeoutMs;
		for (;;) {
			const ready = await send({
				ip: vm.ip, port: ports.ready, method: 'GET', path: '/api/readiness',
			});
			if (ready.status === 200) {
				const {answer} = this.submit(vm, {steps: [{count: 1, cpu: 1000, estimate_ms: 20}], durationMs: 20});
				const {status, body} = await answer;
				if (status === 200 && body?.state === 'completed') {
					return;
				}
			}

			if (performance.now() > endsAt) {
				throw new Error(`${vm.name} does not serve`);
			}

			await delay(200);
		}
	}

	/** Checks the readiness of a machine as the platform does; gets whether there is any answer. */
	async isAnswering(vm) {
		const {status, error} = await send({
			ip: vm.ip, port: ports.ready, method: 'GET', path: '/api/readiness', deadlineMs: 900,
		});
		this.record('readiness', {vm: vm.name, status, error});
		return status !== undefined;
	}

	/** Gets two machines that own no pools, in different zones: a wide job has its tasks started by the others. */
	async findIdleVms() {
		const {zones: [zone], minionsPerZone, zones} = this.#options;
		for (let attempts = 0; attempts < maxAttempts; attempts++) {
			const {id, answer} = this.submit(this.vms[0], {steps: [{count: zones.length * minionsPerZone * 2, cpu: 8000, estimate_ms: 300}], durationMs: 300});
			await answer;
			const owners = new Set(this.getRuns(id).map(({sender}) => sender));
			const idle = this.vms.filter(({name}) => !owners.has(name));
			const first = idle.find(vm => vm.zone === zone);
			const second = idle.find(vm => vm.zone !== zone);
			if (first !== undefined && second !== undefined) {
				this.record('machines without pools', {vms: [first.name, second.name], owners: [...owners]});
				return [first, second];
			}

			await delay(contactMs);
		}

		throw new Error('there are no two machines without pools');
	}

	/**
	 * Submits a job that is not stored. `id` repeats an earlier one; `durationMs` is how long its tasks take. The result has the identifier, the answer
	 * as a promise, and a function that closes the connection.
	 */
	submit(vm, {id = randomBytes(8).toString('hex'), spec = `spec of ${id}`, steps, durationMs, deadlineMs = 20_000}) {
		this.#jobs.set(id, {steps, durationMs});
		this.record('client sends POST', {job: id, to: vm.name, deadlineMs});
		const call = send({
			ip: vm.ip, port: ports.front, method: 'POST', path: prefix + id, body: {spec, best_effort: true, steps}, deadlineMs,
		});
		const answer = (async () => {
			const result = await call;
			this.record('client gets answer to POST', {job: id, from: vm.name, ...result});
			return result;
		})();
		return {id, answer};
	}

	/** Cancels a job. */
	async cancel(vm, id) {
		this.record('client sends DELETE', {job: id, to: vm.name});
		const result = await send({
			ip: vm.ip, port: ports.front, method: 'DELETE', path: prefix + id, deadlineMs: 4000,
		});
		this.record('client gets answer to DELETE', {job: id, from: vm.name, ...result});
		return result;
	}

	/** Takes the store down, or up again. */
	setStoreDown(isDown) {
		this.record(isDown ? 'store is down' : 'store is up');
		this.#store.isDown = isDown;
	}

	/** Gets the runs of a job. */
	getRuns(id) {
		return this.runs.filter(({task}) => task.startsWith(`${id}.`));
	}

	/** Writes a configuration as the operator does, in which another queue stands in place of the one that jobs are submitted to. */
	dropQueue() {
		this.record('operator writes a configuration without the queue');
		this.#store.set('op/config', this.#createConfiguration(2, [{...this.#createQueue(), name: 'other', prefix: '/other/'}]));
	}

	/** Ends all processes and stand-ins. */
	async close() {
		await Promise.all(this.vms.map(async vm => vm.close()));
		for (const minion of this.minions) {
			minion.close();
		}

		this.links?.close();
		this.#store.close();
		for (const {task, run, minion, startedAt, endedAt, end} of this.runs) {
			this.record('run', {
				task, run, minion, startedS: toSeconds(startedAt - this.#startedAt), endedS: endedAt === undefined ? undefined : toSeconds(endedAt - this.#startedAt), end,
			});
		}

		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#folder, {recursive: true});
		} else {
			process.stdout.write(`logs: ${this.#folder}\n`);
		}
	}

	#createQueue() {
		return {
			name: 'queue', host, prefix, service, timeout_ms: 30_000, target_runtime_ms: 10_000, priority: 0, max_attempts: 3, stretch: 3, ...this.#options.route,
		};
	}

	#createConfiguration(version, routes) {
		return {
			version, routes, services: [{name: service, admission_control: this.#options.isGuarded}], limits: {max_body_bytes: 262_144},
		};
	}

	#getTask(name) {
		const [id, , step] = name.split('.');
		const {steps, durationMs} = this.#jobs.get(id);
		return {needs: steps[Number(step)], durationMs: durationMs[Number(step)] ?? durationMs};
	}

	/** Gets the name of the machine at the other end of a minion's connection. */
	async #findSender(socket) {
		if (!this.#senders.has(socket)) {
			this.#senders.set(socket, findSender(socket, this.vms));
		}

		const vm = await this.#senders.get(socket);
		return vm?.name ?? unknownSender;
	}
}

/** Sends one request over a connection of its own; never rejects. */
export async function send({ip, port, method, path: target, body, deadlineMs = 2000}) {
	const text = body === undefined ? '' : JSON.stringify(body);
	const sentAt = performance.now();
	return new Promise(resolve => {
		const finish = result => {
			clearTimeout(timer);
			resolve({...result, tookMs: Math.round(performance.now() - sentAt)});
		};

		const req = request({
			host: ip,
			port,
			method,
			path: target,
			agent: false,
			headers: {
				Host: host,
				'X-Endivemill-Deadline-Ms': String(deadlineMs),
				...(body !== undefined && {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)}),
			},
		});
		const timer = setTimeout(() => {
			req.destroy(new Error('no answer until the deadline'));
		}, deadlineMs);
		req.on('error', err => {
			finish({error: err.message});
		});
		req.on('response', async res => {
			const chunks = [];
			try {
				for await (const chunk of res) {
					chunks.push(chunk);
				}
			} catch (err) {
				finish({error: err.message});
				return;
			}

			const answer = chunks.join('');
			finish({status: res.statusCode, body: answer === '' ? undefined : JSON.parse(answer)});
		});
		req.end(text);
	});
}

/**
 * Describes the starts of a cancelled job by machines in touch that came later than `cancel_ms` after the acknowledgement; `undefined` if there are none.
 * `isDisturbed` gets whether a machine was not in
 * touch.
 */
export function describeLateStarts(runs, {acknowledgedAt, cancelMs, isDisturbed}) {
	const late = runs.filter(({startedAt, sender}) => startedAt > acknowledgedAt + cancelMs && sender !== unknownSender && !isDisturbed(sender));
	const descriptions = late.map(({task, run, sender, startedAt}) => `${sender} starts ${task}, run ${run}, ${Math.round(startedAt - acknowledgedAt)} ms after the cancelling was acknowledged`);
	return late.length === 0 ? undefined : `UNASKED: ${descriptions.join('; ')}`;
}

function toSeconds(ms) {
	return Math.round(ms) / 1000;
}

/** Finds addresses of loopback on which the ports of the machines are free; gets what they begin with. */
async function findFreeNetwork(count) {
	for (;;) {
		const base = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
		const checks = Array.from({length: count}, (_, position) => Object.values(ports).map(async port => isFree(`${base}.${position + 1}`, port))).flat();
		const results = await Promise.all(checks);
		if (results.every(Boolean)) {
			return base;
		}
	}
}

async function isFree(ip, port) {
	const server = createServer();
	server.listen({host: ip, port});
	try {
		await once(server, 'listening');
		server.close();
		await once(server, 'close');
		return true;
	} catch {
		return false;
	}
}

/**
 * Plays a case: starts a deployment, runs the function with it, and exits with 1 if it returns a breach, 0 if it returns none, and 2 if the case
 * could not run.
 */
export async function play(options, run) {
	const deployment = new Deployment(options);
	let code = 2;
	const end = async () => {
		clearTimeout(timeout);
		await deployment.close();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const timeout = setTimeout(async () => {
		deployment.record('the case takes too long');
		await end();
	}, maxCaseMs);
	for (const name of ['SIGINT', 'SIGTERM', 'uncaughtException', 'unhandledRejection']) {
		process.once(name, async reason => {
			deployment.record('the case was ended', {reason: String(reason)});
			await end();
		});
	}

	try {
		await deployment.start();
		const breach = await run(deployment, process.env.TROUBLE !== '0');
		code = breach === undefined ? 0 : 1;
		deployment.record(breach === undefined ? 'the rule held' : 'the rule was broken', {breach});
		process.stdout.write(breach === undefined ? 'held\n' : `broken: ${breach}\n`);
	} catch (err) {
		deployment.record('the case could not run', {err: err.message});
		process.stdout.write(`could not run: ${err.stack}\n`);
	}

	await end();
}
