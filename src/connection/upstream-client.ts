/**
 * HTTP client for upstreams that sends each request at most once.
 */
import {setMaxListeners} from 'node:events';
import {buildConnector} from 'undici';
import {type ListedUpstream} from '../platform/index.js';
import {
	type RuleResult, checkHeaders, checkMethod, checkPath,
} from '../request/upstream-request-rules.js';
import {type Clock, systemClock} from '../seams/index.js';
import {UpstreamExchange} from './upstream-exchange.js';
import {type UpstreamOutcome, type UpstreamRequest, type UpstreamRequestOptions} from './upstream-outcome.js';
import {UpstreamConnectionPool, type UpstreamConnectionPoolStatus} from './upstream-connection-pool.js';

/** Options of an {@link UpstreamClient}. */
export type UpstreamClientOptions = {
	readonly clock?: Clock;
	/** Maximum size of an answer's body in bytes; a larger one fails the request. */
	readonly maxAnswerBytes?: number;
	/** Time limit for opening a connection in milliseconds. */
	readonly connectTimeoutMs?: number;
	/** Idle time after which TCP keep-alive probes are sent, in milliseconds. */
	readonly tcpKeepAliveDelayMs?: number;
	/** Opens a connection; replaces the default, which uses the time limit and the keep-alive delay above. */
	readonly connector?: buildConnector.connector;
};

/** State of an {@link UpstreamClient}. */
export type UpstreamClientStatus = {
	readonly pools: readonly UpstreamConnectionPoolStatus[];
	/** Number of ended requests by outcome. */
	readonly outcomes: {readonly answered: number; readonly failed: number; readonly notStarted: number};
	/** Number of requests ended by their time limit. */
	readonly timeouts: number;
};

const defaultMaxAnswerBytes = 4 * 1024 * 1024;
const defaultConnectTimeoutMs = 2000;
const defaultTcpKeepAliveMs = 1000;

/** Sends requests to upstreams over pools of persistent connections. */
export class UpstreamClient {
	readonly #clock: Clock;
	readonly #maxAnswerBytes: number;
	readonly #connector: buildConnector.connector;
	readonly #pools = new Map<string, UpstreamConnectionPool>();
	readonly #closingPools = new Map<UpstreamConnectionPool, Promise<void>>();
	readonly #outcomes = {answered: 0, failed: 0, notStarted: 0};
	#timeouts = 0;
	#isClosed = false;

	/** @internal */
	constructor(options: UpstreamClientOptions) {
		this.#clock = options.clock ?? systemClock;
		this.#maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
		this.#connector = options.connector ?? buildConnector({
			timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs,
			keepAlive: true,
			keepAliveInitialDelay: options.tcpKeepAliveDelayMs ?? defaultTcpKeepAliveMs,
		});
	}

	/**
	 * Sends a request at most once. The promise never rejects.
	 * @param upstream - Upstream to send to.
	 * @param req - Request to send.
	 * @param options - Limits and abort signal of this request.
	 */
	async run(upstream: ListedUpstream, req: UpstreamRequest, options: UpstreamRequestOptions): Promise<UpstreamOutcome> {
		const fault = this.#findRequestFault(req, options);
		if (fault !== undefined) {
			this.#outcomes.notStarted++;
			return {kind: 'not_started', detail: fault, isUnreachable: false};
		}

		const pool = this.#getPool(upstream, options.idleConnectionMs);
		return new Promise(resolve => {
			const exchange = new UpstreamExchange({
				notStartedStatuses: options.notStartedStatuses,
				maxAnswerBytes: this.#maxAnswerBytes,
				settle: outcome => {
					timer.close();
					options.signal?.removeEventListener('abort', cancel);
					pool.removeExchange(exchange);
					this.#countOutcome(outcome);
					resolve(outcome);
				},
			});
			const cancel = (): void => {
				exchange.abort('cancelled');
			};

			const timer = this.#clock.setTimer(() => {
				this.#timeouts++;
				exchange.abort(`no answer within ${options.timeoutMs} ms`, pool.getConnectionCount() === 0);
			}, options.timeoutMs);
			if (options.signal !== undefined) {
				// All requests of a job may share one signal, so that the warning about many listeners is turned off.
				setMaxListeners(0, options.signal);
				options.signal.addEventListener('abort', cancel, {once: true});
			}

			pool.startExchange(req, exchange);
		});
	}

	/**
	 * Closes the connections to all upstreams that are not listed, once their requests have ended.
	 * @param upstreams - All upstreams on the platform's list.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		const addresses = new Set(upstreams.map(upstream => upstream.address));
		for (const [address, pool] of this.#pools) {
			if (!addresses.has(address)) {
				this.#retirePool(pool);
			}
		}
	}

	/** Gets the current state for operators and metrics. */
	getStatus(): UpstreamClientStatus {
		return {
			pools: [...this.#pools.values()].map(pool => pool.getStatus()),
			outcomes: {...this.#outcomes},
			timeouts: this.#timeouts,
		};
	}

	/** Rejects new requests as not started, waits for the running ones and closes all connections. */
	async close(): Promise<void> {
		this.#isClosed = true;
		for (const pool of this.#pools.values()) {
			this.#retirePool(pool);
		}

		await Promise.all(this.#closingPools.values());
	}

	/** Rejects new requests as not started, aborts the running ones and closes all connections. */
	async abort(): Promise<void> {
		const closed = this.close();
		for (const pool of this.#closingPools.keys()) {
			pool.abort('upstream client is closed');
		}

		await closed;
	}

	#findRequestFault(req: UpstreamRequest, options: UpstreamRequestOptions): string | undefined {
		if (this.#isClosed) {
			return 'upstream client is closed';
		}

		if (options.signal?.aborted) {
			return 'cancelled';
		}

		return getDetail(checkMethod(req.method)) ?? getDetail(checkPath(req.path)) ?? getDetail(checkHeaders(req.headers));
	}

	#getPool(upstream: ListedUpstream, idleConnectionMs: number): UpstreamConnectionPool {
		const existing = this.#pools.get(upstream.address);
		if (existing !== undefined) {
			if (existing.idleConnectionMs === idleConnectionMs && existing.upstream.connections === upstream.connections) {
				return existing;
			}

			this.#retirePool(existing);
		}

		const pool = new UpstreamConnectionPool({upstream, idleConnectionMs, connector: this.#connector});
		this.#pools.set(upstream.address, pool);
		return pool;
	}

	#retirePool(pool: UpstreamConnectionPool): void {
		this.#pools.delete(pool.upstream.address);
		this.#closingPools.set(pool, this.#closePool(pool));
	}

	#countOutcome(outcome: UpstreamOutcome): void {
		switch (outcome.kind) {
			case 'answered': {
				this.#outcomes.answered++;
				break;
			}

			case 'failed': {
				this.#outcomes.failed++;
				break;
			}

			case 'not_started': {
				this.#outcomes.notStarted++;
				break;
			}
		}
	}

	async #closePool(pool: UpstreamConnectionPool): Promise<void> {
		await pool.close();
		this.#closingPools.delete(pool);
	}
}

/**
 * Creates a client for upstreams.
 * @param options - Limits, clock and connector.
 */
export function createUpstreamClient(options: UpstreamClientOptions = {}): UpstreamClient {
	return new UpstreamClient(options);
}

function getDetail(result: RuleResult): string | undefined {
	return result.ok ? undefined : result.detail;
}
