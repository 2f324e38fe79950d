/**
 * Calls with JSON bodies and a time limit; the outcome is a value.
 */
import {type Dispatcher} from 'undici';
import {type Clock} from '../seams/index.js';

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

/**
 * Makes a call; never rejects.
 * @param dispatcher - HTTP client.
 * @param clock - Clock of the time limit.
 * @param call - Call.
 */
export async function callJson(dispatcher: Dispatcher, clock: Clock, call: JsonCall): Promise<JsonOutcome> {
	const controller = new AbortController();
	const timer = clock.setTimer(() => {
		controller.abort(new Error(`no answer in ${call.timeoutMs} ms`));
	}, call.timeoutMs);
	try {
		const res = await dispatcher.request({
			origin: call.origin,
			method: call.method,
			path: call.path,
			headers: call.body === undefined ? call.headers : {'content-type': 'application/json', ...call.headers},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			signal: controller.signal,
		});
		const text = await res.body.text();
		return {kind: 'answered', status: res.statusCode, body: text === '' ? undefined : JSON.parse(text)};
	} catch (err) {
		return {kind: 'unanswered', detail: err instanceof Error ? err.message : String(err)};
	} finally {
		timer.close();
	}
}
