/**
 * A small upstream for tests and measurements: it runs tasks for a given time, can inject faults, and records every start,
 * so that a test can count how often a task ran.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {finished} from 'node:stream/promises';
import {
	type Clock, type Random, systemClock, systemRandom,
} from '../seams/index.js';
import {noUpstreamFaults, type UpstreamFaults, upstreamFaultsSchema} from './upstream-faults.js';
import {
	type RecordedRequest, type UpstreamCounts, type UpstreamEndReason, UpstreamRecord, type UpstreamRecordEntry,
} from './upstream-record.js';

/** Options of an {@link UpstreamStandIn}. */
export type UpstreamStandInOptions = {
	/** Name of the upstream in the record and in answers. */
	readonly name?: string;
	/** IP address to listen on. */
	readonly host?: string;
	/** Port to listen on; 0 lets the operating system choose. */
	readonly port?: number;
	/** Number of tasks that the upstream is meant to run at the same time; not enforced, but visible in the counters. */
	readonly slots?: number;
	/** Gets the run time in milliseconds of a task whose request has none. */
	readonly getRunMs?: (random: Random) => number;
	readonly faults?: UpstreamFaults;
	/** Whether starts and ends are kept; otherwise they are only counted. */
	readonly isRecording?: boolean;
	readonly clock?: Clock;
	readonly random?: Random;
};

const defaultSlots = 8;
const taskIdHeader = 'x-task-id';
const runTimeHeader = 'x-run-ms';
const answerBytesHeader = 'x-answer-bytes';
const recordPath = '/record';
const controlPath = '/control';
const maxControlBytes = 65_536;

/** Runs tasks over HTTP and records them. */
export class UpstreamStandIn {
	/** Name of the upstream in the record and in answers. */
	readonly name: string;
	/** Number of tasks that the upstream is meant to run at the same time. */
	readonly slots: number;
	readonly #host: string;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #getRunMs: (random: Random) => number;
	readonly #server: Server;
	readonly #record: UpstreamRecord;
	readonly #sockets = new Set<Socket>();
	readonly #silentSockets = new WeakSet<Socket>();
	#faults: UpstreamFaults;
	#port: number;

