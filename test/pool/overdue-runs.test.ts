/**
 * Owners that are late themselves, long tasks beside others, and lent runs: none of them is the fault of an upstream.
 */
import test from 'ava';
import {ManualClock, SimulatedPools, SimulatedUpstreams} from '../../src/testing/index.js';
import {
	createUpstream, createJob, PoolHarness, typicalWork,
} from './pool-harness.js';

function getMessages(harness: PoolHarness, message: string): number {
	return harness.logLines.filter(line => line.message === message).length;
}

test('a long task on an upstream whose other runs end is left alone', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: task => ({...typicalWork, durationMs: task.startsWith('long') ? 900 : 100})});
	const owner = harness.createOwner();
	harness.submit(owner, 'long', {step: {estimateMs: 100}, remainingMs: 5000});
	for (let count = 0; count < 20; count++) {
		harness.submit(owner, `a${count}`, {step: {estimateMs: 100}, remainingMs: 5000});
		await harness.clock.advance(110);
	}

	t.deepEqual(harness.outcomes.get('long'), {kind: 'completed'});
	t.is(getMessages(harness, 'run overdue'), 0);
	t.true(harness.upstreams.starts.every(({end}) => end === 'done'));
});

test('runs on an upstream that is stuck are stopped, and it is ejected', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	for (let count = 0; count < 30; count++) {
		harness.submit(owner, `a${count}`, {step: {taskCount: 4, estimateMs: 100}, remainingMs: 5000});
		await harness.clock.advance(120);
	}

	harness.faults[0]!.isHanging = true;
	harness.submit(owner, 'b', {step: {taskCount: 4, estimateMs: 100}, remainingMs: 5000});
	await harness.clock.advance(600);
	t.deepEqual(harness.outcomes.get('b'), {kind: 'completed'});
	t.is(getMessages(harness, 'upstream ejected'), 1);
});

// On small VMs 549 lent runs were called overdue because their owners were late.
test('the ends that a process has not read do not count against an upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	let readUntil = Infinity;
	harness.inputProgress = {
		getReadUntil: () => Math.min(readUntil, harness.clock.getMonotonicTime()),
		async waitUntilRead() {/* Nothing is read. */},
	};
	const owner = harness.createOwner();
	for (let count = 0; count < 30; count++) {
		harness.submit(owner, `a${count}`, {step: {taskCount: 4, estimateMs: 100}, remainingMs: 5000});
		await harness.clock.advance(120);
	}

	for (const faults of harness.faults) {
		faults.isHanging = true;
	}

	harness.submit(owner, 'b', {step: {taskCount: 4, estimateMs: 100}, remainingMs: 5000});
	await harness.clock.advance(20);
	readUntil = harness.clock.getMonotonicTime();
	await harness.clock.advance(600);
	t.is(getMessages(harness, 'run overdue'), 0);
	t.is(getMessages(harness, 'upstream ejected'), 0);
	// All is read, and no end was among it.
	readUntil = Infinity;
	await harness.clock.advance(40);
	t.true(getMessages(harness, 'run overdue') > 0);
});

test('the owner of the upstream decides on a lent run, and the task starts elsewhere', async t => {
	const clock = new ManualClock();
	const upstreams = new SimulatedUpstreams({clock, getWork: () => typicalWork});
	const descriptions = ['a', 'b'].flatMap(dataCenter => [1, 2].map(position => ({...createUpstream(`${dataCenter}${position}`, 16_000), dataCenter})));
	const faults = descriptions.map(description => upstreams.addUpstream(description));
	const lines: string[] = [];
	const write = (fields: Readonly<Record<string, unknown>>, message: string): void => {
		lines.push(`${message} ${String(fields.upstream)}`);
	};

	const pools = new SimulatedPools({
		clock, log: {debug: write, info: write, warn: write}, orders: upstreams, upstreams: descriptions,
	});
	await clock.advance(300);
	faults[2]!.isHanging = true;
	faults[3]!.isHanging = true;
	const outcome = pools.getOwner('a').submit(createJob('wide', {step: {taskCount: 8, estimateMs: 100}, remainingMs: 8000}));
	await clock.advance(3000);
	t.deepEqual(await outcome, {kind: 'completed'});
	t.true(lines.some(line => line === 'run overdue b1' || line === 'run overdue b2'));
	t.false(lines.includes('run overdue b'));
	t.deepEqual(upstreams.getDoubleRuns(), []);
});
