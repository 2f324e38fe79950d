import test from 'ava';
import {getLostRunTimeoutMs, noNeighbours, PoolOwner} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {
	createJob, PoolHarness, silentLog, typicalWork,
} from './pool-harness.js';

/** Time from a broken connection until the caller submits its job again, in milliseconds. */
const resendDelayMs = 1300;

/** Time limit of a recall in pool-lending.ts, in milliseconds. */
const recallTimeoutMs = 200;

async function recallWithTimeout(harness: PoolHarness, owner: PoolOwner, job: string): Promise<boolean> {
	const controller = new AbortController();
	const timer = harness.clock.setTimer(() => {
		controller.abort();
	}, recallTimeoutMs);
	const isClear = await owner.recallLent(job, controller.signal);
	timer.close();
	return isClear && !controller.signal.aborted;
}

test('successive recalls are answered in time although an upstream has long been silent', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(8000);
	const answers: boolean[] = [];
	for (const job of ['a', 'b', 'c']) {
		void (async () => {
			answers.push(await recallWithTimeout(harness, owner, job));
		})();

		await harness.clock.advance(10);
	}

	await harness.clock.advance(1000);
	t.deepEqual(answers, [true, true, true]);
});

test('a recall is confirmed although one poll was lost', async t => {
	const harness = new PoolHarness({upstreamCount: 10});
	const owner = harness.createOwner();
	await harness.clock.advance(8000);
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	let remainingLosses = 1;
	harness.upstreams.poll = async options => {
		if (options.waitMs > 0 || remainingLosses === 0) {
			return poll(options);
		}

		remainingLosses--;
		await harness.clock.advance(0);
		return {kind: 'unanswered', detail: 'lost'};
	};

	let answer: boolean | undefined;
	void (async () => {
		answer = await recallWithTimeout(harness, owner, 'a');
	})();

	await harness.clock.advance(1000);
	t.true(answer);
});

test('the runs of a caller that disconnects have ended before it submits its job again, even if stops are not answered', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 8000})});
	const owner = harness.createOwner();
	const controller = new AbortController();
	harness.submit(owner, 'left', {step: {estimateMs: 8000}, remainingMs: 20_000}, controller.signal);
	harness.submit(owner, 'other', {step: {estimateMs: 8000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	harness.loseStops(Infinity);
	controller.abort();
	const disconnectedAt = harness.clock.getMonotonicTime();
	await harness.clock.advance(4000);
	const run = harness.upstreams.starts.find(({task}) => task.startsWith('left'))!;
	t.log(run.endedAt! - disconnectedAt);
	t.true(run.endedAt! - disconnectedAt < resendDelayMs);
});

for (const takeoverMs of [500, 600, 700, 800]) {
	test(`the lent runs of a lender that crashed have ended after the time that the borrower waits, also if the next owner starts after ${takeoverMs} ms`, async t => {
		const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 12_000})});
		const first = harness.createOwner();
		const other = {step: {estimateMs: 12_000}, remainingMs: 40_000};
		harness.submit(first, 'other', other);
		await harness.clock.advance(30);
		const {steps: [step], spec} = createJob('lent');
		void first.runLent({
			task: 'lent.0.0.0', number: 1, spec, service: 's', step: step!, expectedMs: 12_000,
		}, new AbortController().signal);
		await harness.clock.advance(5);
		// The process crashes, and the borrower detects it immediately.
		first.close();
		const disconnectedAt = harness.clock.getMonotonicTime();
		await harness.clock.advance(takeoverMs);
		harness.loseStops(Infinity);
		const second = harness.createOwner();
		harness.submit(second, 'other', {...other, priorFence: first.getFence()});
		await harness.clock.advance(40);
		harness.submit(second, 'third', {...other, priorFence: first.getFence()});
		await harness.clock.advance(6000);
		const run = harness.upstreams.starts.find(({task}) => task.startsWith('lent'))!;
		t.log(run.end, run.endedAt! - disconnectedAt);
		t.true(run.endedAt! - disconnectedAt < getLostRunTimeoutMs({peerSilenceMs: 500, maxLeaseMs: 1000}));
	});
}

test('an unconfirmed recall of one job does not defer another job whose recall was confirmed', async t => {
	const harness = new PoolHarness();
	const owner = new PoolOwner({
		pool: 'dc1', clock: harness.clock, log: silentLog, orders: harness.upstreams, getStoredFence: async () => 200, async onFenced() {/* Not called. */},
		isListComplete: () => true, knownFence: 0, maxLeaseMs: 1000, peerSilenceMs: 500,
		neighbours: {...noNeighbours, recall: async job => job !== 'a'},
	}, harness.descriptions);
	await harness.clock.advance(300);
	harness.submit(owner, 'a', {priorFence: 1, remainingMs: 20_000});
	await harness.clock.advance(50);
	harness.submit(owner, 'b', {priorFence: 1, remainingMs: 20_000});
	await harness.clock.advance(300);
	t.deepEqual(harness.outcomes.get('b'), {kind: 'completed'});
});

