/**
 * Calls with JSON bodies and a time limit; the outcome is a value.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {type Clock, type Timer} from '../seams/index.js';

/** A call. */
export type JsonCall = {
	readonly origin: string;
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly timeoutMs: number;
};

/** An answer with its status, or why there is none. */
export type JsonOutcome =
	| {readonly kind: 'answered'; readonly status: number; readonly body: unknown}
	| {readonly kind: 'unanswered'; readonly detail: string};

/** Delay of a timer from which this process is taken to have been short of processor time, in milliseconds. */
const lateTimerThresholdMs = 10;

/** Settings of each call: the time limit here covers all of it, and each call is sent once. */
const callDefaults = {headersTimeout: 0, bodyTimeout: 0, idempotent: false} as const;

/**
 * Takes one answer as it comes in. The library's promise interface creates a stream and an abort signal for each call, which
 * cost an owner of a pool more than all else that a start needs.
 */
class AnswerHandler implements Dispatcher.DispatchHandler {
	readonly #clock: Clock;
	readonly #timeoutMs: number;
	readonly #finish: (outcome: JsonOutcome) => void;
	readonly #chunks: Uint8Array[] = [];
	#controller: Dispatcher.DispatchController | undefined;
	#timer: Timer;
	#status = 0;
	#isFinished = false;

	constructor({clock, timeoutMs, finish}: {readonly clock: Clock; readonly timeoutMs: number; readonly finish: (outcome: JsonOutcome) => void}) {
		this.#clock = clock;
		this.#timeoutMs = timeoutMs;
		this.#finish = finish;
		this.#timer = this.#setTimer(timeoutMs);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isFinished) {
			controller.abort(new Error('given up before it was sent'));
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this.#status = status;
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		const [first] = this.#chunks;
		const text = this.#chunks.length === 1 ? Buffer.from(first!.buffer, first!.byteOffset, first!.length).toString() : Buffer.concat(this.#chunks).toString();
		try {
			this.#end({kind: 'answered', status: this.#status, body: text === '' ? undefined : JSON.parse(text)});
		} catch (err) {
			this.#end({kind: 'unanswered', detail: err instanceof Error ? err.message : String(err)});
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
		this.#end({kind: 'unanswered', detail: err.message});
	}

	/**
	 * Ends the call where it could not be handed to the client.
	 * @param err - Error.
	 */
	fail(err: unknown): void {
		this.#end({kind: 'unanswered', detail: err instanceof Error ? err.message : String(err)});
	}

	#setTimer(delayMs: number): Timer {
		const dueAt = this.#clock.getMonotonicTime() + delayMs;
		return this.#clock.setTimer(() => {
			const lateMs = this.#clock.getMonotonicTime() - dueAt;
			if (lateMs > lateTimerThresholdMs) {
				// The answer may be there unread: this process gets as much time again as it was late.
				this.#timer = this.#setTimer(Math.min(lateMs, this.#timeoutMs));
				return;
			}

			this.#end({kind: 'unanswered', detail: `no answer in ${this.#timeoutMs} ms`});
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
 * Makes a call; never rejects.
 * @param dispatcher - HTTP client.
 * @param clock - Clock of the time limit.
 * @param call - Call.
 */
export async function callJson(dispatcher: Dispatcher, clock: Clock, call: JsonCall): Promise<JsonOutcome> {
	return new Promise(resolve => {
		const handler = new AnswerHandler({clock, timeoutMs: call.timeoutMs, finish: resolve});
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
