/**
 * The list of upstreams: read from the store on owners of a pool, received from owners on other VMs.
 */
import {
	type DecisionLog, getDataCenter, getPoolOfUpstream, type PoolLayout, type PoolUpstreams, type UpstreamDescription,
} from '../pool/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {decodeUpstream, getUpstreamDataCenter, upstreamPrefix} from './decode-upstream.js';
import {type StoreClient} from './store-client.js';

/**
 * Interval between reads of changes, in milliseconds. Each read is billed regardless of its result, and every upstream writes every
 * 1.5 s, so changes are read in batches; a leaving upstream must be known within 2 s.
 */
const pollIntervalMs = 500;

/** Age of the list from which it is read in full instead of by changes, in milliseconds. */
const maxCatchUpAgeMs = 4000;

/**
 * Time for which the entry of a live upstream may be missing, in milliseconds: entries that expired while the store was unavailable are back 2 s after
 * its return and are read within half a second. With a smaller value, upstreams that run tasks are overlooked; with a larger one, departed upstreams are
 * polled in vain.
 */
const missingGraceMs = 2500;

/** Options of {@link UpstreamList}. */
export type UpstreamListOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	readonly layout: PoolLayout;
	readonly onChange: () => void;
};

/** An entry of the list; it is decoded only when needed, which spares the entries of other data centres. */
type Entry = {
	readonly dataCenter: string;
	readonly value: string;
	upstream: UpstreamDescription | undefined;
	/** Pool, computed on first use; it is constant since the number of pools never changes. */
	pool: string | undefined;
};

/** Holds the upstreams of all data centres as last read or received. */
export class UpstreamList {
	readonly #options: UpstreamListOptions;
	readonly #entries = new Map<string, Entry>();
	/** Removed entries and the monotonic time of their removal. */
	readonly #removed = new Map<string, {readonly entry: Entry; readonly removedAt: number}>();
	/** Monotonic times of the first and last owner's report of each pool. */
	readonly #reports = new Map<string, {readonly firstAt: number; readonly lastAt: number}>();
	readonly #closing = new AbortController();
	#revision: number | undefined;
	/** Monotonic time of the first read. */
	#firstReadAt = Infinity;
	#lastReadAt = 0;
	#isFollowing = false;
	#isRunning = false;

	constructor(options: UpstreamListOptions) {
		this.#options = options;
	}

	/**
	 * Gets the listed upstreams of a pool.
	 * @param pool - Pool.
	 */
	getUpstreams(pool: string): readonly UpstreamDescription[] {
		return this.#filterByPool(pool, this.#entries).flatMap(([key, entry]) => this.#decode(key, entry) ?? []);
	}

