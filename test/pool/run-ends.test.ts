/**
 * Ends of runs: what an owner takes for proof that a run has ended, and what it reports of it.
 */
import test from 'ava';
import {
	defaultUpstreamLinkTiming, getMaxStopMs, type LendOutcome, type OrderOptions, type PoolOwner,
} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {type SimulatedWork} from '../../src/testing/simulated-upstreams.js';
import {createJob, PoolHarness, typicalWork} from './pool-harness.js';

/** Runs a task of another pool's job; its outcome is added to the returned list. */
function runLent(owner: PoolOwner, job: string): readonly LendOutcome[] {
	const outcomes: LendOutcome[] = [];
	const {steps: [step], spec} = createJob(job);
	void (async () => {
		outcomes.push(await owner.runLent({
			task: `${job}.0.0.0`, number: 1, spec, service: 's', step: step!, expectedMs: 100,
		}, new AbortController().signal));
	})();

	return outcomes;
}

test('the log tells why runs count as ended that their upstream did not list as ended', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'own', {step: {estimateMs: 1000}, remainingMs: 10_000});
	await harness.clock.advance(10);
	const lentOutcomes = runLent(owner, 'lent');
	await harness.clock.advance(10);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(3000);
	t.deepEqual(lentOutcomes, [{kind: 'ended', end: 'lapsed'}]);
	t.like(harness.logLines.filter(({message}) => message === 'run counts as ended').map(({fields}) => fields), [
		{
			task: 'own.0.0.0', run: 1, upstream: 'u0', end: 'lapsed', grounds: 'lease-expired',
		},
		{
			task: 'lent.0.0.0', run: 1, upstream: 'u0', end: 'lapsed', grounds: 'lease-expired',
		},
	]);
	t.like(harness.logLines.find(({message}) => message === 'run ended without success')?.fields, {task: 'own.0.0.0', run: 1});
	t.like(harness.logLines.find(({message}) => message === 'lent run ended without success')?.fields, {task: 'lent.0.0.0', run: 1, upstream: 'u0'});
});

test('the log tells when an upstream restarted under its identifier', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	harness.createOwner();
	await harness.clock.advance(50);
	harness.upstreams.crash('u0');
	harness.upstreams.addUpstream({...harness.descriptions[0]!, bornMs: 2});
	await harness.clock.advance(1000);
	t.like(harness.logLines.find(({message}) => message === 'upstream added')?.fields, {upstream: 'u0', address: 'u0:1', bornMs: 1});
	t.like(harness.logLines.find(({message}) => message === 'upstream restarted')?.fields, {upstream: 'u0', bornMs: 2, earlierBornMs: 1});
});

const longWork: SimulatedWork = {...typicalWork, durationMs: 800};
const longJob = {step: {estimateMs: 800}, remainingMs: 10_000};

/** Gets the longest time from the grant of a lease until it has certainly ended. */
function getMaxLeaseEndMs(): number {
	return getMaxStopMs(1000) - defaultUpstreamLinkTiming.stopConfirmTimeoutMs;
}

/** Limits the upstreams to some addresses; orders to others stay unanswered. */
function answerOnlyAt(harness: PoolHarness, addresses: ReadonlySet<string>): void {
	const {upstreams, clock} = harness;
	const limit = <O extends OrderOptions, T>(send: (options: O) => Promise<T>) => async (options: O) => {
		if (addresses.has(options.upstream.address)) {
			return send(options);
		}

		await sleep(clock, options.timeoutMs);
		return {kind: 'unanswered', detail: 'no listener'} as const;
	};

	upstreams.poll = limit(upstreams.poll.bind(upstreams));
	upstreams.startRun = limit(upstreams.startRun.bind(upstreams));
	upstreams.stopRun = limit(upstreams.stopRun.bind(upstreams));
}

function announceAt(harness: PoolHarness, owner: PoolOwner, id: string, address: string): void {
	owner.setUpstreams(harness.descriptions.map(upstream => upstream.id === id ? {...upstream, address, bornMs: 2} : upstream));
}

