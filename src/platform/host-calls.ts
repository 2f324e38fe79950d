/**
 * The calls to one host and its connections.
 */
import {isIPv6} from 'node:net';
import {setImmediate} from 'node:timers';
import {type HttpAnswer} from './answer-reader.js';
import {HttpConnection, type HttpConnectionEvents} from './http-connection.js';
import {type JsonOutcome} from './json-client.js';

/** A call, with the monotonic time at which its time limit ends. */
export type HostCall = {
	readonly request: string;
	readonly sentAt: number;
	readonly timeoutMs: number;
	/** Whether little depends on a single call, since a lost one is followed by another. */
	readonly isRepeatable: boolean;
	readonly finish: (outcome: JsonOutcome) => void;
	deadline: number;
};

/** Options of {@link HostCalls}. */
export type HostCallsOptions = {
	/** IP address and port. */
	readonly address: string;
	readonly maxConnections: number;
	/** Longest time until a connection is established, in milliseconds. */
	readonly connectTimeoutMs: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	readonly idleMs: number;
	readonly maxAnswerBytes: number;
	readonly getTime: () => number;
	/** Called when a time limit may end before those that are known. */
	readonly onDeadline: (deadline: number) => void;
};

/** State of a connection. */
type ConnectionState = {
	call: HostCall | undefined;
	/** Whether the request of the call was passed to the connection. */
	isSent: boolean;
	/** Monotonic time at which its time without a call ends. */
	deadline: number;
};

/** A host closes an idle connection when its time has ended; a request that meets the end of the connection is lost. */
const keepAliveMarginMs = 1000;

/** Makes calls over the connections that are idle, or over new ones. */
export class HostCalls {
	readonly #options: HostCallsOptions;
	readonly #host: string;
	readonly #port: number;
	readonly #events: HttpConnectionEvents;
	readonly #connections = new Map<HttpConnection, ConnectionState>();
	/** Connections without a call; the one that was used last is the last one. */
	readonly #idle: HttpConnection[] = [];
	/** Calls that wait for a connection. */
	readonly #waiting: HostCall[] = [];
	#isClosed = false;

