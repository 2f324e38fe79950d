/**
 * A stand-in for the platform's metadata store: items with revisions, range reads, watches and transactions over HTTP.
 */
/* eslint-disable camelcase -- The field names of the platform's messages are given. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {listen, readJson, sendJson} from './http.mjs';

const itemsPerPage = 500;

export class Store {
	#server = createServer((req, res) => {
		this.#handle(req, res);
	});
	#items = new Map();
	#history = [];
	#waiters = new Set();
	#revision = 1;
	address = '';
	/** Whether the store answers all calls with 503 and does nothing. */
	isDown = false;

	async open(host) {
		this.address = await listen(this.#server, host);
	}

	/** Writes an item as the operator or a minion does, unless the store is down; `undefined` removes it. */
	set(key, body) {
		if (this.isDown) {
			return;
		}

		this.#revision++;
		if (body === undefined) {
			this.#items.delete(key);
			this.#addChange({key, revision: this.#revision, tombstone: true});
			return;
		}

		this.#write(key, Buffer.from(JSON.stringify(body)).toString('base64'), this.#revision);
	}

	/** Gets the text of an item; `undefined` if there is none. */
	get(key) {
		const item = this.#items.get(key);
		return item && Buffer.from(item.value, 'base64').toString();
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#write(key, value, revision) {
		const created = this.#items.get(key)?.created ?? revision;
		const item = {
			key, value, revision, created, lease: 0,
		};
		this.#items.set(key, item);
		this.#addChange(item);
	}

	#addChange(change) {
		this.#history.push(change);
		for (const waiter of this.#waiters) {
			waiter();
		}
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const body = req.method === 'POST' ? await readJson(req) : undefined;
		if (this.isDown) {
			sendJson(res, 503);
			return;
		}

		switch (`${req.method} ${url.pathname}`) {
			case 'GET /api/kv-key': {
				const item = this.#items.get(url.searchParams.get('key'));
				sendJson(res, item ? 200 : 404, item && {...item, as_of: this.#revision});
				return;
			}

			case 'GET /api/kv-range': {
				const prefix = url.searchParams.get('prefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				const keys = [...this.#items.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted();
				const page = keys.slice(0, itemsPerPage);
				sendJson(res, 200, {items: page.map(key => this.#items.get(key)), has_more: keys.length > page.length, as_of: this.#revision});
				return;
			}

			case 'GET /api/kv-watch': {
				await this.#sendChanges(url, res);
				return;
			}

			case 'POST /api/kv-txn': {
				this.#commit(body, res);
				return;
			}

			default: {
				sendJson(res, 404);
			}
		}
	}

	async #sendChanges(url, res) {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const endAt = performance.now() + Number(url.searchParams.get('wait_ms'));
		for (;;) {
			const events = this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
			if (events.length > 0 || performance.now() >= endAt || res.destroyed) {
				sendJson(res, 200, {events, as_of: this.#revision});
				return;
			}

			await this.#waitForChange(endAt - performance.now());
		}
	}

	async #waitForChange(waitMs) {
		await new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			timer.unref();
			this.#waiters.add(finish);
		});
	}

	#commit({precondition = [], writes = [], deletes = []}, res) {
		if (precondition.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			sendJson(res, 412, {items: precondition.flatMap(({key}) => this.#items.get(key) ?? [])});
			return;
		}

		this.#revision++;
		for (const {key, value} of writes) {
			this.#write(key, value, this.#revision);
		}

		for (const key of deletes) {
			if (this.#items.delete(key)) {
				this.#addChange({key, revision: this.#revision, tombstone: true});
			}
		}

		sendJson(res, 200, {revision: this.#revision});
	}
}
