/**
 * Requests to the endpoints of the store, with time limits, a call budget and failover to the next endpoint.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher, request} from 'undici';
import type * as z from 'zod';
import {type Clock} from '../seams/index.js';
import {type CallBudget} from './call-budget.js';
import {type PlatformResult} from './platform.js';
import {createFault, describeError, isNotSent} from './platform-fault.js';

/** Options of an {@link EtcdClient}. */
export type EtcdClientOptions = {
	/** Base URLs, for instance `http://10.0.0.1:2379`. */
	readonly endpoints: readonly string[];
	readonly dispatcher: Dispatcher;
	readonly clock: Clock;
	readonly budget: CallBudget;
	/** Time limit of one attempt, in milliseconds. */
	readonly callTimeoutMs: number;
};

/** One call: its path, its body and the schema of the answer. */
export type EtcdCall<T> = {
	readonly path: string;
	readonly body: unknown;
	readonly schema: z.ZodType<T>;
};

/** The chunks of a response body. */
export type EtcdChunks = AsyncIterable<Uint8Array>;

/** A call with a streamed answer. */
export type OpenCall = {
	readonly chunks: EtcdChunks;
	/** Aborts the call; iterating over the chunks then throws. */
	close(): void;
};

/** Maximum length of an answer in bytes. */
const maxAnswerBytes = 33_554_432;

/** Minimum number of attempts of a read, also with a single endpoint; the second one uses a new connection. */
const minReadAttempts = 2;

const headers = {'content-type': 'application/json'};

/** Makes calls to one of several endpoints. */
export class EtcdClient {
	readonly #options: EtcdClientOptions;
	readonly #active = new Set<AbortController>();
	#isClosed = false;
	#endpointIndex = 0;
	#callCount = 0;

	constructor(options: EtcdClientOptions) {
		this.#options = options;
	}

	/** Gets the number of requests made so far. */
	getCallCount(): number {
		return this.#callCount;
	}

	/**
	 * Makes a read-only call. It is attempted at most once at each endpoint, or twice with a single endpoint.
	 * @param call - Call to make.
	 */
	async read<T>(call: EtcdCall<T>): Promise<PlatformResult<T>> {
		const result = await this.#retry(async () => this.#attempt(call));
		if (!result.ok && result.reason === 'ambiguous') {
			return createFault('unavailable', result.detail);
		}

		return result;
	}

	/**
	 * Makes a call that changes the store; it is retried only if it is certain that no byte of it was sent.
	 * @param call - Call to make.
	 */
	async write<T>(call: EtcdCall<T>): Promise<PlatformResult<T>> {
		let result = await this.#attempt(call);
		for (let index = 1; index < this.#options.endpoints.length && isUnavailable(result); index++) {
			result = await this.#attempt(call);
		}

		if (!result.ok && (result.reason === 'timeout' || result.reason === 'closed')) {
			return createFault('ambiguous', result.detail);
		}

		return result;
	}

	/**
	 * Opens a call with a streamed answer; the time limit of an attempt covers the time until the response headers arrive.
	 * @param path - Path of the call.
	 * @param body - Body of the call.
	 */
	async open(path: string, body: unknown): Promise<PlatformResult<OpenCall>> {
		return this.#retry(async () => this.#withTimeout(async controller => this.#openOnce(path, body, controller)));
	}

	/** Switches to the next endpoint for subsequent calls. */
	rotateEndpoint(): void {
		this.#endpointIndex++;
	}

	/** Aborts all calls; further calls fail. */
	close(): void {
		this.#isClosed = true;
		for (const controller of this.#active) {
			controller.abort();
		}
	}

	async #retry<T>(makeCall: () => Promise<PlatformResult<T>>): Promise<PlatformResult<T>> {
		const {endpoints} = this.#options;
		const attempts = Math.max(minReadAttempts, endpoints.length);
		let result = await makeCall();
		for (let index = 1; index < attempts && shouldRetryRead(result, index < endpoints.length); index++) {
			result = await makeCall();
		}

