import test from 'ava';
import fc from 'fast-check';
import {
	getDataCenter, getPoolCount, getPoolNames, getPoolOfUpstream, getPoolPosition, isNeighbourPool, PoolLayout,
} from '../../src/pool/index.js';

test('the number of pools follows from the number of upstreams and what a VM can do', t => {
	t.deepEqual([0, 1, 11, 17, 18, 76, 108].map(count => getPoolCount(count, 0.675)), [1, 1, 1, 1, 2, 6, 9]);
	t.deepEqual([0.05, 0.1, 0.2, 0.324, 4].map(cores => getPoolCount(48, cores)), [12, 12, 6, 4, 4]);
});

test('the name of a pool tells its data centre, its position and how many there are', t => {
	t.deepEqual(getPoolNames('a', 1), ['a']);
	t.deepEqual(getPoolNames('a', 2), ['a#0/2', 'a#1/2']);
	t.is(getDataCenter('a#1/2'), 'a');
	t.is(getDataCenter('a'), 'a');
	t.is(getPoolPosition('a#11/12'), 11);
	t.is(getPoolPosition('a'), 0);
});

test('upstreams that come or go move none of the others, and pools are of about the same size', t => {
	fc.assert(fc.property(fc.integer({min: 2, max: 12}), fc.uniqueArray(fc.uuid(), {minLength: 200, maxLength: 200}), (count, ids) => {
		const pools = getPoolNames('a', count);
		const sizes = new Map<string, number>();
		for (const id of ids) {
			const pool = getPoolOfUpstream(id, pools);
			t.true(pools.includes(pool));
			t.is(getPoolOfUpstream(id, pools.toReversed()), pool);
			sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
		}

		// Five standard deviations of a fair draw.
		const share = 1 / count;
		const tolerance = 5 * Math.sqrt(ids.length * share * (1 - share));
		t.true(pools.every(pool => Math.abs((sizes.get(pool) ?? 0) - (ids.length * share)) <= tolerance));
	}), {seed: 7, numRuns: 50});
});

test('with one more pool only upstreams of the new one move', t => {
	for (let index = 0; index < 200; index++) {
		const [before, after] = [5, 6].map(count => getPoolPosition(getPoolOfUpstream(`u${index}`, getPoolNames('a', count))));
		t.true(after === before || after === 5);
	}
});

test('owners know the room of few other pools, and each other', t => {
	t.true(isNeighbourPool('a#0/2', 'a#1/2'));
	t.true(isNeighbourPool('a#1/2', 'b#1/5'));
	t.true(isNeighbourPool('b#1/5', 'a#1/2'));
	t.true(isNeighbourPool('a', 'b'));
	t.false(isNeighbourPool('a#1/2', 'b#4/5'));
	t.false(isNeighbourPool('a', 'a'));
});

test('the pools are in the same order whoever learns of them, and their number stays', t => {
	const layout = new PoolLayout();
	t.deepEqual(layout.getPools(), []);
	t.true(layout.addPool('b#1/2'));
	t.true(layout.setCount('a', 1));
	t.deepEqual(layout.getPools(), ['a', 'b#0/2', 'b#1/2']);
	t.false(layout.setCount('b', 3));
	t.deepEqual(layout.getPoolsOf('b'), ['b#0/2', 'b#1/2']);
	t.deepEqual(layout.getPoolsOf('c'), []);
	t.is(layout.getPools(), layout.getPools());
});
