/**
 * The list of upstreams: read from the store on owners of a pool, received from owners on other VMs.
 */
import {
	type DecisionLog, getDataCenter, getPoolOfUpstream, type PoolLayout, type PoolUpstreams, type UpstreamDescription,
} from '../pool/index.js';
import {type ColdLimits} from '../scheduling/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {decodeUpstream, upstreamPrefix} from './decode-upstream.js';
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

/**
 * Time for which the former address of an upstream is remembered, in milliseconds: its instance there may work on, and an owner may have used it until
 * a few seconds ago. With a larger value, addresses without a listener are polled in vain by each new owner.
 */
const formerRetentionMs = 30_000;

/**
 * Time for which this VM must have read the list to know all former addresses where owners may have runs, in milliseconds: an owner starts tasks at
 * such an address for up to 2 s after it has read the entry, and they last about a second. A report of an owner makes the wait unnecessary.
 */
const formerKnownMs = 5000;

/**
 * Age of the list from which it is outdated, in milliseconds: two reads have failed. What peers read is used then, so that a change is known here well within
 * the 3 s after which it counts. With a smaller value, peers are asked after each lost answer of the store.
 */
const outdatedAgeMs = 1000;

/** Maximum number of former addresses. */
const maxFormerCount = 1000;

/** Options of {@link UpstreamList}. */
export type UpstreamListOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	readonly layout: PoolLayout;
	/** Data centres of the deployment; an entry of another one is invalid. By default, there may be any. */
	readonly dataCenters?: readonly string[];
	readonly onChange: () => void;
	/** Adds reports of peers that have read the list, while it cannot be read here; by default, nobody is asked. */
	readonly requestReports?: () => Promise<void>;
	/** How much slower cold upstreams are; the platform's defaults by default. */
	readonly coldLimits?: ColdLimits;
};

/** An owner's report of the upstreams of its pool. */
export type UpstreamReport = Pick<PoolUpstreams, 'pool' | 'revision' | 'upstreams'> & Partial<Pick<PoolUpstreams, 'overwritten' | 'former'>>;

/** A valid entry of the list. */
type Entry = {
	readonly upstream: UpstreamDescription;
	/** Pool, computed on first use; it is constant since the number of pools never changes. */
	pool: string | undefined;
};

/** Holds the upstreams of all data centres as last read or received. */
export class UpstreamList {
	readonly #options: UpstreamListOptions;
	readonly #entries = new Map<string, Entry>();
	/** Entries that are no longer listed, and the monotonic time of their removal; `Infinity` while an invalid value stands in their place. */
	readonly #missing = new Map<string, {readonly entry: Entry; readonly removedAt: number}>();
	/** Instances at addresses at which their upstreams were listed earlier, by key and address, and the monotonic time at which that ended. */
	readonly #former = new Map<string, {readonly entry: Entry; readonly movedAt: number}>();
	/** Pools whose owners have reported their former addresses. */
	readonly #reportedPools = new Set<string>();
	/** Keys whose values are invalid. */
	readonly #invalidKeys = new Set<string>();
	/** Monotonic times of the first of an owner's reports without a long gap between them, and of the last one, with its revision, by pool. */
	readonly #reports = new Map<string, {readonly firstAt: number; readonly lastAt: number; readonly revision: number}>();
	readonly #closing = new AbortController();
	#revision: number | undefined;
	/** Monotonic time of the first read. */
	#firstReadAt = Infinity;
	#lastReadAt = 0;
	#isFollowing = false;
	#isRunning = false;
	/** Whether a report was newer than what was read here, so that changes since the last read may be older than what is known. */
	#isReadOutpaced = false;
	/** Whether the list was outdated when it was last to be updated. */
	#wasOutdated = false;
	/** Update in progress of the list that is kept up to date, by a read or from peers; `undefined` for none. */
	#updating: Promise<void> | undefined;
	/** Read in progress for an update; `undefined` for none. */
	#reading: Promise<boolean> | undefined;

	constructor(options: UpstreamListOptions) {
		this.#options = options;
	}

	/**
	 * Gets the listed upstreams of a pool.
	 * @param pool - Pool.
	 */
	getUpstreams(pool: string): readonly UpstreamDescription[] {
		return this.#filterByPool(pool, this.#entries);
	}

	/**
	 * Gets the upstreams of a pool that are not listed but may be alive: those whose entries were removed recently or overwritten.
	 * @param pool - Pool.
	 */
	getMissingUpstreams(pool: string): readonly UpstreamDescription[] {
		const now = this.#options.clock.getMonotonicTime();
		for (const [key, {removedAt}] of this.#missing) {
			if (now - removedAt > missingGraceMs) {
				this.#missing.delete(key);
			}
		}

		return this.#filterByPool(pool, [...this.#missing].map(([key, {entry}]) => [key, entry] as const));
	}

