import test from 'ava';
import fc from 'fast-check';
import {
	beatSchema, dataSchema, decodeData, decodePlainBeat,
} from '../../src/connection/control-messages.js';

const anything = fc.oneof(fc.integer({min: -2, max: 5}), fc.double(), fc.constantFrom(undefined, null, 'beat', 'x', Infinity), fc.object({maxDepth: 1}));

test('a heartbeat that is decoded by hand is one by its schema, and says the same', t => {
	const number = fc.oneof({weight: 3, arbitrary: fc.nat()}, anything);
	const message = fc.record({
		type: fc.constantFrom('beat', 'beat', 'ack'), logicalTime: number, received: number, nextMs: number, load: anything,
		reports: fc.oneof(fc.array(fc.record({reporter: fc.oneof(fc.string(), anything), beat: number}, {requiredKeys: ['reporter']})), anything),
	}, {requiredKeys: ['type', 'logicalTime', 'received']});
	fc.assert(fc.property(fc.oneof(message, anything), value => {
		const decoded = decodePlainBeat(value);
		if (decoded !== undefined) {
			const parsed = beatSchema.safeParse(value);
			t.true(parsed.success);
			// A field that is undefined is as good as absent.
			const absent = {nextMs: undefined, load: undefined, reports: undefined};
			t.deepEqual({...absent, ...decoded}, {...absent, ...parsed.data!});
		}
	}), {seed: 7, numRuns: 3000});
});

test('heartbeats without a new state or view are decoded by hand, all others are not', t => {
	const beat = {type: 'beat', logicalTime: 3, received: 0};
	for (const plain of [beat, {...beat, nextMs: 200}, {...beat, load: {a: 1}}, {...beat, reports: [{reporter: 'a-1', beat: 4}]}]) {
		t.deepEqual(decodePlainBeat(plain) as unknown, plain);
	}

	const view = {dataCenter: 'a', members: []};
	const wrong = [
		{...beat, nextMs: 0},
		{...beat, received: -1},
		{...beat, logicalTime: '3'},
		{...beat, reports: {}},
		{...beat, reports: [{reporter: 'a-1', beat: -1}]},
		{...beat, reports: [{reporter: 'a'.repeat(129), beat: 1}]},
		{...beat, reports: Array.from({length: 257}, (_, position) => ({reporter: 'a', beat: position}))},
		{type: 'ack', received: 0},
		undefined,
		null,
		'beat',
	];
	for (const other of [...wrong, {...beat, status: {}}, {...beat, reports: [{reporter: 'a-1', beat: 4, view}]}]) {
		t.is(decodePlainBeat(other), undefined);
	}
});

test('a control message that is decoded by hand is one by its schema, and the other way round', t => {
	const number = fc.oneof({weight: 3, arbitrary: fc.nat()}, anything);
	const message = fc.record({
		type: fc.constantFrom('data', 'data', 'ack'), number, logicalTime: number, topic: fc.oneof(fc.string(), fc.string({minLength: 125, maxLength: 130}), anything), body: anything,
	}, {requiredKeys: ['type', 'number', 'logicalTime']});
	fc.assert(fc.property(fc.oneof(message, anything), value => {
		const parsed = dataSchema.safeParse(value);
		t.deepEqual(decodeData(value), parsed.success ? parsed.data : undefined);
	}), {seed: 7, numRuns: 3000});
});
