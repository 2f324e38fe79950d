import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {anyText, byteOrderMark} from './codec-texts.js';

// The bundle has no native decoder; read by the library when it is loaded.
process.env.CBOR_NATIVE_ACCELERATION_DISABLED = 'true';
const {decodeValue, encodeValue} = await import('../../src/connection/frame-codec.js');

// Guards against a text that begins with a byte order mark and loses it on its way between VMs.
test('a byte order mark at the beginning of a text of any length is kept', t => {
	for (let length = 0; length < 300; length++) {
		const text = byteOrderMark + 's'.repeat(length);
		t.deepEqual(decodeValue(encodeValue({text})), {ok: true, value: {text}});
	}
});

test('any well-formed text is decoded unchanged, as a value, in a list and as a name', t => {
	fc.assert(fc.property(fc.array(anyText.filter(text => text !== '__proto__'), {minLength: 1, maxLength: 5}), texts => {
		const value = {texts, first: texts[0], byName: Object.fromEntries(texts.map((text, position) => [text, position]))};
		t.deepEqual(decodeValue(encodeValue(value)), {ok: true, value});
	}), {seed: 68, numRuns: 1000});
});

test('texts decoded from part of a larger buffer and from a plain array of bytes are equal', t => {
	fc.assert(fc.property(anyText, text => {
		const encoded = encodeValue({text});
		const padded = new Uint8Array(encoded.length + 9);
		padded.set(encoded, 5);
		t.deepEqual(decodeValue(padded.subarray(5, 5 + encoded.length)), {ok: true, value: {text}});
	}), {seed: 69, numRuns: 300});
});

test('arbitrary bytes are decoded or rejected without an exception', t => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 300}), bytes => {
		t.is(typeof decodeValue(bytes).ok, 'boolean');
	}), {seed: 70, numRuns: 2000});
});
