import test from 'ava';
import {getLostRunTimeoutMs, noNeighbours, PoolOwner} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {
	createJob, PoolHarness, silentLog, typicalWork,
} from './pool-harness.js';

/** Time after a broken connection after which a caller sends its job again, in milliseconds. */
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

test('recalls one after another are answered in time beside an upstream that has long been silent', async t => {
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

test('a recall is answered clear although one look was lost', async t => {
	const harness = new PoolHarness({upstreamCount: 10});
	const owner = harness.createOwner();
	await harness.clock.advance(8000);
	const look = harness.upstreams.poll.bind(harness.upstreams);
	let lost = 1;
	harness.upstreams.poll = async options => {
		if (options.waitMs > 0 || lost === 0) {
			return look(options);
		}

		lost--;
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

test('the runs of a caller that goes have ended before its copy comes, also where stops are not answered', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 8000})});
	const owner = harness.createOwner();
	const controller = new AbortController();
	harness.submit(owner, 'left', {step: {estimateMs: 8000}, remainingMs: 20_000}, controller.signal);
	harness.submit(owner, 'other', {step: {estimateMs: 8000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	harness.loseStops(Infinity);
	controller.abort();
	const goneAt = harness.clock.getMonotonicTime();
	await harness.clock.advance(4000);
	const run = harness.upstreams.starts.find(({task}) => task.startsWith('left'))!;
	t.log(run.endedAt! - goneAt);
	t.true(run.endedAt! - goneAt < resendDelayMs);
});

for (const takeoverMs of [500, 600, 700, 800]) {
	test(`what a lender that died ran for another pool has ended after the time that the borrower waits, also under an owner from ${takeoverMs} ms on`, async t => {
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
		// The process dies: the borrower sees it at once.
		first.close();
		const goneAt = harness.clock.getMonotonicTime();
		await harness.clock.advance(takeoverMs);
		harness.loseStops(Infinity);
		const second = harness.createOwner();
		harness.submit(second, 'other', {...other, priorFence: first.getFence()});
		await harness.clock.advance(40);
		harness.submit(second, 'third', {...other, priorFence: first.getFence()});
		await harness.clock.advance(6000);
		const run = harness.upstreams.starts.find(({task}) => task.startsWith('lent'))!;
		t.log(run.end, run.endedAt! - goneAt);
		t.true(run.endedAt! - goneAt < getLostRunTimeoutMs({peerSilenceMs: 500, maxLeaseMs: 1000}));
	});
}

test('a recall that was not answered clear holds no job whose own recall was', async t => {
	const harness = new PoolHarness();
	const owner = new PoolOwner({
		pool: 'dc1', clock: harness.clock, log: silentLog, orders: harness.upstreams, getStoredFence: async () => 200, async onFenced() {/* Not asked. */},
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

test('recalls of many jobs share their looks', async t => {
	const harness = new PoolHarness({upstreamCount: 10});
	const owner = harness.createOwner();
	await harness.clock.advance(8000);
	const look = harness.upstreams.poll.bind(harness.upstreams);
	let count = 0;
	harness.upstreams.poll = async options => {
		count++;
		return look(options);
	};

	for (let job = 0; job < 30; job++) {
		void recallWithTimeout(harness, owner, `j${job}`);
		await harness.clock.advance(3);
	}

	await harness.clock.advance(20);
	t.log(count);
	t.true(count <= 100);
});

test('after a pause an owner starts nothing while no upstream has answered', async t => {
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

test('no task starts on an upstream whose entry has been missing for long, also while it is busy', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	owner.setUpstreams(harness.descriptions.slice(1));
	const missingSince = harness.clock.getMonotonicTime();
	for (let job = 0; job < 200; job++) {
		harness.submit(owner, `j${job}`, {step: {taskCount: 4}});
		await harness.clock.advance(50);
		owner.setUpstreams(harness.descriptions.slice(1));
	}

	const late = harness.upstreams.starts.filter(({upstream, startedAt}) => upstream === 'u0' && startedAt - missingSince > 3000);
	t.log(late.length);
	t.is(late.length, 0);
});

test('a new life at another address is taken although the wall clock of its VM went back, once the old address is silent', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(5000);
	harness.faults[0]!.isCutOff = false;
	const look = harness.upstreams.poll.bind(harness.upstreams);
	const addresses = new Set<string>();
	harness.upstreams.poll = async options => {
		addresses.add(options.upstream.address);
		return options.upstream.address === 'u0:2' ? look(options) : {kind: 'unanswered', detail: 'nobody there'};
	};

	for (let round = 0; round < 20; round++) {
		owner.setUpstreams(harness.descriptions.map(upstream => ({...upstream, bornMs: 0, address: 'u0:2'})));
		await harness.clock.advance(500);
	}

	t.is([...addresses].at(-1), 'u0:2');
});

for (const cpu of [8000, 16_000]) {
	test(`a task is not run for another pool beside the same task of a job in hand, with room for ${cpu} on an upstream`, async t => {
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

test('a task is not run for another pool beside the same task that an earlier owner left', async t => {
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

test('the time of a stop counts from its request, also while its start is not answered', async t => {
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
	const goneAt = harness.clock.getMonotonicTime();
	await harness.clock.advance(4000);
	const run = harness.upstreams.starts.find(({task}) => task.startsWith('left'))!;
	t.log(run.end, run.endedAt! - goneAt);
	t.true(run.endedAt! - goneAt < resendDelayMs);
});

test('an owner that goes behind the fence of another one looks for the runs of all jobs in hand', async t => {
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
