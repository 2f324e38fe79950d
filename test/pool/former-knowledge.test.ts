/**
 * Owners that lost their pool, or whose upstreams obeyed another owner meanwhile: nothing that they knew before may act afterwards.
 */
import test from 'ava';
import {FenceIssuer, PoolOwner, type PoolOwnerOptions} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {
	createJob, PoolHarness, silentLog, typicalWork, waitingSender,
} from './pool-harness.js';

const longMs = 800;
const longJob = {step: {estimateMs: longMs}, remainingMs: 5000};

/** Duration of a task that outlasts the time after which unclaimed runs are stopped. */
const longestMs = 2500;
const longestJob = {step: {estimateMs: longestMs}, remainingMs: 8000};

const storeTimeoutMs = 200;

function createOwner(harness: PoolHarness, options: Partial<PoolOwnerOptions> = {}, upstreams = harness.descriptions): PoolOwner {
	return new PoolOwner({
		pool: 'dc1', clock: harness.clock, log: silentLog, orders: harness.upstreams, knownFence: 100, maxLeaseMs: 1000, peerSilenceMs: 500,
		getStoredFence: async () => undefined,
		isListComplete: () => true,
		async onFenced() {/* The owner stays as it is. */},
		...options,
	}, upstreams);
}

/** Creates an owner whose store does not answer. */
function createOwnerWithSilentStore(harness: PoolHarness, fences: FenceIssuer): PoolOwner {
	return createOwner(harness, {
		fences,
		async getStoredFence() {
			await sleep(harness.clock, storeTimeoutMs);
			return undefined;
		},
	});
}

function createHarness(upstreamCount: number, durationMs = longMs): PoolHarness {
	return new PoolHarness({upstreamCount, getWork: () => ({...typicalWork, durationMs}), upstreams: {isGuarded: false}});
}

function submitAll(owner: PoolOwner, jobs: readonly string[], options: Parameters<typeof createJob>[1] = longJob): void {
	for (const job of jobs) {
		void owner.submit(createJob(job, options), undefined, waitingSender);
	}
}

/** Drops the next start on its way to its upstream. */
function loseNextStart(harness: PoolHarness): void {
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	harness.upstreams.startRun = async options => {
		harness.upstreams.startRun = startRun;
		await sleep(harness.clock, options.timeoutMs);
		return {kind: 'unanswered', detail: 'no answer'};
	};
}

/** Drops the next poll on its way to its upstream. */
function loseNextPoll(harness: PoolHarness): void {
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	harness.upstreams.poll = async options => {
		harness.upstreams.poll = poll;
		await sleep(harness.clock, options.timeoutMs);
		return {kind: 'unanswered', detail: 'no answer'};
	};
}

test('an owner that is closed before it has a fence sends no orders', async t => {
	const harness = createHarness(2);
	const owner = createOwnerWithSilentStore(harness, new FenceIssuer('vm'));
	await harness.clock.advance(storeTimeoutMs / 2);
	owner.close();
	await harness.clock.advance(5000);
	t.is(harness.upstreams.getPollCount(), 0);
});

test('an owner that is closed before it has a fence does not stop the runs of the next one of its process', async t => {
	const harness = createHarness(2, longestMs);
	const fences = new FenceIssuer('vm');
	const earlier = createOwnerWithSilentStore(harness, fences);
	await harness.clock.advance(storeTimeoutMs / 2);
	earlier.close();
	const later = createOwner(harness, {fences, knownFence: earlier.getFence()});
	await harness.clock.advance(storeTimeoutMs);
	t.not(later.getFence(), earlier.getFence());
	submitAll(later, ['a', 'b', 'c', 'd'], longestJob);
	await harness.clock.advance(8000);
	t.deepEqual(harness.upstreams.starts.map(({end}) => end), ['done', 'done', 'done', 'done']);
});

test('an owner that is closed while it raises its fence sends no orders under the new one', async t => {
	const harness = createHarness(2);
	const owner = createOwnerWithSilentStore(harness, new FenceIssuer('vm'));
	await harness.clock.advance(2 * storeTimeoutMs);
	const fence = owner.getFence();
	const sentFences: number[] = [];
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	harness.upstreams.poll = async options => {
		sentFences.push(options.fence);
		return poll(options);
	};

	submitAll(owner, ['a'], {...longJob, priorFence: fence});
	await harness.clock.advance(storeTimeoutMs / 2);
	owner.close();
	await harness.clock.advance(2000);
	t.deepEqual(sentFences.filter(sent => sent > fence), []);
});

test('a start is not repeated after the fence was raised above another owner\'s', async t => {
	const harness = createHarness(2);
	const [first, second] = harness.descriptions;
	const earlier = createOwner(harness, {getStoredFence: async () => 200});
	await harness.clock.advance(100);
	loseNextStart(harness);
	submitAll(earlier, ['a']);
	await harness.clock.advance(5);
	// The other owner starts tasks on the second upstream only.
	const other = createOwner(harness, {getStoredFence: async () => 300}, [{...first!, isLeaving: true}, second!]);
	await harness.clock.advance(20);
	submitAll(other, ['a'], {...longJob, priorFence: 200});
	await harness.clock.advance(20);
	t.is(harness.upstreams.starts.length, 1);
	other.close();
	submitAll(earlier, ['a'], {...longJob, priorFence: 300});
	await harness.clock.advance(2000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('nothing starts on an upstream that has not answered since the fence was raised above another owner\'s', async t => {
	const harness = createHarness(1);
	const earlier = createOwner(harness, {getStoredFence: async () => 200});
	await harness.clock.advance(100);
	const other = createOwner(harness, {getStoredFence: async () => 300});
	await harness.clock.advance(20);
	submitAll(other, ['a', 'b']);
	await harness.clock.advance(20);
	t.is(harness.upstreams.starts.length, 2);
	other.close();
	loseNextPoll(harness);
	submitAll(earlier, ['c'], {...longJob, priorFence: 300});
	await harness.clock.advance(200);
	submitAll(earlier, ['d']);
	await harness.clock.advance(2000);
	t.deepEqual(harness.upstreams.starts.filter(({used, capacity}) => used.cpu > capacity.cpu).map(({task}) => task), []);
});