	constructor(options: UpstreamStandInOptions = {}) {
		this.name = options.name ?? 'upstream';
		this.slots = options.slots ?? defaultSlots;
		this.#host = options.host ?? '127.0.0.1';
		this.#port = options.port ?? 0;
		this.#clock = options.clock ?? systemClock;
		this.#random = options.random ?? systemRandom;
		this.#getRunMs = options.getRunMs ?? (() => 0);
		this.#faults = options.faults ?? noUpstreamFaults;
		this.#record = new UpstreamRecord({
			upstream: this.name,
			clock: this.#clock,
			isRecording: options.isRecording ?? true,
			isLeaving: () => this.#faults.leaving,
		});
		this.#server = createServer({keepAliveTimeout: 60_000}, (req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Gets the address as `IP:port`; valid after `listen`. */
	getAddress(): string {
		return `${this.#host}:${this.#port}`;
	}

	/** Gets the port that the upstream listens on. */
	getPort(): number {
		return this.#port;
	}

	/** Gets the kept starts, ends and refusals, oldest first. */
	getRecord(): readonly UpstreamRecordEntry[] {
		return this.#record.getEntries();
	}

	/** Gets the counters. */
	getCounts(): UpstreamCounts {
		return this.#record.getCounts();
	}

	/** Gets the active faults. */
	getFaults(): UpstreamFaults {
		return this.#faults;
	}

	/** Discards the kept entries; the counters stay. */
	clearRecord(): void {
		this.#record.clear();
	}

	/** Opens the listener, unless the fault `refuse` is active. */
	async listen(): Promise<void> {
		if (!this.#faults.refuse) {
			await this.#openListener();
		}
	}

	/**
	 * Changes some of the faults; the others stay. Running tasks keep the faults that they started with.
	 * @param changes - Faults to change.
	 */
	async setFaults(changes: Partial<UpstreamFaults>): Promise<void> {
		this.#faults = upstreamFaultsSchema.parse({...this.#faults, ...changes});
		await (this.#faults.refuse ? this.#closeListener() : this.#openListener());
	}

	/** Silences the currently open connections permanently: no further request is executed or answered on them. New connections work. */
	silenceConnections(): void {
		for (const socket of this.#sockets) {
			this.#silentSockets.add(socket);
		}
	}

	/** Closes all connections immediately, as in a crash of the process; the listener stays as it is. */
	breakConnections(): void {
		this.#server.closeAllConnections();
	}

	/** Closes the listener and all connections. */
	async close(): Promise<void> {
		const closed = this.#closeListener();
		this.#server.closeAllConnections();
		await closed;
	}

	async #openListener(): Promise<void> {
		if (this.#server.listening) {
			return;
		}

		this.#server.listen(this.#port, this.#host);
		await once(this.#server, 'listening');
		this.#port = (this.#server.address() as AddressInfo).port;
	}

	async #closeListener(): Promise<void> {
		if (!this.#server.listening) {
			return;
		}

		// Closes the listener immediately; waiting for the callback would wait for the connections of running tasks.
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this.#silentSockets.has(req.socket)) {
			return;
		}

		const url = new URL(req.url ?? '/', 'http://upstream');
		try {
			if (url.pathname === recordPath) {
				this.#sendRecord(res);
			} else if (url.pathname === controlPath) {
				await this.#handleControl(req, res);
			} else {
				await this.#runTask(req, res, url);
			}
		} catch {
			res.destroy();
		}
	}

	#sendRecord(res: ServerResponse): void {
		const lines = this.#record.getEntries().map(entry => `${JSON.stringify(entry)}\n`);
		res.writeHead(200, {'content-type': 'application/jsonl'});
		res.end(lines.join(''));
	}

	async #handleControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.method === 'PUT') {
			const parsed = await readFaults(req, this.#faults);
			if (parsed === undefined) {
				res.writeHead(400).end();
				return;
			}

			await this.setFaults(parsed);
		}

		res.writeHead(200, {'content-type': 'application/json'});
		res.end(JSON.stringify({...this.getCounts(), faults: this.#faults}));
	}

	async #runTask(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
		const faults = this.#faults;
		const request = getRecordedRequest(req);
		if (faults.mode === 'unavailable') {
			this.#record.addRefusal(request);
			req.resume();
			res.writeHead(503).end();
			return;
		}

		const start = this.#record.addStart(request);
		const isComplete = await readBody(req);
		if (!isComplete) {
			this.#record.addEnd(request, 'abandoned');
			return;
		}

		if (faults.mode === 'silent') {
			res.once('close', () => {
				this.#record.addEnd(request, 'abandoned');
			});
			return;
		}

		if (faults.mode !== 'fail') {
			await this.#wait(this.#getTaskRunMs(req, url) * faults.slowFactor);
		}

		if (this.#silentSockets.has(req.socket)) {
			this.#record.addEnd(request, 'abandoned');
			return;
		}

		const answer = getAnswerBody(this.name, request.task, start, Number(getHeader(req, answerBytesHeader) ?? 0));
		this.#record.addEnd(request, sendAnswer(res, answer, faults));
	}

	#getTaskRunMs(req: IncomingMessage, url: URL): number {
		const named = getHeader(req, runTimeHeader) ?? url.searchParams.get('run-ms') ?? undefined;
		return named === undefined ? this.#getRunMs(this.#random) : Number(named);
	}

	async #wait(delayMs: number): Promise<void> {
		if (!(delayMs > 0)) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#clock.setTimer(resolve, delayMs);
		});
	}
}

function getHeader(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return typeof value === 'string' ? value : undefined;
}

function getRecordedRequest(req: IncomingMessage): RecordedRequest {
	return {
		task: getHeader(req, taskIdHeader) ?? '',
		method: req.method ?? '',
		path: req.url ?? '',
	};
}

/** Reads the whole body; false when the connection closed before its end. */
async function readBody(req: IncomingMessage): Promise<boolean> {
	try {
		await finished(req.resume(), {writable: false});
	} catch {
		return false;
	}

	return true;
}

async function readFaults(req: IncomingMessage, currentFaults: UpstreamFaults): Promise<UpstreamFaults | undefined> {
	if (Number(req.headers['content-length'] ?? 0) > maxControlBytes) {
		return undefined;
	}

	const body = await text(req);
	try {
		const changes = JSON.parse(body) as Record<string, unknown>;
		return upstreamFaultsSchema.safeParse({...currentFaults, ...changes}).data;
	} catch {
		return undefined;
	}
}

/** Creates an answer with the task and the position of its start, so that a second run of the task gives a different answer. */
function getAnswerBody(upstream: string, task: string, start: number, minBytes: number): string {
	const body = JSON.stringify({task, upstream, start});
	return body.padEnd(minBytes, ' ');
}

function sendAnswer(res: ServerResponse, answer: string, faults: UpstreamFaults): UpstreamEndReason {
	if (res.destroyed) {
		return 'abandoned';
	}

	const headers = {'content-type': 'application/json', 'content-length': Buffer.byteLength(answer)};
	if (faults.mode === 'fail') {
		res.writeHead(500, headers).end(answer);
		return 'failed';
	}

	if (faults.mode === 'break-off') {
		res.writeHead(200, headers);
		res.write(answer.slice(0, answer.length / 2), () => {
			res.destroy();
		});
		return 'broken-off';
	}

	res.writeHead(200, headers).end(answer);
	return 'answered';
}
