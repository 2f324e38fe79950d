/**
 * Requests and responses of the stand-in in the JSON/HTTP form of the etcd v3 API.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {
	type EtcdStandInStore, type KeySelection, type StoredChange, type StoredKey, type StoreWrite,
} from './etcd-stand-in-store.js';

const bytesSchema = z.base64().transform(text => Buffer.from(text, 'base64').toString('latin1'));
const int64Schema = z.union([z.string(), z.number()]).transform(Number);

const rangeSchema = z.object({
	key: bytesSchema,
	range_end: bytesSchema.optional(),
	limit: int64Schema.default(0),
	revision: int64Schema.default(0),
	keys_only: z.boolean().default(false),
	count_only: z.boolean().default(false),
	sort_order: z.enum(['NONE', 'ASCEND', 'DESCEND']).default('NONE'),
	sort_target: z.enum(['KEY', 'VERSION', 'CREATE', 'MOD', 'VALUE']).default('KEY'),
});
const putSchema = z.object({key: bytesSchema, value: z.base64().default(''), lease: int64Schema.default(0)});
const deleteSchema = z.object({key: bytesSchema, range_end: bytesSchema.optional()});
const compareSchema = z.object({
	key: bytesSchema,
	target: z.enum(['VERSION', 'CREATE', 'MOD', 'VALUE']).default('VERSION'),
	result: z.enum(['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL']).default('EQUAL'),
	version: int64Schema.default(0),
	create_revision: int64Schema.default(0),
	mod_revision: int64Schema.default(0),
	value: z.base64().default(''),
});
const operationSchema = z.object({
	request_range: rangeSchema.optional(),
	request_put: putSchema.optional(),
	request_delete_range: deleteSchema.optional(),
});
const txnSchema = z.object({
	compare: z.array(compareSchema).default([]),
	success: z.array(operationSchema).default([]),
	failure: z.array(operationSchema).default([]),
});

/** Schema of the request that opens a watch. */
export const watchRequestSchema = z.object({
	create_request: z.object({key: bytesSchema, range_end: bytesSchema.optional(), start_revision: int64Schema.default(0)}),
});

/** Schema of lease requests. */
export const leaseRequestSchema = z.object({ID: int64Schema.default(0), TTL: int64Schema.default(0)});

type RangeRequest = z.infer<typeof rangeSchema>;
type CompareRequest = z.infer<typeof compareSchema>;
type OperationRequest = z.infer<typeof operationSchema>;

/**
 * Creates the header of a response.
 * @param revision - Revision of the response.
 */
export function createHeader(revision: number): Record<string, unknown> {
	return {
		cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1',
	};
}

/**
 * Converts the field names of a request to snake case, as the schemas expect; the API accepts camel case too.
 * @param json - Parsed request.
 */
export function normalizeNames(json: unknown): unknown {
	if (Array.isArray(json)) {
		return json.map(item => normalizeNames(item));
	}

	if (typeof json !== 'object' || json === null) {
		return json;
	}

	return Object.fromEntries(Object.entries(json).map(([name, value]) => [toSnakeCase(name), normalizeNames(value)]));
}

/**
 * Gets the key selection of a request with an optional range end.
 * @param request - Request.
 */
export function getSelection(request: {readonly key: string; readonly range_end?: string}): KeySelection {
	return {key: request.key, rangeEnd: request.range_end === '' ? undefined : request.range_end};
}

/**
 * Answers a range request.
 * @param store - Store to read.
 * @param json - Request.
 * @param staleRevisions - Number of revisions by which the answer lags behind the newest one.
 */
export function answerRange(store: EtcdStandInStore, json: unknown, staleRevisions = 0): unknown {
	return readRange(store, rangeSchema.parse(json), staleRevisions);
}

/**
 * Answers a put request.
 * @param store - Store to change.
 * @param json - Request.
 */
export function answerPut(store: EtcdStandInStore, json: unknown): unknown {
	const revision = store.commit([{kind: 'put', ...putSchema.parse(json)}]);
	return {header: createHeader(revision)};
}

/**
 * Answers a request to delete keys.
 * @param store - Store to change.
 * @param json - Request.
 */
export function answerDelete(store: EtcdStandInStore, json: unknown): unknown {
	const range = getSelection(deleteSchema.parse(json));
	const deleted = store.getRange(range).length;
	const revision = store.commit([{kind: 'delete', range}]);
	return {header: createHeader(revision), deleted: String(deleted)};
}

