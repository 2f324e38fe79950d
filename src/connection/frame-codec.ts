/**
 * Encoding of frames: a four-byte big-endian payload length, followed by one CBOR value.
 */
import {Buffer} from 'node:buffer';
import {Encoder, setSizeLimits} from 'cbor-x';

/** Size of the length prefix in bytes. */
export const frameHeaderBytes = 4;

/** Maximum number of entries of a decoded array or map; a larger declared length is rejected before memory is allocated for it. */
const maxCollectionLength = 1_000_000;

setSizeLimits({maxArraySize: maxCollectionLength, maxMapSize: maxCollectionLength, maxObjectSize: maxCollectionLength});

const codec = new Encoder({
	useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true,
});

/** A decoded value; not `ok` when the bytes are not exactly one valid CBOR value. */
export type DecodeResult = {readonly ok: true; readonly value: unknown} | {readonly ok: false};

/**
 * Encodes a value as CBOR, without a frame header.
 * @param value - Value to encode.
 */
export function encodeValue(value: unknown): Uint8Array {
	return codec.encode(value);
}

/**
 * Decodes one CBOR value; never throws.
 * @param bytes - Bytes of exactly one value, without a frame header.
 */
export function decodeValue(bytes: Uint8Array): DecodeResult {
	try {
		return {ok: true, value: codec.decode(bytes)};
	} catch {
		return {ok: false};
	}
}

/**
 * Encodes a value as a frame, including its header.
 * @param value - Value to encode.
 */
export function encodeFrame(value: unknown): Uint8Array {
	const payload = codec.encode(value);
	const frame = Buffer.allocUnsafe(frameHeaderBytes + payload.length);
	frame.writeUInt32BE(payload.length);
	frame.set(payload, frameHeaderBytes);
	return frame;
}
