/**
 * Orders to upstreams over HTTP.
 */
import {
	type DecisionLog, type PollOutcome, type OrderOptions, type OrderOutcome, type OrderRefusal, type Run, type RunEnd, type UpstreamOrders,
} from '../pool/index.js';
import {type Clock} from '../seams/index.js';
import {type JsonOutcome} from './json-client.js';
import {OrderClient} from './order-client.js';
import {
	createHoldBody, createStartBody, createStopBody, decodeHoldAnswer, decodeOrderAnswer,
} from './wire-messages.js';

/** Options of {@link HttpOrders}. */
export type HttpOrdersOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
};

type Order = 'start' | 'stop' | 'poll';

/** Connections to one upstream: one for a waiting poll, the others for concurrent orders. */
const connectionsPerUpstream = 4;
const connectTimeoutMs = 250;

/** Idle time after which a connection is closed, in milliseconds; opening a connection costs more than keeping an idle one. */
const idleConnectionMs = 30_000;

/** Maximum number of ends in an answer of an upstream. */
const maxListedEnds = 500;

/** Maximum size of an answer, in bytes: far above that of 500 ends and as many runs. */
const maxAnswerBytes = 1024 * 1024;

const undecodableAnswer = 'the answer cannot be decoded';

/** What the value of a header may consist of. */
const headerPattern = /^[\t\u0020-\u007E]*$/v;
const instanceHeader = 'X-Endivemill-Target-Instance';
const paths: Readonly<Record<Order, string>> = {start: '/api/run-start', stop: '/api/run-stop', poll: '/api/hold'};

const runEnds: ReadonlySet<string> = new Set<RunEnd>(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);

/** Maximum length of a text of an upstream in the log. */
const maxLoggedLength = 64;

/** The reasons for which an upstream rejects an order with status 409. */
const refusalReasons: ReadonlyMap<string, OrderRefusal> = new Map([
	['fence', 'fenced'], ['old', 'stale-run'], ['late', 'late'], ['room', 'no-room'], ['ticket', 'invalid'],
]);

/** The other statuses that promise that an order was not carried out. */
const refusalStatuses: ReadonlyMap<number, OrderRefusal> = new Map([
	[400, 'invalid'], [421, 'wrong-instance'], [429, 'unhealthy'], [503, 'unhealthy'],
]);

/** Sends orders to upstreams; never retries. */
export class HttpOrders implements UpstreamOrders {
	readonly #options: HttpOrdersOptions;
	readonly #client: OrderClient;

	constructor(options: HttpOrdersOptions) {
		this.#options = options;
		this.#client = new OrderClient({
			clock: options.clock, maxConnections: connectionsPerUpstream, connectTimeoutMs, idleMs: idleConnectionMs, maxAnswerBytes,
		});
	}

	async startRun(options: OrderOptions & {readonly run: Run; readonly spec: string; readonly leaseUntilMs: number}): Promise<OrderOutcome> {
		return this.#order('start', options, createStartBody(options), toOrderOutcome);
	}

	async stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome> {
		return this.#order('stop', options, createStopBody(options), toOrderOutcome);
	}

	async poll(options: OrderOptions & {readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): Promise<PollOutcome> {
		return this.#order('poll', options, createHoldBody(options), answer => this.#toPollOutcome(options, answer));
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		this.#client.close();
	}

	async #order<T extends OrderOutcome | PollOutcome>(order: Order, options: OrderOptions & {readonly run?: Run}, body: unknown, toOutcome: (answer: JsonOutcome) => T): Promise<T> {
		const {upstream, timeoutMs} = options;
		const answer: JsonOutcome = headerPattern.test(upstream.id)
			? await this.#client.call({
				address: upstream.address, path: paths[order], headers: `${instanceHeader}: ${upstream.id}\r\n`, body, timeoutMs, isRepeatable: order === 'poll',
			})
			: {kind: 'unanswered', detail: 'the id cannot be sent', isRefused: false};
		const outcome = toOutcome(answer);
		this.#logFailure(order, options, answer, outcome);
		return outcome;
	}

	#toPollOutcome({upstream}: OrderOptions, outcome: JsonOutcome): PollOutcome {
		if (outcome.kind === 'unanswered') {
			return outcome;
		}

		if (outcome.status !== 200) {
			return toFailure(outcome.status, outcome.body);
		}

		const answer = decodeHoldAnswer(outcome.body);
		if (answer === undefined) {
			return {kind: 'unanswered', detail: undecodableAnswer};
		}

		const {clock_ms: upstreamTimeMs, born: bornMs, running, ended} = answer;
		return {
			kind: 'seen',
			bornMs,
			upstreamTimeMs,
			running: running.map(([task, number, , percent]) => isPercent(percent) ? {task, number, percent} : {task, number}),
			ended: ended.map(([position, task, number, end]) => ({
				position, task, number, end: this.#toRunEnd(upstream.id, {task, number}, end),
			})),
			isEndListComplete: ended.length < maxListedEnds,
		};
	}

	/** Converts how a run ended. An unknown end counts as a failure: the run has ended, but its task is not known to be done. */
	#toRunEnd(upstream: string, {task, number}: Run, end: string): RunEnd {
		if (isRunEnd(end)) {
			return end;
		}

		this.#options.log.info({
			upstream, task: task.slice(0, maxLoggedLength), run: number, end: end.slice(0, maxLoggedLength),
		}, 'unknown end of a run');
		return 'failed';
	}

	#logFailure(order: Order, {upstream, run}: OrderOptions & {readonly run?: Run}, answer: JsonOutcome, outcome: OrderOutcome | PollOutcome): void {
		const {log} = this.#options;
		const fields = {
			order, upstream: upstream.id, task: run?.task, run: run?.number, status: answer.status,
		};
		if (outcome.kind === 'refused') {
			log.info({...fields, reason: outcome.reason}, 'order refused by its upstream');
		} else if (outcome.kind === 'unanswered' && order === 'poll' && answer.status === undefined) {
			// An upstream that is down is polled several times a second.
			log.debug({...fields, detail: outcome.detail}, 'order not answered');
		} else if (outcome.kind === 'unanswered') {
			log.info({...fields, detail: outcome.detail}, 'order not answered');
		}
	}
}

function toOrderOutcome(outcome: JsonOutcome): OrderOutcome {
	if (outcome.kind === 'unanswered') {
		return outcome;
	}

	if (outcome.status !== 200) {
		return toFailure(outcome.status, outcome.body);
	}

	const answer = decodeOrderAnswer(outcome.body);
	return answer ? {kind: 'done', upstreamTimeMs: answer.clock_ms} : {kind: 'unanswered', detail: undecodableAnswer};
}

/** Converts any answer but 200. After an answer that does not promise otherwise, such as 500, the order may have been carried out. */
function toFailure(status: number, body: unknown): Exclude<OrderOutcome, {readonly kind: 'done'}> {
	const reason = status === 409 ? refusalReasons.get(decodeOrderAnswer(body)?.reason ?? '') : refusalStatuses.get(status);
	return reason === undefined ? {kind: 'unanswered', detail: `status ${status}`} : {kind: 'refused', reason};
}

/** Some upstreams report 100 for each run, which says nothing of one that goes on. */
function isPercent(percent: unknown): percent is number {
	return typeof percent === 'number' && percent >= 0 && percent < 100;
}

function isRunEnd(end: string): end is RunEnd {
	return runEnds.has(end);
}
