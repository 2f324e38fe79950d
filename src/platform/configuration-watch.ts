/**
 * Keeps the operator's configuration up to date from the store and from peers.
 */
import {type DecisionLog, type RoutingTable} from '../pool/index.js';
import {Backoff, type Clock, sleep} from '../seams/index.js';
import {decodeConfiguration} from './decode-configuration.js';
import {type StoreClient, type StoreFault} from './store-client.js';

/** Key of the configuration in the store. */
const configurationKey = 'op/config';

/** Longest wait of a watch call, in milliseconds: an unresponsive watch is replaced well within the 2 s that a change may take. */
const watchWaitMs = 1000;

/** Longest wait of a watch call on a VM that peers notify of changes just as fast, in milliseconds; each watch call is billed. */
const notifiedWaitMs = 4000;

const firstRetryMs = 50;
const maxRetryMs = 300;

/** Options of {@link ConfigurationWatch}. */
export type ConfigurationWatchOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	/** Gets whether peers that watch the store at the short interval notify this VM of new versions. */
	readonly isNotifiedByPeers?: () => boolean;
	/** Called when a configuration has become active. */
	readonly onActivated?: (table: RoutingTable) => void;
};

/** Holds the newest configuration; its version never decreases. */
export class ConfigurationWatch {
	readonly #options: ConfigurationWatchOptions;
	readonly #closing = new AbortController();
	readonly #backoff = new Backoff({firstDelayMs: firstRetryMs, maxDelayMs: maxRetryMs});
	#table: RoutingTable | undefined;
	#text = '';
	#isStoreUnavailable = false;

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
		const result = await this.#options.store.getItem(configurationKey);
		if (!result.ok) {
			await this.#handleFault(result);
			return undefined;
		}

		this.#setStoreUnavailable(false, '');
		if (result.value.item !== undefined) {
			this.addText(result.value.item.value, 'store');
		}

		return result.value.revision;
	}

	async #watch(after: number): Promise<number | undefined> {
		const {store, isNotifiedByPeers = () => false} = this.#options;
		const result = await store.getChanges(configurationKey, after, isNotifiedByPeers() ? notifiedWaitMs : watchWaitMs);
		if (!result.ok) {
			if (result.reason !== 'history-lost') {
				await this.#handleFault(result);
			}

			// Whatever the failure, a read of the item returns its latest state.
			return undefined;
		}

		this.#setStoreUnavailable(false, '');
		// The changes are those of all keys that begin with this one.
		for (const {key, value} of result.value.changes) {
			if (key === configurationKey && value !== undefined) {
				this.addText(value, 'store');
			}
		}

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