test('a new owner polls an upstream that is missing in the list even if the list is read again before its fence is known', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 900})});
	const first = harness.createOwner();
	await harness.clock.advance(300);
	harness.submit(first, 'a', {remainingMs: 5000});
	await harness.clock.advance(20);
	const [run] = harness.upstreams.starts;
	first.close();
	const second = new PoolOwner({
		pool: 'dc1', clock: harness.clock, log: silentLog, orders: harness.upstreams, async onFenced() {/* Not called. */},
		async getStoredFence() {
			await sleep(harness.clock, 200);
			return 200;
		},
		isListComplete: () => true, knownFence: 0, maxLeaseMs: 1000, peerSilenceMs: 500,
	}, harness.descriptions);
	second.setUpstreams(harness.descriptions.filter(({id}) => id !== run!.upstream));
	harness.submit(second, 'a', {remainingMs: 5000, priorFence: first.getFence()});
	await harness.clock.advance(3000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('recalls of many jobs share their polls', async t => {
	const harness = new PoolHarness({upstreamCount: 10});
	const owner = harness.createOwner();
	await harness.clock.advance(8000);
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	let count = 0;
	harness.upstreams.poll = async options => {
		count++;
		return poll(options);
	};

	for (let job = 0; job < 30; job++) {
		void recallWithTimeout(harness, owner, `j${job}`);
		await harness.clock.advance(3);
	}

	await harness.clock.advance(20);
	t.log(count);
	t.true(count <= 100);
});

test('after a pause of its process, an owner starts nothing until an upstream has answered', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	let pausedAt = -Infinity;
	const owner = harness.createOwner(harness.descriptions, () => pausedAt);
	await harness.clock.advance(1000);
	harness.faults[0]!.isMute = true;
	pausedAt = harness.clock.getMonotonicTime();
	harness.submit(owner, 'a', {remainingMs: 20_000});
	await harness.clock.advance(400);
	t.is(harness.upstreams.starts.length, 0);
});

test('no task starts on an upstream that has been unlisted for long, even if it is busy', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	owner.setUpstreams(harness.descriptions.slice(1));
	const unlistedSince = harness.clock.getMonotonicTime();
	for (let job = 0; job < 200; job++) {
		harness.submit(owner, `j${job}`, {step: {taskCount: 4}});
		await harness.clock.advance(50);
		owner.setUpstreams(harness.descriptions.slice(1));
	}

	const late = harness.upstreams.starts.filter(({upstream, startedAt}) => upstream === 'u0' && startedAt - unlistedSince > 3000);
	t.log(late.length);
	t.is(late.length, 0);
});

test('a new instance at another address is used although the wall clock of its VM was set back, once the old address is silent', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(5000);
	harness.faults[0]!.isCutOff = false;
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	const addresses = new Set<string>();
	harness.upstreams.poll = async options => {
		addresses.add(options.upstream.address);
		return options.upstream.address === 'u0:2' ? poll(options) : {kind: 'unanswered', detail: 'no listener'};
	};

	for (let round = 0; round < 20; round++) {
		owner.setUpstreams(harness.descriptions.map(upstream => ({...upstream, bornMs: 0, address: 'u0:2'})));
		await harness.clock.advance(500);
	}

	t.is([...addresses].at(-1), 'u0:2');
});

for (const cpu of [8000, 16_000]) {
	test(`a task is not run for another pool while the same task of a job in progress runs, with ${cpu} thousandths of a core per upstream`, async t => {
		const harness = new PoolHarness({cpu, getWork: () => ({...typicalWork, durationMs: 1000})});
		const owner = harness.createOwner();
		const {steps: [step], spec} = createJob('a');
		harness.submit(owner, 'a', {step: {estimateMs: 1000}, remainingMs: 20_000});
		await harness.clock.advance(30);
		void owner.runLent({
			task: 'a.0.0.0', number: 1, spec, service: 's', step: step!, expectedMs: 1000,
		}, new AbortController().signal);
		await harness.clock.advance(6000);
		t.deepEqual(harness.upstreams.getDoubleRuns(), []);
		t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
		t.deepEqual(owner.getUpstreams().map(({freeCpu}) => freeCpu), [cpu, cpu, cpu, cpu]);
	});
}

