/**
 * Fences that owners raise without the store.
 */
import test from 'ava';
import fc from 'fast-check';
import {encodeHeartbeatBody} from '../../src/connection/control-link.js';
import {decodeCompleteHeartbeat} from '../../src/connection/index.js';
import {
	FenceIssuer, fencesPerGeneration, getHigherFence, isFence, maxFence, PoolOwner,
} from '../../src/pool/index.js';
import {
	decodeLendRequest, decodePoolClaims, decodeSubmitRequest,
} from '../../src/pool/pool-decoding.js';
import {recallRequestSchema} from '../../src/pool/pool-messages.js';
import {createJob, PoolHarness, silentLog} from './pool-harness.js';

const fences = new FenceIssuer('vm1');

/** Creates an owner that cannot read the store and raises its fence whenever an upstream refuses it. */
function createOwnerWithoutStore(harness: PoolHarness, options: {readonly knownFence?: number; readonly getStoredFence?: () => Promise<number | undefined>} = {}): PoolOwner {
	const owner: PoolOwner = new PoolOwner({
		pool: 'dc1',
		clock: harness.clock,
		log: silentLog,
		orders: harness.upstreams,
		getStoredFence: async () => undefined,
		isListComplete: () => true,
		async onFenced() {
			await owner.raiseFence();
		},
		knownFence: 0,
		fences,
		maxLeaseMs: 1000,
		peerSilenceMs: 500,
		...options,
	}, harness.descriptions);
	return owner;
}

/** Lets an upstream accept an order of another owner. */
async function acceptFence(harness: PoolHarness, fence: number): Promise<void> {
	void harness.upstreams.poll({
		upstream: harness.descriptions[0]!, fence, timeoutMs: 100, acknowledged: 0, waitMs: 0,
	});
	await harness.clock.advance(20);
}

// Guards against owners that end: jobs that came back after a lost connection each doubled the step of the fence.
test('jobs that come back to their owner at the same time raise its fence once', async t => {
	const harness = new PoolHarness({upstreamCount: 8});
	const owner = createOwnerWithoutStore(harness);
	await harness.clock.advance(100);
	const fence = owner.getFence();
	for (let position = 0; position < 60; position++) {
		harness.submit(owner, `job-${position}`, {priorFence: fence});
	}

	await harness.clock.advance(600);
	t.is(owner.getFence(), fence + fencesPerGeneration);
	t.is(harness.outcomes.size, 60);
});

test('losses of connections one after another raise the fence by one generation each', async t => {
	const harness = new PoolHarness();
	const owner = createOwnerWithoutStore(harness);
	await harness.clock.advance(100);
	const fence = owner.getFence();
	for (let round = 0; round < 100; round++) {
		harness.submit(owner, `job-${round}`, {priorFence: owner.getFence()});
		await harness.clock.advance(300);
	}

	t.is(owner.getFence(), fence + (100 * fencesPerGeneration));
});

test('jobs of several earlier owners raise the fence above the highest one', async t => {
	const harness = new PoolHarness();
	const owner = createOwnerWithoutStore(harness);
	await harness.clock.advance(100);
	const fence = owner.getFence();
	for (const [position, generations] of [0, 5, 2, 9].entries()) {
		harness.submit(owner, `job-${position}`, {priorFence: fence + (generations * fencesPerGeneration)});
	}

	await harness.clock.advance(1000);
	t.is(owner.getFence(), fence + (10 * fencesPerGeneration));
	t.deepEqual([...harness.outcomes.values()].map(({kind}) => kind), ['completed', 'completed', 'completed', 'completed']);
});

// Guards against starts that resume when the first of several raises ends.
test('tasks start only after the polls of the last raise', async t => {
	const harness = new PoolHarness();
	const owner = createOwnerWithoutStore(harness);
	await harness.clock.advance(100);
	const fence = owner.getFence();
	harness.submit(owner, 'a', {priorFence: fence});
	harness.submit(owner, 'b', {priorFence: fence + (3 * fencesPerGeneration)});
	const sentFences: number[] = [];
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	harness.upstreams.startRun = async options => {
		sentFences.push(options.fence);
		return startRun(options);
	};

	harness.submit(owner, 'c');
	await harness.clock.advance(600);
	t.deepEqual(sentFences, Array.from({length: 3}, () => fence + (4 * fencesPerGeneration)));
});

