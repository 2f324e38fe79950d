/**
 * HTTP calls to upstreams: POST requests with small JSON bodies to fixed paths.
 */
import {Buffer} from 'node:buffer';
import {type Clock, type Timer} from '../seams/index.js';
import {HostCalls, type HostCallsOptions} from './host-calls.js';
import {type JsonOutcome} from './json-client.js';

/** Options of {@link OrderClient}. */
export type OrderClientOptions = Pick<HostCallsOptions, 'maxConnections' | 'connectTimeoutMs' | 'idleMs' | 'maxAnswerBytes'> & {
	readonly clock: Clock;
};

/** A call. */
export type OrderCall = {
	/** IP address and port. */
	readonly address: string;
	readonly path: string;
	/** Lines of further headers, each with its line end; without characters that headers cannot have. */
	readonly headers: string;
	readonly body: unknown;
	readonly timeoutMs: number;
	/** Whether little depends on a single call, since a lost one is followed by another. */
	readonly isRepeatable: boolean;
};

/** Timer delay above which this process counts as short of processor time, in milliseconds. */
const lateTimerThresholdMs = 10;

/** Minimum delay of the timer, in milliseconds. With a smaller value, a timer that fires a fraction early is set again and again without time passing. */
const minTimerMs = 1;

/**
 * Makes calls, each of which is sent once, and ends them at their time limits. A general HTTP client spends several times as much
 * processor time on the two calls of a task.
 */
export class OrderClient {
	readonly #options: OrderClientOptions;
	readonly #hosts = new Map<string, HostCalls>();
	/** One timer for the time limits of all calls and connections. */
	#timer: Timer | undefined;
	#timerDueAt = Infinity;
	#isClosed = false;

	constructor(options: OrderClientOptions) {
		this.#options = options;
	}

	/**
	 * Makes a call; never rejects.
	 * @param call - Call.
	 */
	async call(call: OrderCall): Promise<JsonOutcome> {
		return new Promise(resolve => {
			if (this.#isClosed) {
				resolve({kind: 'unanswered', detail: 'closed', isRefused: false});
				return;
			}

			const {address, path, headers, timeoutMs, isRepeatable} = call;
			const body = JSON.stringify(call.body);
			const sentAt = this.#options.clock.getMonotonicTime();
			this.#getHost(address).addCall({
				request: `POST ${path} HTTP/1.1\r\nHost: ${address}\r\nContent-Type: application/json\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
				sentAt, timeoutMs, isRepeatable, deadline: sentAt + timeoutMs, finish: resolve,
			});
		});
	}

	/** Closes all connections; the calls end without an answer. */
	close(): void {
		this.#isClosed = true;
		this.#timer?.close();
		for (const host of this.#hosts.values()) {
			host.close();
		}

		this.#hosts.clear();
	}

	#getHost(address: string): HostCalls {
		let host = this.#hosts.get(address);
		if (host === undefined) {
			const {clock, ...options} = this.#options;
			host = new HostCalls({
				...options,
				address,
				getTime: () => clock.getMonotonicTime(),
				onDeadline: deadline => {
					this.#setTimer(deadline);
				},
			});
			this.#hosts.set(address, host);
		}

		return host;
	}

	/** Sets the timer unless it fires in time. */
	#setTimer(dueAt: number): void {
		if (dueAt >= this.#timerDueAt || this.#isClosed) {
			return;
		}

		const {clock} = this.#options;
		this.#timer?.close();
		this.#timerDueAt = dueAt;
		this.#timer = clock.setTimer(() => {
			this.#timerDueAt = Infinity;
			const lateMs = clock.getMonotonicTime() - dueAt;
			this.#endOverdue(lateMs > lateTimerThresholdMs ? lateMs : 0);
		}, Math.max(minTimerMs, dueAt - clock.getMonotonicTime()));
	}

	#endOverdue(lateMs: number): void {
		let next = Infinity;
		for (const [address, host] of this.#hosts) {
			next = Math.min(next, host.endOverdue(lateMs));
			if (host.isEmpty()) {
				this.#hosts.delete(address);
			}
		}

		if (next < Infinity) {
			this.#setTimer(next);
		}
	}
}
