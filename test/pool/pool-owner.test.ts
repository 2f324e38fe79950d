import test from 'ava';
import {createJob, PoolHarness, typicalWork} from './pool-harness.js';

test('the tasks of a job run at the same time and the job completes when all are done', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {taskCount: 8}});
	await harness.clock.advance(150);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(harness.upstreams.starts.length, 8);
	t.true(harness.upstreams.starts.every(({startedAt}) => startedAt < 10));
});

test('an upstream is never given more than it holds', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	for (const id of ['a', 'b', 'c']) {
		harness.submit(owner, id, {step: {taskCount: 2}, rules: {...createJob(id).rules, slackMs: 1000}});
	}

	await harness.clock.advance(1000);
	t.is(harness.upstreams.starts.length, 6);
	t.deepEqual([...harness.outcomes.values()], Array.from({length: 3}, () => ({kind: 'completed'})));
});

test('a step starts only after the steps before it', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	const step = {needs: typicalWork.needs, estimateMs: 100, taskCount: 2};
	harness.submit(owner, 'a', {steps: [{...step, after: []}, {...step, after: [0]}]});
	await harness.clock.advance(300);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	const ends = harness.upstreams.starts.filter(({task}) => task.startsWith('a.0.0')).map(({endedAt}) => endedAt!);
	t.true(harness.upstreams.starts.filter(({task}) => task.startsWith('a.0.1')).every(({startedAt}) => startedAt >= Math.max(...ends)));
});

test('a copy of a job in hand joins it and starts nothing', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	harness.submit(owner, 'a');
	await harness.clock.advance(20);
	const copy = owner.submit(createJob('a'));
	await harness.clock.advance(200);
	t.deepEqual(await copy, {kind: 'completed'});
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(harness.upstreams.starts.length, 1);
});

test('the tasks of a job are stopped when its caller goes', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	const controller = new AbortController();
	harness.submit(owner, 'a', {step: {taskCount: 4}}, controller.signal);
	await harness.clock.advance(20);
	controller.abort();
	await harness.clock.advance(20);
	t.deepEqual(harness.upstreams.starts.map(({end}) => end), ['stopped', 'stopped', 'stopped', 'stopped']);
	t.is(owner.getJobCount(), 0);
});

test('a failed task runs again elsewhere, and the job fails with the attempts that its route allows', async t => {
	const harness = new PoolHarness();
	harness.faults[0]!.isFailing = true;
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {taskCount: 2}});
	await harness.clock.advance(400);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	const hopeless = new PoolHarness({getWork: () => ({...typicalWork, end: 'failed'})});
	hopeless.submit(hopeless.createOwner(), 'b');
	await hopeless.clock.advance(600);
	t.deepEqual(hopeless.outcomes.get('b'), {kind: 'failed'});
	t.is(hopeless.upstreams.starts.length, 3);
});

test('a task on an upstream that is cut off starts elsewhere only after its lease has ended', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {estimateMs: 1000}, remainingMs: 10_000});
	await harness.clock.advance(20);
	const [first] = harness.upstreams.starts;
	harness.faults[first!.upstream === 'u0' ? 0 : 1]!.isCutOff = true;
	await harness.clock.advance(3000);
	t.is(harness.upstreams.starts.length, 2);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('starts whose answers are lost run once', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	await harness.clock.advance(20);
	harness.faults[0]!.isMute = true;
	harness.submit(owner, 'a', {step: {taskCount: 2}});
	await harness.clock.advance(250);
	harness.faults[0]!.isMute = false;
	await harness.clock.advance(3000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a task that stands still is stopped and starts elsewhere', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	harness.faults[0]!.isHanging = true;
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {taskCount: 2}, remainingMs: 5000});
	await harness.clock.advance(1200);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('the next owner goes on with what runs and starts nothing twice', async t => {
	const harness = new PoolHarness();
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {taskCount: 6}});
	await harness.clock.advance(30);
	first.close();
	await harness.clock.advance(0);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'moved', hasStarted: true});
	const second = harness.createOwner();
	harness.submit(second, 'a', {step: {taskCount: 6}, priorFence: first.getFence()});
	await harness.clock.advance(200);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(harness.upstreams.starts.length, 6);
});

