/**
 * Starts and jobs that are sent again after a pause, when nobody may wait for them any more.
 */
import test from 'ava';
import {createImmediateProgress, type PeerNetwork} from '../../src/connection/index.js';
import {
	CrashLedger, PauseDetector, type PoolDirectory, PoolOwner, type UpstreamOrders,
} from '../../src/pool/index.js';
import {PoolRouter} from '../../src/pool/pool-router.js';
import {type Clock, createSeededRandom, sleep} from '../../src/seams/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {SimulatedProcess} from '../../src/testing/simulated-process.js';
import {
	createJob, PoolHarness, silentLog, waitingSender,
} from './pool-harness.js';

const patient = {remainingMs: 20_000, step: {estimateMs: 100}} as const;

test('a start is not sent again after a pause of the owner while no sender is known to wait', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const {clock, upstreams} = harness;
	const process = new SimulatedProcess(clock, createSeededRandom(1));
	const pauses = new PauseDetector({clock: process});
	const sentAt: number[] = [];
	/** Delivers an answer to the process, which reads it once it is no longer frozen. */
	const deliver = async <T>(answer: Promise<T>): Promise<T> => new Promise(resolve => {
		void (async () => {
			const outcome = await answer;
			process.dispatch(() => {
				resolve(outcome);
			});
		})();
	});
	const loseFirst: UpstreamOrders['startRun'] = async options => {
		sentAt.push(clock.getMonotonicTime());
		if (sentAt.length > 1) {
			return upstreams.startRun(options);
		}

		await sleep(clock, options.timeoutMs);
		return {kind: 'unanswered', detail: 'no answer'};
	};

	const owner = new PoolOwner({
		pool: 'dc1',
		clock: process,
		log: silentLog,
		orders: {
			startRun: async options => deliver(loseFirst(options)),
			stopRun: async options => deliver(upstreams.stopRun(options)),
			poll: async options => deliver(upstreams.poll(options)),
		},
		getStoredFence: async () => 100,
		async onFenced() {/* Not reached. */},
		isListComplete: () => true,
		knownFence: 0,
		maxLeaseMs: 1000,
		peerSilenceMs: 500,
		getPausedAt: () => pauses.getDetectedAt(),
	}, harness.descriptions);
	await clock.advance(300);
	// The sender gives the job up during the pause, behind a partition.
	void owner.submit(createJob('a', patient), undefined, {
		...waitingSender, getConfirmedAt: () => 300, async requestConfirmation() {/* No echo arrives. */},
	});
	await clock.advance(10);
	process.freeze(false);
	await clock.advance(3000);
	process.unfreeze();
	await clock.advance(100);
	t.log(sentAt, upstreams.starts.map(({startedAt}) => startedAt));
	t.deepEqual(upstreams.starts.map(({startedAt}) => startedAt), []);
});

test('nothing of a job is started that was sent again after its caller\'s deadline', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	await harness.clock.advance(300);
	// Its sender was suspended for 3 s, lost the connection to the owner, and sends the job again when it is back.
	harness.submit(owner, 'a', {ageMs: 3200, remainingMs: -1700, priorFence: 1});
	await harness.clock.advance(2000);
	t.deepEqual(harness.upstreams.starts.map(({startedAt}) => startedAt), []);
});

test('a VM that was suspended beyond the deadline of a caller does not send its job to the owner again', async t => {
	const clock = new ManualClock();
	let stoppedMs = 0;
	const pauses = new PauseDetector({
		clock: {
			getTime: () => clock.getTime() + stoppedMs,
			getMonotonicTime: () => clock.getMonotonicTime(),
			setTimer: (callback, delayMs) => clock.setTimer(callback, delayMs),
			setRepeatingTimer: (callback, periodMs) => clock.setRepeatingTimer(callback, periodMs),
		} satisfies Clock,
	});
	const sent: number[] = [];
	const router = new PoolRouter({
		clock, inputProgress: createImmediateProgress(clock),
		random: createSeededRandom(1),
		log: silentLog,
		selfId: 'vm',
		dataCenter: 'dc1',
		peers: {
			async request(_id: string, {body}: {readonly body: {readonly job: {readonly remainingMs: number}}}) {
				sent.push(body.job.remainingMs);
				await sleep(clock, 100);
				return {kind: 'lost', detail: 'the job connection ended'};
			},
		} as unknown as PeerNetwork,
		directory: {
			getViews: () => [{
				pool: 'dc1', isNear: true, isOwn: false, ownerId: 'other', cores: 16, freeCpu: 16_000, rooms: [16_000], queuedWork: 0,
			}],
			addSentJob() {/* Not needed here. */},
			getOwner: () => ({id: 'other', claims: {dc1: 1}}),
		} as unknown as PoolDirectory,
		getOwner: () => undefined,
		hasReachableVm: () => true,
		hasCededPools: () => false,
		ledger: new CrashLedger(clock),
		pauses,
	});
	// The end of the caller's connection is hidden by a partition, so the signal does not abort.
	void router.submit(createJob('a'), 1500, new AbortController().signal);
	await clock.advance(50);
	stoppedMs = 3000;
	await clock.advance(1000);
	pauses.close();
	t.log(sent);
	t.true(sent.every(remainingMs => remainingMs > 0));
});

test('a job goes on after a step of the wall clock if its sender confirms that it waits', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	let pausedAt = -Infinity;
	const owner = harness.createOwner(undefined, () => pausedAt);
	await harness.clock.advance(300);
	const steps = [0, 1].map(step => ({...createJob('a').steps[0]!, after: step === 0 ? [] : [0]}));
	harness.submit(owner, 'a', {remainingMs: 1500, steps}, undefined, {...waitingSender, getConfirmedAt: () => harness.clock.getMonotonicTime()});
	await harness.clock.advance(20);
	harness.stoppedMs = 5000;
	pausedAt = harness.clock.getMonotonicTime();
	await harness.clock.advance(1000);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});
