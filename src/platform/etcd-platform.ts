/**
 * The platform over the JSON gateway of the etcd v3 API.
 */
import {Stream} from 'most';
import {Agent, type Dispatcher} from 'undici';
import {
	Backoff, type Clock, type Random, systemClock, systemRandom,
} from '../seams/index.js';
import {CallBudget} from './call-budget.js';
import {EtcdClient} from './etcd-client.js';
import {
	createDigestRequest, createKeyRequest, createPrefixRequest, createSwapRequest, decodeKeyValue, rangeAnswerSchema, txnAnswerSchema,
} from './etcd-messages.js';
import {EtcdWatch} from './etcd-watch.js';
import {
	type KeyRange, type KeyValue, type Platform, type PlatformResult, type PrefixDigest, type SwapResult, type WatchEvent,
} from './platform.js';
import {createFault} from './platform-fault.js';

/** Options of {@link createEtcdPlatform}. */
export type EtcdPlatformOptions = {
	/** Base URLs of the store, for instance `http://10.0.0.1:2379`; at least one. */
	readonly endpoints: readonly string[];
	readonly clock?: Clock;
	readonly random?: Random;
	/** HTTP client; by default, the platform creates its own and closes it. */
	readonly dispatcher?: Dispatcher;
	/** Time limit of one attempt of a call, in milliseconds. */
	readonly callTimeoutMs?: number;
	/** Average rate and maximum burst of the calls of this process. */
	readonly callsPerSecond?: number;
	readonly callBurst?: number;
	/** Time without a message after which a watch is reopened, in milliseconds. */
	readonly watchSilenceMs?: number;
	/** First and longest delay between attempts to open a watch, in milliseconds. */
	readonly firstBackoffMs?: number;
	readonly maxBackoffMs?: number;
};

const defaultCallTimeoutMs = 1500;
const defaultWatchSilenceMs = 15_000;

/** Idle time after which a connection to the store is closed, in milliseconds. */
const idleConnectionMs = 2000;
const connectTimeoutMs = 1000;

/** Maximum length of a value in bytes. */
const maxValueBytes = 1_000_000;

/**
 * Creates the platform over the JSON gateway of the etcd v3 API; it connects on first use.
 * @param options - Endpoints, limits and replaceable dependencies.
 */
export function createEtcdPlatform(options: EtcdPlatformOptions): Platform {
	return new EtcdPlatform(options);
}

class EtcdPlatform implements Platform {
	readonly #options: EtcdPlatformOptions;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #ownAgent: Agent | undefined;
	readonly #client: EtcdClient;
	readonly #watches = new Map<EtcdWatch, () => void>();
	#isClosed = false;

	constructor(options: EtcdPlatformOptions) {
		this.#options = options;
		this.#clock = options.clock ?? systemClock;
		this.#random = options.random ?? systemRandom;
		this.#ownAgent = options.dispatcher
			? undefined
			: new Agent({
				keepAliveTimeout: idleConnectionMs, keepAliveMaxTimeout: idleConnectionMs, connect: {timeout: connectTimeoutMs},
			});
		this.#client = new EtcdClient({
			endpoints: options.endpoints,
			dispatcher: options.dispatcher ?? this.#ownAgent!,
			clock: this.#clock,
			budget: new CallBudget({clock: this.#clock, callsPerSecond: options.callsPerSecond, burst: options.callBurst}),
			callTimeoutMs: options.callTimeoutMs ?? defaultCallTimeoutMs,
		});
	}

	async getKey(key: string): Promise<PlatformResult<KeyValue | undefined>> {
		const result = await this.#client.read({path: '/v3/kv/range', body: createKeyRequest(key), schema: rangeAnswerSchema});
		if (!result.ok) {
			return result;
		}

		const kv = result.value.kvs[0];
		return {ok: true, value: kv && decodeKeyValue(kv)};
	}

	async getRange(prefix: string): Promise<PlatformResult<KeyRange>> {
		const result = await this.#client.read({path: '/v3/kv/range', body: createPrefixRequest(prefix), schema: rangeAnswerSchema});
		if (!result.ok) {
			return result;
		}

		const entries = result.value.kvs.map(kv => decodeKeyValue(kv));
		return {ok: true, value: {revision: result.value.header.revision, entries}};
	}

	async getDigest(prefix: string): Promise<PlatformResult<PrefixDigest>> {
		const result = await this.#client.read({path: '/v3/kv/range', body: createDigestRequest(prefix), schema: rangeAnswerSchema});
		if (!result.ok) {
			return result;
		}

		const {kvs, count} = result.value;
		return {ok: true, value: {newestModRevision: kvs[0]?.mod_revision ?? 0, count}};
	}

	async compareAndSwap(key: string, value: string, expectedModRevision: number): Promise<PlatformResult<SwapResult>> {
		if (new TextEncoder().encode(value).length > maxValueBytes) {
			return createFault('invalid', `the value is longer than ${maxValueBytes} bytes`);
		}

		const body = createSwapRequest(key, value, expectedModRevision);
		const result = await this.#client.write({path: '/v3/kv/txn', body, schema: txnAnswerSchema});
		if (!result.ok) {
			return result;
		}

		if (result.value.succeeded) {
			return {ok: true, value: {swapped: true, revision: result.value.header.revision}};
		}

		const kv = result.value.responses[0]?.response_range?.kvs[0];
		return {ok: true, value: {swapped: false, current: kv && decodeKeyValue(kv)}};
	}

	watch(prefix: string): Stream<WatchEvent> {
		return new Stream<WatchEvent>({
			run: (sink, scheduler) => {
				const watch = this.#createWatch(prefix, event => {
					try {
						sink.event(scheduler.now(), event);
					} catch (err) {
						sink.error(scheduler.now(), err as Error);
					}
				});
				this.#watches.set(watch, () => {
					sink.end(scheduler.now());
				});
				void this.#runWatch(watch);
				return {
					dispose: () => {
						this.#watches.delete(watch);
						watch.close();
					},
				};
			},
		});
	}

	getCallCount(): number {
		return this.#client.getCallCount();
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		for (const watch of this.#watches.keys()) {
			watch.close();
		}

		this.#client.close();
		await this.#ownAgent?.destroy();
	}

	#createWatch(prefix: string, onEvent: (event: WatchEvent) => void): EtcdWatch {
		const {firstBackoffMs, maxBackoffMs, watchSilenceMs} = this.#options;
		return new EtcdWatch({
			client: this.#client,
			clock: this.#clock,
			backoff: new Backoff({random: this.#random, firstDelayMs: firstBackoffMs, maxDelayMs: maxBackoffMs}),
			prefix,
			silenceMs: watchSilenceMs ?? defaultWatchSilenceMs,
			onEvent,
		});
	}

	async #runWatch(watch: EtcdWatch): Promise<void> {
		// A most source must not emit before `run` has returned.
		await Promise.resolve();
		if (this.#isClosed) {
			watch.close();
		}

		await watch.run();
		const end = this.#watches.get(watch);
		this.#watches.delete(watch);
		end?.();
	}
}
