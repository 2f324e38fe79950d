/**
 * A stand-in for an upstream on the platform: it takes orders over HTTP, runs tasks as timers and registers in the store.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type RunEnd, type TaskNeeds, type UpstreamDescription} from '../pool/index.js';
import {type Clock, systemClock} from '../seams/index.js';
import {readJson, sendJson} from './http-json.js';
import {type PlatformStore} from './platform-store.js';
import {
	type RecordedStart, type SimulatedUpstreamFaults, SimulatedUpstreams, type SimulatedWork,
} from './simulated-upstreams.js';

/** Options of {@link createPlatformUpstream}. */
export type PlatformUpstreamOptions = {
	readonly id: string;
	readonly dataCenter: string;
	readonly service: string;
	readonly store: PlatformStore;
	readonly capacity?: TaskNeeds;
	readonly getWork: (task: string) => SimulatedWork;
	readonly clock?: Clock;
};

type Order = {
	readonly task: string;
	readonly run: number;
	readonly fence?: number;
	readonly until_ms?: number;
	readonly ack_cursor?: number;
	readonly wait_ms?: number;
};

const defaultCapacity: TaskNeeds = {cpu: 16_000, memoryMb: 32_768, accelerators: 0};

/** Longest time that an order may take here, in milliseconds; only faults reach it. */
const orderTimeoutMs = 3000;

const reasons: Readonly<Record<string, string>> = {fenced: 'fence', 'stale-run': 'old', 'no-room': 'room'};

/** One upstream. */
export class PlatformUpstream {
	faults: SimulatedUpstreamFaults;
	readonly #options: PlatformUpstreamOptions;
	readonly #runs: SimulatedUpstreams;
	#server: Server;
	#description: UpstreamDescription;

	/** @internal */
	constructor(options: PlatformUpstreamOptions) {
		this.#options = options;
		const clock = options.clock ?? systemClock;
		this.#runs = new SimulatedUpstreams({clock, getWork: options.getWork, oneWayLatencyMs: 0});
		this.#description = {
			id: options.id, bornMs: 1, address: '', dataCenter: options.dataCenter, service: options.service, rack: 'r1', labels: ['a', 'r1'],
			capacity: options.capacity ?? defaultCapacity, isLeaving: false,
		};
		this.faults = this.#runs.addUpstream(this.#description);
		this.#server = this.#createServer();
	}

	/** Starts to listen on loopback and registers. */
	async open(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen({host: '127.0.0.1', port: 0}, resolve);
		});
		this.register('ready');
	}

	/** Gets the starts so far. */
	getStarts(): readonly RecordedStart[] {
		return this.#runs.starts;
	}

	/**
	 * Writes the upstream's entry.
	 * @param state - Whether it takes tasks.
	 */
	register(state: 'ready' | 'draining'): void {
		const {id, dataCenter, service, store} = this.#options;
		const {address, port} = this.#server.address() as AddressInfo;
		const {cpu, memoryMb, accelerators} = this.#description.capacity;
		store.setText(`servers/${id}`, JSON.stringify({
			service, address: `${address}:${port}`, zone: dataCenter, version: 'v1', slots: 8, state, cold_remaining_ms: 0,
			capacity: {cpu, mem_mb: memoryMb, gpu: accelerators}, labels: this.#description.labels, born: this.#description.bornMs, seq: 1,
		}));
	}

	/** Ends the upstream as when its process dies: nothing is said, its entry stays. */
	async crash(): Promise<void> {
		this.#runs.crash(this.#options.id);
		await this.close();
	}

	/** Starts a new life after a crash, under the same identifier at another address. */
	async restart(): Promise<void> {
		this.#description = {...this.#description, bornMs: (this.#description.bornMs ?? 0) + 1};
		this.faults = this.#runs.addUpstream(this.#description);
		this.#server = this.#createServer();
		await this.open();
	}

	/** Ends the upstream. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	#createServer(): Server {
		return createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const order = await readJson(req) as Order;
		const options = {upstream: this.#description, fence: order.fence ?? 0, timeoutMs: orderTimeoutMs};
		const run = {task: order.task, number: order.run};
		switch (req.url ?? '') {
			case '/api/run-start': {
				this.#send(res, await this.#runs.startRun({...options, run, leaseUntilMs: order.until_ms ?? 0}));
				return;
			}

			case '/api/run-stop': {
				this.#send(res, await this.#runs.stopRun({...options, run}));
				return;
			}

			case '/api/hold': {
				const acknowledged = order.ack_cursor ?? 0;
				const outcome = await this.#runs.poll({
					...options, acknowledged, leaseUntilMs: order.until_ms, waitMs: order.wait_ms ?? 0,
				});
				if (outcome.kind !== 'seen') {
					this.#send(res, outcome);
					return;
				}

				sendJson(res, 200, {
					clock_ms: Math.floor(outcome.upstreamTimeMs),
					born: outcome.bornMs,
					running: outcome.running.map(({task, number}) => [task, number, '', 100, 0]),
					ended: outcome.ended.map(({position, task, number, end}) => [position, task, number, end satisfies RunEnd, '']),
				});
				return;
			}

			default: {
				sendJson(res, 404);
			}
		}
	}

	#send(res: ServerResponse, outcome: Awaited<ReturnType<SimulatedUpstreams['startRun']>>): void {
		if (outcome.kind === 'unanswered') {
			res.destroy();
		} else if (outcome.kind === 'done') {
			sendJson(res, 200, {clock_ms: Math.floor(outcome.upstreamTimeMs)});
		} else {
			sendJson(res, 409, {clock_ms: 0, reason: reasons[outcome.reason] ?? outcome.reason});
		}
	}
}

/**
 * Creates an upstream that listens on loopback and is registered.
 * @param options - Identity, store and work.
 */
export async function createPlatformUpstream(options: PlatformUpstreamOptions): Promise<PlatformUpstream> {
	const upstream = new PlatformUpstream(options);
	await upstream.open();
	return upstream;
}
