/**
 * Frames of the links: a length of four bytes, most significant first, and one CBOR value.
 */
import {Buffer} from 'node:buffer';
import {Encoder, setSizeLimits} from 'cbor-x';

/** Bytes of a frame before its value. */
export const frameHeaderBytes = 4;

/** Longest array or map that a value may hold; a length beyond it is refused before any memory is taken. */
const maxCollectionLength = 1_000_000;

setSizeLimits({maxArraySize: maxCollectionLength, maxMapSize: maxCollectionLength, maxObjectSize: maxCollectionLength});

const codec = new Encoder({
	useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true,
});

/** A decoded value, or none where the bytes hold no single CBOR value. */
export type DecodeResult = {readonly ok: true; readonly value: unknown} | {readonly ok: false};

/**
 * Encodes a value.
 * @param value - Value to encode.
 */
export function encodeValue(value: unknown): Uint8Array {
	return codec.encode(value);
}

/**
 * Decodes a value.
 * @param bytes - Bytes of exactly one value.
 */
export function decodeValue(bytes: Uint8Array): DecodeResult {
	try {
		return {ok: true, value: codec.decode(bytes)};
	} catch {
		return {ok: false};
	}
}

/**
 * Encodes a value as a frame.
 * @param value - Value to encode.
 */
export function encodeFrame(value: unknown): Uint8Array {
	const payload = codec.encode(value);
	const frame = Buffer.allocUnsafe(frameHeaderBytes + payload.length);
	frame.writeUInt32BE(payload.length);
	frame.set(payload, frameHeaderBytes);
	return frame;
}
