import test from 'ava';
import {createImmediateProgress, EventLoopProgress, type PeerNetwork} from '../../src/connection/index.js';
import {
	CrashLedger, type JobSender, PauseDetector, type PoolDirectory, type PoolOwner, type SubmittedJob,
} from '../../src/pool/index.js';
import {type PoolView} from '../../src/scheduling/index.js';
import {PoolRouter} from '../../src/pool/pool-router.js';
import {type Clock, createSeededRandom} from '../../src/seams/index.js';
import {ManualClock, ManualEventLoop} from '../../src/testing/index.js';
import {
	createJob, PoolHarness, silentLog, typicalWork,
} from './pool-harness.js';

function createFixture() {
	const manual = new ManualClock();
	const state = {wallMs: 0};
	const clock: Clock = {
		getTime: () => manual.getMonotonicTime() + state.wallMs,
		getMonotonicTime: () => manual.getMonotonicTime(),
		setTimer: (callback, delayMs) => manual.setTimer(callback, delayMs),
		setRepeatingTimer: (callback, periodMs) => manual.setRepeatingTimer(callback, periodMs),
	};
	return {
		clock, manual, state, detector: new PauseDetector({clock}),
	};
}

test('no pause is detected in a process that keeps running', async t => {
	const {manual, detector} = createFixture();
	await manual.advance(2000);
	t.is(detector.getDetectedAt(), -Infinity);
	t.is(detector.getStoppedMsSince(0), 0);
});

test('a pause is detected by the wall clock if the monotonic clock was stopped', async t => {
	const {manual, state, detector} = createFixture();
	await manual.advance(100);
	state.wallMs += 2000;
	t.is(detector.getDetectedAt(), 100);
	t.is(detector.getStoppedMsSince(100), 2000);
	t.is(detector.getStoppedMsSince(101), 0);
});

test('after a pause, an owner starts no task before an upstream has accepted its orders again', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	let pausedAt = -Infinity;
	const owner = harness.createOwner(harness.descriptions, () => pausedAt);
	await harness.clock.advance(100);
	const successor = harness.createOwner();
	await harness.clock.advance(50);
	pausedAt = harness.clock.getMonotonicTime();
	harness.submit(owner, 'late');
	await harness.clock.advance(0);
	t.is(harness.upstreams.starts.length, 0);
	await harness.clock.advance(100);
	t.is(harness.upstreams.starts.length, 0);
	successor.close();
});

test('no task is started while the connection of the job\'s only caller is lost', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 100})});
	const owner = harness.createOwner();
	await harness.clock.advance(20);
	let isLost = false;
	harness.submit(owner, 'a', {step: {taskCount: 4}, remainingMs: 10_000}, undefined, {isDisconnected: () => isLost});
	await harness.clock.advance(20);
	t.is(harness.upstreams.starts.length, 2);
	isLost = true;
	await harness.clock.advance(300);
	t.is(harness.upstreams.starts.length, 2);
	isLost = false;
	await harness.clock.advance(300);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a step of the wall clock backwards counts as a pause, since it may hide a suspension', async t => {
	const {manual, state, detector} = createFixture();
	await manual.advance(100);
	state.wallMs -= 2000;
	t.is(detector.getDetectedAt(), 100);
	t.is(detector.getStoppedMs(), 0);
});

test('suspensions that are each too short for a pause add up to one', async t => {
	const {manual, state, detector} = createFixture();
	for (let count = 0; count < 3; count++) {
		await manual.advance(100);
		state.wallMs += 150;
	}

	t.is(detector.getDetectedAt(), 300);
	t.true(detector.getStoppedMs() > 400);
});

test('a wall clock that is slewed is no pause', async t => {
	const {manual, state, detector} = createFixture();
	for (let count = 0; count < 2000; count++) {
		await manual.advance(50);
		state.wallMs += 0.5;
	}

	t.is(detector.getDetectedAt(), -Infinity);
	t.is(detector.getStoppedMs(), 0);
});

