/* eslint-disable camelcase -- The field names of the platform's messages are given. */
/**
 * Stand-ins of the platform's store and of a minion, as the pages describe them. Both run in the process of the script.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Entries of an answer of the store, and ends in an answer of a minion, by the pages. */
const maxPageItems = 500;
const maxListedEnds = 500;

async function readBody(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text);
}

function send(res, status, body) {
	const text = body === undefined ? '' : JSON.stringify(body);
	res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
	res.end(text);
}

async function listen(handler, host) {
	const server = createServer(async (req, res) => {
		try {
			await handler(req, res);
		} catch {
			// The other side has gone while it sent its request.
			res.destroy();
		}
	});
	server.keepAliveTimeout = 60_000;
	server.listen(0, host);
	await once(server, 'listening');
	return server;
}

async function closeServer(server) {
	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
}

/** The platform's store: one revision counter, items, their history, watches, transactions and leases. */
export class Store {
	#items = new Map();
	#history = [];
	#waiters = new Set();
	#leases = new Map();
	#revision = 1000;
	#leaseCount = 0;
	#server;
	/** Returns whether the call over a connection is answered 503, by the connection's port; none is by default. */
	isRefused = () => false;

	/**
	 * Opens the listener.
	 * @param host - Loopback address.
	 */
	async open(host) {
		this.#server = await listen(async (req, res) => this.#handle(req, res), host);
		const {address, port} = this.#server.address();
		this.address = `${address}:${port}`;
	}

	/** Writes an item as the operator or a minion does; `undefined` removes it. */
	set(key, value) {
		if (value === undefined) {
			this.#delete(key);
		} else {
			this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
		}
	}