	/**
	 * Gets the upstreams of a pool that are no longer listed but may be alive.
	 * @param pool - Pool.
	 */
	getMissingUpstreams(pool: string): readonly UpstreamDescription[] {
		const now = this.#options.clock.getMonotonicTime();
		for (const [key, {removedAt}] of this.#removed) {
			if (now - removedAt > missingGraceMs) {
				this.#removed.delete(key);
			}
		}

		const entries = [...this.#removed].map(([key, {entry}]) => [key, entry] as const);
		return this.#filterByPool(pool, entries).flatMap(([key, {value, upstream}]) => upstream ?? decodeUpstream({key, value}) ?? []);
	}

	/**
	 * Gets the number of listed upstreams of a data centre.
	 * @param dataCenter - Data centre.
	 */
	getCount(dataCenter: string): number {
		let count = 0;
		for (const entry of this.#entries.values()) {
			count += Number(entry.dataCenter === dataCenter);
		}

		return count;
	}

	/**
	 * Gets whether all live upstreams of a pool are among the listed and the missing ones: the list was first read or received long enough ago that
	 * all of them have been listed since, and last read or received recently enough that none has been added since.
	 * @param pool - Pool.
	 */
	isComplete(pool: string): boolean {
		const report = this.#reports.get(pool);
		const now = this.#options.clock.getMonotonicTime();
		const isKnownLongEnough = now - Math.min(this.#firstReadAt, report?.firstAt ?? Infinity) >= missingGraceMs;
		return isKnownLongEnough && now - Math.max(this.#lastReadAt, report?.lastAt ?? -Infinity) <= maxCatchUpAgeMs;
	}

	/** Gets the revision of the store at which the list was read; 0 if it was not. */
	getRevision(): number {
		return this.#revision ?? 0;
	}

	/** Reads the full list; returns false if the read fails. */
	async read(): Promise<boolean> {
		const {store, clock, log} = this.#options;
		const result = await store.getRange(upstreamPrefix);
		if (!result.ok) {
			log.info({reason: result.reason, detail: result.detail}, 'failed to read the list of upstreams');
			return false;
		}

		this.#lastReadAt = clock.getMonotonicTime();
		this.#firstReadAt = Math.min(this.#firstReadAt, this.#lastReadAt);
		this.#revision = result.value.revision;
		const listed = new Set<string>();
		for (const item of result.value.items) {
			listed.add(item.key);
			this.#setEntry(item.key, item.value);
		}

		for (const key of this.#entries.keys()) {
			if (!listed.has(key)) {
				this.#removeEntry(key);
			}
		}

		this.#options.onChange();
		return true;
	}

	/**
	 * Sets whether the list is kept up to date from the store.
	 * @param isFollowing - Whether this VM owns a pool.
	 */
	setFollowing(isFollowing: boolean): void {
		this.#isFollowing = isFollowing;
		if (isFollowing && !this.#isRunning) {
			this.#isRunning = true;
			void this.#follow();
		}
	}

	/**
	 * Applies an owner's report of the upstreams of its pool.
	 * @param report - Pool and its upstreams.
	 */
	addReport({pool, upstreams}: Omit<PoolUpstreams, 'invalidCount'>): void {
		if (this.#isFollowing && this.#revision !== undefined) {
			this.#addUnlisted(upstreams);
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		this.#reports.set(pool, {firstAt: this.#reports.get(pool)?.firstAt ?? now, lastAt: now});

		for (const {id} of this.getUpstreams(pool)) {
			this.#removeEntry(`${upstreamPrefix}${id}`);
		}

		for (const upstream of upstreams) {
			const key = `${upstreamPrefix}${upstream.id}`;
			this.#removed.delete(key);
			this.#entries.set(key, {
				dataCenter: upstream.dataCenter, value: '', upstream, pool,
			});
		}

		this.#options.onChange();
	}

	/** Stops reading. */
	close(): void {
		this.#closing.abort();
	}

	async #follow(): Promise<void> {
		const {clock} = this.#options;
		while (this.#isFollowing && !this.#closing.signal.aborted) {
			await (this.#canCatchUp() ? this.#catchUp() : this.read());
			await sleep(clock, pollIntervalMs, this.#closing.signal);
		}

		this.#isRunning = false;
	}

	#canCatchUp(): boolean {
		return this.#revision !== undefined && this.#options.clock.getMonotonicTime() - this.#lastReadAt < maxCatchUpAgeMs;
	}

	async #catchUp(): Promise<void> {
		const {store, clock, log} = this.#options;
		const result = await store.getChanges(upstreamPrefix, this.#revision!, 1);
		if (!result.ok) {
			log.info({reason: result.reason, detail: result.detail}, 'failed to read the changes of upstreams');
			this.#revision = result.reason === 'history-lost' ? undefined : this.#revision;
			return;
		}

		this.#lastReadAt = clock.getMonotonicTime();
		this.#revision = result.value.revision;
		for (const {key, value} of result.value.changes) {
			if (value === undefined) {
				this.#removeEntry(key);
			} else {
				this.#setEntry(key, value);
			}
		}

		this.#options.onChange();
	}

	/** Sets an entry; an invalid one also removes the last valid entry of its key. */
	#setEntry(key: string, value: string): void {
		const dataCenter = getUpstreamDataCenter(value);
		if (dataCenter === undefined) {
			this.#removeInvalidEntry(key);
			return;
		}

		const previous = this.#entries.get(key) ?? this.#removed.get(key)?.entry;
		this.#removed.delete(key);
		this.#entries.set(key, {
			dataCenter, value, upstream: undefined, pool: previous?.dataCenter === dataCenter ? previous.pool : undefined,
		});
	}

	#decode(key: string, entry: Entry): UpstreamDescription | undefined {
		entry.upstream ??= decodeUpstream({key, value: entry.value});
		if (entry.upstream === undefined) {
			this.#removeInvalidEntry(key);
		}

		return entry.upstream;
	}

	/** Adds the reported upstreams that this VM has not read to the missing ones; the store may have rejected this VM's reads. */
	#addUnlisted(upstreams: readonly UpstreamDescription[]): void {
		const now = this.#options.clock.getMonotonicTime();
		for (const upstream of upstreams) {
			const key = `${upstreamPrefix}${upstream.id}`;
			if (!this.#entries.has(key)) {
				this.#removed.set(key, {
					entry: {
						dataCenter: upstream.dataCenter, value: '', upstream, pool: undefined,
					}, removedAt: now,
				});
			}
		}
	}

	#filterByPool(pool: string, entries: Iterable<readonly [string, Entry]>): ReadonlyArray<readonly [string, Entry]> {
		const dataCenter = getDataCenter(pool);
		const pools = this.#options.layout.getPoolsOf(dataCenter);
		if (pools.length === 0) {
			return [];
		}

		return [...entries].filter(([key, entry]) => {
			if (entry.dataCenter !== dataCenter) {
				return false;
			}

			entry.pool ??= getPoolOfUpstream(getId(key), pools);
			return entry.pool === pool;
		});
	}

	#removeEntry(key: string): void {
		const entry = this.#entries.get(key);
		if (entry !== undefined) {
			this.#entries.delete(key);
			this.#removed.set(key, {entry, removedAt: this.#options.clock.getMonotonicTime()});
		}
	}

	#removeInvalidEntry(key: string): void {
		this.#removeEntry(key);
		this.#options.log.info({key}, 'invalid upstream entry');
	}
}

function getId(key: string): string {
	return key.slice(upstreamPrefix.length);
}