test('a queued job whose deadline passed while the clock stood still is refused and not started', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 300})});
	const owner = harness.createOwner();
	await harness.clock.advance(20);
	harness.submit(owner, 'first', {step: {taskCount: 2, estimateMs: 300}, remainingMs: 10_000});
	await harness.clock.advance(20);
	harness.submit(owner, 'late', {rules: {...createJob('late').rules, slackMs: 1500}});
	await harness.clock.advance(20);
	harness.stoppedMs = 1400;
	await harness.clock.advance(1000);
	t.like(harness.outcomes.get('first'), {kind: 'completed'});
	t.like(harness.outcomes.get('late'), {kind: 'refused', reason: 'deadline'});
	t.false(harness.upstreams.starts.some(({task}) => task.startsWith('late')));
});

test('a job that has started has no further start once its deadline passed while the clock stood still', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 300})});
	const owner = harness.createOwner();
	await harness.clock.advance(20);
	harness.submit(owner, 'wide', {step: {taskCount: 4, estimateMs: 300}});
	await harness.clock.advance(20);
	t.is(harness.upstreams.starts.length, 2);
	harness.stoppedMs = 3000;
	await harness.clock.advance(1000);
	t.is(harness.upstreams.starts.length, 2);
});

/** Creates a router whose VM owns the only pool; the owner keeps what is submitted to it. */
function createRouter({clock, detector}: ReturnType<typeof createFixture>, inputProgress = createImmediateProgress(clock)) {
	const submissions: Array<{readonly job: SubmittedJob; readonly sender: JobSender}> = [];
	const owner = {
		async submit(job: SubmittedJob, _signal: AbortSignal, sender: JobSender) {
			submissions.push({job, sender});
			return {kind: 'completed'};
		},
	};
	const view: PoolView = {
		pool: 'dc1', isNear: true, isOwn: true, ownerId: 'vm', cores: 16, freeCpu: 16_000, rooms: [16_000], queuedWork: 0,
	};
	const router = new PoolRouter({
		clock, inputProgress,
		random: createSeededRandom(1),
		log: silentLog,
		selfId: 'vm',
		dataCenter: 'dc1',
		peers: undefined as unknown as PeerNetwork,
		directory: {getViews: () => [view], addSentJob() {/* Not needed here. */}, getOwner: () => ({id: 'vm', claims: {dc1: 1}})} as unknown as PoolDirectory,
		getOwner: () => owner as unknown as PoolOwner,
		hasReachableVm: () => true,
		hasCededPools: () => false,
		ledger: new CrashLedger(clock),
		pauses: detector,
	});
	return {router, submissions};
}

test('a caller whose deadline passed while the clock stood still does not count as waiting', async t => {
	const fixture = createFixture();
	const {router, submissions} = createRouter(fixture);
	await fixture.manual.advance(100);
	await router.submit(createJob('a'), 1500, new AbortController().signal);
	const {job, sender} = submissions[0]!;
	t.like(job, {ageMs: 0, remainingMs: 1500});
	t.false(sender.isDisconnected());
	fixture.state.wallMs += 1400;
	t.false(sender.isDisconnected());
	await fixture.manual.advance(150);
	t.true(sender.isDisconnected());
});

test('a request that is read right after a pause may have waited unread for as long', async t => {
	const {manual, state, detector} = createFixture();
	await manual.advance(100);
	t.is(detector.getStoppedMsSince(90), 0);
	state.wallMs += 1000;
	t.is(detector.getStoppedMsSince(90), 1000);
	await manual.advance(100);
	// Input was read after the pause, so that a request that is read now has arrived later.
	t.is(detector.getStoppedMsSince(150), 0);
});

test('a job ages while the clock of its sender stands still before it reaches an owner', async t => {
	const fixture = createFixture();
	const loop = new ManualEventLoop();
	const {router, submissions} = createRouter(fixture, new EventLoopProgress({clock: fixture.clock, callAfterPoll: loop.callAfterPoll}));
	await fixture.manual.advance(100);
	void router.submit(createJob('a'), 1500, new AbortController().signal);
	await fixture.manual.advance(10);
	fixture.state.wallMs += 1000;
	t.is(submissions.length, 0);
	for (let turn = 0; turn < 3; turn++) {
		await loop.runTurn();
	}

	const {ageMs, remainingMs} = submissions[0]!.job;
	t.true(ageMs >= 1000);
	t.is(remainingMs, 1500 - ageMs);
});
