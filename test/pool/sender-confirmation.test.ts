/**
 * An owner starts tasks only for senders that are known to wait: what it last knew of a sender neither a lost message nor a pause ends.
 */
import test from 'ava';
import {type JobSender, type PoolOwner} from '../../src/pool/index.js';
import {PoolHarness, typicalWork} from './pool-harness.js';

/** Sender that confirms that it waits while `isReachable`, within a round trip of 2 ms. */
class FakeSender implements JobSender {
	isReachable = true;
	confirmedAt = 0;
	requestCount = 0;
	readonly #harness: PoolHarness;

	constructor(harness: PoolHarness) {
		this.#harness = harness;
	}

	getConfirmedAt = (): number => this.confirmedAt;
	isDisconnected = (): boolean => false;
	requestConfirmation = async (): Promise<void> => {
		this.requestCount++;
		const requestedAt = this.#harness.clock.getMonotonicTime();
		await new Promise<void>(resolve => {
			this.#harness.clock.setTimer(() => {
				if (this.isReachable) {
					this.confirmedAt = requestedAt;
					resolve();
				}
			}, 2);
		});
	};
}

async function createFixture(getPausedAt?: () => number): Promise<{harness: PoolHarness; owner: PoolOwner; sender: FakeSender}> {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 800})});
	const owner = harness.createOwner(harness.descriptions, getPausedAt);
	await harness.clock.advance(2000);
	return {harness, owner, sender: new FakeSender(harness)};
}

test('a job starts one round trip later if its sender was not confirmed lately', async t => {
	const {harness, owner, sender} = await createFixture();
	harness.submit(owner, 'a', {step: {taskCount: 2, estimateMs: 800}, remainingMs: 5000}, undefined, sender);
	await harness.clock.advance(1);
	t.is(harness.upstreams.starts.length, 0);
	await harness.clock.advance(2);
	t.is(harness.upstreams.starts.length, 2);
	t.is(sender.requestCount, 1);
	sender.confirmedAt = Infinity;
	await harness.clock.advance(1000);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.like(harness.logLines.find(({message}) => message === 'job ended')!.fields, {confirmedMsAgo: 2000});
});

test('an owner starts nothing more for a job whose sender was last known to wait too long ago, and stops its runs', async t => {
	const {harness, owner, sender} = await createFixture();
	sender.confirmedAt = 2000;
	sender.isReachable = false;
	harness.submit(owner, 'a', {step: {taskCount: 6, estimateMs: 800}, remainingMs: 10_000}, undefined, sender);
	await harness.clock.advance(2000);
	t.is(harness.upstreams.starts.length, 2);
	t.true(harness.upstreams.starts.every(({endedAt}) => endedAt !== undefined && endedAt < 2000 + 1300));
	t.like(harness.outcomes.get('a'), {kind: 'interrupted'});
	t.is(harness.logLines.filter(({message}) => message === 'starts wait for a confirmation of the sender').length, 1);
});

test('an owner that was paused starts nothing for a sender that it heard before the pause', async t => {
	let pausedAt = -Infinity;
	const {harness, owner, sender} = await createFixture(() => pausedAt);
	sender.confirmedAt = 1990;
	sender.isReachable = false;
	pausedAt = 2000;
	harness.submit(owner, 'a', {remainingMs: 5000}, undefined, sender);
	await harness.clock.advance(300);
	t.is(harness.upstreams.starts.length, 0);
	await harness.clock.advance(300);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'moved', hasStarted: false});
	t.is(owner.getJobCount(), 0);
	t.is(harness.upstreams.starts.length, 0);
});

test('an owner that was paused starts the jobs of senders that confirm that they wait', async t => {
	let pausedAt = -Infinity;
	const {harness, owner, sender} = await createFixture(() => pausedAt);
	sender.confirmedAt = 1990;
	pausedAt = 2000;
	harness.submit(owner, 'a', {remainingMs: 5000}, undefined, sender);
	await harness.clock.advance(100);
	t.is(harness.upstreams.starts.length, 1);
});

test('a job goes on while one of its senders confirms that it waits', async t => {
	const {harness, owner, sender} = await createFixture();
	sender.confirmedAt = 2000;
	sender.isReachable = false;
	harness.submit(owner, 'a', {step: {taskCount: 4, estimateMs: 800}, remainingMs: 10_000}, undefined, sender);
	await harness.clock.advance(500);
	const later = new FakeSender(harness);
	harness.submit(owner, 'a', {step: {taskCount: 4, estimateMs: 800}, remainingMs: 10_000}, undefined, later);
	await harness.clock.advance(2000);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});
