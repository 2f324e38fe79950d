/**
 * Persistent connections to one upstream.
 */
import {type Socket} from 'node:net';
import {Pool, type buildConnector} from 'undici';
import {type ListedUpstream} from '../platform/index.js';
import {type UpstreamExchange} from './upstream-exchange.js';
import {type UpstreamRequest} from './upstream-outcome.js';

/** Options of an {@link UpstreamConnectionPool}. */
export type UpstreamConnectionPoolOptions = {
	readonly upstream: ListedUpstream;
	/** Idle time after which a connection is closed instead of being reused, in milliseconds. */
	readonly idleConnectionMs: number;
	/** Opens a connection. */
	readonly connector: buildConnector.connector;
};

/** State of the connections to one upstream. */
export type UpstreamConnectionPoolStatus = {
	readonly name: string;
	readonly address: string;
	/** Number of requests in progress, including those that wait for a connection. */
	readonly running: number;
	/** Number of open connections. */
	readonly connections: number;
};

/**
 * Time in milliseconds by which the keep-alive timeout that an upstream announces is shortened, so that no connection
 * is reused while the upstream closes it.
 */
const keepAliveMarginMs = 500;

/**
 * Keeps at most as many connections as the upstream accepts and sends one request at a time on each.
 * @internal
 */
export class UpstreamConnectionPool {
	readonly upstream: ListedUpstream;
	readonly idleConnectionMs: number;
	readonly #pool: Pool;
	readonly #sockets = new Set<Socket>();
	/** An array, because a set with such short-lived members causes far more garbage collection work. */
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

	/** Gets the current state for operators. */
	getStatus(): UpstreamConnectionPoolStatus {
		return {
			name: this.upstream.name, address: this.upstream.address, running: this.#exchanges.length, connections: this.#sockets.size,
		};
	}

	/**
	 * Sends a request as soon as a connection is free.
	 * @param req - Request that complies with the request rules.
	 * @param exchange - Handler of the request; {@link removeExchange} must be called once it has settled.
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
	 * Removes a request that has settled.
	 * @param exchange - Handler of the request.
	 */
	removeExchange(exchange: UpstreamExchange): void {
		const lastExchange = this.#exchanges.pop()!;
		if (lastExchange !== exchange) {
			lastExchange.poolIndex = exchange.poolIndex;
			this.#exchanges[lastExchange.poolIndex] = lastExchange;
		}

		if (this.#exchanges.length === 0) {
			this.#resolveIdle?.();
		}
	}

	/**
	 * Aborts all running requests.
	 * @param detail - Reason reported in their outcomes.
	 */
	abort(detail: string): void {
		for (const exchange of this.#exchanges) {
			exchange.abort(detail);
		}
	}

	/** Waits for the running requests, then closes the connections. */
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