	async close() {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		await closeServer(this.#server);
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const query = url.searchParams;
		const body = req.method === 'POST' ? await readBody(req) : undefined;
		if (this.isRefused(req.socket.remotePort)) {
			send(res, 503);
			return;
		}

		const [call, id] = url.pathname.split('/').slice(2);
		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(query.get('key'));
				send(res, item ? 200 : 404, item && {...item, as_of: this.#revision});
				return;
			}

			case 'kv-range': {
				const keys = [...this.#items.keys()].filter(key => key.startsWith(query.get('prefix') ?? '') && key > (query.get('after') ?? '')).sort();
				const page = keys.slice(0, maxPageItems);
				send(res, 200, {items: page.map(key => this.#items.get(key)), has_more: keys.length > page.length, as_of: this.#revision});
				return;
			}

			case 'kv-watch': {
				await this.#watch(query, res);
				return;
			}

			case 'kv-txn': {
				this.#commit(body, res);
				return;
			}

			case 'kv-lease': {
				this.#leaseCount++;
				this.#leases.set(this.#leaseCount, {ttl_ms: body.ttl_ms});
				this.#keep(this.#leaseCount);
				send(res, 200, {lease: this.#leaseCount, ttl_ms: body.ttl_ms});
				return;
			}

			case 'kv-keep': {
				send(res, this.#keep(Number(id)) ? 200 : 404, {});
				return;
			}

			case 'kv-lease-end': {
				this.#endLease(Number(id));
				send(res, 200, {});
				return;
			}

			default: {
				send(res, 404);
			}
		}
	}

	async #watch(query, res) {
		const after = Number(query.get('after'));
		const endAt = performance.now() + Number(query.get('wait_ms'));
		for (;;) {
			const events = this.#history.filter(({key, revision}) => revision > after && key.startsWith(query.get('prefix') ?? ''));
			const remainingMs = endAt - performance.now();
			if (events.length > 0 || remainingMs <= 0 || res.destroyed) {
				send(res, 200, {events, as_of: this.#revision});
				return;
			}

			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, remainingMs);
				this.#waiters.add(finish);
			});
		}
	}

	#commit({precondition = [], writes = [], deletes = []}, res) {
		if (precondition.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			send(res, 412, {items: precondition.flatMap(({key}) => this.#items.get(key) ?? [])});
			return;
		}

		const keys = [...writes.map(({key}) => key), ...deletes];
		if (keys.some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			send(res, 403);
			return;
		}

		for (const {key, value, lease} of writes) {
			this.#write(key, value, lease ?? 0);
		}

		for (const key of deletes) {
			this.#delete(key);
		}

		send(res, 200, {revision: this.#revision});
	}

	#keep(id) {
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return false;
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => {
			this.#endLease(id);
		}, lease.ttl_ms);
		return true;
	}

	#endLease(id) {
		clearTimeout(this.#leases.get(id)?.timer);
		this.#leases.delete(id);
		for (const {key, lease} of this.#items.values()) {
			if (lease === id && id !== 0) {
				this.#delete(key);
			}
		}
	}

	#write(key, value, lease) {
		this.#revision++;
		const item = {
			key, value, revision: this.#revision, created: this.#items.get(key)?.created ?? this.#revision, lease,
		};
		this.#items.set(key, item);
		this.#addEvent(item);
	}

	#delete(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#addEvent({key, revision: this.#revision, tombstone: true});
		}
	}

	#addEvent(event) {
		this.#history.push(event);
		for (const finish of this.#waiters) {
			finish();
		}
	}
}

/**
 * A minion. The `spec` of a job is JSON; `ms` there is the duration of its tasks. Its rules are those of the page: fences, leases by its own clock, ends
 * that are listed until they are acknowledged, and runs that are refused once a run as high was stopped or has ended.
 */
export class Minion {
	/** All runs that it has started: task, run, name of the VM that ordered it, startedAt, endedAt and how it ended; times of the script's clock. */
	runs = [];
	#options;
	#server;
	#timer;
	#bornAt = performance.now();
	#born = Date.now();
	#running = new Map();
	#highest = new Map();
	#ended = [];
	#endCount = 0;
	#fence = 0;
	#until = 0;
	#leaseTimer;
	#waiters = new Set();
	#seq = 0;

	/**
	 * @param options - `id`, `zone`, `service`, `store`, `capacity`, `labels`, `isGuarded`, `maxHoldMs`, `stopMs`, `heartbeatMs`, `getNeeds`, `getSender`, `onStart` and `record`.
	 */
	constructor(options) {
		this.#options = {
			capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0}, labels: ['a', 'r1-1'], isGuarded: true, maxHoldMs: 1000, stopMs: 20, heartbeatMs: 1500,
			onStart() {/* Nothing is checked. */}, ...options,
		};
	}

	get id() {
		return this.#options.id;
	}

	async open(host) {
		this.#server = await listen(async (req, res) => this.#handle(req, res), host);
		const {address, port} = this.#server.address();
		this.address = `${address}:${port}`;
		this.#register();
		this.#timer = setInterval(() => {
			this.#register();
		}, this.#options.heartbeatMs);
	}

	/** Gets the runs that have not ended, also those that are being stopped. */
	getRunning() {
		return [...this.#running.values()];
	}

	get capacity() {
		return this.#options.capacity;
	}

	/** Changes the capacity while it runs; what it says of itself shows it. */
	setCapacity(capacity) {
		this.#options.record(`${this.#options.id} has ${capacity.cpu / 1000} cores from now on`);
		this.#options.capacity = capacity;
		this.#register();
	}

	async close() {
		clearInterval(this.#timer);
		clearTimeout(this.#leaseTimer);
		for (const {timer} of this.#running.values()) {
			clearTimeout(timer);
		}

		await closeServer(this.#server);
	}

	#register() {
		const {id, zone, service, store, capacity, labels} = this.#options;
		this.#seq++;
		store.set(`servers/${id}`, {
			service, address: this.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity, labels, born: this.#born, seq: this.#seq,
		});
	}

	#getClock() {
		return Math.floor(performance.now() - this.#bornAt);
	}

	async #handle(req, res) {
		const body = await readBody(req);
		const target = req.headers['x-endivemill-target-instance'];
		if (target !== undefined && target !== this.#options.id) {
			send(res, 421);
			return;
		}

		if (req.url === '/health') {
			send(res, 200);
			return;
		}

		const fence = body.fence ?? 0;
		if (fence < this.#fence) {
			send(res, 409, {clock_ms: this.#getClock(), reason: 'fence'});
			return;
		}

		this.#fence = fence;
		switch (req.url) {
			case '/api/run-start': {
				const reason = this.#start(body, req.socket.remotePort);
				send(res, reason === undefined ? 200 : 409, {clock_ms: this.#getClock(), ...(reason && {reason})});
				return;
			}

			case '/api/run-stop': {
				this.#stop(body);
				send(res, 200, {clock_ms: this.#getClock()});
				return;
			}

			case '/api/hold': {
				await this.#hold(body, res);
				return;
			}

			default: {
				send(res, 404);
			}
		}
	}

	#start({task, run: number, spec, until_ms: untilMs}, port) {
		const existing = this.#running.get(task);
		if (untilMs <= this.#getClock()) {
			return 'late';
		}

		this.#extend(untilMs);
		if (existing?.run === number) {
			return undefined;
		}

		if (existing !== undefined || number <= (this.#highest.get(task) ?? 0)) {
			return 'old';
		}

		const {capacity, isGuarded, getNeeds, getSender, record, onStart} = this.#options;
		const needs = getNeeds(task);
		const used = this.getRunning().reduce((sum, other) => sum + other.needs.cpu, needs.cpu);
		if (isGuarded && used > capacity.cpu) {
			return 'room';
		}

		const run = {
			task, run: number, needs, startedAt: performance.now(), endedAt: undefined, how: undefined, minion: this.#options.id, sender: getSender(port, this.address),
		};
		run.timer = setTimeout(() => {
			this.#end(run, 'done');
		}, JSON.parse(spec).ms);
		this.#running.set(task, run);
		this.runs.push(run);
		record(`${this.#options.id} starts ${task} run ${number}, by order of ${run.sender}`);
		onStart(this, run, spec);
		return undefined;
	}

	#stop({task, run: number}) {
		this.#highest.set(task, Math.max(number, this.#highest.get(task) ?? 0));
		const run = this.#running.get(task);
		if (run !== undefined && run.run <= number && !run.isStopping) {
			run.isStopping = true;
			clearTimeout(run.timer);
			run.timer = setTimeout(() => {
				this.#end(run, 'stopped');
			}, this.#options.stopMs);
		}
	}

	#end(run, how) {
		clearTimeout(run.timer);
		this.#running.delete(run.task);
		this.#highest.set(run.task, Math.max(run.run, this.#highest.get(run.task) ?? 0));
		run.endedAt = performance.now();
		run.how = how;
		this.#endCount++;
		this.#ended.push([this.#endCount, run.task, run.run, how, '']);
		this.#options.record(`${this.#options.id} ends ${run.task} run ${run.run}: ${how}`);
		for (const finish of this.#waiters) {
			finish();
		}
	}

	async #hold({ack_cursor: ackCursor = 0, until_ms: untilMs, wait_ms: waitMs = 0}, res) {
		this.#ended = this.#ended.filter(([position]) => position > ackCursor);
		if (untilMs !== undefined) {
			this.#extend(untilMs);
		}

		if (this.#ended.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, Math.min(waitMs, 2000));
				this.#waiters.add(finish);
			});
		}

		send(res, 200, {
			clock_ms: this.#getClock(),
			born: this.#born,
			running: this.getRunning().map(({task, run, startedAt, needs}) => [task, run, '', Math.min(99, Math.floor((performance.now() - startedAt) / 10)), needs.cpu]),
			ended: this.#ended.slice(0, maxListedEnds),
		});
	}

	#extend(untilMs) {
		this.#until = Math.max(this.#until, Math.min(untilMs, this.#getClock() + this.#options.maxHoldMs));
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = setTimeout(() => {
			for (const run of this.getRunning()) {
				this.#end(run, 'lapsed');
			}
		}, Math.max(0, this.#until - (performance.now() - this.#bornAt)) + 1);
	}
}
