import test from 'ava';
import fc from 'fast-check';
import {
	heartbeatSchema, dataSchema, decodeCompleteHeartbeat, decodeData,
} from '../../src/connection/control-messages.js';

const anything = fc.oneof(fc.integer({min: -2, max: 5}), fc.double(), fc.constantFrom(undefined, null, 'beat', 'x', Infinity), fc.object({maxDepth: 1}));

/** Creates an arbitrary that mostly yields valid values and sometimes any value. */
function mostly<T>(arbitrary: fc.Arbitrary<T>): fc.Arbitrary<unknown> {
	return fc.oneof({weight: 20, arbitrary}, anything);
}

const statusFields = {
	configurationVersion: mostly(fc.nat()),
	isLeaving: mostly(fc.boolean()),
	claims: mostly(fc.dictionary(fc.string({maxLength: 4}), mostly(fc.nat()), {maxKeys: 2})),
	cores: mostly(fc.constantFrom(0.3, 1, 2)),
};
const heartbeatStatusFields = {
	...statusFields,
	evacuation: mostly(fc.record({revision: mostly(fc.nat()), dataCenters: mostly(fc.array(mostly(fc.string({maxLength: 4})), {maxLength: 2}))})),
};
const memberFields = {
	id: mostly(fc.string({maxLength: 4})),
	vm: mostly(fc.constantFrom('vm', 'v'.repeat(128), 'v'.repeat(129))),
	address: mostly(fc.constant('127.0.0.1:1')),
	state: mostly(fc.constantFrom('up', 'silent', 'down')),
	...statusFields,
};
const view = fc.record({
	dataCenter: mostly(fc.constant('a')),
	members: mostly(fc.array(mostly(fc.oneof(
		{weight: 5, arbitrary: fc.record(memberFields)},
		fc.record(memberFields, {requiredKeys: ['id', 'vm', 'address', 'state']}),
	)), {maxLength: 3})),
});

test('a heartbeat decoded without the schema is valid by the schema, with the same content', t => {
	const number = fc.oneof({weight: 3, arbitrary: fc.nat()}, anything);
	const message = fc.record({
		type: fc.constantFrom('beat', 'beat', 'ack'), logicalTime: number, received: number, nextMs: number, load: anything,
		status: mostly(fc.record(heartbeatStatusFields, {requiredKeys: ['configurationVersion', 'isLeaving']})),
		reports: fc.oneof(fc.array(fc.record({reporter: fc.oneof(fc.string(), anything), beat: number, view: mostly(view)}, {requiredKeys: ['reporter']})), anything),
	}, {requiredKeys: ['type', 'logicalTime', 'received']});
	const wellFormed = fc.record({
		type: fc.constant('beat'), logicalTime: fc.nat(), received: fc.nat(),
		status: fc.record(heartbeatStatusFields, {requiredKeys: ['configurationVersion', 'isLeaving', 'claims', 'cores']}), reports: fc.array(fc.record({reporter: fc.string({maxLength: 4}), beat: fc.nat(), view}), {maxLength: 2}),
	});
	let decodedViews = 0;
	let decodedEvacuations = 0;
	fc.assert(fc.property(fc.oneof(message, wellFormed, anything), value => {
		const decoded = decodeCompleteHeartbeat(value);
		decodedViews += decoded?.reports?.filter(report => (report.view?.members.length ?? 0) > 0).length ?? 0;
		decodedEvacuations += Number(decoded?.status?.evacuation !== undefined);
		if (decoded !== undefined) {
			const parsed = heartbeatSchema.safeParse(value);
			t.true(parsed.success);
			// An undefined field is equivalent to an absent one.
			t.deepEqual(withoutAbsent(decoded), withoutAbsent(parsed.data));
		}
	}), {seed: 7, numRuns: 6000});
	t.true(decodedViews > 100, `${decodedViews} views`);
	t.true(decodedEvacuations > 100, `${decodedEvacuations} evacuations`);
});

test('only complete heartbeats are decoded without the schema', t => {
	const beat = {type: 'beat', logicalTime: 3, received: 0};
	const status = {
		configurationVersion: 1, isLeaving: false, claims: {a: 3}, cores: 0.3,
	};
	const member = {
		id: 'v-1', vm: 'v', address: '127.0.0.1:1', state: 'up', ...status,
	};
	const complete = [
		beat,
		{...beat, nextMs: 200},
		{...beat, load: {a: 1}},
		{...beat, status},
		{...beat, reports: [{reporter: 'a-1', beat: 4}]},
		{...beat, reports: [{reporter: 'a-1', beat: 4, view: {dataCenter: 'a', members: []}}]},
		{...beat, reports: [{reporter: 'a-1', beat: 4, view: {dataCenter: 'a', members: [member, {...member, state: 'down'}]}}]},
	];
	for (const heartbeat of complete) {
		t.deepEqual(decodeCompleteHeartbeat(heartbeat) as unknown, heartbeat);
	}

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
	const {claims, ...withoutClaims} = status;
	const wrongMembers = [{...member, id: 1}, {...member, vm: 'v'.repeat(129)}, {...member, state: 'gone'}, {...member, cores: 0}, {...member, claims: {a: -1}}, {...member, further: 1}];
	const furtherWrong = [
		{...beat, status: {}},
		// The absent field has a default, which only the schema adds.
		{...beat, status: withoutClaims},
		{...beat, status: {...status, isLeaving: 1}},
		{...beat, reports: [{reporter: 'a-1', beat: 4, view: {dataCenter: 'a', members: Array.from({length: 4097}, () => member)}}]},
		...wrongMembers.map(wrongMember => ({...beat, reports: [{reporter: 'a-1', beat: 4, view: {dataCenter: 'a', members: [wrongMember]}}]})),
	];
	for (const value of [...wrong, ...furtherWrong]) {
		t.is(decodeCompleteHeartbeat(value), undefined);
	}
});

/** Copies a value without the fields that are undefined. */
function withoutAbsent(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => withoutAbsent(item));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).filter(([, item]) => item !== undefined).map(([key, item]) => [key, withoutAbsent(item)]))
		: value;
}

test('a control message is decoded without the schema if and only if it is valid by the schema', t => {
	const number = fc.oneof({weight: 3, arbitrary: fc.nat()}, anything);
	const message = fc.record({
		type: fc.constantFrom('data', 'data', 'ack'), number, logicalTime: number, topic: fc.oneof(fc.string(), fc.string({minLength: 125, maxLength: 130}), anything), body: anything,
	}, {requiredKeys: ['type', 'number', 'logicalTime']});
	fc.assert(fc.property(fc.oneof(message, anything), value => {
		const parsed = dataSchema.safeParse(value);
		t.deepEqual(decodeData(value), parsed.success ? parsed.data : undefined);
	}), {seed: 7, numRuns: 3000});
});

test('a version that does not know a field of a heartbeat reads the rest, so that fields can be added during a rolling upgrade', t => {
	const heartbeat = {type: 'beat', logicalTime: 1, received: 2};
	const withLaterField = {...heartbeat, laterField: {b: 1}};
	t.is(decodeCompleteHeartbeat(withLaterField), undefined);
	t.deepEqual(heartbeatSchema.parse(withLaterField) as unknown, heartbeat);
	t.deepEqual(decodeCompleteHeartbeat({...heartbeat, relayed: 7}) as unknown, {...heartbeat, relayed: 7}, 'the mesh does not look into what is passed on');
});
