/**
 * A stand-in for an upstream on the platform: it receives requests over HTTP, simulates runs with timers and registers in the store.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Run, type RunEnd, type TaskNeeds, type UpstreamDescription,
} from '../pool/index.js';
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
	/** Whether it refuses what exceeds its capacity; true by default. */
	readonly isGuarded?: boolean;
	/** Called when a task has crashed the current instance. */
	readonly onTaskCrashed?: () => void;
	/** Called with the specification in each order that starts a run. */
	readonly onStartOrder?: (task: string, spec: string | undefined) => void;
	readonly clock?: Clock;
};

type UpstreamRequest = {
	readonly task: string;
	readonly run: number;
	readonly fence?: number;
	readonly until_ms?: number;
	readonly ack_cursor?: number;
	readonly wait_ms?: number;
	readonly spec?: string;
};

const defaultCapacity: TaskNeeds = {cpu: 16_000, memoryMb: 32_768, accelerators: 0};

/** Longest time that a request may take, in milliseconds; only faults make a request reach it. */
const requestTimeoutMs = 3000;

const refusalReasons: Readonly<Record<string, string>> = {fenced: 'fence', 'stale-run': 'old', 'no-room': 'room'};

const instanceHeader = 'x-endivemill-target-instance';

/** Every n-th answer is odd while {@link PlatformUpstream.hasOddAnswers} is set. */
const oddAnswerInterval = 3;

/** Answers that do not say whether the order was executed. */
const oddAnswers = [500, 'incomplete', 502, 'truncated', 504, 'nested', 404, 'empty', 408] as const;

/** An upstream that simulates its runs. */
export class PlatformUpstream {
	faults: SimulatedUpstreamFaults;
	/** Gets the status with which a start is answered after it was carried out; `undefined` for the actual outcome. */
	getStartStatus?: (run: Run) => number | undefined;
	/** Whether some orders are executed and answered with something that does not say so. */
	hasOddAnswers = false;
	readonly #options: PlatformUpstreamOptions;
	readonly #simulation: SimulatedUpstreams;
	#server: Server;
	#address = '';
	#description: UpstreamDescription;
	#answerCount = 0;
	#instanceCount = 1;
	#isFormerReachable = false;

