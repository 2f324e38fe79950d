/**
 * Stand-in of a minion: carries out orders as PROTOCOL.md says and records the runs. Nothing of it is slow, late or wrong by itself.
 */
/* eslint camelcase: "off" -- The platform names the fields of its messages. */
import {setTimeout as delay} from 'node:timers/promises';
import {listen, readJson, sendJson} from './http.js';

const maxHoldMs = 1000;
const maxWaitMs = 2000;
const maxListedEnds = 500;
const heartbeatMs = 1500;
const minLateMs = 2000;
const lateRangeMs = 10_000;

/** Time that a stop takes, in milliseconds; `stop_timeout_ms` is 50. */
const stopMs = 15;

export class Minion {
	#options;
	#startedAt = performance.now();
	#born = Date.now();
	#seq = 0;
	#fence = 0;
	#leaseEndsAt = 0;
	#leaseTimer;
	#running = new Map();
	/** Highest run of each task that was stopped or has ended here. */
	#closedRuns = new Map();
	#ended = [];
	#lastEnd = 0;
	#waiters = new Set();
	#listener;
	#heartbeat;
	/** Share of the orders that get no answer and are carried out 2 to 12 s later; 0 by default. */
	lateShare = 0;
	/** Factor on the time that tasks take. */
	slowness = 1;

	/**
	 * Options: `id`, `zone`, `service`, `capacity` and `labels` of the entry; `store`; `getTask(name)`, which gets the needs and the duration of a
	 * task; `findSender(socket)`, which gets the machine at the other end; `onRun(run)`, called with each run as it starts;
	 * `isGuarded`, whether it rejects what does not fit, as by default.
	 */
	constructor(options) {
		this.#options = options;
		this.id = options.id;
		this.zone = options.zone;
	}

