/**
 * The client of the platform's store.
 */
import {Buffer} from 'node:buffer';
import {Agent, type Dispatcher} from 'undici';
import type * as z from 'zod';
import {type Clock} from '../seams/index.js';
import {describeIssues} from './describe-issues.js';
import {callJson, type JsonCall} from './json-client.js';
import {
	itemAnswerSchema, rangeAnswerSchema, watchAnswerSchema, writeAnswerSchema,
} from './wire-messages.js';

/** An item of the store. */
export type StoredItem = {
	readonly key: string;
	readonly value: string;
	/** Revision of the item's last change. */
	readonly revision: number;
};

/** A change of an item; its value is `undefined` when it was deleted. */
export type StoredChange = {readonly key: string; readonly revision: number; readonly value: string | undefined};

/**
 * Why a call has no result. `refused`: the call was not executed. `exists`: nothing was written, since the item exists. `unanswered`: the outcome
 * is unknown; a write may have been executed or may still be.
 */
export type StoreFault = {
	readonly ok: false;
	readonly reason: 'refused' | 'exists' | 'unanswered' | 'invalid' | 'history-lost';
	readonly detail: string;
};

/** The result of a call, or its fault. */
export type StoreResult<T> = {readonly ok: true; readonly value: T} | StoreFault;

/** Numbers of calls by kind and result. */
export type StoreCounts = Readonly<Record<string, number>>;

/** Options of {@link StoreClient}. */
export type StoreClientOptions = {
	readonly address: string;
	readonly clock: Clock;
	readonly dispatcher?: Dispatcher;
	/** Time limit of a call that does not wait for changes, in milliseconds: the store answers in 4 ms, 50 times that when slow. */
	readonly callTimeoutMs?: number;
};

const defaultCallTimeoutMs = 400;

/** Connections to the store: one waits for changes, the others carry reads and writes. */
const connections = 4;
const connectTimeoutMs = 400;

/** Fault reasons by HTTP status; any other status indicates an invalid request. */
const reasonsByStatus: ReadonlyMap<number, StoreFault['reason']> = new Map([
	[404, 'refused'], [410, 'history-lost'], [412, 'exists'], [429, 'refused'], [503, 'refused'],
]);

/** Reads, watches and writes items. */
export class StoreClient {
	readonly #origin: string;
	readonly #clock: Clock;
	readonly #callTimeoutMs: number;
	readonly #dispatcher: Dispatcher;
	readonly #ownAgent: Agent | undefined;
	readonly #counts: Record<string, number> = {};

	constructor(options: StoreClientOptions) {
		this.#origin = `http://${options.address}`;
		this.#clock = options.clock;
		this.#callTimeoutMs = options.callTimeoutMs ?? defaultCallTimeoutMs;
		this.#ownAgent = options.dispatcher ? undefined : new Agent({connections, connect: {timeout: connectTimeoutMs}});
		this.#dispatcher = options.dispatcher ?? this.#ownAgent!;
	}

	/** Gets the numbers of calls made so far by kind and result. */
	getCounts(): StoreCounts {
		return this.#counts;
	}

	/**
	 * Gets an item and the store revision at which it was read; the item is `undefined` if it does not exist.
	 * @param key - Key.
	 */
	async getItem(key: string): Promise<StoreResult<{readonly item: StoredItem | undefined; readonly revision: number}>> {
		const result = await this.#call('read', {method: 'GET', path: `/api/kv-key?key=${encodeURIComponent(key)}`}, itemAnswerSchema);
		return result.ok ? {ok: true, value: {item: decodeItem(result.value), revision: result.value.as_of}} : result;
	}

	/**
	 * Gets all items under a prefix. Pages are read one after another, so the items are not a consistent snapshot.
	 * @param prefix - Prefix.
	 */
	async getRange(prefix: string): Promise<StoreResult<{readonly items: readonly StoredItem[]; readonly revision: number}>> {
		const items: StoredItem[] = [];
		let revision: number | undefined;
		for (let after = ''; ;) {
			const page = after === '' ? '' : `&after=${encodeURIComponent(after)}`;
			const result = await this.#call('range', {method: 'GET', path: `/api/kv-range?prefix=${encodeURIComponent(prefix)}${page}`}, rangeAnswerSchema);
			if (!result.ok) {
				return result;
			}

			items.push(...result.value.items.map(item => decodeItem(item)));
			// A watch from the revision of the first page also delivers the changes made during later pages.
			revision ??= result.value.as_of;
			const lastItem = items.at(-1);
			if (!result.value.has_more || lastItem === undefined) {
				return {ok: true, value: {items, revision}};
			}

			after = lastItem.key;
		}
	}

