/** What the owner logs of starts of tasks that may have been started before. */
import test from 'ava';
import {
	getLostRunTimeoutMs, type LendOutcome, type LogFields, noNeighbours, type PoolNeighbours, restartMessage,
} from '../../src/pool/index.js';
import {PoolHarness, typicalWork} from './pool-harness.js';

const expectedMs = 400;
const longStep = {estimateMs: expectedMs};

function createHarness(upstreamCount = 2): PoolHarness {
	return new PoolHarness({upstreamCount, getWork: () => ({...typicalWork, durationMs: expectedMs})});
}

function getRestartLines({logLines}: PoolHarness): readonly LogFields[] {
	return logLines.filter(({message}) => message === restartMessage).map(({fields}) => fields);
}

/** Creates another pool with free capacity. */
function createNeighbours(outcome: LendOutcome): PoolNeighbours {
	return {
		...noNeighbours, getFreeCapacities: () => [{pool: 'dc2', cpu: 16_000}], getCores: () => 16, run: async () => outcome,
	};
}

test('a start after a failed run has a line with the end of that run and why it counts as ended', async t => {
	const harness = createHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.faults[0]!.isFailing = true;
	harness.submit(owner, 'a', {step: longStep});
	await harness.clock.advance(300);
	t.deepEqual(getRestartLines(harness), []);
	await harness.clock.advance(600);
	const [first, second] = harness.getStarts('a.0.0.0');
	t.deepEqual([first?.upstream, second?.upstream], ['u0', 'u1']);
	t.deepEqual(getRestartLines(harness), [{
		task: 'a.0.0.0', run: 2, upstream: 'u1', afterMs: Math.round(second!.startedAt - 100), after: 1, on: 'u0', end: 'failed', grounds: 'listed', sinceMs: 0,
	}]);
});

test('a start after the lease of a silent upstream has a line', async t => {
	const harness = createHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {step: {estimateMs: 4000}, remainingMs: 20_000});
	await harness.clock.advance(50);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(2500);
	t.is(getRestartLines(harness).length, 1);
	t.like(getRestartLines(harness)[0], {
		run: 2, after: 1, end: 'lapsed', grounds: 'lease-expired',
	});
});

test('a start that an earlier owner may have made has a line with its fence', async t => {
	const harness = createHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {step: longStep, priorFence: 7});
	await harness.clock.advance(300);
	t.is(getRestartLines(harness).length, 1);
	t.like(getRestartLines(harness)[0], {run: 1, priorFence: 7, grounds: undefined});
});

test('a start after refusals of other pools has a line with the last reason', async t => {
	const harness = createHarness(1);
	const owner = harness.createOwner(harness.descriptions, undefined, undefined, createNeighbours({kind: 'refused', reason: 'no-room'}));
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {step: {...longStep, taskCount: 3}});
	await harness.clock.advance(50);
	const lines = getRestartLines(harness);
	t.true(lines.length > 1);
	for (const line of lines) {
		t.like(line, {
			task: 'a.0.0.2', pool: 'dc2', after: 0, refused: 'no-room', grounds: undefined,
		});
	}
});

test('a start after a lender was lost has a line once its time limit has passed', async t => {
	const harness = createHarness(1);
	const owner = harness.createOwner(harness.descriptions, undefined, undefined, createNeighbours({kind: 'lost'}));
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {step: {...longStep, taskCount: 3}, remainingMs: 20_000});
	const lostRunTimeoutMs = getLostRunTimeoutMs({peerSilenceMs: 500, maxLeaseMs: 1000});
	await harness.clock.advance(lostRunTimeoutMs - 50);
	t.deepEqual(getRestartLines(harness), []);
	await harness.clock.advance(100);
	t.like(getRestartLines(harness)[0], {
		task: 'a.0.0.2', run: 2, upstream: 'u0', after: 1, end: 'lapsed', grounds: 'lender-lost',
	});
});
