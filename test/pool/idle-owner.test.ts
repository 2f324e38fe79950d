/** What an owner does while it has no jobs. */
import test from 'ava';
import {type Timer} from '../../src/seams/index.js';
import {PoolHarness} from './pool-harness.js';

/** Counts the timers with the interval of the checks of jobs. */
function countSweeps(harness: PoolHarness): () => number {
	let count = 0;
	const {clock} = harness;
	const setTimer = clock.setTimer.bind(clock);
	clock.setTimer = (callback, delayMs): Timer => setTimer(() => {
		count += Number(delayMs === 20);
		callback();
	}, delayMs);
	return () => count;
}

test('the jobs of an owner are checked only while there are some', async t => {
	const harness = new PoolHarness();
	const getCount = countSweeps(harness);
	const owner = harness.createOwner();
	await harness.clock.advance(1000);
	const idleCount = getCount();
	harness.submit(owner, 'a');
	await harness.clock.advance(60);
	t.true(getCount() - idleCount >= 2);
	await harness.clock.advance(300);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	const countAtEnd = getCount();
	await harness.clock.advance(1000);
	t.is(getCount(), countAtEnd);
	t.is(idleCount, 0);
});