	constructor(options: HostCallsOptions) {
		this.#options = options;
		const colon = options.address.lastIndexOf(':');
		const host = options.address.slice(0, colon);
		this.#host = isIPv6(host.slice(1, -1)) ? host.slice(1, -1) : host;
		this.#port = Number(options.address.slice(colon + 1));
		this.#events = {
			onOpen: connection => {
				this.#handleOpen(connection);
			},
			onAnswer: (connection, answer) => {
				this.#handleAnswer(connection, answer);
			},
			onClosed: (connection, err, status) => {
				this.#handleClosed(connection, err, status);
			},
		};
	}

	/** Gets whether there are no connections, and so no calls. */
	isEmpty(): boolean {
		return this.#connections.size === 0;
	}

	/**
	 * Makes a call.
	 * @param call - Call.
	 */
	addCall(call: HostCall): void {
		const now = this.#options.getTime();
		for (let connection = this.#idle.pop(); connection !== undefined; connection = this.#idle.pop()) {
			const state = this.#connections.get(connection)!;
			if (now < state.deadline) {
				this.#reuse(connection, state, call);
				return;
			}

			connection.close(new Error('idle'));
		}

		if (this.#connections.size < this.#options.maxConnections) {
			this.#openConnection(call);
		} else {
			this.#waiting.push(call);
			this.#options.onDeadline(call.deadline);
		}
	}

	/**
	 * Ends the calls whose time limit has ended, and closes connections that were idle for long.
	 * @param lateMs - Time by which the limits are extended; 0 to end the calls.
	 * @returns Monotonic time of the next end of a time limit; `Infinity` for none.
	 */
	endOverdue(lateMs: number): number {
		const now = this.#options.getTime();
		const err = new Error('no answer in time');
		for (const call of this.#waiting.filter(call => isOverdue(call, now, lateMs))) {
			this.#waiting.splice(this.#waiting.indexOf(call), 1);
			finishLost(call, err, undefined);
		}

		for (const [connection, {call, deadline}] of this.#connections) {
			if (call === undefined ? now >= deadline : isOverdue(call, now, lateMs)) {
				connection.close(err);
			}
		}

		let next = Infinity;
		for (const {call, deadline} of this.#connections.values()) {
			next = Math.min(next, call?.deadline ?? deadline);
		}

		for (const {deadline} of this.#waiting) {
			next = Math.min(next, deadline);
		}

		return next;
	}

	/** Closes all connections and ends all calls. */
	close(): void {
		this.#isClosed = true;
		const err = new Error('closed');
		for (const call of this.#waiting.splice(0)) {
			finishLost(call, err, undefined);
		}

		for (const connection of this.#connections.keys()) {
			connection.close(err);
		}
	}

	#openConnection(call: HostCall): void {
		const {connectTimeoutMs, maxAnswerBytes} = this.#options;
		const connection = new HttpConnection({
			host: this.#host, port: this.#port, maxAnswerBytes, events: this.#events,
		});
		call.deadline = Math.min(call.deadline, this.#options.getTime() + connectTimeoutMs);
		this.#connections.set(connection, {call, isSent: true, deadline: Infinity});
		this.#options.onDeadline(call.deadline);
		connection.send(call.request);
	}

	/** Makes a call over an idle connection. What arrived over it before is read first, unless the call is repeatable: one that meets the end of a connection is lost. */
	#reuse(connection: HttpConnection, state: ConnectionState, call: HostCall): void {
		state.call = call;
		state.isSent = false;
		this.#options.onDeadline(call.deadline);
		const send = (): void => {
			if (state.call === call && this.#connections.has(connection)) {
				state.isSent = true;
				connection.send(call.request);
			}
		};

		if (call.isRepeatable) {
			send();
			return;
		}

		// All connections are read between the two.
		setImmediate(() => {
			setImmediate(send);
		});
	}

	#handleOpen(connection: HttpConnection): void {
		const call = this.#connections.get(connection)?.call;
		if (call !== undefined) {
			call.deadline = Math.max(call.deadline, call.sentAt + call.timeoutMs);
		}
	}

	#handleAnswer(connection: HttpConnection, answer: HttpAnswer): void {
		const state = this.#connections.get(connection)!;
		const call = state.call!;
		state.call = undefined;
		const keptMs = Math.min(this.#options.idleMs, answer.keepAliveMs - keepAliveMarginMs);
		if (keptMs > 0) {
			state.deadline = this.#options.getTime() + keptMs;
			const next = this.#waiting.shift();
			if (next === undefined) {
				this.#idle.push(connection);
				this.#options.onDeadline(state.deadline);
			} else {
				this.#reuse(connection, state, next);
			}
		} else {
			connection.close(new Error('other side closed'));
		}

		call.finish(toOutcome(answer));
	}

	#handleClosed(connection: HttpConnection, err: Error, status: number | undefined): void {
		const state = this.#connections.get(connection);
		this.#connections.delete(connection);
		const position = this.#idle.indexOf(connection);
		if (position !== -1) {
			this.#idle.splice(position, 1);
		}

		if (state?.call !== undefined && !state.isSent && this.#options.getTime() < state.call.deadline && !this.#isClosed) {
			this.#openConnection(state.call);
			return;
		}

		const next = this.#waiting.shift();
		if (next !== undefined) {
			this.#openConnection(next);
		}

		if (state?.call !== undefined) {
			finishLost(state.call, err, status);
		}
	}
}

function isOverdue(call: HostCall, now: number, lateMs: number): boolean {
	if (now < call.deadline) {
		return false;
	}

	if (lateMs > 0) {
		// The answer may have arrived without being read.
		call.deadline = now + Math.min(lateMs, call.timeoutMs);
		return false;
	}

	return true;
}

function toOutcome({status, text}: HttpAnswer): JsonOutcome {
	try {
		return {kind: 'answered', status, body: text === '' ? undefined : JSON.parse(text)};
	} catch (err) {
		return {
			kind: 'unanswered', detail: err instanceof Error ? err.message : String(err), status, isRefused: false,
		};
	}
}

function finishLost({finish}: HostCall, err: Error, status: number | undefined): void {
	// No connection was opened, because nothing listens at the address; an open one that breaks has other codes.
	finish({
		kind: 'unanswered', detail: err.message, status, isRefused: 'code' in err && err.code === 'ECONNREFUSED',
	});
}
