/**
 * Leases end before a copy of their job can start, whatever becomes of the VMs that know of the job.
 */
import test, {type ExecutionContext} from 'ava';
import {type SenderConfirmation} from '../../src/connection/index.js';
import {
	type JobSender, noNeighbours, PauseDetector, PoolOwner, type UpstreamOrders,
} from '../../src/pool/index.js';
import {createSeededRandom, sleep} from '../../src/seams/index.js';
import {SimulatedProcess} from '../../src/testing/simulated-process.js';
import {
	createJob, PoolHarness, silentLog, typicalWork, waitingSender,
} from './pool-harness.js';

const resendMs = 1300;
const workMs = 3000;
const startMs = 2000;

const longJob = {remainingMs: 20_000, step: {estimateMs: workMs}};

/** Owner in a process of its own, which can be frozen. */
type FrozenOwnerFixture = {readonly harness: PoolHarness; readonly owner: PoolOwner; readonly process: SimulatedProcess};

async function createFixture(upstreamCount = 1): Promise<FrozenOwnerFixture> {
	const harness = new PoolHarness({upstreamCount, getWork: () => ({...typicalWork, durationMs: workMs})});
	const process = new SimulatedProcess(harness.clock, createSeededRandom(1));
	const pauses = new PauseDetector({clock: process});
	/** Delivers an answer to the process, which reads it once it is no longer frozen. */
	const deliver = async <T>(answer: Promise<T>): Promise<T> => new Promise(resolve => {
		void (async () => {
			const outcome = await answer;
			process.dispatch(() => {
				resolve(outcome);
			});
		})();
	});
	const orders: UpstreamOrders = {
		startRun: async options => deliver(harness.upstreams.startRun(options)),
		stopRun: async options => deliver(harness.upstreams.stopRun(options)),
		poll: async options => deliver(harness.upstreams.poll(options)),
	};
	const owner = new PoolOwner({
		pool: 'dc1', clock: process, log: silentLog, orders, getStoredFence: async () => 100, async onFenced() {/* Not reached. */}, isListComplete: () => true, knownFence: 0,
		maxLeaseMs: 1000, peerSilenceMs: 500, getPausedAt: () => pauses.getDetectedAt(), getStoppedMsSince: since => pauses.getStoppedMsSince(since),
	}, harness.descriptions);
	await harness.clock.advance(startMs);
	return {harness, owner, process};
}

/** Creates a sender that confirms that it waits until a time. */
function createSender({process}: FrozenOwnerFixture, until: number, isDisconnectedFrom = Infinity): JobSender {
	return {
		getConfirmedAt: () => Math.min(until, process.getMonotonicTime()),
		async requestConfirmation() {/* Confirmed by itself. */},
		isDisconnected: () => process.getMonotonicTime() >= isDisconnectedFrom,
	};
}

function submit({owner}: FrozenOwnerFixture, id: string, sender: JobSender, signal?: AbortSignal): void {
	void owner.submit(createJob(id, {remainingMs: 20_000, step: {estimateMs: workMs}}), signal, sender);
}

// Guards against double runs: an entry VM freezes, then the owner, and the caller submits its job to another pool.
for (const betweenMs of [0, 200, 400, 600, 700, 800, 1000]) {
	test(`a run ends before a copy of its job can start if its sender and, ${betweenMs} ms later, its owner freeze`, async t => {
		const fixture = await createFixture();
		const {harness, process} = fixture;
		const frozenAt = startMs + 900;
		submit(fixture, 'a', createSender(fixture, frozenAt, frozenAt + 500));
		await harness.clock.advance(900 + betweenMs);
		process.freeze(false);
		await harness.clock.advance(5000);
		const {startedAt, endedAt} = harness.getStarts('a.0.0.0')[0]!;
		t.true(startedAt < startMs + 100);
		t.true(endedAt! < frozenAt + resendMs, `ended ${endedAt! - frozenAt} ms after the freeze of its sender`);
	});
}