test('the next owner counts what ended meanwhile', async t => {
	const harness = new PoolHarness();
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {taskCount: 6}});
	await harness.clock.advance(50);
	first.close();
	await harness.clock.advance(100);
	const second = harness.createOwner();
	harness.submit(second, 'a', {step: {taskCount: 6}, priorFence: first.getFence()});
	await harness.clock.advance(50);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(harness.upstreams.starts.length, 6);
});

test('an owner that has long been one goes behind the fence of another before it takes a job over', async t => {
	const harness = new PoolHarness();
	const near = harness.createOwner();
	await harness.clock.advance(50);
	const far = harness.createOwner();
	harness.submit(far, 'a', {step: {taskCount: 4}});
	await harness.clock.advance(20);
	far.close();
	await harness.clock.advance(0);
	harness.submit(near, 'a', {step: {taskCount: 4}, priorFence: far.getFence()});
	await harness.clock.advance(400);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.is(harness.upstreams.starts.length, 4);
	t.true(near.getFence() > far.getFence());
});

test('a job of an earlier owner waits until leases have ended where an upstream cannot be seen', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {estimateMs: 100}, remainingMs: 10_000});
	await harness.clock.advance(20);
	const [start] = harness.upstreams.starts;
	harness.faults[start!.upstream === 'u0' ? 0 : 1]!.isCutOff = true;
	first.close();
	await harness.clock.advance(0);
	const second = harness.createOwner();
	harness.submit(second, 'a', {priorFence: first.getFence(), remainingMs: 10_000});
	await harness.clock.advance(4000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('runs that nobody claims are stopped', async t => {
	const harness = new PoolHarness({getWork: () => ({...typicalWork, durationMs: 5000})});
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {taskCount: 2}});
	await harness.clock.advance(30);
	first.close();
	harness.createOwner();
	await harness.clock.advance(800);
	t.deepEqual(harness.upstreams.starts.map(({end}) => end), ['stopped', 'stopped']);
});

test('free room is counted in tasks of the usual size, not in what is left over beside them', async t => {
	const harness = new PoolHarness({upstreamCount: 3});
	const owner = harness.createOwner();
	const rules = {...createJob('a').rules, slackMs: 10_000};
	for (let round = 0; round < 20; round++) {
		harness.submit(owner, `warm-${round}`, {step: {taskCount: 6}, rules});
		await harness.clock.advance(150);
	}

	harness.submit(owner, 'a', {step: {taskCount: 5}, rules});
	await harness.clock.advance(20);
	// 16,000 less two tasks of 6,800 leaves 2,400 on two upstreams, which take none; the third one takes one more.
	const {freeCpu} = owner.getLoad();
	t.true(freeCpu > 3000 && freeCpu < 9200);
});

test('an owner that was not told of any upstream takes a job over only after all leases', async t => {
	const harness = new PoolHarness({upstreamCount: 4, getWork: () => ({...typicalWork, durationMs: 800})});
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {estimateMs: 800, taskCount: 3}, remainingMs: 10_000});
	await harness.clock.advance(30);
	first.close();
	harness.isListComplete = false;
	const second = harness.createOwner([]);
	harness.submit(second, 'a', {step: {estimateMs: 800, taskCount: 3}, priorFence: first.getFence(), remainingMs: 10_000});
	await harness.clock.advance(300);
	harness.isListComplete = true;
	second.setUpstreams(harness.descriptions);
	await harness.clock.advance(4000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('tasks start only on upstreams of the service that the route names', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const other = {...harness.descriptions[0]!, service: 'other'};
	const owner = harness.createOwner([other, harness.descriptions[1]!]);
	harness.submit(owner, 'a', {step: {taskCount: 4}, rules: {...createJob('a').rules, slackMs: 1000}});
	harness.submit(owner, 'b', {rules: {...createJob('b').rules, service: 'third'}});
	await harness.clock.advance(1000);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.like(harness.outcomes.get('b'), {kind: 'refused', reason: 'no-upstream'});
	t.true(harness.upstreams.starts.every(({upstream}) => upstream === 'u1'));
});

test('a run that nobody claims ends soon although the first stops are lost and others get leases there', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 5000})});
	const first = harness.createOwner();
	const options = {step: {estimateMs: 5000}, remainingMs: 20_000};
	harness.submit(first, 'orphan', options);
	harness.submit(first, 'claimed', options);
	await harness.clock.advance(30);
	first.close();
	harness.loseStops(3);
	const second = harness.createOwner();
	harness.submit(second, 'claimed', {...options, priorFence: first.getFence()});
	await harness.clock.advance(1500);
	t.deepEqual(harness.upstreams.starts.map(({task, end}) => [task, end]), [['orphan.0.0.0', 'stopped'], ['claimed.0.0.0', undefined]]);
});

