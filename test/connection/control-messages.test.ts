import test from 'ava';
import fc from 'fast-check';
import {beatSchema, decodePlainBeat} from '../../src/connection/control-messages.js';

const anything = fc.oneof(fc.integer({min: -2, max: 5}), fc.double(), fc.constantFrom(undefined, null, 'beat', 'x', Infinity), fc.object({maxDepth: 1}));

test('a heartbeat that is decoded by hand is one by its schema, and says the same', t => {
	const number = fc.oneof({weight: 3, arbitrary: fc.nat()}, anything);
	const message = fc.record({
		type: fc.constantFrom('beat', 'beat', 'ack'), logicalTime: number, received: number, nextMs: number, load: anything,
	}, {requiredKeys: ['type', 'logicalTime', 'received']});
	fc.assert(fc.property(fc.oneof(message, anything), value => {
		const decoded = decodePlainBeat(value);
		if (decoded !== undefined) {
			const parsed = beatSchema.safeParse(value);
			t.true(parsed.success);
			// A field that is undefined is as good as absent.
			t.deepEqual({nextMs: undefined, ...decoded}, {nextMs: undefined, ...parsed.data!});
		}
	}), {seed: 7, numRuns: 3000});
});

test('heartbeats that tell nothing new are decoded by hand, all others are not', t => {
	const beat = {type: 'beat', logicalTime: 3, received: 0};
	t.deepEqual(decodePlainBeat(beat), beat as ReturnType<typeof decodePlainBeat>);
	t.like(decodePlainBeat({...beat, nextMs: 200}), {nextMs: 200});
	for (const other of [{...beat, load: {}}, {...beat, reports: []}, {...beat, nextMs: 0}, {...beat, received: -1}, {...beat, logicalTime: '3'}, {type: 'ack', received: 0}, undefined]) {
		t.is(decodePlainBeat(other), undefined);
	}
});
