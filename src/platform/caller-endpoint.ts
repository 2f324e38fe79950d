/**
 * The HTTP interface for callers on the platform: jobs are addressed by route and identifier.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Buffer, isUtf8} from 'node:buffer';
import {type Socket} from 'node:net';
import {type CallerMemory, readRequestBody, type RequestBody} from '../connection/index.js';
import {
	type DecisionLog, findRoute, type PoolJobOutcome, type PoolNode, type Route, type RoutingTable,
} from '../pool/index.js';
import {type Clock} from '../seams/index.js';
import {type CancelledJobs} from './cancelled-jobs.js';
import {decodeJob} from './decode-job.js';

/** Options of {@link CallerEndpoint}. */
export type CallerEndpointOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly node: PoolNode;
	readonly cancelledJobs: Pick<CancelledJobs, 'addRequest' | 'cancel' | 'isCancelled'>;
	readonly getRoutingTable: () => RoutingTable | undefined;
	/** Account of the memory of requests; none by default. */
	readonly memory?: CallerMemory;
	/** Called once for each answered request. */
	readonly onAnswer: (answer: {readonly route: string; readonly status: number; readonly cause: string; readonly totalMs: number; readonly unreadMs: number}) => void;
};

type Answer = {
	readonly status: number;
	readonly body?: unknown;
	readonly retryAfterMs?: number;
	/** Reason for the status, for logs and metrics. */
	readonly cause: string;
};

/** What a request addresses. */
type RequestTarget = {readonly table: RoutingTable | undefined; readonly route: Route | undefined; readonly path: string; readonly unreadMs: number};

/** A submission; `unreadMs` is the time for which it may have waited until it was read, in milliseconds. */
type SubmitTarget = {readonly id: string; readonly route: Route; readonly maxBodyBytes: number; readonly unreadMs: number};

const deadlineHeader = 'x-endivemill-deadline-ms';

/** Deadline of a job whose request has no deadline header, in milliseconds. */
const defaultDeadlineMs = 30_000;

/** Size limit of a body that is read without a configuration, in bytes. */
const defaultMaxBodyBytes = 262_144;

/** Longest part of a path in the log, in characters; a caller chooses it. */
const maxLoggedPathLength = 256;

/** Time after which a caller refused for lack of memory may come back, in milliseconds. */
const memoryRetryMs = 1000;

/** Causes of answers to bodies of which no more is read. */
const unreadableCauses: ReadonlySet<string> = new Set(['too-large', 'broken-off', 'memory', 'connections', 'slow-body', 'unread-answer', 'small-chunks']);

const noMemory: Answer = {status: 503, retryAfterMs: memoryRetryMs, cause: 'memory'};
const noSuchJob: Answer = {status: 410, cause: 'no-such-job'};
const cancelled: Answer = {status: 200, body: {state: 'cancelled'}, cause: 'cancelled'};

const jobIdPattern = /^[\da-f]{16}$/v;

/** Handles the HTTP requests of callers. */
export class CallerEndpoint {
	readonly #options: CallerEndpointOptions;
	readonly #pending = new Set<AbortController>();
	#pendingCount = 0;
	#isRefusing = false;

	constructor(options: CallerEndpointOptions) {
		this.#options = options;
	}

	/** Gets the number of requests that have not been answered yet. */
	getPendingCount(): number {
		return this.#pendingCount;
	}

	/** Refuses new jobs from now on, because the process ends before they could complete. */
	refuse(): void {
		this.#isRefusing = true;
	}

	/** Abandons all pending jobs, so that their callers get complete answers before the process ends. */
	abort(): void {
		for (const controller of this.#pending) {
			controller.abort();
		}
	}