	/**
	 * Gets the changes under a prefix after a revision; waits for the first one.
	 * @param prefix - Prefix.
	 * @param after - Revision.
	 * @param waitMs - Longest wait in milliseconds.
	 */
	async getChanges(prefix: string, after: number, waitMs: number): Promise<StoreResult<{readonly changes: readonly StoredChange[]; readonly revision: number}>> {
		const result = await this.#call('watch', {
			method: 'GET',
			path: `/api/kv-watch?prefix=${encodeURIComponent(prefix)}&after=${after}&wait_ms=${Math.round(waitMs)}`,
			timeoutMs: waitMs + this.#callTimeoutMs,
		}, watchAnswerSchema);
		if (!result.ok) {
			return result;
		}

		const changes = result.value.events.map(({key, revision, value, tombstone}) => ({key, revision, value: tombstone ? undefined : decodeText(value)}));
		return {ok: true, value: {changes, revision: result.value.as_of}};
	}

	/**
	 * Writes an item unconditionally.
	 * @param key - Key.
	 * @param value - Value.
	 * @param timeoutMs - Time limit in milliseconds.
	 */
	async setItem(key: string, value: string, timeoutMs?: number): Promise<StoreResult<{readonly revision: number}>> {
		return this.#call('write', {
			method: 'POST',
			path: '/api/kv-txn',
			body: {precondition: [], writes: [{key, value: Buffer.from(value).toString('base64')}], deletes: []},
			timeoutMs,
		}, writeAnswerSchema);
	}

	/**
	 * Creates an item; returns false if it exists.
	 * @param key - Key.
	 * @param value - Value.
	 */
	async addItem(key: string, value: string): Promise<StoreResult<boolean>> {
		const result = await this.#call('write', {
			method: 'POST',
			path: '/api/kv-txn',
			// Revision 0 means that the item does not exist.
			body: {precondition: [{key, revision: 0}], writes: [{key, value: Buffer.from(value).toString('base64')}], deletes: []},
		}, writeAnswerSchema);
		if (result.ok) {
			return {ok: true, value: true};
		}

		return result.reason === 'exists' ? {ok: true, value: false} : result;
	}

	/** Closes the client's own connections, which aborts pending calls. */
	async close(): Promise<void> {
		await this.#ownAgent?.destroy();
	}

	async #call<T>(kind: string, call: Pick<JsonCall, 'method' | 'path' | 'body'> & {readonly timeoutMs?: number}, schema: z.ZodType<T>): Promise<StoreResult<T>> {
		const outcome = await callJson(this.#dispatcher, this.#clock, {
			...call, origin: this.#origin, timeoutMs: call.timeoutMs ?? this.#callTimeoutMs,
		});
		const result = toResult(outcome, schema);
		const name = `${kind} ${result.ok ? 'ok' : result.reason}`;
		this.#counts[name] = (this.#counts[name] ?? 0) + 1;
		return result;
	}
}

function toResult<T>(outcome: Awaited<ReturnType<typeof callJson>>, schema: z.ZodType<T>): StoreResult<T> {
	if (outcome.kind === 'unanswered') {
		return {ok: false, reason: 'unanswered', detail: outcome.detail};
	}

	if (outcome.status !== 200) {
		return {ok: false, reason: reasonsByStatus.get(outcome.status) ?? 'invalid', detail: `status ${outcome.status}`};
	}

	const parsed = schema.safeParse(outcome.body);
	return parsed.success ? {ok: true, value: parsed.data} : {ok: false, reason: 'invalid', detail: describeIssues(parsed.error)};
}

function decodeItem({key, value, revision}: StoredItem): StoredItem {
	return {key, value: decodeText(value), revision};
}

function decodeText(value: string): string {
	return Buffer.from(value, 'base64').toString();
}