	/**
	 * Gets the last valid descriptions of the upstreams of a pool whose entries were overwritten by invalid ones.
	 * @param pool - Pool.
	 */
	getOverwrittenUpstreams(pool: string): readonly UpstreamDescription[] {
		return this.#filterByPool(pool, [...this.#missing].flatMap(([key, {entry, removedAt}]) => removedAt === Infinity ? [[key, entry] as const] : []));
	}

	/**
	 * Gets the instances of the upstreams of a pool that were listed lately, or are listed for its owner, and are listed here at other addresses now.
	 * @param pool - Pool.
	 */
	getFormerUpstreams(pool: string): readonly UpstreamDescription[] {
		const now = this.#options.clock.getMonotonicTime();
		for (const [key, {movedAt}] of this.#former) {
			if (now - movedAt > formerRetentionMs) {
				this.#former.delete(key);
			}
		}

		return this.#filterByPool(pool, [...this.#former].map(([key, {entry}]) => [key, entry] as const));
	}

	/**
	 * Gets the number of listed upstreams of a data centre.
	 * @param dataCenter - Data centre.
	 */
	getCount(dataCenter: string): number {
		let count = 0;
		for (const entry of this.#entries.values()) {
			count += Number(entry.upstream.dataCenter === dataCenter);
		}

		return count;
	}

