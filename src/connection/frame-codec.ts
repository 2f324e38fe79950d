/**
 * Encoding of frames: a four-byte big-endian payload length, followed by one CBOR value.
 */
import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {Decoder, setExtractor, setSizeLimits} from 'cbor-x/decode-no-eval';

/** Size of the length prefix in bytes. */
export const frameHeaderBytes = 4;

/** Maximum number of entries of a decoded array or map; a larger declared length is rejected before memory is allocated for it. */
const maxCollectionLength = 1_000_000;

/** Maximum length of a text that is decoded without a call into native code, in bytes; for a short one the call costs more than the loop. */
const maxShortTextBytes = 64;

// eslint-disable-next-line @typescript-eslint/naming-convention -- The name of a standard option.
const textDecoder = new TextDecoder('utf8', {ignoreBOM: true});

// Left to itself, the library drops a byte order mark at the beginning of a longer text, unless its optional native decoder is installed.
setExtractor((start, _sourceEnd, byteLength, source) => decodeText(source, start, start + byteLength));
setSizeLimits({maxArraySize: maxCollectionLength, maxMapSize: maxCollectionLength, maxObjectSize: maxCollectionLength});

const codecOptions = {
	useRecords: false, mapsAsObjects: true, tagUint8Array: false, variableMapSize: true,
};
const encoder = new Encoder(codecOptions);
const decoder = new Decoder(codecOptions);

/** A decoded value; not `ok` when the bytes are not exactly one valid CBOR value. */
export type DecodeResult = {readonly ok: true; readonly value: unknown} | {readonly ok: false};

/**
 * Encodes a value as CBOR, without a frame header.
 * @param value - Value to encode.
 */
export function encodeValue(value: unknown): Uint8Array {
	return encoder.encode(value);
}

/**
 * Decodes one CBOR value; never throws.
 * @param bytes - Bytes of exactly one value, without a frame header.
 */
export function decodeValue(bytes: Uint8Array): DecodeResult {
	try {
		return {ok: true, value: decoder.decode(bytes)};
	} catch {
		return {ok: false};
	}
}

/**
 * Encodes a value as a frame, including its header.
 * @param value - Value to encode.
 */
export function encodeFrame(value: unknown): Uint8Array {
	const payload = encoder.encode(value);
	const frame = Buffer.allocUnsafe(frameHeaderBytes + payload.length);
	frame.writeUInt32BE(payload.length);
	frame.set(payload, frameHeaderBytes);
	return frame;
}

function decodeText(source: Uint8Array, start: number, end: number): string {
	const ascii = end - start > maxShortTextBytes ? undefined : decodeAscii(source, start, end);
	return ascii ?? textDecoder.decode(source.subarray(start, end));
}

/** Decodes a text of ASCII characters only; returns `undefined` if there are others. */
function decodeAscii(source: Uint8Array, start: number, end: number): string | undefined {
	let text = '';
	for (let position = start; position < end; position++) {
		const code = source[position]!;
		if (code >= 0x80) {
			return undefined;
		}

		text += String.fromCodePoint(code);
	}

	return text;
}