	/** @internal */
	constructor(options: PlatformUpstreamOptions) {
		this.#options = options;
		const clock = options.clock ?? systemClock;
		this.#simulation = new SimulatedUpstreams({
			clock, getWork: options.getWork, oneWayLatencyMs: 0, isRoutedByAddress: true, isGuarded: options.isGuarded,
			onTaskCrashed: ({address}) => {
				if (address === this.#description.address) {
					options.onTaskCrashed?.();
				}
			},
		});
		this.#description = {
			id: options.id, bornMs: 1, address: '', dataCenter: options.dataCenter, service: options.service, rack: 'r1', labels: ['a', 'r1'],
			capacity: options.capacity ?? defaultCapacity, isLeaving: false,
		};
		this.faults = this.#simulation.addUpstream(this.#description);
		this.#server = this.#createServer(this.#description);
	}

	/** Opens the listener on loopback and registers the upstream. */
	async open(): Promise<void> {
		this.#address = await listen(this.#server);
		this.register('ready');
	}

	/** Gets all recorded starts. */
	getStarts(): readonly RecordedStart[] {
		return this.#simulation.starts;
	}

	/**
	 * Writes the upstream's entry into the store.
	 * @param state - Whether it accepts tasks.
	 */
	register(state: 'ready' | 'draining'): void {
		this.#options.store.setText(`servers/${this.#options.id}`, JSON.stringify(this.getEntry(state)));
	}

	/**
	 * Gets the upstream's own entry, whatever is in the store.
	 * @param state - Whether it accepts tasks.
	 */
	getEntry(state: 'ready' | 'draining'): Readonly<Record<string, unknown>> {
		const {dataCenter, service} = this.#options;
		const {cpu, memoryMb, accelerators} = this.#description.capacity;
		return {
			service, address: this.#address, zone: dataCenter, version: 'v1', slots: 8, state, cold_remaining_ms: 0,
			capacity: {cpu, mem_mb: memoryMb, gpu: accelerators}, labels: this.#description.labels, born: this.#description.bornMs, seq: 1,
		};
	}

	/** Gets the capacity. */
	getCapacity(): TaskNeeds {
		return this.#description.capacity;
	}

	/**
	 * Changes the capacity, which its entry shows once it is registered again. Its runs go on, even if they exceed it.
	 * @param capacity - New capacity.
	 */
	setCapacity(capacity: TaskNeeds): void {
		this.#description = this.#simulation.setCapacity(this.#options.id, capacity);
	}

	/** Stops the upstream as in a crash of its process: without notice, and its entry stays in the store. */
	async crash(): Promise<void> {
		this.#simulation.crash(this.#options.id);
		await this.close();
	}

	/** Starts a new instance after a crash, with the same identifier and another address. */
	async restart(): Promise<void> {
		await this.#startInstance();
	}

	/**
	 * Starts a new instance with the same identifier at another address, while the former one works on.
	 * @param formerLifeMs - Time for which the former instance works on, in milliseconds.
	 * @param isFormerReachable - Whether the former instance still receives orders.
	 */
	async startAgain(formerLifeMs: number, isFormerReachable: boolean): Promise<void> {
		const {server, address} = await this.#startInstance();
		this.#isFormerReachable = isFormerReachable;
		await delay(formerLifeMs);
		this.#simulation.crashFormer(address);
		await closeServer(server);
	}

	/** Closes the listener and all connections. */
	async close(): Promise<void> {
		await closeServer(this.#server);
	}

	/**
	 * Starts the next instance and registers it.
	 * @returns Listener of the instance before it, and its address in the simulation.
	 */
	async #startInstance(): Promise<{readonly server: Server; readonly address: string}> {
		this.#instanceCount++;
		const description = {...this.#description, bornMs: this.#instanceCount, address: String(this.#instanceCount)};
		const server = this.#createServer(description);
		this.#address = await listen(server);
		const former = {server: this.#server, address: this.#description.address};
		this.#description = description;
		this.#server = server;
		this.faults = this.#simulation.addUpstream(description);
		this.register('ready');
		return former;
	}

	#createServer(description: UpstreamDescription): Server {
		return createServer((req, res) => {
			if (description.address === this.#description.address || this.#isFormerReachable) {
				void this.#handle(description, req, res);
			}
		});
	}

	async #handle(description: UpstreamDescription, req: IncomingMessage, res: ServerResponse): Promise<void> {
		const request = await readJson(req) as UpstreamRequest;
		const target = req.headers[instanceHeader];
		if (target !== undefined && target !== description.id) {
			sendJson(res, 421);
			return;
		}

		const options = {upstream: description, fence: request.fence ?? 0, timeoutMs: requestTimeoutMs};
		const run = {task: request.task, number: request.run};
		switch (req.url ?? '') {
			case '/api/run-start': {
				this.#options.onStartOrder?.(request.task, request.spec);
				const outcome = await this.#simulation.startRun({...options, run, leaseUntilMs: request.until_ms ?? 0});
				const status = this.getStartStatus?.(run);
				if (status === undefined) {
					this.#send(res, outcome);
				} else {
					sendJson(res, status);
				}

				return;
			}

			case '/api/run-stop': {
				this.#send(res, await this.#simulation.stopRun({...options, run}));
				return;
			}

			case '/api/hold': {
				const acknowledged = request.ack_cursor ?? 0;
				const outcome = await this.#simulation.poll({
					...options, acknowledged, leaseUntilMs: request.until_ms, waitMs: request.wait_ms ?? 0,
				});
				if (outcome.kind !== 'seen') {
					this.#send(res, outcome);
					return;
				}

				this.#answer(res, {
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
			this.#answer(res, {clock_ms: Math.floor(outcome.upstreamTimeMs)});
		} else {
			sendJson(res, 409, {clock_ms: 0, reason: refusalReasons[outcome.reason] ?? outcome.reason});
		}
	}

	/** Sends the answer to an executed order, or an odd one. */
	#answer(res: ServerResponse, body: Readonly<Record<string, unknown>>): void {
		this.#answerCount++;
		if (!this.hasOddAnswers || this.#answerCount % oddAnswerInterval > 0) {
			sendJson(res, 200, body);
			return;
		}

		const kind = oddAnswers[Math.floor(this.#answerCount / oddAnswerInterval) % oddAnswers.length]!;
		switch (kind) {
			case 'incomplete': {
				const {running, ...rest} = body;
				sendJson(res, 200, running === undefined ? {} : rest);
				return;
			}

			case 'truncated': {
				const text = JSON.stringify(body);
				res.writeHead(200, {'content-type': 'application/json', 'content-length': text.length});
				res.write(text.slice(0, text.length / 2), () => {
					res.destroy();
				});
				return;
			}

			case 'nested': {
				const levels = 50_000;
				res.writeHead(200, {'content-type': 'application/json'});
				res.end('['.repeat(levels) + ']'.repeat(levels));
				return;
			}

			case 'empty': {
				sendJson(res, 200);
				return;
			}

			case 500:
			case 502:
			case 504:
			case 404:
			case 408: {
				sendJson(res, kind, {clock_ms: body.clock_ms});
			}
		}
	}
}

/** Opens a listener on loopback and gets its address. */
async function listen(server: Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen({host: '127.0.0.1', port: 0}, resolve);
	});
	const {address, port} = server.address() as AddressInfo;
	return `${address}:${port}`;
}

async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}

/**
 * Creates an upstream, opens its listener on loopback and registers it.
 * @param options - Identity, store and run times.
 */
export async function createPlatformUpstream(options: PlatformUpstreamOptions): Promise<PlatformUpstream> {
	const upstream = new PlatformUpstream(options);
	await upstream.open();
	return upstream;
}
