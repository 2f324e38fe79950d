/**
 * Orders to upstreams over HTTP.
 */
import {Agent} from 'undici';
import {
	type PollOutcome, type OrderOptions, type OrderOutcome, type OrderRefusal, type Run, type RunEnd, type UpstreamOrders,
} from '../pool/index.js';
import {type Clock} from '../seams/index.js';
import {callJson, type JsonOutcome} from './json-client.js';
import {
	createHoldBody, createStartBody, createStopBody, decodeHoldAnswer, decodeOrderAnswer,
} from './wire-messages.js';

/** Options of {@link HttpOrders}. */
export type HttpOrdersOptions = {
	readonly clock: Clock;
};

/** Connections to one upstream: one for a waiting poll, the others for concurrent orders. */
const connectionsPerUpstream = 4;
const connectTimeoutMs = 250;

/** Idle time after which a connection is closed, in milliseconds; opening a connection costs more than keeping an idle one. */
const idleConnectionMs = 30_000;

/** Maximum number of ends in an answer of an upstream. */
const maxListedEnds = 500;

const undecodableAnswer = 'the answer cannot be decoded';
const instanceHeader = 'X-Endivemill-Target-Instance';

const refusalReasons: Readonly<Record<string, OrderRefusal>> = {
	fence: 'fenced', old: 'stale-run', late: 'late', room: 'no-room',
};

/** Sends orders to upstreams; never retries. */
export class HttpOrders implements UpstreamOrders {
	readonly #clock: Clock;
	readonly #agent = new Agent({
		connections: connectionsPerUpstream,
		pipelining: 1,
		connect: {timeout: connectTimeoutMs},
		keepAliveTimeout: idleConnectionMs,
	});

	constructor(options: HttpOrdersOptions) {
		this.#clock = options.clock;
	}

	async startRun(options: OrderOptions & {readonly run: Run; readonly spec: string; readonly leaseUntilMs: number}): Promise<OrderOutcome> {
		return toOrderOutcome(await this.#send(options, '/api/run-start', createStartBody(options)));
	}

	async stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome> {
		return toOrderOutcome(await this.#send(options, '/api/run-stop', createStopBody(options)));
	}

	async poll(options: OrderOptions & {readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): Promise<PollOutcome> {
		const outcome = await this.#send(options, '/api/hold', createHoldBody(options));
		if (outcome.kind === 'unanswered') {
			return outcome;
		}

		if (outcome.status !== 200) {
			return toRefusal(outcome.status, outcome.body);
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
			running: running.map(([task, number]) => ({task, number})),
			ended: ended.map(([position, task, number, end]) => ({
				position, task, number, end: end as RunEnd,
			})),
			isEndListComplete: ended.length < maxListedEnds,
		};
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #send({upstream, timeoutMs}: OrderOptions, path: string, body: unknown): Promise<JsonOutcome> {
		return callJson(this.#agent, this.#clock, {
			origin: `http://${upstream.address}`, method: 'POST', path, headers: {[instanceHeader]: upstream.id}, body, timeoutMs,
		});
	}
}

function toOrderOutcome(outcome: JsonOutcome): OrderOutcome {
	if (outcome.kind === 'unanswered') {
		return outcome;
	}

	if (outcome.status !== 200) {
		return toRefusal(outcome.status, outcome.body);
	}

	const answer = decodeOrderAnswer(outcome.body);
	return answer ? {kind: 'done', upstreamTimeMs: answer.clock_ms} : {kind: 'unanswered', detail: undecodableAnswer};
}

function toRefusal(status: number, body: unknown): {readonly kind: 'refused'; readonly reason: OrderRefusal} {
	switch (status) {
		case 409: {
			const reason = decodeOrderAnswer(body)?.reason ?? '';
			return {kind: 'refused', reason: refusalReasons[reason] ?? 'invalid'};
		}

		case 421: {
			return {kind: 'refused', reason: 'wrong-instance'};
		}

		case 429:
		case 503: {
			return {kind: 'refused', reason: 'unhealthy'};
		}

		default: {
			return {kind: 'refused', reason: 'invalid'};
		}
	}
}