/**
 * Answers a transaction.
 * @param store - Store to change.
 * @param json - Request.
 */
export function answerTxn(store: EtcdStandInStore, json: unknown): unknown {
	const txn = txnSchema.parse(json);
	const succeeded = txn.compare.every(compare => holds(store, compare));
	const operations = succeeded ? txn.success : txn.failure;
	store.commit(operations.flatMap(operation => getWrites(operation)));
	const header = createHeader(store.getRevision());
	const responses = operations.map(operation => answerOperation(store, operation));
	return {header, ...(succeeded && {succeeded}), responses};
}

/**
 * Creates the watch message that reports changes.
 * @param changes - Changes of one revision.
 * @param revision - Revision of the changes.
 */
export function createEventsMessage(changes: readonly StoredChange[], revision: number): unknown {
	const events = changes.map(({key, current}) => current
		? {kv: encodeKey(current)}
		: {type: 'DELETE', kv: {key: encodeBytes(key), mod_revision: String(revision)}});
	return {result: {header: createHeader(revision), watch_id: '0', events}};
}

function readRange(store: EtcdStandInStore, request: RangeRequest, staleRevisions: number): unknown {
	const newest = Math.max(1, store.getRevision() - staleRevisions);
	const revision = request.revision > 0 ? request.revision : newest;
	const found = sortKeys(store.getRange(getSelection(request), revision), request);
	const limited = request.limit > 0 ? found.slice(0, request.limit) : found;
	const kvs = request.count_only ? [] : limited.map(key => encodeKey(key, request.keys_only));
	return {
		header: createHeader(newest), kvs, count: String(found.length), more: limited.length < found.length,
	};
}

function sortKeys(keys: readonly StoredKey[], {sort_target: target, sort_order: order}: RangeRequest): readonly StoredKey[] {
	const sorted = target === 'MOD' ? [...keys].sort((a, b) => a.modRevision - b.modRevision) : [...keys];
	return order === 'DESCEND' ? sorted.reverse() : sorted;
}

function getWrites(operation: OperationRequest): readonly StoreWrite[] {
	if (operation.request_put) {
		return [{kind: 'put', ...operation.request_put}];
	}

	return operation.request_delete_range ? [{kind: 'delete', range: getSelection(operation.request_delete_range)}] : [];
}

function answerOperation(store: EtcdStandInStore, operation: OperationRequest): unknown {
	const header = createHeader(store.getRevision());
	if (operation.request_range) {
		return {response_range: readRange(store, operation.request_range, 0)};
	}

	return operation.request_put ? {response_put: {header}} : {response_delete_range: {header}};
}

function holds(store: EtcdStandInStore, compare: CompareRequest): boolean {
	const difference = compareKey(store.getKey(compare.key), compare);
	switch (compare.result) {
		case 'EQUAL': {
			return difference === 0;
		}

		case 'NOT_EQUAL': {
			return difference !== 0;
		}

		case 'GREATER': {
			return difference > 0;
		}

		case 'LESS': {
			return difference < 0;
		}
	}
}

function compareKey(stored: StoredKey | undefined, compare: CompareRequest): number {
	switch (compare.target) {
		case 'VERSION': {
			return (stored?.version ?? 0) - compare.version;
		}

		case 'CREATE': {
			return (stored?.createRevision ?? 0) - compare.create_revision;
		}

		case 'MOD': {
			return (stored?.modRevision ?? 0) - compare.mod_revision;
		}

		case 'VALUE': {
			return stored?.value === compare.value ? 0 : 1;
		}
	}
}

function encodeKey(stored: StoredKey, isKeysOnly = false): Record<string, unknown> {
	return {
		key: encodeBytes(stored.key),
		create_revision: String(stored.createRevision),
		mod_revision: String(stored.modRevision),
		version: String(stored.version),
		...(isKeysOnly ? {} : {value: stored.value}),
		...(stored.lease > 0 && {lease: String(stored.lease)}),
	};
}

function encodeBytes(text: string): string {
	return Buffer.from(text, 'latin1').toString('base64');
}

function toSnakeCase(name: string): string {
	return /^[A-Z]+$/v.test(name) ? name : name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);
}
