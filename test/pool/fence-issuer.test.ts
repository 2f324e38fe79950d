/**
 * Fences that no two processes share.
 */
import test from 'ava';
import fc from 'fast-check';
import {
	FenceIssuer, fencesPerGeneration, isFence, maxFence,
} from '../../src/pool/index.js';

const anyFence = fc.oneof(fc.nat(), fc.maxSafeNat(), fc.nat({max: (2 ** 31) - 1}).map(generation => generation * fencesPerGeneration));

/** Number of the lowest parts that no process has. */
const unusedParts = 2 ** 16;

/** Revisions of the store that two processes wrote, fewer apart than there are parts by revisions. */
const twoRevisions = fc.tuple(fc.nat({max: 2 ** 36}), fc.integer({min: 1, max: (fencesPerGeneration / 2) - unusedParts - 1})).map(([first, distance]) => [first, first + distance] as const);

function createIssuer(ownRevision: number): FenceIssuer {
	const issuer = new FenceIssuer('vm1');
	issuer.setOwnRevision(ownRevision);
	return issuer;
}

test('a fence is above another one and stays in its generation or the next', t => {
	fc.assert(fc.property(anyFence, fc.string(), fc.nat({max: 1000}), (fence, processId, generations) => {
		const above = new FenceIssuer(processId).getFenceAbove(fence, generations);
		t.true(isFence(above));
		t.true(above > fence + (generations * fencesPerGeneration) && above <= fence + ((generations + 2) * fencesPerGeneration));
	}), {seed: 1});
});

test('processes that know the same or other fences share none', t => {
	fc.assert(fc.property(twoRevisions, fc.nat({max: 2 ** 26}), fc.integer({min: -3, max: 3}), ([first, second], generation, generations) => {
		const known = generation * fencesPerGeneration;
		t.not(createIssuer(first).getFenceAbove(known), createIssuer(second).getFenceAbove(Math.max(0, known + (generations * fencesPerGeneration))));
	}), {seed: 2});
});

test('a process without a revision of its own shares no fence with one that has one', t => {
	fc.assert(fc.property(fc.string(), fc.nat({max: 2 ** 36}), fc.nat({max: 2 ** 26}), (processId, revision, generation) => {
		const known = generation * fencesPerGeneration;
		t.not(new FenceIssuer(processId).getFenceAbove(known), createIssuer(revision).getFenceAbove(known));
	}), {seed: 3});
});

test('two lives of a VM that know the same fence share none', t => {
	const fences = Array.from({length: 100}, (_, life) => new FenceIssuer(`vm1-${life}`).getFenceAbove(100));
	t.is(new Set(fences).size, 100);
});

test('a fence without the store lies between two revisions', t => {
	fc.assert(fc.property(fc.nat({max: 2 ** 26}), fc.nat({max: 2 ** 36}), (revision, ownRevision) => {
		const issuer = createIssuer(ownRevision);
		const above = issuer.getFenceAbove(issuer.getFenceOfRevision(revision));
		t.true(above > issuer.getFenceOfRevision(revision) && above < issuer.getFenceOfRevision(revision + 1));
	}), {seed: 4});
});

test('fences beyond the whole numbers of a double stay apart', t => {
	for (const known of [2 ** 53, 2 ** 58, 2 ** 62, maxFence - fencesPerGeneration]) {
		const fences = Array.from({length: 100}, (_, revision) => createIssuer(revision).getFenceAbove(known));
		t.true(fences.every(fence => fence > known && isFence(fence)), `${known}`);
		t.is(new Set(fences).size, 100, `${known}`);
	}

	t.is(createIssuer(1).getFenceAbove(maxFence), maxFence);
});

test('beyond the whole numbers of a double, too, a process without a revision of its own shares no fence with one that has one', t => {
	fc.assert(fc.property(fc.string(), fc.nat({max: 2 ** 36}), fc.integer({min: 2 ** 26, max: (2 ** 37) - 2}), (processId, revision, generation) => {
		const known = generation * fencesPerGeneration;
		t.not(new FenceIssuer(processId).getFenceAbove(known), createIssuer(revision).getFenceAbove(known));
	}), {seed: 5});
});

// A process of the former version takes a known fence and one, or raises it by powers of 2.
test('no process has one of the lowest parts of a generation', t => {
	fc.assert(fc.property(fc.string(), fc.option(fc.nat({max: 2 ** 36})), fc.integer({min: 0, max: (2 ** 37) - 2}), (processId, revision, generation) => {
		const known = generation * fencesPerGeneration;
		const issuer = revision === null ? new FenceIssuer(processId) : createIssuer(revision);
		t.true(issuer.getFenceAbove(known) - known >= unusedParts);
	}), {seed: 6});
});

test('a revision that is too high gives no fence', t => {
	t.false(isFence(createIssuer(1).getFenceOfRevision(2 ** 38)));
	t.true(isFence(createIssuer(1).getFenceOfRevision((2 ** 37) - 1)));
});