	/**
	 * Answers a request; never rejects.
	 * @param req - Request.
	 * @param res - Response that the answer is written to.
	 */
	async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, node, onAnswer, log} = this.#options;
		const arrivedAt = clock.getMonotonicTime();
		const unreadMs = node.getUnreadMs();
		this.#pendingCount++;
		const host = (req.headers.host ?? '').split(':')[0]!;
		const path = (req.url ?? '/').split('?')[0]!;
		const table = this.#options.getRoutingTable();
		const route = table && findRoute(table, host, path);
		const answer = await this.#answer(req, {
			table, route, path, unreadMs,
		});
		this.#pendingCount--;
		const totalMs = clock.getMonotonicTime() - arrivedAt;
		log.info({
			req: path.slice(0, maxLoggedPathLength), method: req.method, route: route?.rules.route, version: table?.version, status: answer.status, cause: answer.cause, totalMs: Math.round(totalMs),
			unreadMs: Math.round(unreadMs), isGone: res.destroyed,
		}, 'request answered');
		onAnswer({
			route: route?.rules.route ?? '', status: answer.status, cause: answer.cause, totalMs, unreadMs,
		});
		if (!req.complete && !req.readableEnded && !(await this.#isRestRead(req, answer))) {
			res.shouldKeepAlive = false;
		}

		writeJson(res, answer);
	}

	/** Reads the rest of a body that is not needed, since a caller that is still sending may miss its answer when the connection is closed. */
	async #isRestRead(req: IncomingMessage, {cause}: Answer): Promise<boolean> {
		if (req.destroyed || unreadableCauses.has(cause)) {
			return false;
		}

		const {memory, getRoutingTable} = this.#options;
		const rest = await readRequestBody(req, {memory, maxBytes: getRoutingTable()?.maxBodyBytes ?? defaultMaxBodyBytes});
		return rest.kind === 'whole';
	}

	async #answer(req: IncomingMessage, {table, route, path, unreadMs}: RequestTarget): Promise<Answer> {
		if (table === undefined) {
			return {status: 503, retryAfterMs: 1000, cause: 'no-configuration'};
		}

		if (route === undefined) {
			return {status: 404, cause: 'no-route'};
		}

		const id = path.slice(route.prefix.length);
		if (req.method === 'GET' && id === '') {
			// A job that is not stored is answered by the request that submits it, so none is pending between requests.
			return {status: 200, body: {pending: 0}, cause: 'count'};
		}

		if (this.#isRefusing) {
			return {status: 503, retryAfterMs: 1000, cause: 'stopping'};
		}

		if (!jobIdPattern.test(id)) {
			return {status: 400, cause: 'bad-id'};
		}

		if (req.method === 'POST') {
			return this.#submit(req, {
				id, route, maxBodyBytes: table.maxBodyBytes, unreadMs,
			});
		}

		if (req.method === 'DELETE') {
			return this.#cancel(id);
		}

		return req.method === 'GET' ? noSuchJob : {status: 405, cause: 'bad-method'};
	}

	async #cancel(id: string): Promise<Answer> {
		const outcome = await this.#options.cancelledJobs.cancel(id);
		if (outcome === 'unanswered') {
			return {status: 503, retryAfterMs: 1000, cause: 'not-cancelled'};
		}

		return outcome === 'cancelled' ? cancelled : noSuchJob;
	}

	async #submit(req: IncomingMessage, {id, route, maxBodyBytes, unreadMs}: SubmitTarget): Promise<Answer> {
		const {clock, node, cancelledJobs, memory} = this.#options;
		const readAt = clock.getMonotonicTime();
		if (memory?.isFull()) {
			return noMemory;
		}

		const body = await readRequestBody(req, {maxBytes: maxBodyBytes, memory});
		if (body.kind !== 'whole') {
			return toBodyAnswer(body);
		}

		const {buffer, byteOffset, byteLength} = body.bytes;
		const bytes = Buffer.from(buffer, byteOffset, byteLength);
		if (!isUtf8(bytes)) {
			// Decoded with replacement characters it would run as another job than the caller's.
			return {status: 400, cause: 'bad-body', body: {error: 'not UTF-8'}};
		}

		const decoded = decodeJob(id, bytes.toString(), route.rules);
		if (decoded.kind === 'invalid') {
			return {status: 400, cause: 'bad-body', body: {error: decoded.detail}};
		}

		if (decoded.kind === 'unsupported') {
			return {status: 503, cause: 'unsupported', body: {error: decoded.detail}};
		}

		if (cancelledJobs.isCancelled(id)) {
			return cancelled;
		}

		const remainingMs = Number(req.headers[deadlineHeader] ?? defaultDeadlineMs) - unreadMs - (clock.getMonotonicTime() - readAt);
		const controller = new AbortController();
		const abort = (): void => {
			controller.abort();
		};

		this.#pending.add(controller);
		const removeRequest = cancelledJobs.addRequest(id, abort);
		const stopWatching = watchConnectionEnd(req.socket, abort);
		// A network partition hides the end of the caller's connection. From its deadline on the caller may submit the job again, which it could not if this VM went on waiting.
		const timer = clock.setTimer(abort, remainingMs);
		memory?.addWholeBytes(byteLength);
		const outcome = await node.submit(decoded.job, remainingMs, controller.signal);
		memory?.addWholeBytes(-byteLength);
		timer.close();
		this.#pending.delete(controller);
		stopWatching();
		removeRequest();
		const hasEnded = outcome.kind === 'completed' || outcome.kind === 'failed';
		return cancelledJobs.isCancelled(id) && !hasEnded ? cancelled : toAnswer(outcome);
	}
}

/** Events of a connection of which one is emitted as soon as its end is read; `close` follows turns of the event loop later. */
const endEvents = ['end', 'error', 'close'] as const;

/**
 * Calls a function when the end of a caller's connection is read.
 * @returns Function that ends the calls.
 */
function watchConnectionEnd(socket: Socket, onEnd: () => void): () => void {
	if (socket.destroyed || socket.readableEnded) {
		onEnd();
	}

	for (const event of endEvents) {
		socket.once(event, onEnd);
	}

	return () => {
		for (const event of endEvents) {
			socket.off(event, onEnd);
		}
	};
}

function toBodyAnswer(body: Exclude<RequestBody, {readonly kind: 'whole'}>): Answer {
	switch (body.kind) {
		case 'too-large': {
			return {status: 413, cause: body.kind};
		}

		case 'broken-off': {
			return {status: 400, cause: body.kind};
		}

		case 'refused': {
			return body.cause === 'slow-body' ? {status: 408, cause: body.cause} : {status: 503, retryAfterMs: memoryRetryMs, cause: body.cause};
		}
	}
}

function toAnswer(outcome: PoolJobOutcome): Answer {
	switch (outcome.kind) {
		case 'completed':
		case 'failed': {
			return {status: 200, body: {state: outcome.kind}, cause: outcome.kind};
		}

		case 'refused': {
			return {status: 503, retryAfterMs: outcome.retryAfterMs, cause: outcome.reason};
		}

		case 'moved': {
			return {status: 502, cause: 'moved'};
		}

		case 'interrupted': {
			return {status: 502, cause: outcome.reason};
		}
	}
}

function writeJson(res: ServerResponse, {status, body, retryAfterMs}: Answer): void {
	if (res.destroyed || res.headersSent) {
		return;
	}

	const text = body === undefined ? '' : JSON.stringify(body);
	res.writeHead(status, {
		...(text === '' ? undefined : {'Content-Type': 'application/json'}),
		...(retryAfterMs === undefined ? undefined : {'Retry-After': String(Math.ceil(retryAfterMs / 1000))}),
		'Content-Length': Buffer.byteLength(text),
	});
	res.end(text);
}
