/**
 * The maximum number of a step's tasks on one upstream, while runs are being stopped and after a change of the owner.
 */
import test from 'ava';
import {PoolHarness, typicalWork} from './pool-harness.js';

const limitedStep = {taskCount: 4, estimateMs: 100, maxPerUpstream: 1};

const rules = {
	route: 'r', service: 's', priority: 0, maxAttempts: 10, stretch: 2, slackMs: 5000,
};

/** Gets the largest number of runs that were at work on one upstream at the start of one of them. */
function getMaxRunCount({upstreams: {starts}}: PoolHarness): number {
	return Math.max(...starts.map(({upstream, startedAt}) => starts.filter(other => other.upstream === upstream && other.startedAt <= startedAt && (other.endedAt ?? Infinity) > startedAt).length));
}

// Guards against a second task of a step beside one that is still being stopped.
test('a task of a limited step that is being stopped counts until it has ended', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	for (const faults of harness.faults) {
		faults.isHanging = true;
	}

	harness.loseStops(6);
	harness.submit(owner, 'a', {step: limitedStep, rules, remainingMs: 10_000});
	await harness.clock.advance(1500);
	for (const faults of harness.faults) {
		faults.isHanging = false;
	}

	await harness.clock.advance(5000);
	t.true(harness.upstreams.starts.some(({end}) => end === 'stopped'));
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(getMaxRunCount(harness), 1);
});

// Guards against a new owner that starts tasks of a step beside those that the former one has started.
test('the tasks of a limited step that a former owner started count for the next one', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 300})});
	const first = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(first, 'a', {step: limitedStep, rules, remainingMs: 10_000});
	await harness.clock.advance(100);
	const second = harness.createOwner();
	first.close();
	await harness.clock.advance(20);
	harness.submit(second, 'a', {
		step: limitedStep, rules, remainingMs: 10_000, priorFence: first.getFence(),
	});
	await harness.clock.advance(5000);
	t.is(harness.upstreams.starts.length, 4);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(getMaxRunCount(harness), 1);
});