	/**
	 * Gets whether all live instances of a pool's upstreams are among the listed, the missing and the former ones: the list was first read or received
	 * long enough ago that all of them have been listed since, and last read or received recently enough that none has been added since.
	 * @param pool - Pool.
	 */
	isComplete(pool: string): boolean {
		const report = this.#reports.get(pool);
		const now = this.#options.clock.getMonotonicTime();
		const isKnownLongEnough = now - Math.min(this.#firstReadAt, report?.firstAt ?? Infinity) >= missingGraceMs;
		const areFormerKnown = this.#reportedPools.has(pool) || now - this.#firstReadAt >= formerKnownMs;
		return isKnownLongEnough && areFormerKnown && now - Math.max(this.#lastReadAt, report?.lastAt ?? -Infinity) <= maxCatchUpAgeMs;
	}

	/** Gets the revision of the store at which the list was read; 0 if it was not. */
	getRevision(): number {
		return this.#revision ?? 0;
	}

	/**
	 * Gets the revision of the store at which the upstreams of a pool were read, by this VM or by the owner that reported them; 0 if it is unknown.
	 * @param pool - Pool.
	 */
	getPoolRevision(pool: string): number {
		return Math.max(this.getRevision(), this.#reports.get(pool)?.revision ?? 0);
	}

	/**
	 * Gets the time since the upstreams of a pool were last read, by this VM or by a peer that reported them, in milliseconds; `Infinity` if they never were.
	 * @param pool - Pool.
	 */
	getAgeMs(pool: string): number {
		return Math.min(this.#getReadAgeMs(), this.#options.clock.getMonotonicTime() - (this.#reports.get(pool)?.lastAt ?? -Infinity));
	}

	/**
	 * Gets a report of the upstreams of a pool as last read or received.
	 * @param pool - Pool.
	 */
	getReport(pool: string): UpstreamReport {
		return {
			pool,
			revision: this.getPoolRevision(pool),
			// How long an upstream is still cold differs with each read, and each difference would be sent to all VMs.
			upstreams: this.getUpstreams(pool).map(upstream => upstream.cold === undefined ? upstream : {...upstream, cold: undefined}),
			overwritten: this.getOverwrittenUpstreams(pool),
			former: this.getFormerUpstreams(pool),
		};
	}

	/**
	 * Reads the list if it was not read a moment ago.
	 * @returns Whether the list is as the store has it now or had it a moment ago.
	 */
	async refresh(): Promise<boolean> {
		return !this.#isOutdated() || this.#readLatest();
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
		this.#isReadOutpaced = false;
		const listed = new Set<string>();
		for (const item of result.value.items) {
			listed.add(item.key);
			this.#setEntry(item.key, item.value);
		}

		for (const key of [...this.#entries.keys(), ...this.#missing.keys(), ...this.#invalidKeys]) {
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
	 * Waits for the end of the update that is in progress; returns at once if there is none, since the list was read a moment ago then or is not followed.
	 * @param timeoutMs - Longest wait in milliseconds.
	 */
	async waitForUpdate(timeoutMs: number): Promise<void> {
		if (this.#updating !== undefined) {
			await Promise.race([this.#updating, sleep(this.#options.clock, timeoutMs)]);
		}
	}

	/**
	 * Applies an owner's report of the upstreams of its pool.
	 * @param report - Pool and its upstreams.
	 */
	addReport({pool, revision, upstreams, overwritten = [], former}: UpstreamReport): void {
		if (former === undefined) {
			this.#reportedPools.delete(pool);
		} else {
			this.#reportedPools.add(pool);
			this.#addReportedFormer(former);
		}

		const isFollowed = this.#isFollowing && this.#revision !== undefined && !this.#isOutdated();
		if (isFollowed || revision < this.getPoolRevision(pool)) {
			this.#addUnlisted([...upstreams, ...overwritten]);
			// Upstreams that were read here at other addresses: the owner that reports them uses them there.
			this.#addReportedFormer([...upstreams, ...overwritten].filter(({id}) => this.#entries.has(`${upstreamPrefix}${id}`)));
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		const previous = this.#reports.get(pool);
		const hasGap = previous === undefined || now - previous.lastAt > maxCatchUpAgeMs;
		this.#reports.set(pool, {firstAt: hasGap ? now : previous.firstAt, lastAt: now, revision});
		this.#isReadOutpaced ||= revision > this.getRevision();
		const known = new Map(this.getUpstreams(pool).map(upstream => [upstream.id, upstream]));
		for (const {id} of [...known.values(), ...this.getOverwrittenUpstreams(pool)]) {
			this.#removeEntry(`${upstreamPrefix}${id}`);
		}

		for (const upstream of upstreams) {
			// A report does not tell whether an upstream is cold.
			const previousLife = known.get(upstream.id);
			this.#addEntry(`${upstreamPrefix}${upstream.id}`, previousLife?.bornMs === upstream.bornMs ? {...upstream, cold: previousLife.cold} : upstream);
		}

		for (const upstream of overwritten) {
			this.#handleInvalidEntry(`${upstreamPrefix}${upstream.id}`, upstream);
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
			this.#updating = this.#update();
			await this.#updating;
			this.#updating = undefined;
			await sleep(clock, pollIntervalMs, this.#closing.signal);
		}

		this.#isRunning = false;
	}

	/** Reads the list, or requests it from peers while it cannot be read here. */
	async #update(): Promise<void> {
		const {log, requestReports} = this.#options;
		if (await this.#readLatest()) {
			if (this.#wasOutdated) {
				this.#wasOutdated = false;
				log.info({revision: this.#revision}, 'list of upstreams read again');
			}

			return;
		}

		if (this.#isOutdated()) {
			if (!this.#wasOutdated) {
				this.#wasOutdated = true;
				log.warn({revision: this.#revision, ageMs: Math.round(this.#getReadAgeMs())}, 'list of upstreams outdated');
			}

			await requestReports?.();
		}
	}

	/** Reads what is new in the list; returns false if the read fails. Concurrent calls share one read. */
	async #readLatest(): Promise<boolean> {
		const startReading = async (): Promise<boolean> => {
			const isRead = await (this.#canCatchUp() ? this.#catchUp() : this.read());
			this.#reading = undefined;
			return isRead;
		};

		this.#reading ??= startReading();
		return this.#reading;
	}

	#isOutdated(): boolean {
		return this.#getReadAgeMs() > outdatedAgeMs;
	}

	/** Gets the time since the list was last read here, in milliseconds; `Infinity` if it never was. */
	#getReadAgeMs(): number {
		return this.#firstReadAt === Infinity ? Infinity : this.#options.clock.getMonotonicTime() - this.#lastReadAt;
	}

	#canCatchUp(): boolean {
		return this.#revision !== undefined && !this.#isReadOutpaced && this.#options.clock.getMonotonicTime() - this.#lastReadAt < maxCatchUpAgeMs;
	}

	async #catchUp(): Promise<boolean> {
		const {store, clock, log} = this.#options;
		const result = await store.getChanges(upstreamPrefix, this.#revision!, 1);
		if (!result.ok) {
			log.info({reason: result.reason, detail: result.detail}, 'failed to read the changes of upstreams');
			this.#revision = result.reason === 'history-lost' ? undefined : this.#revision;
			return false;
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
		return true;
	}

	#setEntry(key: string, value: string): void {
		const {clock, coldLimits, dataCenters, log} = this.#options;
		const upstream = decodeUpstream({key, value}, clock.getMonotonicTime(), coldLimits);
		if (upstream !== undefined && (dataCenters?.includes(upstream.dataCenter) ?? true)) {
			this.#addEntry(key, upstream);
			return;
		}

		if (!this.#invalidKeys.has(key)) {
			log.info({key}, 'invalid upstream entry');
		}

		this.#handleInvalidEntry(key);
	}

	#addEntry(key: string, upstream: UpstreamDescription): void {
		const previous = this.#entries.get(key) ?? this.#missing.get(key)?.entry;
		const isSameDataCenter = previous?.upstream.dataCenter === upstream.dataCenter;
		if (previous !== undefined && !isSameDataCenter) {
			this.#removeEntry(key);
		} else if (this.#missing.get(key)?.entry.upstream.dataCenter === upstream.dataCenter) {
			this.#missing.delete(key);
		}

		if (previous !== undefined && previous.upstream.address !== upstream.address) {
			this.#addFormer(key, previous);
		}

		if (this.#isFollowing && previous !== undefined && !isSameCapacity(previous.upstream, upstream)) {
			const {id, capacity} = upstream;
			this.#options.log.info({
				upstream: id, capacity, before: previous.upstream.capacity, isRead: !this.#isOutdated(),
			}, 'capacity of an upstream changed');
		}

		this.#former.delete(getFormerKey(key, upstream));
		this.#invalidKeys.delete(key);
		this.#entries.set(key, {upstream: this.#keepColdness(upstream, previous?.upstream), pool: isSameDataCenter ? previous.pool : undefined});
	}

	/** Keeps until when an instance that is warm now was cold, for the runs that began on it then. */
	#keepColdness(upstream: UpstreamDescription, previous: UpstreamDescription | undefined): UpstreamDescription {
		const {cold} = previous?.bornMs === upstream.bornMs ? previous : upstream;
		return upstream.cold !== undefined || cold === undefined
			? upstream
			: {...upstream, cold: {...cold, until: Math.min(cold.until, this.#options.clock.getMonotonicTime())}};
	}

	#addFormer(key: string, entry: Entry): void {
		const formerKey = getFormerKey(key, entry.upstream);
		this.#former.delete(formerKey);
		this.#former.set(formerKey, {entry, movedAt: this.#options.clock.getMonotonicTime()});
		const [oldest] = this.#former.keys();
		if (this.#former.size > maxFormerCount) {
			this.#former.delete(oldest!);
		}
	}

	#addReportedFormer(upstreams: readonly UpstreamDescription[]): void {
		for (const upstream of upstreams) {
			const key = `${upstreamPrefix}${upstream.id}`;
			if (this.#entries.get(key)?.upstream.address !== upstream.address) {
				this.#addFormer(key, {upstream, pool: undefined});
			}
		}
	}

	/** Keeps the last valid description of an upstream whose entry was overwritten: another writer's value does not show that it has left. */
	#handleInvalidEntry(key: string, lastValid?: UpstreamDescription): void {
		const entry = this.#entries.get(key) ?? this.#getMissingEntry(key) ?? (lastValid && {upstream: lastValid, pool: undefined});
		this.#invalidKeys.add(key);
		this.#entries.delete(key);
		if (entry !== undefined) {
			this.#missing.set(key, {entry, removedAt: Infinity});
		}
	}

	/** Adds the reported upstreams that this VM has not read to the missing ones; the store may have rejected this VM's reads. */
	#addUnlisted(upstreams: readonly UpstreamDescription[]): void {
		const now = this.#options.clock.getMonotonicTime();
		for (const upstream of upstreams) {
			const key = `${upstreamPrefix}${upstream.id}`;
			if (this.#invalidKeys.has(key)) {
				this.#handleInvalidEntry(key, upstream);
			} else if (!this.#entries.has(key)) {
				this.#missing.set(key, {entry: {upstream, pool: undefined}, removedAt: now});
			}
		}
	}

	#getMissingEntry(key: string): Entry | undefined {
		const missing = this.#missing.get(key);
		return missing !== undefined && this.#options.clock.getMonotonicTime() - missing.removedAt <= missingGraceMs ? missing.entry : undefined;
	}

	#filterByPool(pool: string, entries: Iterable<readonly [string, Entry]>): readonly UpstreamDescription[] {
		const dataCenter = getDataCenter(pool);
		const pools = this.#options.layout.getPoolsOf(dataCenter);
		if (pools.length === 0) {
			return [];
		}

		return [...entries].flatMap(([, entry]) => {
			if (entry.upstream.dataCenter !== dataCenter) {
				return [];
			}

			entry.pool ??= getPoolOfUpstream(entry.upstream.id, pools);
			return entry.pool === pool ? [entry.upstream] : [];
		});
	}

	/** Removes the entry of a key; its upstream counts as missing from now on. */
	#removeEntry(key: string): void {
		const overwritten = this.#invalidKeys.delete(key) ? this.#getMissingEntry(key) : undefined;
		const entry = this.#entries.get(key) ?? overwritten;
		this.#entries.delete(key);
		if (entry !== undefined) {
			this.#missing.set(key, {entry, removedAt: this.#options.clock.getMonotonicTime()});
		}
	}
}

function isSameCapacity({capacity: a}: UpstreamDescription, {capacity: b}: UpstreamDescription): boolean {
	return a.cpu === b.cpu && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators;
}

function getFormerKey(key: string, {address}: UpstreamDescription): string {
	return `${key} ${address}`;
}
