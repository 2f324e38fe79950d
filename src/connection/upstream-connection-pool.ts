/**
 * The connections to one upstream.
 */
import {type Socket} from 'node:net';
import {Pool, type buildConnector} from 'undici';
import {type ListedUpstream} from '../platform/index.js';
import {type UpstreamExchange} from './upstream-exchange.js';
import {type UpstreamRequest} from './upstream-outcome.js';

/** Options of an {@link UpstreamConnectionPool}. */
export type UpstreamConnectionPoolOptions = {
	readonly upstream: ListedUpstream;
	/** Idle time after which a connection is closed and not used again. */
	readonly idleConnectionMs: number;
	/** Makes a connection. */
	readonly connector: buildConnector.connector;
};

/** State of the connections to one upstream. */
export type UpstreamConnectionPoolStatus = {
	readonly name: string;
	readonly address: string;
	/** Requests under way, with those that wait for a connection. */
	readonly running: number;
	readonly connections: number;
};

/** Time kept between the idle time that an upstream announces and the last reuse of its connection, in milliseconds. */
const keepAliveMarginMs = 500;

/**
 * Holds at most as many connections as the upstream accepts, each with one request at a time.
 * @internal
 */
export class UpstreamConnectionPool {
	readonly upstream: ListedUpstream;
	readonly idleConnectionMs: number;
	readonly #pool: Pool;
	readonly #sockets = new Set<Socket>();
	/** An array costs the garbage collector far less than a set whose members live for a request. */
	readonly #exchanges: UpstreamExchange[] = [];
	#isClosing = false;
	#resolveIdle: (() => void) | undefined;

	constructor(options: UpstreamConnectionPoolOptions) {
		this.upstream = options.upstream;
		this.idleConnectionMs = options.idleConnectionMs;
		this.#pool = new Pool(`http://${options.upstream.address}`, {
			connections: options.upstream.connections,
			pipelining: 1,
			keepAliveTimeout: options.idleConnectionMs,
			keepAliveMaxTimeout: options.idleConnectionMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
			// The exchange's own time limit covers the whole request.
			headersTimeout: 0,
			bodyTimeout: 0,
			connect: (connectOptions, callback) => {
				options.connector(connectOptions, (...result) => {
					if (result[1]) {
						this.#addSocket(result[1]);
					}

					callback(...result);
				});
			},
		});
	}

	/** Gets the number of open connections. */
	getConnectionCount(): number {
		return this.#sockets.size;
	}

	/** Gets the state for operators. */
	getStatus(): UpstreamConnectionPoolStatus {
		return {
			name: this.upstream.name, address: this.upstream.address, running: this.#exchanges.length, connections: this.#sockets.size,
		};
	}

	/**
	 * Sends a request as soon as a connection is free.
	 * @param req - Request that has passed the rules.
	 * @param exchange - Handler of the request; {@link removeExchange} is due once it has settled.
	 */
	startExchange(req: UpstreamRequest, exchange: UpstreamExchange): void {
		exchange.poolIndex = this.#exchanges.length;
		this.#exchanges.push(exchange);
		this.#pool.dispatch({
			method: req.method,
			path: req.path,
			headers: req.headers.flat(),
			body: req.body === undefined || req.body.byteLength === 0 ? undefined : req.body,
			idempotent: false,
		}, exchange);
	}

	/**
	 * Forgets a request that has ended.
	 * @param exchange - Handler of the request.
	 */
	removeExchange(exchange: UpstreamExchange): void {
		const last = this.#exchanges.pop()!;
		if (last !== exchange) {
			last.poolIndex = exchange.poolIndex;
			this.#exchanges[last.poolIndex] = last;
		}

		if (this.#exchanges.length === 0) {
			this.#resolveIdle?.();
		}
	}

	/**
	 * Ends the running requests at once.
	 * @param detail - Reason given in their outcomes.
	 */
	abort(detail: string): void {
		for (const exchange of this.#exchanges) {
			exchange.abort(detail);
		}
	}

	/** Lets the running requests end, then closes the connections. */
	async close(): Promise<void> {
		if (this.#exchanges.length > 0) {
			await new Promise<void>(resolve => {
				this.#resolveIdle = resolve;
			});
		}

		this.#isClosing = true;
		await this.#pool.destroy();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#addSocket(socket: Socket): void {
		this.#sockets.add(socket);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		if (this.#isClosing) {
			socket.destroy();
		}
	}
}
