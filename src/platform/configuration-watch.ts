/**
 * Follows the operator's configuration in the store and through peers.
 */
import {type DecisionLog, type RoutingTable} from '../pool/index.js';
import {Backoff, type Clock, sleep} from '../seams/index.js';
import {decodeConfiguration} from './decode-configuration.js';
import {type StoreClient, type StoreFault} from './store-client.js';

/** Key of the configuration. */
const configurationKey = 'op/config';

/** Longest wait for a change, in milliseconds: a watch that fell silent is opened anew well within the 2 s a change may take. */
const watchWaitMs = 1000;

/** The same on a VM whose peers tell it of a change as soon, in milliseconds; each watch is a priced call. */
const notifiedWaitMs = 4000;

const firstRetryMs = 50;
const maxRetryMs = 300;

/** Options of {@link ConfigurationWatch}. */
export type ConfigurationWatchOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly store: StoreClient;
	/** Gets whether peers that follow the store closely tell this VM of new versions. */
	readonly isNotifiedByPeers?: () => boolean;
};

/** Keeps the newest configuration; versions only rise. */
export class ConfigurationWatch {
	readonly #options: ConfigurationWatchOptions;
	readonly #closing = new AbortController();
	readonly #backoff = new Backoff({firstDelayMs: firstRetryMs, maxDelayMs: maxRetryMs});
	#table: RoutingTable | undefined;
	#text = '';
	#isStoreUnreachable = false;

	constructor(options: ConfigurationWatchOptions) {
		this.#options = options;
	}

	/** Gets the configuration in force. */
	getRoutingTable(): RoutingTable | undefined {
		return this.#table;
	}

	/** Gets the text of the configuration in force, for peers that cannot reach the store. */
	getText(): string {
		return this.#text;
	}

	/** Gets whether the store did not answer the last call. */
	isStoreUnreachable(): boolean {
		return this.#isStoreUnreachable;
	}

	/**
	 * Takes a configuration if it is newer than the one in force.
	 * @param text - Text as stored.
	 * @param source - Where it comes from.
	 */
	addText(text: string, source: string): void {
		if (text === this.#text) {
			// The store and peers tell of the same version, which may have thousands of routes.
			return;
		}

		const decoded = decodeConfiguration(text);
		if (!decoded.ok) {
			this.#options.log.warn({source, detail: decoded.detail}, 'configuration not understood');
			return;
		}

		if (decoded.table.version <= (this.#table?.version ?? -1)) {
			return;
		}

		this.#options.log.warn({version: decoded.table.version, before: this.#table?.version, source}, 'configuration in force');
		this.#table = decoded.table;
		this.#text = text;
	}

	/** Follows the store until `close`. */
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

		this.#setStoreUnreachable(false, '');
		if (result.value.item !== undefined) {
			this.addText(result.value.item.value, 'store');
		}

		return result.value.revision;
	}

	async #watch(after: number): Promise<number | undefined> {
		const {store, isNotifiedByPeers: isBacked = () => false} = this.#options;
		const result = await store.getChanges(configurationKey, after, isBacked() ? notifiedWaitMs : watchWaitMs);
		if (!result.ok) {
			if (result.reason !== 'history-lost') {
				await this.#handleFault(result);
			}

			// Whatever went wrong, a read of the item misses nothing.
			return undefined;
		}

		this.#setStoreUnreachable(false, '');
		for (const {value} of result.value.changes) {
			if (value !== undefined) {
				this.addText(value, 'store');
			}
		}

		return result.value.revision;
	}

	async #handleFault({reason, detail}: StoreFault): Promise<void> {
		this.#setStoreUnreachable(true, `${reason}: ${detail}`);
		await sleep(this.#options.clock, this.#backoff.getNextDelay(), this.#closing.signal);
	}

	#setStoreUnreachable(isUnreachable: boolean, detail: string): void {
		if (!isUnreachable) {
			this.#backoff.reset();
		}

		if (isUnreachable !== this.#isStoreUnreachable) {
			this.#isStoreUnreachable = isUnreachable;
			this.#options.log.warn({detail}, isUnreachable ? 'store lost' : 'store regained');
		}
	}
}
