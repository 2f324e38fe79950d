/**
 * Messages of the JSON gateway of the etcd v3 API: 64-bit integers are strings, keys and values are base64.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {type KeyValue} from './platform.js';

const int64 = z.union([z.string().regex(/^\d{1,19}$/v), z.int().min(0)]).transform(Number);

const headerSchema = z.object({revision: int64.default(0)});

const keyValueSchema = z.object({
	key: z.base64(),
	value: z.base64().default(''),
	mod_revision: int64.default(0),
});

/** Schema of the answer to a range request. */
export const rangeAnswerSchema = z.object({
	header: headerSchema,
	kvs: z.array(keyValueSchema).default([]),
	count: int64.default(0),
});

/** Schema of the answer to a transaction. */
export const txnAnswerSchema = z.object({
	header: headerSchema,
	succeeded: z.boolean().default(false),
	responses: z.array(z.object({
		response_range: z.object({kvs: z.array(keyValueSchema).default([])}).optional(),
	})).default([]),
});

/** Schema of one message of a watch. */
export const watchMessageSchema = z.object({
	result: z.object({
		header: headerSchema,
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		compact_revision: int64.default(0),
		cancel_reason: z.string().default(''),
		events: z.array(z.object({
			type: z.enum(['PUT', 'DELETE']).default('PUT'),
			kv: keyValueSchema,
		})).default([]),
	}),
});

/** One message of a watch. */
export type WatchMessage = z.infer<typeof watchMessageSchema>['result'];

type EncodedKeyValue = z.infer<typeof keyValueSchema>;

/**
 * Encodes a key or value.
 * @param text - Text to encode.
 */
export function encode(text: string): string {
	return Buffer.from(text).toString('base64');
}

/**
 * Decodes a key or value.
 * @param text - Base64 text.
 */
export function decode(text: string): string {
	return Buffer.from(text, 'base64').toString();
}

/**
 * Decodes the key and value of a message.
 * @param kv - Encoded key and value.
 */
export function decodeKeyValue(kv: EncodedKeyValue): KeyValue {
	return {key: decode(kv.key), value: decode(kv.value), modRevision: kv.mod_revision};
}

/**
 * Creates the body of a request for one key.
 * @param key - Key to read.
 */
export function createKeyRequest(key: string): unknown {
	return {key: encode(key)};
}

/**
 * Creates the body of a request for all keys under a prefix.
 * @param prefix - Prefix, not empty.
 * @param isKeysOnly - Whether the values are omitted.
 */
export function createPrefixRequest(prefix: string, isKeysOnly = false): unknown {
	return {...encodePrefix(prefix), keys_only: isKeysOnly};
}

/**
 * Creates the body of a request for the most recently changed key under a prefix and for the number of keys.
 * @param prefix - Prefix, not empty.
 */
export function createDigestRequest(prefix: string): unknown {
	return {
		...encodePrefix(prefix), keys_only: true, limit: '1', sort_order: 'DESCEND', sort_target: 'MOD',
	};
}

/**
 * Creates the body of a watch of all keys under a prefix.
 * @param prefix - Prefix, not empty.
 * @param startRevision - First revision to deliver.
 */
export function createWatchRequest(prefix: string, startRevision: number): unknown {
	return {create_request: {...encodePrefix(prefix), start_revision: String(startRevision), progress_notify: true}};
}

/**
 * Creates the body of a transaction that writes a key if its revision is the expected one, and reads it otherwise.
 * @param key - Key to write.
 * @param value - New value.
 * @param expectedModRevision - Expected revision of the key's last change; 0 if the key must not exist.
 */
export function createSwapRequest(key: string, value: string, expectedModRevision: number): unknown {
	const encodedKey = encode(key);
	return {
		compare: [{
			key: encodedKey, target: 'MOD', result: 'EQUAL', modRevision: String(expectedModRevision),
		}],
		success: [{requestPut: {key: encodedKey, value: encode(value)}}],
		failure: [{requestRange: {key: encodedKey}}],
	};
}

function encodePrefix(prefix: string): {readonly key: string; readonly range_end: string} {
	const end = Buffer.from(prefix);
	const lastIndex = end.length - 1;
	end[lastIndex] = end[lastIndex]! + 1;
	return {key: encode(prefix), range_end: end.toString('base64')};
}