test('the step of a search is given back once the upstream has accepted the fence', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	await acceptFence(harness, 1000 * fencesPerGeneration);
	const owner = createOwnerWithoutStore(harness);
	await harness.clock.advance(6000);
	const found = owner.getFence();
	t.true(found >= 1000 * fencesPerGeneration && found < 2000 * fencesPerGeneration);
	await acceptFence(harness, found + 1);
	await harness.clock.advance(2000);
	t.true(owner.getFence() > found && owner.getFence() <= found + (4 * fencesPerGeneration));
});

test('the refusal of an order from before a raise raises nothing', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	const held: Array<() => void> = [];
	const owner = createOwnerWithoutStore(harness);
	await harness.clock.advance(50);
	const fence = owner.getFence();
	harness.upstreams.poll = async options => {
		if (options.waitMs === 0 || options.fence > fence) {
			return poll(options);
		}

		await new Promise<void>(resolve => {
			held.push(resolve);
		});
		return {kind: 'refused', reason: 'fenced'};
	};

	await harness.clock.advance(600);
	harness.submit(owner, 'a', {priorFence: fence});
	await harness.clock.advance(200);
	t.is(owner.getFence(), fence + fencesPerGeneration);
	t.true(held.length > 0);
	for (const release of held) {
		release();
	}

	await harness.clock.advance(1000);
	t.is(owner.getFence(), fence + fencesPerGeneration);
});

for (const remembered of [2 ** 50, Number.MAX_SAFE_INTEGER, 2 ** 60, maxFence]) {
	test(`an owner finds a fence that its upstreams accept if they remember ${remembered}`, async t => {
		const harness = new PoolHarness({upstreamCount: 1});
		await acceptFence(harness, remembered);
		const owner = createOwnerWithoutStore(harness);
		await harness.clock.advance(30_000);
		t.true(owner.getFence() >= remembered && owner.getFence() <= maxFence);
		harness.submit(owner, 'a');
		await harness.clock.advance(300);
		t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
		const {status} = encodeHeartbeatBody({
			configurationVersion: 1, isLeaving: false, claims: {dc1: owner.getFence()}, load: {},
		});
		t.truthy(decodeCompleteHeartbeat({
			type: 'beat', logicalTime: 1, received: 0, status, load: {},
		}));
	});
}

test('a job of an owner with the highest fence is accepted', async t => {
	const harness = new PoolHarness();
	const owner = createOwnerWithoutStore(harness, {knownFence: maxFence});
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {priorFence: maxFence});
	await harness.clock.advance(600);
	t.is(owner.getFence(), maxFence);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

for (const stored of [Number.NaN, Infinity, -1, 1.5, 1e300]) {
	test(`a revision of the store that is no fence is ignored: ${stored}`, async t => {
		const harness = new PoolHarness();
		const owner = createOwnerWithoutStore(harness, {knownFence: 6, getStoredFence: async () => stored});
		await harness.clock.advance(100);
		const fence = owner.getFence();
		t.is(fence, fences.getFenceAbove(6));
		await owner.raiseFence();
		t.is(owner.getFence(), fence + (2 * fencesPerGeneration));
	});
}

const load = {
	cores: 1, freeCpu: 1, rooms: [], queuedWork: 0,
};

for (const fence of [1e300, maxFence * 2, 1.5, -1, Number.NaN, Infinity, '7']) {
	test(`a message with the fence ${fence} is invalid`, t => {
		const job = {...createJob('a'), priorFence: fence};
		t.is(decodeSubmitRequest({pool: 'dc1', job}), undefined);
		t.is(decodePoolClaims({dc1: {fence, load}}), undefined);
		t.is(decodeLendRequest({
			pool: 'a', borrower: 'b', fence, load, sequence: 1,
			task: {
				task: 'a.0.0.0', number: 1, spec: '', service: 's', step: createJob('a').steps[0], expectedMs: 1,
			},
		}), undefined);
		t.false(recallRequestSchema.safeParse({pool: 'a', borrower: 'b', fence}).success);
		t.is(decodeCompleteHeartbeat({
			type: 'beat', logicalTime: 1, received: 0, load: {}, status: {
				configurationVersion: 1, isLeaving: false, claims: {dc1: fence}, cores: 1,
			},
		}), undefined);
	});
}

test('a higher fence is a fence and higher, up to the highest', t => {
	fc.assert(fc.property(fc.double({min: 0, max: maxFence, noNaN: true}).map(value => Math.floor(value)), fc.integer({min: 1, max: 2 ** 30}), (fence, step) => {
		const higher = getHigherFence(fence, step);
		t.true(isFence(higher));
		t.true(fence >= maxFence ? higher === maxFence : higher > fence);
	}), {seed: 7});
});
