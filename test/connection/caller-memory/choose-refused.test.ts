import test from 'ava';
import fc from 'fast-check';
import {chooseRefused, type RefusalCandidate} from '../../../src/connection/index.js';

type Candidate = RefusalCandidate & {readonly name: string};

function createCandidate(name: string, fields: Partial<RefusalCandidate> = {}): Candidate {
	return {
		name, address: 'a', heldBytes: 1000, ageMs: 100, stalledMs: 0, isIdle: false, ...fields,
	};
}

function getNames(candidates: readonly Candidate[], shortage: {readonly bytes?: number; readonly connections?: number}): readonly string[] {
	return chooseRefused(candidates, {bytes: 0, connections: 0, ...shortage}).map(({name}) => name);
}

test('of one address the connection that holds most for longest is refused first, then the one that progresses slowest', t => {
	const candidates = [
		createCandidate('short'), createCandidate('large', {heldBytes: 5000, ageMs: 500}), createCandidate('stalled', {stalledMs: 90}), createCandidate('new', {ageMs: 0}),
	];
	t.deepEqual(getNames(candidates, {bytes: 1}), ['large']);
	t.deepEqual(getNames(candidates, {bytes: 7500}), ['large', 'stalled', 'short', 'new']);
});

// Guards against a caller that takes all the memory by many connections, each of which holds less than those of others.
test('many connections of one address do not crowd out a larger one of another address', t => {
	const crowd = Array.from({length: 50}, (_, position) => createCandidate(`c${position}`, {ageMs: 10}));
	const other = createCandidate('other', {address: 'b', heldBytes: 20_000, ageMs: 1000});
	const names = getNames([other, ...crowd], {bytes: 25_000});
	t.is(names.length, 25);
	t.false(names.includes('other'));
});

// Guards against the refusal of callers inside the limits: a generated crowd of one address arrives beside ordinary callers of others.
test('a crowd\'s address gives up all that is above what the ordinary callers hold before one of them is refused', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.nat(20_000), {minLength: 1, maxLength: 20}), fc.integer({min: 1, max: 200}), (ordinary, crowdSize) => {
			const callers = ordinary.map((heldBytes, position) => createCandidate('ordinary', {address: `o${position}`, heldBytes, ageMs: 5}));
			const crowd = Array.from({length: crowdSize}, () => createCandidate('crowd', {heldBytes: 25_000}));
			const excess = crowdSize * 25_000;
			const refused = chooseRefused([...callers, ...crowd], {bytes: Math.floor(excess / 2), connections: 0});
			return refused.every(({name}) => name === 'crowd');
		}));
	});
});

test('no more is refused than the shortage calls for, and everything if that does not suffice', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.record({address: fc.constantFrom('a', 'b', 'c'), heldBytes: fc.integer({min: 1, max: 1000}), isIdle: fc.boolean()}), {maxLength: 30}), fc.nat(20_000), (fields, bytes) => {
			const candidates = fields.map(own => createCandidate('', own));
			const refused = chooseRefused(candidates, {bytes, connections: 0});
			const freed = refused.reduce((sum, {heldBytes}) => sum + heldBytes, 0);
			const withoutLast = freed - (refused.at(-1)?.heldBytes ?? 0);
			return refused.length === 0 ? bytes === 0 || candidates.length === 0 : withoutLast < bytes && (freed >= bytes || refused.length === candidates.length);
		}));
	});
});

test('idle connections whose requests were answered are closed last', t => {
	const candidates = [createCandidate('idle', {isIdle: true, ageMs: 9000}), createCandidate('silent'), createCandidate('other', {address: 'b', heldBytes: 1})];
	t.deepEqual(getNames(candidates, {connections: 2}), ['silent', 'other']);
	t.deepEqual(getNames(candidates, {connections: 3}), ['silent', 'other', 'idle']);
});