test('an entry with another address does not end the live runs of its upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => longWork});
	answerOnlyAt(harness, new Set(['u0:1', 'u1:1']));
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'a', longJob);
	await harness.clock.advance(50);
	announceAt(harness, owner, harness.upstreams.starts[0]!.upstream, 'x:1');
	await harness.clock.advance(1000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.is(harness.upstreams.starts.length, 1);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('an entry with another address does not end the live lent runs of its upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => longWork});
	answerOnlyAt(harness, new Set(['u0:1']));
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	const outcomes = runLent(owner, 'lent');
	await harness.clock.advance(50);
	announceAt(harness, owner, 'u0', 'x:1');
	await harness.clock.advance(100);
	t.deepEqual(outcomes, []);
	await harness.clock.advance(1000);
	t.deepEqual(outcomes, [{kind: 'ended', end: 'done'}]);
});

test('an upstream whose entry is overwritten for a while stays in use', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	answerOnlyAt(harness, new Set(['u0:1']));
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	for (let round = 0; round < 6; round++) {
		announceAt(harness, owner, 'u0', `x${round % 2}:1`);
		await harness.clock.advance(750);
		harness.submit(owner, `a${round}`);
		await harness.clock.advance(750);
		owner.setUpstreams(harness.descriptions);
		harness.submit(owner, `b${round}`);
		await harness.clock.advance(750);
	}

	t.deepEqual([...harness.outcomes.values()], Array.from({length: 12}, () => ({kind: 'completed'})));
	t.is(harness.upstreams.starts.length, 12);
});

for (const isCut of [true, false]) {
	test(`an upstream that restarted at another address is used once nothing can run at its former one, if its former instance ${isCut ? 'is cut off' : 'has crashed'}`, async t => {
		const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...longWork, durationMs: 5000})});
		const addresses = new Set(['u0:1']);
		answerOnlyAt(harness, addresses);
		const owner = harness.createOwner();
		await harness.clock.advance(50);
		harness.submit(owner, 'a', {step: {estimateMs: 5000}, remainingMs: 20_000});
		await harness.clock.advance(50);
		addresses.delete('u0:1');
		if (!isCut) {
			harness.upstreams.crash('u0');
		}

		harness.upstreams.addUpstream({...harness.descriptions[0]!, address: 'u0:2', bornMs: 2});
		addresses.add('u0:2');
		const restartedAt = harness.clock.getMonotonicTime();
		announceAt(harness, owner, 'u0', 'u0:2');
		await harness.clock.advance(3000);
		t.deepEqual(harness.upstreams.getDoubleRuns(), []);
		const waitedMs = harness.upstreams.starts[1]!.startedAt - restartedAt;
		t.log(waitedMs);
		const {busyPollWaitMs, answerTimeoutMs} = defaultUpstreamLinkTiming;
		// Two polls until the silence is noticed, the last lease, and the first poll of the new instance.
		t.true(waitedMs < (2 * (busyPollWaitMs + answerTimeoutMs)) + getMaxLeaseEndMs() + answerTimeoutMs);
	});
}

test('a task whose upstream restarted starts again only after the lease of the former instance, which may still work', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...longWork, durationMs: 5000})});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'a', {step: {estimateMs: 5000}, remainingMs: 20_000});
	await harness.clock.advance(50);
	const description = harness.descriptions.find(({id}) => id === harness.upstreams.starts[0]!.upstream)!;
	harness.upstreams.addUpstream({...description, bornMs: 2});
	await harness.clock.advance(3000);
	t.is(harness.upstreams.starts.length, 2);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('a start that reaches the next instance of its upstream late does not run beside the next run of its task', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...longWork, durationMs: 5000})});
	const {clock, upstreams} = harness;
	const owner = harness.createOwner();
	await clock.advance(50);
	const startRun = upstreams.startRun.bind(upstreams);
	let delayed: Parameters<typeof startRun>[0] | undefined;
	upstreams.startRun = async options => {
		if (delayed !== undefined) {
			return startRun(options);
		}

		delayed = options;
		await sleep(clock, options.timeoutMs);
		return {kind: 'unanswered', detail: 'delayed'};
	};

	harness.submit(owner, 'a', {step: {estimateMs: 5000}, remainingMs: 20_000});
	await clock.advance(10);
	const position = harness.descriptions.findIndex(({id}) => id === delayed!.upstream.id);
	harness.faults[position]!.isCutOff = true;
	await clock.advance(2500);
	t.is(upstreams.starts.length, 1);
	upstreams.crash(delayed!.upstream.id);
	upstreams.addUpstream({...harness.descriptions[position]!, bornMs: 2});
	harness.faults[position]!.isCutOff = false;
	await clock.advance(700);
	void startRun(delayed!);
	await clock.advance(1000);
	t.deepEqual(upstreams.getDoubleRuns(), []);
});
