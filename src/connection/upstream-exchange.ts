/**
 * One request to an upstream and its answer.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {type HeaderList, getAnswerHeaders} from '../request/upstream-request-rules.js';
import {type UpstreamOutcome} from './upstream-outcome.js';

type AnswerHeaders = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2];

/** Options of an {@link UpstreamExchange}. */
export type UpstreamExchangeOptions = {
	readonly notStartedStatuses: readonly number[];
	/** Maximum size of the answer's body in bytes; a larger one fails the request. */
	readonly maxAnswerBytes: number;
	/** Receives the outcome; called exactly once. */
	readonly settle: (outcome: UpstreamOutcome) => void;
};

/** Error codes that are raised only while connecting. */
const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'ENETDOWN', 'ETIMEDOUT', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

const emptyBody = new Uint8Array(0);

/**
 * Handles the events of one request. The HTTP client sends the first byte only after `onRequestStart`, which permits
 * a single start.
 * @internal
 */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
	/** Index in the connection pool's list of running requests; maintained by the pool. */
	poolIndex = 0;

	readonly #options: UpstreamExchangeOptions;
	#controller: Dispatcher.DispatchController | undefined;
	#isSettled = false;
	#status = 0;
	#headers: HeaderList = [];
	#chunks: Uint8Array[] = [];
	#receivedBytes = 0;

	constructor(options: UpstreamExchangeOptions) {
		this.#options = options;
	}

	/** Whether any byte of the request may have been sent. */
	get isStarted(): boolean {
		return this.#controller !== undefined;
	}

	/**
	 * Ends the request early and destroys its connection, if any; does nothing once the request has settled.
	 * @param detail - Reason reported in the outcome.
	 * @param isUnreachable - Whether no connection could be opened; applies only to a request that has not started.
	 */
	abort(detail: string, isUnreachable = false): void {
		if (this.#isSettled) {
			return;
		}

		if (this.#controller === undefined) {
			this.#settle({kind: 'not_started', detail, isUnreachable});
			return;
		}

		this.#settleWithoutAnswer(detail);
		this.#controller.abort(new Error(detail));
	}

	/** @internal */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		// A second start would be a retry by the HTTP client on a new connection.
		if (this.#isSettled || this.#controller !== undefined) {
			controller.abort(new Error('request must not be sent'));
			return;
		}

		this.#controller = controller;
	}

	/** @internal */
	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
		const isInterim = status < 200;
		if (isInterim) {
			return;
		}

		this.#status = status;
		if (Number(headers['content-length'] ?? 0) > this.#options.maxAnswerBytes) {
			this.abort('answer is too long');
			return;
		}

		if (status < 500) {
			this.#headers = getAnswerHeaders(toHeaderList(headers));
		}
	}

	/** @internal */
	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#receivedBytes += chunk.byteLength;
		if (this.#receivedBytes > this.#options.maxAnswerBytes) {
			this.abort('answer is too long');
			return;
		}

		if (this.#status < 500) {
			this.#chunks.push(chunk);
		}
	}

	/** @internal */
	onResponseEnd(): void {
		const status = this.#status;
		if (status >= 500 || this.#options.notStartedStatuses.includes(status)) {
			this.#settleWithoutAnswer(`status ${status}`);
			return;
		}

		const body = this.#chunks.length > 1 ? Buffer.concat(this.#chunks, this.#receivedBytes) : this.#chunks[0] ?? emptyBody;
		this.#settle({
			kind: 'answered', status, headers: this.#headers, body,
		});
	}

	/** @internal */
	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		if (this.#controller !== undefined) {
			this.#settleWithoutAnswer(getDetail(err));
			return;
		}

		this.#settle({kind: 'not_started', detail: getDetail(err), isUnreachable: connectErrorCodes.has(getCode(err))});
	}

	/**
	 * Settles a started request that got no usable answer. It is `not_started` if its status proves a refusal, even when
	 * the body of the refusal is incomplete.
	 */
	#settleWithoutAnswer(detail: string): void {
		const status = this.#status === 0 ? undefined : this.#status;
		if (status !== undefined && this.#options.notStartedStatuses.includes(status)) {
			this.#settle({
				kind: 'not_started', detail: `status ${status}`, isUnreachable: false, status,
			});
			return;
		}

		this.#settle({kind: 'failed', detail, status});
	}

	#settle(outcome: UpstreamOutcome): void {
		if (this.#isSettled) {
			return;
		}

		this.#isSettled = true;
		this.#chunks = [];
		this.#options.settle(outcome);
	}
}

function toHeaderList(headers: AnswerHeaders): HeaderList {
	const list: Array<readonly [string, string]> = [];
	for (const [name, value] of Object.entries(headers)) {
		if (typeof value === 'string') {
			list.push([name, value]);
			continue;
		}

		for (const item of value ?? []) {
			list.push([name, item]);
		}
	}

	return list;
}

function getCode(err: Error): string {
	return 'code' in err && typeof err.code === 'string' ? err.code : '';
}

function getDetail(err: Error): string {
	const code = getCode(err);
	return code === '' ? err.message : `${code}: ${err.message}`;
}
