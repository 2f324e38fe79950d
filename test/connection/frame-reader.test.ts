import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {decodeValue, encodeFrame} from '../../src/connection/frame-codec.js';
import {FrameReader} from '../../src/connection/frame-reader.js';

const maxFrameBytes = 1_000_000;

function readAll(reader: FrameReader): readonly unknown[] {
	const values: unknown[] = [];
	for (let payload = reader.takePayload(); payload instanceof Uint8Array; payload = reader.takePayload()) {
		const decoded = decodeValue(payload);
		values.push(decoded.ok ? decoded.value : undefined);
	}

	return values;
}

test('frames split into chunks of any size are decoded to the values that were sent', t => {
	const values = fc.array(fc.oneof(fc.string(), fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes))));
	fc.assert(fc.property(values, fc.array(fc.integer({min: 1, max: 50}), {minLength: 1}), (sent, sizes) => {
		const bytes = Buffer.concat(sent.map(value => encodeFrame(value)));
		const reader = new FrameReader(maxFrameBytes);
		const received: unknown[] = [];
		for (let offset = 0, index = 0; offset < bytes.length; index++) {
			const size = sizes[index % sizes.length]!;
			reader.addChunk(bytes.subarray(offset, offset + size));
			received.push(...readAll(reader));
			offset += size;
		}

		t.deepEqual(received, sent);
		t.is(reader.getByteCount(), 0);
	}), {seed: 7, numRuns: 200});
});

test('arbitrary bytes are read without an exception', t => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
		const reader = new FrameReader(100);
		reader.addChunk(bytes);
		readAll(reader);
	}), {seed: 7, numRuns: 2000});
	t.pass();
});

test('a length over the limit is reported before the payload is received', t => {
	const reader = new FrameReader(10);
	reader.addChunk(Buffer.from([0, 0, 0, 11]));
	t.is(reader.takePayload(), 'too-long');
});

test('an array with a declared length over the limit is rejected', t => {
	t.false(decodeValue(Buffer.from([0x9A, 0x7F, 0xFF, 0xFF, 0xFF])).ok);
});
