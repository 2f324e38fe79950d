import test from 'ava';
import {answered, createUpstream, SchedulerHarness} from './scheduler-harness.js';

test('tasks start in all slots, then as slots become free', async t => {
	const harness = new SchedulerHarness();
	t.like(harness.nodes[0]!.scheduler.addJob(harness.createJob('j', 6)), {admitted: true});
	t.is(harness.running.size, 4);
	await harness.end(harness.starts[0]!);
	t.is(harness.starts.length, 5);
	await harness.close();
});

test('the job with fewer remaining tasks runs first', async t => {
	const harness = new SchedulerHarness();
	const {scheduler} = harness.nodes[0]!;
	scheduler.addJob(harness.createJob('long', 20));
	scheduler.addJob(harness.createJob('short', 1));
	await harness.clock.advance(200);
	await harness.end(harness.starts[0]!);
	t.is(harness.starts.at(-1)!.task, 'short/0');
	await harness.close();
});

test('a refusal gives the reason and the time after which to retry', async t => {
	const harness = new SchedulerHarness({profile: {maxQueuedTasks: 10}, upstreams: [createUpstream('u1', {cores: 4})]});
	const {scheduler} = harness.nodes[0]!;
	t.like(scheduler.addJob(harness.createJob('a', 1, {service: 'none'})), {reason: 'unknown-service'});
	t.like(scheduler.addJob(harness.createJob('b', 1, {team: 'none'})), {reason: 'unknown-team'});
	t.like(scheduler.addJob(harness.createJob('c', 1, {needs: {cores: 8}})), {reason: 'never-runnable', retryAfterMs: undefined});
	scheduler.addJob(harness.createJob('d', 10));
	const full = scheduler.addJob(harness.createJob('e', 5));
	t.like(full, {reason: 'queue-full'});
	t.true(!full.admitted && full.retryAfterMs! > 0);
	t.like(scheduler.addJob(harness.createJob('f', 1, {deadline: 1})), {reason: 'deadline-too-short'});
	await scheduler.close();
	t.like(scheduler.addJob(harness.createJob('g', 1)), {reason: 'stopping'});
});

test('queued tasks are dropped at the deadline', async t => {
	const harness = new SchedulerHarness();
	const {scheduler} = harness.nodes[0]!;
	scheduler.addJob(harness.createJob('j', 6, {deadline: 1000}));
	await harness.clock.advance(1000);
	t.deepEqual(harness.expired, ['j']);
	await harness.end(harness.starts[0]!);
	t.is(harness.starts.length, 4);
	await harness.close();
});

test('slots of another entry VM are leased, kept while tasks are queued, and returned', async t => {
	const upstreams = Array.from({length: 8}, (_, index) => createUpstream(`u${index}`));
	const harness = new SchedulerHarness({nodeCount: 2, upstreams, tuning: {reservedPart: 0, batchMs: 1}});
	const [first, second] = harness.nodes;
	await harness.clock.advance(1000);
	const countMessages = (): number => first!.scheduler.getCounters().messages + second!.scheduler.getCounters().messages;
	const messagesBefore = countMessages();
	first!.scheduler.addJob(harness.createJob('j', 40));
	await harness.clock.advance(10);
	t.is(harness.running.size, 16);
	for (const start of harness.running) {
		start.end(answered);
	}

	await harness.clock.advance(10);
	t.is(harness.running.size, 16);
	t.is(countMessages() - messagesBefore, 2);
	while (harness.running.size > 0) {
		await harness.end([...harness.running][0]!);
	}

	await harness.clock.advance(1000);
	t.is(harness.starts.length, 40);
	for (const {scheduler} of harness.nodes) {
		t.true(scheduler.getStatus().upstreams.every(upstream => upstream.leasedOut === 0 && upstream.held === 0));
	}

	await harness.close();
});

test('an entry VM without slots requests some even if its tasks are very short', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams: [createUpstream('u1', {slots: 8})]});
	await harness.clock.advance(1000);
	const {scheduler} = harness.nodes.find(node => !node.scheduler.getStatus().upstreams[0]!.isOwned)!;
	for (let round = 0; round < 20; round++) {
		scheduler.addJob(harness.createJob(`short${round}`, 50));
		await harness.clock.advance(50);
		while (harness.running.size > 0) {
			for (const start of harness.running) {
				start.end(answered);
			}

			await harness.clock.advance(2);
		}
	}

	t.is(harness.starts.length, 1000);
	await harness.clock.advance(1000);
	scheduler.addJob(harness.createJob('one', 1));
	await harness.clock.advance(100);
	t.is(harness.starts.at(-1)!.task, 'one/0');
	await harness.close();
});
