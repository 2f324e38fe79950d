import test from 'ava';
import fc from 'fast-check';
import {
	getDataCenter, getPoolCount, getPoolNames, getPoolOfUpstream, getPoolPosition, isNeighbourPool, PoolLayout,
} from '../../src/pool/index.js';

test('the number of pools follows from the number of upstreams and the cores of a VM', t => {
	t.deepEqual([0, 1, 11, 17, 18, 76, 108].map(count => getPoolCount(count, 0.675)), [1, 1, 1, 1, 2, 6, 9]);
	t.deepEqual([0.05, 0.1, 0.2, 0.324, 4].map(cores => getPoolCount(48, cores)), [12, 12, 6, 4, 4]);
});

test('the name of a pool contains its data centre, its position and the number of pools', t => {
	t.deepEqual(getPoolNames('a', 1), ['a']);
	t.deepEqual(getPoolNames('a', 2), ['a#0/2', 'a#1/2']);
	t.is(getDataCenter('a#1/2'), 'a');
	t.is(getDataCenter('a'), 'a');
	t.is(getPoolPosition('a#11/12'), 11);
	t.is(getPoolPosition('a'), 0);
});

test('the pool of an upstream does not depend on other upstreams, and pools have about the same size', t => {
	fc.assert(fc.property(fc.integer({min: 2, max: 12}), fc.uniqueArray(fc.uuid(), {minLength: 200, maxLength: 200}), (count, ids) => {
		const pools = getPoolNames('a', count);
		const sizes = new Map<string, number>();
		for (const id of ids) {
			const pool = getPoolOfUpstream(id, pools);
			t.true(pools.includes(pool));
			t.is(getPoolOfUpstream(id, pools.toReversed()), pool);
			sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
		}

		// Five standard deviations of the binomial distribution.
		const share = 1 / count;
		const tolerance = 5 * Math.sqrt(ids.length * share * (1 - share));
		t.true(pools.every(pool => Math.abs((sizes.get(pool) ?? 0) - (ids.length * share)) <= tolerance));
	}), {seed: 7, numRuns: 50});
});

test('an additional pool only takes upstreams over and does not reassign any between the others', t => {
	for (let index = 0; index < 200; index++) {
		const [before, after] = [5, 6].map(count => getPoolPosition(getPoolOfUpstream(`u${index}`, getPoolNames('a', count))));
		t.true(after === before || after === 5);
	}
});

test('pools of one data centre and pools at the same position are neighbours, in both directions', t => {
	t.true(isNeighbourPool('a#0/2', 'a#1/2'));
	t.true(isNeighbourPool('a#1/2', 'b#1/5'));
	t.true(isNeighbourPool('b#1/5', 'a#1/2'));
	t.true(isNeighbourPool('a', 'b'));
	t.false(isNeighbourPool('a#1/2', 'b#4/5'));
	t.false(isNeighbourPool('a', 'a'));
});

test('pools are in the same order however they become known, and the number of a data centre is set only once', t => {
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
