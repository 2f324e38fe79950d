/**
 * A stand-in for the platform's store: items with revisions, served over HTTP with range reads, watches and transactions.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {readJson, sendJson} from './http-json.js';

type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly created: number; readonly lease: number};
type Change = Item | {readonly key: string; readonly revision: number; readonly tombstone: true};

/** Header in which a test names the caller. */
export const callerHeader = 'x-caller';

/** Faults of the store; they can be changed while a test runs. */
export type StoreFaults = {
	/** Status code of all answers; calls are executed if it is `false`, which commands can carry as JSON. */
	refusal: 429 | 503 | false;
	/** Callers whose calls are refused with 503, by the header {@link callerHeader}. */
	refusedCallers: readonly string[];
	/** Whether calls get no answer. */
	isSilent: boolean;
	/** Whether transactions are executed and not answered. */
	isLosingAnswers: boolean;
	/** Delay before a call is executed, in milliseconds. */
	delayMs: number;
};

type TransactionBody = {
	readonly precondition?: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly writes?: ReadonlyArray<{readonly key: string; readonly value: string}>;
	readonly deletes?: readonly string[];
};

/** Holds items in memory and serves the store's calls. */
export class PlatformStore {
	readonly faults: StoreFaults = {
		refusal: false, refusedCallers: [], isSilent: false, isLosingAnswers: false, delayMs: 0,
	};

	readonly #server: Server;
	readonly #items = new Map<string, Item>();
	readonly #waiters = new Set<() => void>();
	#history: Change[] = [];
	#compactRevision = 0;
	#revision = 1;
	#callCount = 0;

	/** @internal */
	constructor() {
		this.#server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	/** Opens the listener on loopback. */
	async open(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen({host: '127.0.0.1', port: 0}, resolve);
		});
	}

	/** Gets the address as `IP:port`. */
	getAddress(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Gets the number of calls so far. */
	getCallCount(): number {
		return this.#callCount;
	}

	/**
	 * Gets the value of an item as text, or `undefined` when it does not exist.
	 * @param key - Key of the item.
	 */
	getText(key: string): string | undefined {
		const item = this.#items.get(key);
		return item && Buffer.from(item.value, 'base64').toString();
	}

	/**
	 * Writes or removes an item, as the operator or an upstream does.
	 * @param key - Key of the item.
	 * @param text - New value; `undefined` removes the item.
	 */
	setText(key: string, text: string | undefined): void {
		if (text === undefined) {
			this.#delete(key);
		} else {
			this.setBytes(key, Buffer.from(text));
		}
	}

	/**
	 * Writes an item of any bytes.
	 * @param key - Key of the item.
	 * @param bytes - New value.
	 */
	setBytes(key: string, bytes: Uint8Array): void {
		this.#write(key, Buffer.from(bytes).toString('base64'));
	}

	/** Discards the history, so that watches cannot resume from an earlier revision. */
	compact(): void {
		this.#compactRevision = this.#revision;
		this.#history = [];
	}

	/** Closes the listener and all connections. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.#callCount++;
		const url = new URL(req.url ?? '/', 'http://store');
		const body = req.method === 'POST' ? await readJson(req) : undefined;
		if (this.faults.delayMs > 0) {
			await delay(this.faults.delayMs);
		}

		if (this.faults.isSilent) {
			return;
		}

		if (this.faults.refusal !== false) {
			sendJson(res, this.faults.refusal);
			return;
		}

		if (this.faults.refusedCallers.includes(String(req.headers[callerHeader]))) {
			sendJson(res, 503);
			return;
		}

		switch (url.pathname) {
			case '/api/kv-key': {
				const item = this.#items.get(url.searchParams.get('key') ?? '');
				sendJson(res, item ? 200 : 404, item && {...item, as_of: this.#revision});
				return;
			}

			case '/api/kv-range': {
				this.#sendRange(url, res);
				return;
			}

			case '/api/kv-watch': {
				await this.#sendChanges(url, res);
				return;
			}

			case '/api/kv-txn': {
				this.#commit(body as TransactionBody, res);
				return;
			}

			default: {
				sendJson(res, 404);
			}
		}
	}

	#sendRange(url: URL, res: ServerResponse): void {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
		const page = keys.slice(0, itemsPerPage);
		sendJson(res, 200, {items: page.map(key => this.#items.get(key)), has_more: keys.length > page.length, as_of: this.#revision});
	}

	async #sendChanges(url: URL, res: ServerResponse): Promise<void> {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const endAt = performance.now() + Number(url.searchParams.get('wait_ms'));
		for (;;) {
			if (after < this.#compactRevision) {
				sendJson(res, 410);
				return;
			}

			const events = this.#history.filter(({key, revision}) => key.startsWith(prefix) && revision > after);
			if (events.length > 0 || performance.now() >= endAt || res.destroyed) {
				sendJson(res, 200, {events, as_of: this.#revision});
				return;
			}

			await this.#waitForChange(endAt - performance.now());
		}
	}

	async #waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				this.#waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			timer.unref();
			this.#waiters.add(finish);
		});
	}

	#commit({precondition = [], writes = [], deletes = []}: TransactionBody, res: ServerResponse): void {
		if (precondition.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			sendJson(res, 412, {items: precondition.flatMap(({key}) => this.#items.get(key) ?? [])});
			return;
		}

		for (const {key, value} of writes) {
			this.#write(key, value);
		}

		for (const key of deletes) {
			this.#delete(key);
		}

		if (this.faults.isLosingAnswers) {
			res.destroy();
		} else {
			sendJson(res, 200, {revision: this.#revision});
		}
	}

	#write(key: string, value: string): void {
		this.#revision++;
		const created = this.#items.get(key)?.created ?? this.#revision;
		const item = {
			key, value, revision: this.#revision, created, lease: 0,
		};
		this.#items.set(key, item);
		this.#addChange(item);
	}

	#delete(key: string): void {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#addChange({key, revision: this.#revision, tombstone: true});
		}
	}

	#addChange(change: Change): void {
		this.#history.push(change);
		for (const waiter of this.#waiters) {
			waiter();
		}
	}
}

/** Items per page of a range read; few, so that tests cover several pages. */
const itemsPerPage = 5;

/** Creates a store and opens its listener on loopback. */
export async function createPlatformStore(): Promise<PlatformStore> {
	const store = new PlatformStore();
	await store.open();
	return store;
}
