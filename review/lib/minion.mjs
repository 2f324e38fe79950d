/**
 * A stand-in for a minion: it carries out orders over HTTP, runs tasks by timers under a lease, and registers in the store.
 */
/* eslint-disable camelcase -- The field names of the platform's messages are given. */
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {listen, readJson, sendJson} from './http.mjs';

const heartbeatMs = 1500;
const maxLeaseMs = 1000;
const stopMs = 10;
const maxListedEnds = 500;
/** Fences are kept as signed integers of 64 bits; others are invalid. */
const maxFence = 2 ** 63;

export class Minion {
	#options;
	#server;
	#timer;
	#runs = new Map();
	/** Highest run of each task that was stopped or ended here. */
	#closedRuns = new Map();
	#ended = [];
	#endCount = 0;
	#fence = 0;
	#seq = 0;
	#leaseUntil = 0;
	#startedAt = 0;
	#waiters = new Set();
	#port = 0;
	#born = 0;
	#kind;
	isUp = false;

	/**
	 * @param options - `id`, `host`, `zone`, `service`, `kind`, `rack`, `capacity`, `store`, `record`, and `getWorkMs(task, spec)`.
	 */
	constructor(options) {
		this.#options = options;
		this.#kind = options.kind;
	}

	get id() {
		return this.#options.id;
	}

	get kind() {
		return this.#kind;
	}

