/**
 * Watches of the platform's stand-in.
 */
import {type ServerResponse} from 'node:http';
import {
	createEventsMessage, createHeader, getSelection, watchRequestSchema,
} from './etcd-stand-in-messages.js';
import {type EtcdStandInStore, type KeySelection, type StoredChange} from './etcd-stand-in-store.js';
import {sendJson} from './http-json.js';

/** Sends changes of the store to the open watches. */
export class EtcdStandInWatches {
	readonly #store: EtcdStandInStore;
	readonly #delay: () => Promise<void>;

	constructor(store: EtcdStandInStore, delay: () => Promise<void>) {
		this.#store = store;
		this.#delay = delay;
	}

	/**
	 * Opens a watch, which ends when its connection closes.
	 * @param json - Request.
	 * @param res - Response that the messages are written to.
	 * @param isSilent - Gets whether messages are dropped.
	 */
	addWatch(json: unknown, res: ServerResponse, isSilent: () => boolean): void {
		const parsed = watchRequestSchema.safeParse(json);
		if (!parsed.success) {
			sendJson(res, 400, {error: parsed.error.message, code: 3, message: parsed.error.message});
			return;
		}

		const request = parsed.data.create_request;
		const selection = getSelection(request);
		const firstRevision = request.start_revision || this.#store.getRevision() + 1;
		const send = this.#createSender(res, isSilent);
		res.writeHead(200, {'content-type': 'application/json'});
		send({result: {header: createHeader(this.#store.getRevision()), watch_id: '0', created: true}});
		const compactRevision = this.#store.getCompactRevision();
		if (firstRevision < compactRevision) {
			send({
				result: {
					header: createHeader(this.#store.getRevision()), watch_id: '0', canceled: true, compact_revision: String(compactRevision),
				},
			});
			return;
		}

		for (const [revision, changes] of groupByRevision(this.#store.getChanges(selection, firstRevision))) {
			send(createEventsMessage(changes, revision));
		}

		this.#sendNewChanges(selection, firstRevision, res, send);
	}

	#sendNewChanges(selection: KeySelection, firstRevision: number, res: ServerResponse, send: (message: unknown) => void): void {
		const removeListener = this.#store.addListener((_, revision) => {
			const changes = this.#store.getChanges(selection, revision);
			if (revision >= firstRevision && changes.length > 0) {
				send(createEventsMessage(changes, revision));
			}
		});
		res.on('close', removeListener);
	}

	#createSender(res: ServerResponse, isSilent: () => boolean): (message: unknown) => void {
		let lastSent = Promise.resolve();
		const send = async (message: unknown): Promise<void> => {
			await this.#delay();
			if (!isSilent() && !res.destroyed) {
				res.write(`${JSON.stringify(message)}\n`);
			}
		};

		return message => {
			lastSent = lastSent.then(async () => send(message)); // eslint-disable-line promise/prefer-await-to-then
		};
	}
}

function groupByRevision(changes: readonly StoredChange[]): ReadonlyMap<number, readonly StoredChange[]> {
	const groups = new Map<number, StoredChange[]>();
	for (const change of changes) {
		const group = groups.get(change.revision) ?? [];
		group.push(change);
		groups.set(change.revision, group);
	}

	return groups;
}
