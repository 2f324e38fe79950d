import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {ByteCollector} from '../../../src/connection/caller-memory/byte-collector.js';

test('the joined bytes are those of all chunks in their order, whatever their sizes', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.oneof(fc.integer({min: 0, max: 40}), fc.integer({min: 400, max: 40_000})), {maxLength: 40}), sizes => {
			const collector = new ByteCollector();
			const chunks = sizes.map((size, position) => Buffer.alloc(size, position));
			for (const chunk of chunks) {
				collector.addChunk(chunk);
			}

			return Buffer.concat(chunks).equals(collector.getBytes());
		}));
	});
});

// Guards against a body of one-byte chunks that costs some hundred bytes for each.
test('a byte costs a byte and at most one partly used block', t => {
	for (const size of [1, 7, 511, 16_384, 20_000]) {
		const collector = new ByteCollector();
		const whole = Buffer.alloc(size);
		// A part of a larger buffer, as the bytes of a read are.
		const part = Buffer.alloc(65_536).subarray(0, size);
		for (let length = 0; length < 250_000; length += 2 * size) {
			collector.addChunk(whole);
			collector.addChunk(part);
		}

		t.true(collector.getAllocated() - collector.getLength() <= 16_384, `${size}`);
	}
});