test('a run whose stop is never confirmed ends with its lease, although others run there', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 8000})});
	const owner = harness.createOwner();
	const controller = new AbortController();
	harness.submit(owner, 'left', {step: {estimateMs: 8000}, remainingMs: 20_000}, controller.signal);
	harness.submit(owner, 'other', {step: {estimateMs: 8000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	harness.loseStops(Infinity);
	controller.abort();
	await harness.clock.advance(2000);
	t.is(harness.upstreams.starts.find(({task}) => task.startsWith('left'))!.end, 'lapsed');
});

test('a recall is not answered before the lease of an earlier owner has ended on an upstream that went silent', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 3000})});
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {estimateMs: 3000}, remainingMs: 20_000});
	await harness.clock.advance(820);
	first.close();
	const second = harness.createOwner();
	await harness.clock.advance(4);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(804);
	const [run] = harness.upstreams.starts;
	let isRunning: boolean | undefined;
	void (async () => {
		if (await second.recallLent('a', new AbortController().signal)) {
			isRunning = run!.end === undefined;
		}
	})();

	await harness.clock.advance(1000);
	t.not(isRunning, true);
	t.is(run!.end, 'lapsed');
});

test('an upstream that is listed no more and does not answer for a moment keeps its runs until their lease has ended', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 6000})});
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {estimateMs: 6000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	const upstream = harness.upstreams.starts[0]!.upstream === 'u0' ? 0 : 1;
	const others = harness.descriptions.filter((_, position) => position !== upstream);
	owner.setUpstreams(others);
	await harness.clock.advance(2600);
	harness.faults[upstream]!.isCutOff = true;
	for (let waitedMs = 0; waitedMs < 700; waitedMs += 10) {
		await harness.clock.advance(10);
		owner.setUpstreams(others);
	}

	harness.faults[upstream]!.isCutOff = false;
	await harness.clock.advance(8000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('another address without a newer life does not end the runs of an upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 1000})});
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {estimateMs: 1000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	owner.setUpstreams(harness.descriptions.map(upstream => ({...upstream, address: `${upstream.id}:2`})));
	await harness.clock.advance(3000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a copy of a job that comes without the fence of the earlier owner takes over what that one left', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 600})});
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {taskCount: 2, estimateMs: 600}, remainingMs: 10_000});
	await harness.clock.advance(30);
	first.close();
	const second = harness.createOwner();
	await harness.clock.advance(20);
	harness.submit(second, 'a', {step: {taskCount: 2, estimateMs: 600}, remainingMs: 10_000});
	await harness.clock.advance(2000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a recall is answered by the owner in office only', async t => {
	const harness = new PoolHarness();
	const before = harness.createOwner();
	await harness.clock.advance(1800);
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	const answers = new Map<string, boolean>();
	const recall = async (name: string, asked: typeof owner): Promise<void> => {
		answers.set(name, await asked.recallLent('a', new AbortController().signal));
	};

	void recall('before', before);
	void recall('owner', owner);
	await harness.clock.advance(150);
	t.deepEqual(Object.fromEntries(answers), {before: false, owner: true});
});

test('a job whose tasks start while it is judged a second time is not refused', async t => {
	for (let slackMs = 50; slackMs < 1500; slackMs += 25) {
		const harness = new PoolHarness({upstreamCount: 1});
		const checks: Array<() => void> = [];
		const setRepeatingTimer = harness.clock.setRepeatingTimer.bind(harness.clock);
		harness.clock.setRepeatingTimer = (callback, periodMs) => {
			checks.push(callback);
			return setRepeatingTimer(callback, periodMs);
		};

		const owner = harness.createOwner();
		await harness.clock.advance(20);
		harness.submit(owner, 'a', {step: {taskCount: 5, estimateMs: 60}, ageMs: 238, rules: {...createJob('a').rules, slackMs}});
		// In a process that is late, the timer of the second judgement fires in the turn in which the job came.
		for (const check of checks) {
			check();
		}

		await harness.clock.advance(3);
		t.true(harness.outcomes.get('a')?.kind !== 'refused' || harness.upstreams.starts.length === 0, `slack of ${slackMs} ms`);
	}
});
