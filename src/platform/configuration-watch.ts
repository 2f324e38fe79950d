/**
 * Keeps the operator's configuration up to date from the store and from peers, and passes on the operator's other items.
 */
import {type DecisionLog, type RoutingTable} from '../pool/index.js';
import {Backoff, type Clock, sleep} from '../seams/index.js';
import {decodeConfiguration} from './decode-configuration.js';
import {
	type StoreClient, type StoreFault, type StoredChange, type StoredItem,
} from './store-client.js';

/** Prefix of the operator's items: one call reads or watches all of them, since each call is billed. */
const operatorPrefix = 'op/';

/** Key of the configuration in the store. */
const configurationKey = `${operatorPrefix}config`;

/** Longest wait of a watch call, in milliseconds: an unresponsive watch is replaced well within the 2 s that a change may take. */
const watchWaitMs = 1000;

/** Longest wait of a watch call on a VM that peers notify of changes just as fast, in milliseconds; each watch call is billed. */
const notifiedWaitMs = 4000;

/** Share of the time within which a change has to be known that one watch call may wait; the rest is for its time limit and the read after it. */
const watchShare = 0.8;

const firstRetryMs = 50;
const maxRetryMs = 300;

/** Options of {@link ConfigurationWatch}. */
export type ConfigurationWatchOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	/** Gets whether peers that watch the store at the short interval notify this VM of new versions. */
	readonly isNotifiedByPeers?: () => boolean;
	/** Receives the operator's other items; nobody by default. */
	readonly evacuations?: OperatorItemListener;
	/** Longest time within which a change has to be known, in milliseconds; limits the wait of a watch call. */
	readonly maxChangeMs?: number;
	/** Called when a configuration has become active. */
	readonly onActivated?: (table: RoutingTable) => void;
};

/** Receives the operator's items as they are read and as they change. */
export type OperatorItemListener = {
	readonly setItems: (items: readonly StoredItem[], revision: number) => void;
	readonly addChanges: (changes: readonly StoredChange[]) => void;
};

/** Holds the newest configuration; its version never decreases. */
export class ConfigurationWatch {
	readonly #options: ConfigurationWatchOptions;
	readonly #closing = new AbortController();
	readonly #backoff = new Backoff({firstDelayMs: firstRetryMs, maxDelayMs: maxRetryMs});
	#table: RoutingTable | undefined;
	#text = '';
	#isStoreUnavailable = false;
	#isFirstReadDone = false;

	constructor(options: ConfigurationWatchOptions) {
		this.#options = options;
	}

	/** Gets the routing table of the active configuration; `undefined` if there is none. */
	getRoutingTable(): RoutingTable | undefined {
		return this.#table;
	}

	/** Gets the text of the active configuration, for peers that cannot reach the store; empty if there is none. */
	getText(): string {
		return this.#text;
	}

	/** Gets whether the first read of the operator's items has been answered or has failed. */
	isFirstReadDone(): boolean {
		return this.#isFirstReadDone;
	}

	/** Gets whether the last call to the store failed. */
	isStoreUnavailable(): boolean {
		return this.#isStoreUnavailable;
	}

	/**
	 * Activates a configuration if it is newer than the active one.
	 * @param text - Configuration as stored.
	 * @param source - Origin of the text, for the log.
	 */
	addText(text: string, source: string): void {
		if (text === this.#text) {
			// The store and peers deliver the same version; decoding thousands of routes again is avoided.
			return;
		}

		const decoded = decodeConfiguration(text);
		if (!decoded.ok) {
			this.#options.log.warn({source, detail: decoded.detail}, 'invalid configuration');
			return;
		}

		if (decoded.table.version <= (this.#table?.version ?? -1)) {
			return;
		}

		this.#options.log.warn({version: decoded.table.version, before: this.#table?.version, source}, 'configuration activated');
		this.#table = decoded.table;
		this.#text = text;
		this.#options.onActivated?.(decoded.table);
	}

	/** Watches the store until `close`. */
	async run(): Promise<void> {
		let revision: number | undefined;
		while (!this.#closing.signal.aborted) {
			revision = revision === undefined ? await this.#read() : await this.#watch(revision);
		}
	}

	/** Ends the watch. */
	close(): void {
		this.#closing.abort();
	}

	async #read(): Promise<number | undefined> {
		const result = await this.#options.store.getRange(operatorPrefix);
		this.#isFirstReadDone = true;
		if (!result.ok) {
			await this.#handleFault(result);
			return undefined;
		}

		this.#setStoreUnavailable(false, '');
		const {items, revision} = result.value;
		const item = items.find(({key}) => key === configurationKey);
		if (item !== undefined) {
			this.addText(item.value, 'store');
		}

		this.#options.evacuations?.setItems(items, revision);
		return revision;
	}

	async #watch(after: number): Promise<number | undefined> {
		const {store, isNotifiedByPeers = () => false, maxChangeMs = Infinity} = this.#options;
		const waitMs = Math.min(isNotifiedByPeers() ? notifiedWaitMs : watchWaitMs, maxChangeMs * watchShare);
		const result = await store.getChanges(operatorPrefix, after, waitMs);
		if (!result.ok) {
			if (result.reason !== 'history-lost') {
				await this.#handleFault(result);
			}

			// Whatever the failure, a read of the items returns their latest state.
			return undefined;
		}

		this.#setStoreUnavailable(false, '');
		for (const {key, value} of result.value.changes) {
			if (key === configurationKey && value !== undefined) {
				this.addText(value, 'store');
			}
		}

		this.#options.evacuations?.addChanges(result.value.changes);
		return result.value.revision;
	}

	async #handleFault({reason, detail}: StoreFault): Promise<void> {
		this.#setStoreUnavailable(true, `${reason}: ${detail}`);
		await sleep(this.#options.clock, this.#backoff.getNextDelay(), this.#closing.signal);
	}

	#setStoreUnavailable(isUnavailable: boolean, detail: string): void {
		if (!isUnavailable) {
			this.#backoff.reset();
		}

		if (isUnavailable !== this.#isStoreUnavailable) {
			this.#isStoreUnavailable = isUnavailable;
			this.#options.log.warn({detail}, isUnavailable ? 'store unavailable' : 'store available again');
		}
	}
}
