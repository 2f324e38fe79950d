/**
 * Reads from the store how many pools each data centre is divided into, and decides it once for a new data centre.
 */
import * as z from 'zod';
import {type DecisionLog, getPoolCount, type PoolLayout} from '../pool/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {parseJson} from './decode-configuration.js';
import {describeIssues} from './describe-issues.js';
import {type StoreClient} from './store-client.js';
import {type UpstreamList} from './upstream-list.js';

/** Options of {@link LayoutManager}. */
export type LayoutManagerOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	readonly layout: PoolLayout;
	readonly upstreams: UpstreamList;
	readonly dataCenter: string;
	/** All data centres of the deployment. */
	readonly dataCenters: readonly string[];
	/** Gets the median core count of the entry VMs of this data centre. */
	readonly getMedianCores: () => number;
	/** Gets whether this VM is the one that decides for its data centre. */
	readonly isDecider: () => boolean;
	/** Time for which the number of upstreams must be unchanged before the number of pools is decided, in milliseconds. */
	readonly settleMs?: number;
};

const layoutPrefix = 'layout/';

/** Upstreams write to the store every 1.5 s, so all running ones have registered within this time. */
const defaultSettleMs = 1600;

/** Interval between reads while the pools of the own data centre are unknown, in milliseconds; jobs wait for them. */
const readIntervalMs = 250;

/** Interval between reads while only the pools of other data centres are unknown, in milliseconds. */
const otherReadIntervalMs = 5000;

const layoutSchema = z.object({pools: z.int().min(1).max(1000)});

/** Determines the pools of all data centres. */
export class LayoutManager {
	readonly #options: LayoutManagerOptions;
	readonly #closing = new AbortController();
	#observedCount = 0;
	#observedSince: number;

	constructor(options: LayoutManagerOptions) {
		this.#options = options;
		this.#observedSince = options.clock.getMonotonicTime();
	}

	/** Reads until the pools of all data centres are known, or until `close`. */
	async run(): Promise<void> {
		const {clock, dataCenters, layout} = this.#options;
		const {signal} = this.#closing;
		while (!signal.aborted && dataCenters.some(name => layout.getPoolsOf(name).length === 0)) {
			await this.#read();
			if (!this.#isOwnKnown() && this.#options.isDecider()) {
				await this.#decide();
			}

			await sleep(clock, this.#isOwnKnown() ? otherReadIntervalMs : readIntervalMs, signal);
		}
	}

	/** Gets whether the pools of all data centres are known; a data centre without upstreams has no pools. */
	isKnown(): boolean {
		const {dataCenters, layout, upstreams} = this.#options;
		return dataCenters.every(name => layout.getPoolsOf(name).length > 0 || (upstreams.getRevision() > 0 && upstreams.getCount(name) === 0));
	}

	/** Stops reading. */
	close(): void {
		this.#closing.abort();
	}

	#isOwnKnown(): boolean {
		return this.#options.layout.getPoolsOf(this.#options.dataCenter).length > 0;
	}

	async #read(): Promise<void> {
		const {store, log, dataCenters} = this.#options;
		const result = await store.getRange(layoutPrefix);
		if (!result.ok) {
			log.info({reason: result.reason, detail: result.detail}, 'failed to read the number of pools');
			return;
		}

		for (const {key, value} of result.value.items) {
			const dataCenter = key.slice(layoutPrefix.length);
			if (!dataCenters.includes(dataCenter)) {
				continue;
			}

			const parsed = layoutSchema.safeParse(parseJson(value));
			if (parsed.success) {
				this.#setPoolCount(dataCenter, parsed.data.pools, 'store');
			} else {
				log.info({key, detail: describeIssues(parsed.error)}, 'invalid number of pools');
			}
		}
	}

	/** Writes the number of pools derived from the listed upstreams, unless another VM has written it before. */
	async #decide(): Promise<void> {
		const {clock, log, store, upstreams, dataCenter, settleMs = defaultSettleMs} = this.#options;
		await upstreams.read();
		const now = clock.getMonotonicTime();
		const count = upstreams.getCount(dataCenter);
		if (count !== this.#observedCount) {
			this.#observedCount = count;
			this.#observedSince = now;
		}

		if (count === 0 || now - this.#observedSince < settleMs) {
			return;
		}

		const pools = getPoolCount(count, this.#options.getMedianCores());
		const result = await store.addItem(`${layoutPrefix}${dataCenter}`, JSON.stringify({pools}));
		if (!result.ok) {
			// An unanswered write may have been executed; the next read shows its outcome.
			log.info({reason: result.reason, detail: result.detail}, 'failed to write the number of pools');
		} else if (result.value) {
			this.#setPoolCount(dataCenter, pools, 'decided');
		}
	}

	#setPoolCount(dataCenter: string, pools: number, source: string): void {
		const {layout, log, upstreams} = this.#options;
		if (layout.setCount(dataCenter, pools)) {
			log.warn({
				dataCenter, pools, source, upstreams: upstreams.getCount(dataCenter),
			}, 'number of pools set');
		}
	}
}
