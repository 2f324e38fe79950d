/**
 * Stand-in of the platform's store: items with revisions, read, watched and written over HTTP as PROTOCOL.md says.
 */
/* eslint camelcase: "off" -- The platform names the fields of its messages. */
import {Buffer} from 'node:buffer';
import {listen, readJson, sendJson} from './http.js';

/** Items of a page of a range read. */
const itemsPerPage = 500;

/** Keys that only the operator and the minions write. */
const reservedPrefixes = ['op/', 'servers/'];

export class Store {
	#items = new Map();
	#events = [];
	#revision = 1;
	#waiters = new Set();
	#listener;
	/** Whether no call is answered, and no entry of a minion is taken. */
	isDown = false;

	async start(ip) {
		this.#listener = await listen({ip, port: 0}, async (req, res) => this.#handle(req, res));
		return this.#listener.address;
	}

	close() {
		this.#listener?.close();
	}

	/** Writes an item as the operator or a minion does; `undefined` removes it. Nothing is written while the store is down. */
	set(key, value) {
		if (this.isDown) {
			return;
		}

		if (value === undefined) {
			this.#delete(key);
		} else {
			this.#put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		}
	}

	#put(key, value) {
		this.#revision++;
		const created = this.#items.get(key)?.created ?? this.#revision;
		const item = {
			key, value, revision: this.#revision, created, lease: 0,
		};
		this.#items.set(key, item);
		this.#addEvent(item);
	}

	#delete(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#addEvent({key, revision: this.#revision, tombstone: true});
		}
	}

	#addEvent(event) {
		this.#events.push(event);
		for (const wake of this.#waiters) {
			wake();
		}
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const {pathname, searchParams: query} = url;
		const body = await readJson(req);
		if (this.isDown) {
			return;
		}

		if (req.method === 'GET' && pathname === '/api/kv-key') {
			const item = this.#items.get(query.get('key'));
			sendJson(res, item ? 200 : 404, {...item, as_of: this.#revision});
		} else if (req.method === 'GET' && pathname === '/api/kv-range') {
			this.#sendRange(query, res);
		} else if (req.method === 'GET' && pathname === '/api/kv-watch') {
			await this.#sendEvents(query, res);
		} else if (req.method === 'POST' && pathname === '/api/kv-txn') {
			this.#commit(body, res);
		} else {
			sendJson(res, 404, {});
		}
	}

	#sendRange(query, res) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
		const page = keys.slice(0, itemsPerPage);
		sendJson(res, 200, {items: page.map(key => this.#items.get(key)), has_more: keys.length > page.length, as_of: this.#revision});
	}

	async #sendEvents(query, res) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const endsAt = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0));
		for (;;) {
			const events = this.#events.filter(({key, revision}) => key.startsWith(prefix) && revision > after);
			const waitMs = endsAt - performance.now();
			if (events.length > 0 || waitMs <= 0 || res.destroyed) {
				sendJson(res, 200, {events, as_of: this.#revision});
				return;
			}

			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiters.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				this.#waiters.add(wake);
			});
		}
	}

	#commit({precondition = [], writes = [], deletes = []}, res) {
		const keys = [...writes.map(({key}) => key), ...deletes];
		if (keys.some(key => reservedPrefixes.some(prefix => key.startsWith(prefix)))) {
			sendJson(res, 403, {});
			return;
		}

		if (precondition.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			sendJson(res, 412, {items: precondition.flatMap(({key}) => this.#items.get(key) ?? [])});
			return;
		}

		for (const {key, value} of writes) {
			this.#put(key, value);
		}

		for (const key of deletes) {
			this.#delete(key);
		}

		sendJson(res, 200, {revision: this.#revision});
	}
}