// Guards against double runs: the clock by which leases are granted stood still while the caller's time went on.
test('a run ends before a copy of its job can start if the monotonic clock of its owner stops', async t => {
	const fixture = await createFixture();
	const {harness, process} = fixture;
	const frozenAt = startMs + 900;
	submit(fixture, 'a', createSender(fixture, frozenAt));
	await harness.clock.advance(900);
	harness.loseStops(100);
	process.freeze(true);
	await harness.clock.advance(500);
	process.unfreeze();
	await harness.clock.advance(5000);
	const {endedAt} = harness.getStarts('a.0.0.0')[0]!;
	t.true(endedAt! < frozenAt + resendMs, `ended ${endedAt! - frozenAt} ms after the last proof`);
});

test('a run ends in time if its caller disconnects and neither a stop nor another poll reaches the upstream', async t => {
	const fixture = await createFixture();
	const {harness} = fixture;
	const controller = new AbortController();
	submit(fixture, 'a', waitingSender, controller.signal);
	await harness.clock.advance(900);
	harness.loseStops(100);
	controller.abort();
	const abortedAt = harness.clock.getMonotonicTime();
	await harness.clock.advance(5000);
	t.true(harness.getStarts('a.0.0.0')[0]!.endedAt! < abortedAt + resendMs);
});

test('runs go on for as long as their senders confirm that they wait', async t => {
	const fixture = await createFixture();
	submit(fixture, 'a', createSender(fixture, Infinity));
	await fixture.harness.clock.advance(workMs + 500);
	t.deepEqual(fixture.harness.getStarts('a.0.0.0').map(({end}) => end), ['done']);
});

test('a run beside that of a frozen sender does not lapse', async t => {
	const fixture = await createFixture();
	const {harness} = fixture;
	submit(fixture, 'a', createSender(fixture, startMs + 900, startMs + 1400));
	submit(fixture, 'b', createSender(fixture, Infinity));
	await harness.clock.advance(workMs + 500);
	t.is(new Set(harness.upstreams.starts.map(({upstream}) => upstream)).size, 1);
	t.deepEqual(harness.getStarts('a.0.0.0').map(({end}) => end), ['stopped']);
	t.deepEqual(harness.getStarts('b.0.0.0').map(({end}) => end), ['done']);
});

test('nothing starts on an upstream whose leases are about to end', async t => {
	const fixture = await createFixture(2);
	const {harness} = fixture;
	submit(fixture, 'a', createSender(fixture, startMs + 10));
	harness.loseStops(100);
	await harness.clock.advance(960);
	submit(fixture, 'b', createSender(fixture, Infinity));
	await harness.clock.advance(10);
	const [first, second] = harness.upstreams.starts;
	t.is(first!.endedAt, undefined);
	t.not(first!.upstream, second!.upstream);
});

test('a run for another pool ends before a copy of its job can start if the sender of the job and its borrower are not heard any more', async t => {
	const fixture = await createFixture();
	const {harness, owner, process} = fixture;
	const confirmedUntil = startMs + 900;
	const task = {
		task: 'a.0.0.0', number: 1, spec: 'work', service: 's', step: createJob('a').steps[0]!, expectedMs: workMs,
	};
	void owner.runLent(task, new AbortController().signal, {...waitingSender, getConfirmedAt: () => Math.min(confirmedUntil, process.getMonotonicTime())});
	await harness.clock.advance(5000);
	const [start] = harness.getStarts('a.0.0.0');
	t.true(start!.endedAt! > confirmedUntil && start!.endedAt! < confirmedUntil + resendMs);
});

test('a task that is sent to another pool tells when a sender of its job was last known to wait', async t => {
	const harness = new PoolHarness({upstreamCount: 0});
	const confirmedAt: Array<number | undefined> = [];
	const owner = harness.createOwner([], undefined, undefined, {
		...noNeighbours,
		getCores: () => 16,
		getFreeCapacities: () => [{pool: 'other', cpu: 16_000}],
		async run(_pool, _task, _signal, getConfirmedAt) {
			confirmedAt.push(getConfirmedAt?.());
			return new Promise(() => {/* The task goes on. */});
		},
	});
	await harness.clock.advance(1000);
	harness.submit(owner, 'a', {}, undefined, {getConfirmedAt: () => 900});
	harness.submit(owner, 'b');
	await harness.clock.advance(10);
	t.is(confirmedAt[0], 900);
	t.true(confirmedAt[1]! >= 1000);
});