		return result;
	}

	async #attempt<T>(call: EtcdCall<T>): Promise<PlatformResult<T>> {
		return this.#withTimeout(async controller => {
			const result = await this.#exchange(call, controller.signal);
			this.#active.delete(controller);
			return result;
		});
	}

	async #openOnce(path: string, body: unknown, controller: AbortController): Promise<PlatformResult<OpenCall>> {
		const sent = await this.#send(path, body, controller.signal);
		if (!sent.ok) {
			return sent;
		}

		const close = (): void => {
			this.#active.delete(controller);
			controller.abort();
		};

		return {ok: true, value: {chunks: sent.value, close}};
	}

	async #withTimeout<T>(makeCall: (controller: AbortController) => Promise<PlatformResult<T>>): Promise<PlatformResult<T>> {
		const controller = new AbortController();
		this.#active.add(controller);
		let isTimedOut = false;
		const timer = this.#options.clock.setTimer(() => {
			isTimedOut = true;
			controller.abort();
		}, this.#options.callTimeoutMs);
		const result = await makeCall(controller);
		timer.close();
		if (result.ok) {
			return result;
		}

		this.#active.delete(controller);
		if (result.reason === 'budget') {
			return result;
		}

		this.rotateEndpoint();
		if (this.#isClosed) {
			return createFault('closed', 'the platform client is closed');
		}

		return isTimedOut ? createFault('timeout', `no answer within ${this.#options.callTimeoutMs} ms`) : result;
	}

	async #exchange<T>(call: EtcdCall<T>, signal: AbortSignal): Promise<PlatformResult<T>> {
		const sent = await this.#send(call.path, call.body, signal);
		if (!sent.ok) {
			return sent;
		}

		try {
			const text = await readText(sent.value);
			return parseAnswer(text, call.schema);
		} catch (err) {
			return createFault('ambiguous', describeError(err));
		}
	}

	async #send(path: string, body: unknown, signal: AbortSignal): Promise<PlatformResult<EtcdChunks>> {
		if (this.#isClosed) {
			return createFault('closed', 'the platform client is closed');
		}

		if (!this.#options.budget.take()) {
			return createFault('budget', 'the budget of platform calls is used up');
		}

		this.#callCount++;
		const {endpoints, dispatcher} = this.#options;
		const endpoint = endpoints[this.#endpointIndex % endpoints.length]!;
		try {
			const res = await request(new URL(path, endpoint), {
				method: 'POST', headers, body: JSON.stringify(body), dispatcher, signal, headersTimeout: 0, bodyTimeout: 0,
			});
			return await checkStatus(res);
		} catch (err) {
			return createFault(isNotSent(err) ? 'unavailable' : 'ambiguous', `${endpoint}: ${describeError(err)}`);
		}
	}
}

/** A refused connection is retried only at another endpoint, a lost or late answer also at the same one. */
function shouldRetryRead(result: PlatformResult<unknown>, hasOtherEndpoint: boolean): boolean {
	if (result.ok) {
		return false;
	}

	return result.reason === 'unavailable' ? hasOtherEndpoint : result.reason === 'timeout' || result.reason === 'ambiguous';
}

function isUnavailable(result: PlatformResult<unknown>): boolean {
	return !result.ok && result.reason === 'unavailable';
}

async function checkStatus(res: Dispatcher.ResponseData): Promise<PlatformResult<EtcdChunks>> {
	if (res.statusCode === 200) {
		return {ok: true, value: res.body};
	}

	await res.body.dump();
	const isRefused = res.statusCode >= 400 && res.statusCode < 500;
	return createFault(isRefused ? 'invalid' : 'ambiguous', `status ${res.statusCode}`);
}

async function readText(chunks: EtcdChunks): Promise<string> {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of chunks) {
		size += chunk.length;
		if (size > maxAnswerBytes) {
			throw new RangeError(`the answer is longer than ${maxAnswerBytes} bytes`);
		}

		parts.push(chunk);
	}

	return Buffer.concat(parts).toString();
}

function parseAnswer<T>(text: string, schema: z.ZodType<T>): PlatformResult<T> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch {
		return createFault('ambiguous', 'the answer is no JSON');
	}

	const parsed = schema.safeParse(json);
	return parsed.success ? {ok: true, value: parsed.data} : createFault('ambiguous', `unexpected answer: ${parsed.error.issues[0]?.message ?? ''}`);
}
