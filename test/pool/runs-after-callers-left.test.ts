/**
 * Guards against double runs: a process that is held between the request of a caller and the end of its connection started tasks for callers that had left.
 */
import test from 'ava';
import {EventLoopProgress, type PeerNetwork} from '../../src/connection/index.js';
import {
	CrashLedger, PauseDetector, type PoolDirectory, type PoolOwner,
} from '../../src/pool/index.js';
import {type PoolView} from '../../src/scheduling/index.js';
import {PoolRouter} from '../../src/pool/pool-router.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {ManualEventLoop} from '../../src/testing/index.js';
import {
	createJob, PoolHarness, silentLog, typicalWork,
} from './pool-harness.js';

const resendMs = 1300;
const marginMs = 150;
const workMs = 5000;
const deadlineMs = 10_000;

/** Runs the turns after which everything that has arrived is read. */
async function runTurns(loop: ManualEventLoop, poll?: () => void): Promise<void> {
	await loop.runTurn(poll);
	await loop.runTurn();
	await loop.runTurn();
}

/** Entry VM that owns the only pool, with an event loop of the test. */
async function createFixture() {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: workMs})});
	const {clock} = harness;
	const loop = new ManualEventLoop();
	// Only the turns of the test prove that input was read.
	const inputProgress = new EventLoopProgress({clock, callAfterPoll: loop.callAfterPoll, refreshMs: 1e9});
	harness.inputProgress = inputProgress;
	const owner: PoolOwner = harness.createOwner();
	await clock.advance(100);
	void inputProgress.waitUntilRead();
	await runTurns(loop);
	const view: PoolView = {
		pool: 'dc1', isNear: true, isOwn: true, ownerId: 'vm', cores: 16, freeCpu: 16_000, rooms: [16_000], queuedWork: 0,
	};
	const router = new PoolRouter({
		clock,
		inputProgress,
		random: createSeededRandom(1),
		log: silentLog,
		selfId: 'vm',
		dataCenter: 'dc1',
		peers: undefined as unknown as PeerNetwork,
		directory: {getViews: () => [view], addSentJob() {/* Not needed here. */}, getOwner: () => ({id: 'vm', claims: {dc1: 1}})} as unknown as PoolDirectory,
		getOwner: () => owner,
		hasReachableVm: () => true,
		hasCededPools: () => false,
		ledger: new CrashLedger(clock),
		pauses: new PauseDetector({clock}),
	});
	const caller = new AbortController();
	const submit = (): void => {
		void router.submit(createJob('a', {step: {estimateMs: workMs}}), deadlineMs, caller.signal);
	};

	/** Reads the end of the caller's connection, and lets time pass. */
	const leave = async (): Promise<void> => {
		await loop.runTurn(() => {
			caller.abort();
		});
		await runTurns(loop);
		await clock.advance(1000);
	};

	return {
		harness, clock, loop, submit, leave,
	};
}

test('no task starts while the end of its caller\'s connection may be unread', async t => {
	const {harness, clock, loop, submit, leave} = await createFixture();
	await loop.runTurn(submit);
	await clock.advance(700);
	t.is(harness.upstreams.starts.length, 0);
	await leave();
	t.is(harness.upstreams.starts.length, 0);
});

test('no task starts for a caller that left while the process was held after two polls', async t => {
	const {harness, clock, loop, submit, leave} = await createFixture();
	await loop.runTurn(submit);
	await loop.runTurn();
	await clock.advance(300);
	await loop.runTurn();
	await clock.advance(20);
	t.is(harness.upstreams.starts.length, 0);
	await leave();
	t.is(harness.upstreams.starts.length, 0);
});

test('a task of a caller that waits starts as soon as that is known', async t => {
	const {harness, clock, loop, submit} = await createFixture();
	await loop.runTurn(submit);
	await runTurns(loop);
	await clock.advance(1);
	t.is(harness.upstreams.starts.length, 1);
	t.true(harness.upstreams.starts[0]!.startedAt < 101);
});

test('leases of a caller of the owner\'s VM end in time although its end stays unread', async t => {
	const {harness, clock, loop, submit} = await createFixture();
	await loop.runTurn(submit);
	await runTurns(loop);
	const readUntil = clock.getMonotonicTime();
	harness.loseStops(100);
	await clock.advance(5000);
	const {startedAt, endedAt} = harness.upstreams.starts[0]!;
	t.true(startedAt < readUntil + marginMs);
	t.true(endedAt! - readUntil <= resendMs - marginMs, `ended ${endedAt! - readUntil} ms after the last proof`);
	t.is(harness.upstreams.starts.length, 1);
});

test('tasks of a caller that waits go on while its process reads now and then', async t => {
	const {harness, clock, loop, submit} = await createFixture();
	await loop.runTurn(submit);
	await runTurns(loop);
	for (let ms = 0; ms < workMs + 500; ms += 50) {
		await clock.advance(50);
		await runTurns(loop);
	}

	t.deepEqual(harness.upstreams.starts.map(({end}) => end), ['done']);
});