test('the end of a run that lapsed names the run that limited its lease, and the lease that its own sender would have allowed', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: workMs})});
	const owner = harness.createOwner();
	await harness.clock.advance(startMs);
	harness.submit(owner, 'a', longJob, undefined, {getConfirmedAt: () => startMs});
	harness.submit(owner, 'b', longJob);
	harness.loseStops(100);
	await harness.clock.advance(2000);
	const lapsed = harness.logLines.find(({message, fields}) => message === 'run ended without success' && fields.task === 'b.0.0.0');
	t.like(lapsed?.fields, {end: 'lapsed', ownLeaseMs: 900, limitedBy: 'a.0.0.0'});
	t.true((lapsed!.fields as {readonly leaseMs: number}).leaseMs < 300);
});

/** Creates the fixture of an owner with a run of its own and one for another pool, and gets the ends of both. */
async function runBesideLent(t: ExecutionContext, getAgeMs: (sinceMs: number) => number, latencyMs = Infinity): Promise<{readonly own: string | undefined; readonly lent: string | undefined}> {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: workMs})});
	const owner = harness.createOwner();
	await harness.clock.advance(startMs);
	const {clock} = harness;
	let answeredAt = -Infinity;
	const confirmation: SenderConfirmation = {
		getConfirmedAt: () => Math.max(answeredAt, clock.getMonotonicTime() - getAgeMs(clock.getMonotonicTime() - startMs)),
		async requestConfirmation() {
			const askedAt = clock.getMonotonicTime();
			await sleep(clock, latencyMs);
			answeredAt = Math.max(answeredAt, askedAt);
		},
	};
	const task = {
		task: 'lent.0.0.0', number: 1, spec: 'work', service: 's', step: createJob('lent').steps[0]!, expectedMs: workMs,
	};
	harness.submit(owner, 'own', longJob);
	await clock.advance(100);
	void owner.runLent(task, new AbortController().signal, confirmation);
	await clock.advance(workMs + 500);
	t.is(new Set(harness.upstreams.starts.map(({upstream}) => upstream)).size, 1);
	return {own: harness.getStarts('own.0.0.0')[0]!.end, lent: harness.getStarts('lent.0.0.0')[0]!.end};
}

test('a run beside one for another pool whose sender is not heard any more does not lapse', async t => {
	t.deepEqual(await runBesideLent(t, sinceMs => Math.max(0, sinceMs - 900)), {own: 'done', lent: 'stopped'});
});

test('a run for another pool goes on if its borrower is late, but answers', async t => {
	t.deepEqual(await runBesideLent(t, sinceMs => Math.max(0, sinceMs - 900), 300), {own: 'done', lent: 'done'});
});

test('a run goes on if its sender is late, but answers', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: workMs})});
	const owner = harness.createOwner();
	const {clock} = harness;
	await clock.advance(startMs);
	let confirmedAt = startMs;
	harness.submit(owner, 'a', longJob, undefined, {
		getConfirmedAt: () => confirmedAt,
		async requestConfirmation() {
			const askedAt = clock.getMonotonicTime();
			await sleep(clock, 300);
			confirmedAt = Math.max(confirmedAt, askedAt);
		},
	});
	harness.submit(owner, 'b', longJob);
	await clock.advance(workMs + 500);
	t.deepEqual(['a', 'b'].map(id => harness.getStarts(`${id}.0.0.0`).map(({end}) => end)), [['done'], ['done']]);
});

for (const ageMs of [0, 300, 600]) {
	test(`a run does not lapse after one lost poll if its sender was confirmed ${ageMs} ms ago`, async t => {
		const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: workMs})});
		const owner = harness.createOwner();
		const {clock} = harness;
		await clock.advance(startMs);
		harness.submit(owner, 'a', longJob, undefined, {getConfirmedAt: () => clock.getMonotonicTime() - ageMs});
		await clock.advance(1000);
		const poll = harness.upstreams.poll.bind(harness.upstreams);
		harness.upstreams.poll = async options => {
			harness.upstreams.poll = poll;
			await sleep(clock, options.timeoutMs);
			return {kind: 'unanswered', detail: 'no answer'};
		};

		await clock.advance(workMs);
		t.deepEqual(harness.getStarts('a.0.0.0').map(({end}) => end), ['done']);
	});
}