test('a task is not run for another pool while the same task of an earlier owner runs', async t => {
	const harness = new PoolHarness({getWork: () => ({...typicalWork, durationMs: 1000})});
	const first = harness.createOwner();
	const {steps: [step], spec} = createJob('a');
	harness.submit(first, 'a', {step: {estimateMs: 1000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	first.close();
	const second = harness.createOwner();
	await harness.clock.advance(50);
	void second.runLent({
		task: 'a.0.0.0', number: 1, spec, service: 's', step: step!, expectedMs: 1000,
	}, new AbortController().signal);
	await harness.clock.advance(3000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('the time limit of a stop counts from its request, even if the start has not been answered', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 8000})});
	const owner = harness.createOwner();
	harness.submit(owner, 'other', {step: {estimateMs: 8000}, remainingMs: 20_000});
	await harness.clock.advance(100);
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	harness.upstreams.startRun = async options => {
		await startRun(options);
		await sleep(harness.clock, options.timeoutMs);
		return {kind: 'unanswered', detail: 'no answer'};
	};

	harness.loseStops(Infinity);
	const controller = new AbortController();
	harness.submit(owner, 'left', {step: {estimateMs: 8000}, remainingMs: 20_000}, controller.signal);
	await harness.clock.advance(2);
	controller.abort();
	const disconnectedAt = harness.clock.getMonotonicTime();
	await harness.clock.advance(4000);
	const run = harness.upstreams.starts.find(({task}) => task.startsWith('left'))!;
	t.log(run.end, run.endedAt! - disconnectedAt);
	t.true(run.endedAt! - disconnectedAt < resendDelayMs);
});

test('an owner that raises its fence above another owner\'s adopts the runs of all its jobs in progress', async t => {
	const harness = new PoolHarness({upstreamCount: 3, cpu: 8000, getWork: () => ({...typicalWork, durationMs: 5000})});
	const long = {step: {estimateMs: 5000}, remainingMs: 40_000};
	const wide = {...long, step: {...long.step, taskCount: 2}};
	const first = harness.createOwner();
	harness.submit(first, 'b1', {...long, rules: {...createJob('b').rules, priority: 1}});
	harness.submit(first, 'b2', {...long, rules: {...createJob('b').rules, priority: 1}});
	await harness.clock.advance(30);
	harness.submit(first, 'a', wide);
	await harness.clock.advance(30);
	t.is(harness.upstreams.starts.length, 3);
	const second = harness.createOwner();
	void second.submit(createJob('a', {...wide, priorFence: first.getFence()}));
	await harness.clock.advance(700);
	t.is(harness.upstreams.starts.length, 4);
	second.close();
	harness.submit(first, 'c', {...long, priorFence: second.getFence()});
	await harness.clock.advance(3000);
	t.log(harness.upstreams.starts.map(({task, upstream, startedAt, endedAt, end}) => `${task} ${upstream} ${startedAt} ${endedAt} ${end}`));
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('a recall is not confirmed while a run of the job goes on that only the confirming polls list', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 2000})});
	const owner = harness.createOwner();
	await harness.clock.advance(1100);
	void harness.upstreams.startRun({
		upstream: harness.descriptions[0]!, fence: owner.getFence(), timeoutMs: 150, run: {task: 'a.0.0.0', number: 3}, leaseUntilMs: 2000,
	});
	await harness.clock.advance(10);
	let endAtAnswer: string | undefined;
	let answer: boolean | undefined;
	void (async () => {
		answer = await recallWithTimeout(harness, owner, 'a');
		endAtAnswer = harness.upstreams.starts[0]!.end;
	})();

	await harness.clock.advance(500);
	t.is(answer, true);
	t.is(endAtAnswer, 'stopped');
});

test('a task whose start and stop an upstream answers with failures, although it answers polls, starts elsewhere once its lease has ended', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	await harness.clock.advance(300);
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	const stopRun = harness.upstreams.stopRun.bind(harness.upstreams);
	const unanswered = {kind: 'unanswered', detail: 'status 500'} as const;
	harness.upstreams.startRun = async options => options.upstream.id === 'u0' ? unanswered : startRun(options);
	harness.upstreams.stopRun = async options => options.upstream.id === 'u0' ? unanswered : stopRun(options);
	harness.submit(owner, 'a', {remainingMs: 60_000});
	await harness.clock.advance(10_000);
	t.deepEqual(harness.upstreams.starts.map(({upstream}) => upstream), ['u1']);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a task whose start was carried out unanswered and then refused by another instance at the address is not started again beside it', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	await harness.clock.advance(300);
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	let count = 0;
	harness.upstreams.startRun = async options => {
		count++;
		if (count === 2) {
			return {kind: 'refused', reason: 'wrong-instance'};
		}

		const outcome = await startRun(options);
		return count === 1 ? {kind: 'unanswered', detail: 'no answer'} : outcome;
	};

	harness.submit(owner, 'a', {remainingMs: 60_000});
	await harness.clock.advance(5000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a task on an upstream that refuses all polls and orders starts elsewhere once its lease has ended', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 2000})});
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {remainingMs: 60_000, step: {estimateMs: 2000}});
	await harness.clock.advance(50);
	const [first] = harness.upstreams.starts;
	const poll = harness.upstreams.poll.bind(harness.upstreams);
	const stopRun = harness.upstreams.stopRun.bind(harness.upstreams);
	const refused = {kind: 'refused', reason: 'unhealthy'} as const;
	harness.upstreams.poll = async options => options.upstream.id === first!.upstream ? refused : poll(options);
	harness.upstreams.stopRun = async options => options.upstream.id === first!.upstream ? refused : stopRun(options);
	await harness.clock.advance(20_000);
	t.is(first!.end, 'lapsed');
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});