	/** Starts an instance, which knows nothing of earlier ones; the second one takes the address of the first. */
	async start(kind = this.#kind) {
		this.#kind = kind;
		this.#runs = new Map();
		this.#closedRuns = new Map();
		this.#ended = [];
		this.#endCount = 0;
		this.#fence = 0;
		this.#seq = 0;
		this.#leaseUntil = 0;
		this.#startedAt = performance.now();
		this.#born = Date.now();
		this.#server = createServer((req, res) => {
			this.#handle(req, res);
		});
		// The entry is written before the first order can arrive.
		if (this.#port > 0) {
			this.isUp = true;
			this.#register();
		}

		const address = await listen(this.#server, this.#options.host, this.#port);
		this.#port = Number(address.split(':')[1]);
		this.isUp = true;
		this.#register();
		this.#timer = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Ends the instance as in a crash: without notice, with everything that runs on it. Its entry stays in the store. */
	async crash() {
		this.isUp = false;
		clearInterval(this.#timer);
		for (const run of this.#runs.values()) {
			clearTimeout(run.timer);
			this.#options.record({
				event: 'lost with its minion', minion: this.#options.id, task: run.task, run: run.number,
			});
		}

		this.#runs.clear();
		await new Promise(resolve => {
			this.#server.close(resolve);
			this.#server.closeAllConnections();
		});
	}

	async close() {
		if (this.isUp) {
			await this.crash();
		}
	}

	#register() {
		const {id, zone, service, rack, capacity, store} = this.#options;
		this.#seq++;
		store.set(`servers/${id}`, {
			service, address: `${this.#options.host}:${this.#port}`, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0,
			capacity, labels: [this.#kind, rack], clock_ms: this.#getTime(), born: this.#born, seq: this.#seq,
		});
	}

	#getTime() {
		return Math.floor(performance.now() - this.#startedAt);
	}

	async #handle(req, res) {
		const {id} = this.#options;
		const born = this.#born;
		const body = await readJson(req);
		if (!this.isUp || born !== this.#born) {
			res.destroy();
			return;
		}

		if (req.url === '/health') {
			sendJson(res, 200);
			return;
		}

		const target = req.headers['x-endivemill-target-instance'];
		if (target !== undefined && target !== id) {
			sendJson(res, 421);
			return;
		}

		this.#endLapsedRuns();
		const fence = body.fence ?? 0;
		if (!Number.isInteger(fence) || fence < 0 || fence >= maxFence) {
			sendJson(res, 400, {clock_ms: this.#getTime()});
			return;
		}

		if (fence < this.#fence) {
			sendJson(res, 409, {clock_ms: this.#getTime(), reason: 'fence'});
			return;
		}

		this.#fence = fence;
		switch (req.url) {
			case '/api/run-start': {
				const reason = this.#start(body);
				sendJson(res, reason === undefined ? 200 : 409, {clock_ms: this.#getTime(), reason});
				return;
			}

			case '/api/run-stop': {
				this.#stop(body);
				sendJson(res, 200, {clock_ms: this.#getTime()});
				return;
			}

			case '/api/hold': {
				this.#ended = this.#ended.filter(([position]) => position > (body.ack_cursor ?? 0));
				this.#extendLease(body.until_ms ?? 0);
				if (this.#ended.length === 0 && body.wait_ms > 0) {
					await this.#waitForEnd(body.wait_ms);
				}

				if (!this.isUp || born !== this.#born) {
					res.destroy();
					return;
				}

				this.#endLapsedRuns();
				sendJson(res, 200, {
					clock_ms: this.#getTime(), born, running: [...this.#runs.values()].map(({task, number}) => [task, number, '', 100, 0]), ended: this.#ended.slice(0, maxListedEnds),
				});
				return;
			}

			default: {
				sendJson(res, 404);
			}
		}
	}

	#start({task, run: number, spec, until_ms: untilMs = 0}) {
		const {id, capacity, record, getWork} = this.#options;
		if (untilMs <= this.#getTime()) {
			return 'late';
		}

		this.#extendLease(untilMs);
		const running = this.#runs.get(task);
		if (running?.number === number) {
			return undefined;
		}

		if (running !== undefined || number <= (this.#closedRuns.get(task) ?? 0)) {
			return 'old';
		}

		const {cpu, workMs} = getWork(task, spec);
		const usedCpu = [...this.#runs.values()].reduce((sum, run) => sum + run.cpu, 0);
		if (usedCpu + cpu > capacity.cpu) {
			return 'room';
		}

		const timer = setTimeout(() => {
			this.#endLapsedRuns();
			this.#end(task, number, 'done');
		}, workMs);
		this.#runs.set(task, {
			task, number, cpu, timer, isStopping: false,
		});
		record({
			event: 'start', minion: id, kind: this.#kind, task, run: number, spec,
		});
		return undefined;
	}

	#stop({task, run: number}) {
		this.#closedRuns.set(task, Math.max(number, this.#closedRuns.get(task) ?? 0));
		const run = this.#runs.get(task);
		if (run?.number === number && !run.isStopping) {
			run.isStopping = true;
			clearTimeout(run.timer);
			run.timer = setTimeout(() => {
				this.#end(task, number, 'stopped');
			}, stopMs);
		}
	}

	#end(task, number, how) {
		const run = this.#runs.get(task);
		if (run?.number !== number) {
			return;
		}

		clearTimeout(run.timer);
		this.#runs.delete(task);
		this.#closedRuns.set(task, Math.max(number, this.#closedRuns.get(task) ?? 0));
		this.#endCount++;
		this.#ended.push([this.#endCount, task, number, how, '']);
		this.#options.record({
			event: 'end', minion: this.#options.id, task, run: number, how,
		});
		for (const waiter of this.#waiters) {
			waiter();
		}
	}

	#extendLease(untilMs) {
		this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(untilMs, this.#getTime() + maxLeaseMs));
		this.#checkLease();
	}

	async #checkLease() {
		await delay(Math.max(1, this.#leaseUntil - this.#getTime() + 1), undefined, {ref: false});
		this.#endLapsedRuns();
	}

	#endLapsedRuns() {
		if (this.#getTime() < this.#leaseUntil) {
			return;
		}

		for (const {task, number} of this.#runs.values()) {
			this.#end(task, number, 'lapsed');
		}
	}

	async #waitForEnd(waitMs) {
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
}
