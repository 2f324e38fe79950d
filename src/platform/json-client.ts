/**
 * HTTP calls with JSON bodies and a time limit; failures are returned instead of thrown.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {type Clock, type Timer} from '../seams/index.js';

/** An HTTP call. */
export type JsonCall = {
	readonly origin: string;
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly timeoutMs: number;
	/** Maximum size of the answer's body, in bytes; {@link defaultMaxAnswerBytes} by default. */
	readonly maxAnswerBytes?: number;
};

/** Several times the largest page of the store, in bytes. */
const defaultMaxAnswerBytes = 16 * 1024 * 1024;

/** The status and body of an answer, or why there is none; then with the status of an answer whose body could not be read. */
export type JsonOutcome =
	| {readonly kind: 'answered'; readonly status: number; readonly body: unknown}
	| {
		readonly kind: 'unanswered';
		readonly detail: string;
		readonly status?: number;
		/** Whether the host refused the connection. */
		readonly isRefused: boolean;
	};

/** Timer delay above which this process counts as short of processor time, in milliseconds. */
const lateTimerThresholdMs = 10;

/** Options of each call: `JsonCall.timeoutMs` covers the whole call, and each call is sent once. */
const callDefaults = {headersTimeout: 0, bodyTimeout: 0, idempotent: false} as const;

/**
 * Collects one answer. The promise interface of undici creates a stream and an abort signal for each call, which cost more
 * processor time than the call itself.
 */
class AnswerHandler implements Dispatcher.DispatchHandler {
	readonly #clock: Clock;
	readonly #timeoutMs: number;
	readonly #maxAnswerBytes: number;
	readonly #finish: (outcome: JsonOutcome) => void;
	#chunks: Uint8Array[] = [];
	#receivedBytes = 0;
	#controller: Dispatcher.DispatchController | undefined;
	#timer: Timer;
	#status: number | undefined;
	#isFinished = false;

	constructor({clock, call, finish}: {readonly clock: Clock; readonly call: JsonCall; readonly finish: (outcome: JsonOutcome) => void}) {
		this.#clock = clock;
		this.#timeoutMs = call.timeoutMs;
		this.#maxAnswerBytes = call.maxAnswerBytes ?? defaultMaxAnswerBytes;
		this.#finish = finish;
		this.#timer = this.#setTimer(call.timeoutMs);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isFinished) {
			controller.abort(new Error('call ended before it was sent'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this.#status = status;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#receivedBytes += chunk.length;
		if (this.#receivedBytes <= this.#maxAnswerBytes) {
			this.#chunks.push(chunk);
			return;
		}

		this.#chunks = [];
		const err = new Error(`an answer of more than ${this.#maxAnswerBytes} bytes`);
		this.fail(err);
		this.#controller?.abort(err);
	}

	onResponseEnd(): void {
		if (this.#isFinished) {
			return;
		}

		const [first] = this.#chunks;
		const text = this.#chunks.length === 1 ? Buffer.from(first!.buffer, first!.byteOffset, first!.length).toString() : Buffer.concat(this.#chunks).toString();
		try {
			this.#end({kind: 'answered', status: this.#status!, body: text === '' ? undefined : JSON.parse(text)});
		} catch (err) {
			this.fail(err);
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
		this.fail(err);
	}

	/**
	 * Ends a call that has no answer, or none that can be read.
	 * @param err - Error of the HTTP client or of the parser.
	 */
	fail(err: unknown): void {
		this.#end({
			kind: 'unanswered', detail: err instanceof Error ? err.message : String(err), status: this.#status, isRefused: isConnectionRefused(err),
		});
	}

	#setTimer(delayMs: number): Timer {
		const dueAt = this.#clock.getMonotonicTime() + delayMs;
		return this.#clock.setTimer(() => {
			const lateMs = this.#clock.getMonotonicTime() - dueAt;
			if (lateMs > lateTimerThresholdMs) {
				// The answer may have arrived without being read: the limit is extended by the timer's delay.
				this.#timer = this.#setTimer(Math.min(lateMs, this.#timeoutMs));
				return;
			}

			this.fail(new Error(`no answer in ${this.#timeoutMs} ms`));
			this.#controller?.abort(new Error('no answer in time'));
		}, delayMs);
	}

	#end(outcome: JsonOutcome): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#timer.close();
		this.#finish(outcome);
	}
}

/**
 * Makes an HTTP call; never rejects.
 * @param dispatcher - HTTP client.
 * @param clock - Clock of the time limit.
 * @param call - Call to make.
 */
export async function callJson(dispatcher: Dispatcher, clock: Clock, call: JsonCall): Promise<JsonOutcome> {
	return new Promise(resolve => {
		const handler = new AnswerHandler({clock, call, finish: resolve});
		try {
			dispatcher.dispatch({
				...callDefaults,
				origin: call.origin,
				method: call.method,
				path: call.path,
				headers: call.body === undefined ? call.headers : {'content-type': 'application/json', ...call.headers},
				body: call.body === undefined ? undefined : JSON.stringify(call.body),
			}, handler);
		} catch (err) {
			handler.fail(err);
		}
	});
}

/** Gets whether no connection was opened, because nothing listens at the address; an open one that breaks has other codes. */
function isConnectionRefused(err: unknown): boolean {
	return err instanceof Error && 'code' in err && err.code === 'ECONNREFUSED';
}
