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

test('an upstream is never assigned more tasks than its capacity holds', async t => {
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

test('a duplicate submission of a job in progress joins it and starts nothing', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	harness.submit(owner, 'a');
	await harness.clock.advance(20);
	const duplicate = owner.submit(createJob('a'));
	await harness.clock.advance(200);
	t.deepEqual(await duplicate, {kind: 'completed'});
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.is(harness.upstreams.starts.length, 1);
});

test('the tasks of a job are stopped when its caller disconnects', async t => {
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

test('a failed task is retried elsewhere, and the job fails after the attempts that its route allows', async t => {
	const harness = new PoolHarness();
	harness.faults[0]!.isFailing = true;
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {taskCount: 2}});
	await harness.clock.advance(400);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	const alwaysFailing = new PoolHarness({getWork: () => ({...typicalWork, end: 'failed'})});
	alwaysFailing.submit(alwaysFailing.createOwner(), 'b');
	await alwaysFailing.clock.advance(600);
	t.deepEqual(alwaysFailing.outcomes.get('b'), {kind: 'failed'});
	t.is(alwaysFailing.upstreams.starts.length, 3);
});

test('a task on an upstream that is partitioned starts elsewhere only after its lease has ended', async t => {
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

test('a task that hangs is stopped and starts elsewhere', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	harness.faults[0]!.isHanging = true;
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {taskCount: 2}, remainingMs: 5000});
	await harness.clock.advance(1200);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('the next owner adopts the runs and starts nothing twice', async t => {
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

test('the next owner counts the runs that ended before it took over', async t => {
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

test('an owner raises its fence above another owner\'s before it takes a job over from that one', async t => {
	const harness = new PoolHarness();
	const firstOwner = harness.createOwner();
	await harness.clock.advance(50);
	const secondOwner = harness.createOwner();
	harness.submit(secondOwner, 'a', {step: {taskCount: 4}});
	await harness.clock.advance(20);
	secondOwner.close();
	await harness.clock.advance(0);
	harness.submit(firstOwner, 'a', {step: {taskCount: 4}, priorFence: secondOwner.getFence()});
	await harness.clock.advance(400);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.is(harness.upstreams.starts.length, 4);
	t.true(firstOwner.getFence() > secondOwner.getFence());
});

test('a job of an earlier owner waits until all leases have ended if an upstream cannot be polled', async t => {
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

test('unclaimed runs are stopped', async t => {
	const harness = new PoolHarness({getWork: () => ({...typicalWork, durationMs: 5000})});
	const first = harness.createOwner();
	harness.submit(first, 'a', {step: {taskCount: 2}});
	await harness.clock.advance(30);
	first.close();
	harness.createOwner();
	await harness.clock.advance(800);
	t.deepEqual(harness.upstreams.starts.map(({end}) => end), ['stopped', 'stopped']);
});

test('free capacity is counted in tasks of the average size, without the remainders that are too small for one', async t => {
	const harness = new PoolHarness({upstreamCount: 3});
	const owner = harness.createOwner();
	const rules = {...createJob('a').rules, slackMs: 10_000};
	for (let round = 0; round < 20; round++) {
		harness.submit(owner, `warm-${round}`, {step: {taskCount: 6}, rules});
		await harness.clock.advance(150);
	}

	harness.submit(owner, 'a', {step: {taskCount: 5}, rules});
	await harness.clock.advance(20);
	// Two tasks of 6,800 leave 2,400 of 16,000 on two upstreams, too little for another one; the third upstream holds one more.
	const {freeCpu} = owner.getLoad();
	t.true(freeCpu > 3000 && freeCpu < 9200);
});

test('an owner without any known upstream takes a job over only after all leases have ended', async t => {
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

test('an unclaimed run ends in time although its first stops are lost and leases are granted to other runs there', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 5000})});
	harness.getUnawaitedJobs = async jobs => jobs.filter(job => job === 'orphan');
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

test('a run whose stop is never confirmed ends with its lease although there are other runs on the upstream', async t => {
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

test('a recall is not confirmed before the lease of an earlier owner has ended on an upstream that became silent', async t => {
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

test('an upstream that is no longer listed and is briefly silent keeps its runs until their lease has ended', async t => {
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

test('another address of the same instance does not end the runs of an upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: 1000})});
	const owner = harness.createOwner();
	harness.submit(owner, 'a', {step: {estimateMs: 1000}, remainingMs: 20_000});
	await harness.clock.advance(30);
	owner.setUpstreams(harness.descriptions.map(upstream => ({...upstream, address: `${upstream.id}:2`})));
	await harness.clock.advance(3000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a duplicate submission without the fence of the earlier owner adopts the runs that this owner left', async t => {
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

test('a recall is confirmed by the active owner only', async t => {
	const harness = new PoolHarness();
	const earlierOwner = harness.createOwner();
	await harness.clock.advance(1800);
	const activeOwner = harness.createOwner();
	await harness.clock.advance(50);
	const answers = new Map<string, boolean>();
	const recall = async (name: string, owner: typeof activeOwner): Promise<void> => {
		answers.set(name, await owner.recallLent('a', new AbortController().signal));
	};

	void recall('earlier', earlierOwner);
	void recall('active', activeOwner);
	await harness.clock.advance(150);
	t.deepEqual(Object.fromEntries(answers), {earlier: false, active: true});
});

test('a job whose tasks start while its admission is re-evaluated is not refused', async t => {
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
		// In a delayed process, the timer of the re-evaluation fires in the same event loop turn in which the job arrives.
		for (const check of checks) {
			check();
		}

		await harness.clock.advance(3);
		t.true(harness.outcomes.get('a')?.kind !== 'refused' || harness.upstreams.starts.length === 0, `slack of ${slackMs} ms`);
	}
});