	async start(ip, port = 0) {
		this.#listener = await listen({ip, port}, async (req, res) => this.#handle(req, res));
		this.address = this.#listener.address;
		this.#register();
		this.#heartbeat = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Ends the minion as in a crash: what runs ends, and its entry stays until it is removed. */
	close() {
		clearInterval(this.#heartbeat);
		clearTimeout(this.#leaseTimer);
		this.#listener?.close();
		for (const entry of this.#running.values()) {
			clearTimeout(entry.timer);
			entry.endedAt = performance.now();
			entry.end = 'crashed';
		}

		this.#running.clear();
	}

	/** Starts the minion again under the same identifier and address, possibly with another capacity; it knows nothing of before. */
	async restart(capacity = this.#options.capacity) {
		this.#options = {...this.#options, capacity};
		const [ip, port] = this.#listener.address.split(':');
		this.#startedAt = performance.now();
		this.#born = Date.now();
		this.#fence = 0;
		this.#leaseEndsAt = 0;
		this.#closedRuns = new Map();
		this.#ended = [];
		this.#lastEnd = 0;
		await this.start(ip, Number(port));
	}

	#register() {
		const {id, zone, service, capacity, labels, store} = this.#options;
		this.#seq++;
		store.set(`servers/${id}`, {
			service, address: this.#listener.address, zone, version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, capacity, labels, born: this.#born, clock_ms: this.#getClock(), seq: this.#seq,
		});
	}

	#getClock() {
		return Math.floor(performance.now() - this.#startedAt);
	}

	async #handle(req, res) {
		const target = req.headers['x-endivemill-target-instance'];
		const order = await readJson(req);
		if (target !== undefined && target !== this.#options.id) {
			sendJson(res, 421, {});
			return;
		}

		if (Math.random() < this.lateShare) {
			await delay(minLateMs + (Math.random() * lateRangeMs));
			res.destroy();
		}

		const {fence = 0} = order;
		if (fence < this.#fence) {
			this.#refuse(res, 'fence');
			return;
		}

		this.#fence = fence;
		switch (req.url) {
			case '/api/run-start': {
				await this.#start(order, req, res);

				break;
			}

			case '/api/run-stop': {
				this.#stop(order);
				sendJson(res, 200, {clock_ms: this.#getClock()});

				break;
			}

			case '/api/hold': {
				await this.#hold(order, res);

				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	#refuse(res, reason) {
		sendJson(res, 409, {clock_ms: this.#getClock(), reason});
	}

	async #start({task, run, spec, until_ms: untilMs}, req, res) {
		if (untilMs <= this.#getClock()) {
			this.#refuse(res, 'late');
			return;
		}

		this.#extendLease(untilMs);
		const running = this.#running.get(task);
		if (running?.run === run) {
			sendJson(res, 200, {clock_ms: this.#getClock()});
			return;
		}

		if (run <= (this.#closedRuns.get(task) ?? 0) || run <= (running?.run ?? 0)) {
			this.#refuse(res, 'old');
			return;
		}

		const {needs, durationMs} = this.#options.getTask(task);
		if (!this.#hasRoom(needs)) {
			this.#refuse(res, 'room');
			return;
		}

		const entry = {
			task, run, spec, needs, minion: this.#options.id, born: this.#born, fence: this.#fence, sender: '', startedAt: performance.now(), endedAt: undefined, end: undefined,
		};
		this.#running.set(task, entry);
		entry.timer = setTimeout(() => {
			this.#end(entry, 'done');
		}, durationMs * this.slowness);
		sendJson(res, 200, {clock_ms: this.#getClock()});
		entry.sender = await this.#options.findSender(req.socket);
		this.#options.onRun(entry);
	}

	#hasRoom(needs) {
		const {capacity, isGuarded = true} = this.#options;
		const used = {cpu: 0, mem_mb: 0, gpu: 0};
		for (const {needs: taken} of this.#running.values()) {
			for (const key of Object.keys(used)) {
				used[key] += taken[key] ?? 0;
			}
		}

		return !isGuarded || Object.keys(used).every(key => used[key] + (needs[key] ?? 0) <= (capacity[key] ?? 0));
	}

	#stop({task, run}) {
		this.#closedRuns.set(task, Math.max(run, this.#closedRuns.get(task) ?? 0));
		const entry = this.#running.get(task);
		if (entry?.run === run) {
			clearTimeout(entry.timer);
			entry.timer = setTimeout(() => {
				this.#end(entry, 'stopped');
			}, stopMs);
		}
	}

	#extendLease(untilMs) {
		this.#leaseEndsAt = Math.max(this.#leaseEndsAt, Math.min(untilMs, this.#getClock() + maxHoldMs));
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = setTimeout(() => {
			for (const entry of this.#running.values()) {
				this.#end(entry, 'lapsed');
			}
		}, Math.max(1, this.#leaseEndsAt - this.#getClock()));
	}

	#end(entry, how) {
		if (this.#running.get(entry.task) !== entry) {
			return;
		}

		clearTimeout(entry.timer);
		this.#running.delete(entry.task);
		this.#closedRuns.set(entry.task, Math.max(entry.run, this.#closedRuns.get(entry.task) ?? 0));
		entry.endedAt = performance.now();
		entry.end = how;
		this.#lastEnd++;
		this.#ended.push([this.#lastEnd, entry.task, entry.run, how, '']);
		for (const wake of this.#waiters) {
			wake();
		}
	}

	async #hold({ack_cursor: acknowledged = 0, until_ms: untilMs, wait_ms: waitMs = 0}, res) {
		this.#ended = this.#ended.filter(([position]) => position > acknowledged);
		if (untilMs !== undefined) {
			this.#extendLease(untilMs);
		}

		if (this.#ended.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiters.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(waitMs, maxWaitMs));
				this.#waiters.add(wake);
			});
		}

		sendJson(res, 200, {
			clock_ms: this.#getClock(),
			born: this.#born,
			running: [...this.#running.values()].map(({task, run}) => [task, run, '', 100, 0]),
			ended: this.#ended.slice(0, maxListedEnds),
		});
	}
}
