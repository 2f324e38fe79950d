import test from 'ava';
import {
	answered, createConfiguration, createUpstream, failed, refused, SchedulerHarness, toMembers,
} from './scheduler-harness.js';

const upstreams = Array.from({length: 8}, (_, index) => createUpstream(`u${index}`));

test('only tasks that did not start or are idempotent are retried, on another upstream', async t => {
	const harness = new SchedulerHarness({profile: {retryBackoffMs: 1}});
	const {scheduler} = harness.nodes[0]!;
	scheduler.addJob(harness.createJob('plain', 1));
	scheduler.addJob(harness.createJob('safe', 1, {isIdempotent: true}));
	scheduler.addJob(harness.createJob('unsent', 1));
	for (const [index, end] of [failed, failed, refused].entries()) {
		await harness.end(harness.starts[index]!, end);
	}

	await harness.clock.advance(10);
	t.deepEqual(harness.abandoned.map(({task}) => task), ['plain/0']);
	const again = harness.starts.slice(3).toSorted((a, b) => a.task < b.task ? -1 : 1);
	t.deepEqual(again.map(start => [start.task, start.attempt]), [['safe/0', 2], ['unsent/0', 2]]);
	t.not(again[0]!.upstream, harness.starts[1]!.upstream);
	await harness.close();
});

test('mass failures stay within the retry budget and the tasks are abandoned without delay', async t => {
	const harness = new SchedulerHarness({upstreams, profile: {retryPercent: 10, retryBackoffMs: 1, maxTries: 5}});
	const {scheduler} = harness.nodes[0]!;
	for (let index = 0; index < 500; index++) {
		scheduler.addJob(harness.createJob(`j${index}`, 1, {isIdempotent: true}));
	}

	for (let round = 0; round < 2000 && harness.abandoned.length < 500; round++) {
		for (const start of harness.running) {
			start.end(failed);
		}

		await harness.clock.advance(5);
	}

	t.is(harness.abandoned.length, 500);
	t.true(scheduler.getCounters().retries <= (500 * 0.1) + 10);
	await harness.close();
});

test('a task whose retry would start after the deadline is abandoned immediately', async t => {
	const harness = new SchedulerHarness({profile: {retryBackoffMs: 1000}});
	harness.nodes[0]!.scheduler.addJob(harness.createJob('j', 1, {deadline: 400}));
	await harness.end(harness.starts[0]!, refused);
	t.is(harness.abandoned.length, 1);
	await harness.close();
});

test('an upstream that fails all its tasks is ejected, probed with one task, and restored', async t => {
	const harness = new SchedulerHarness({upstreams, profile: {ejectionMs: 1000}});
	const {scheduler} = harness.nodes[0]!;
	const getState = (): string => scheduler.getStatus().upstreams.find(({name}) => name === 'u0')!.state;
	const runRound = async (isBroken: boolean): Promise<number> => {
		const before = harness.starts.length;
		for (const start of harness.running) {
			start.end(isBroken && start.upstream === 'u0' ? failed : answered);
		}

		await harness.clock.advance(100);
		return harness.starts.slice(before).filter(start => start.upstream === 'u0').length;
	};

	scheduler.addJob(harness.createJob('j', 900));
	for (let round = 0; round < 5; round++) {
		await runRound(true);
	}

	t.is(getState(), 'ejected');
	const failuresBefore = harness.abandoned.length;
	for (let round = 0; round < 15; round++) {
		t.true(await runRound(true) <= 1);
	}

	t.true(harness.abandoned.length - failuresBefore <= 1);
	for (let round = 0; round < 25; round++) {
		await runRound(false);
	}

	t.is(getState(), 'live');
	await harness.close();
});

test('no more upstreams are ejected than the profile allows', async t => {
	const harness = new SchedulerHarness({upstreams, profile: {maxEjectedPercent: 25}});
	const {scheduler} = harness.nodes[0]!;
	scheduler.addJob(harness.createJob('j', 400));
	for (let round = 0; round < 10; round++) {
		for (const start of harness.running) {
			start.end(['u0', 'u1', 'u2', 'u3'].includes(start.upstream) ? refused : answered);
		}

		await harness.clock.advance(50);
	}

	t.is(scheduler.getStatus().upstreams.filter(({state}) => state === 'ejected' || state === 'probing').length, 2);
	await harness.close();
});

test('a leaving upstream gets no new tasks, including under leases', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams, tuning: {reservedPart: 0, batchMs: 1}});
	await harness.clock.advance(1000);
	harness.nodes[0]!.scheduler.addJob(harness.createJob('j', 100));
	await harness.clock.advance(20);
	t.is(harness.running.size, 16);
	harness.upstreams.push(upstreams.map(upstream => ({...upstream, state: 'leaving'})));
	const startsBefore = harness.starts.length;
	for (const start of harness.running) {
		start.end(answered);
	}

	await harness.clock.advance(500);
	t.is(harness.starts.length, startsBefore);
	t.true(harness.nodes[0]!.scheduler.getStatus().upstreams.every(({state}) => state === 'leaving'));
	await harness.clock.advance(1000);
	t.is(harness.abandoned.length, 84);
	await harness.close();
});

test('slots leased to a dead holder become free after the task timeout, not before', async t => {
	const harness = new SchedulerHarness({
		nodeCount: 2, upstreams, profile: {taskTimeoutMs: 3000}, tuning: {reservedPart: 0, batchMs: 1},
	});
	const [holder, owner] = harness.nodes;
	await harness.clock.advance(1000);
	holder!.scheduler.addJob(harness.createJob('j', 16));
	await harness.clock.advance(20);
	const countLeased = (): number => owner!.scheduler.getStatus().upstreams.reduce((sum, upstream) => sum + upstream.leasedOut, 0);
	const leased = countLeased();
	t.true(leased > 0);
	owner!.members.push(toMembers([holder!.self], 'down'));
	await harness.clock.advance(2900);
	t.is(countLeased(), leased);
	await harness.clock.advance(200);
	t.is(countLeased(), 0);
	await harness.close();
});

test('leased slots are returned for a more urgent job of the owner', async t => {
	const harness = new SchedulerHarness({
		nodeCount: 2, upstreams, profile: {leaseWaitMs: 1}, tuning: {
			reservedPart: 0, batchMs: 1, demandWaitMs: 1,
		},
	});
	const [holder, owner] = harness.nodes;
	await harness.clock.advance(1000);
	holder!.scheduler.addJob(harness.createJob('long', 200));
	await harness.clock.advance(20);
	t.is(harness.running.size, 16);
	owner!.scheduler.addJob(harness.createJob('short', 2));
	await harness.clock.advance(20);
	for (const start of harness.running) {
		start.end(answered);
	}

	await harness.clock.advance(20);
	t.is(harness.getStartedTasks().filter(task => task.startsWith('short')).length, 2);
	await harness.close();
});

test('the quota of a team is enforced across two entry VMs and follows the demand', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams, teams: {desk: {maxSlots: 6}}});
	const [first, second] = harness.nodes;
	await harness.clock.advance(2000);
	first!.scheduler.addJob(harness.createJob('a', 20, {team: 'desk'}));
	for (let round = 0; round < 20; round++) {
		await harness.clock.advance(100);
		t.true(harness.running.size <= 6);
		await harness.end([...harness.running][0]!);
	}

	t.is(harness.starts.length, 20);
	first!.scheduler.addJob(harness.createJob('b', 50, {team: 'desk'}));
	await harness.clock.advance(1500);
	t.is(harness.running.size, 6);
	second!.scheduler.addJob(harness.createJob('c', 50, {team: 'desk'}));
	for (let round = 0; round < 40; round++) {
		await harness.clock.advance(100);
		t.true(harness.running.size <= 6);
		await harness.end([...harness.running][0]!);
	}

	t.true(harness.getStartedTasks().some(task => task.startsWith('c')));
	await harness.close();
});

test('each side of a partitioned data centre keeps its share of a quota', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams, teams: {desk: {maxSlots: 6}}});
	await harness.clock.advance(3000);
	const [first, second] = harness.nodes;
	first!.members.push(toMembers([second!.self], 'down'));
	second!.members.push(toMembers([first!.self], 'down'));
	await harness.clock.advance(3000);
	for (const [index, {scheduler}] of harness.nodes.entries()) {
		scheduler.addJob(harness.createJob(`j${index}`, 20, {team: 'desk'}));
	}

	await harness.clock.advance(3000);
	t.is(harness.running.size, 6);
	await harness.close();
});

test('a team starts tasks at its rate after the burst', async t => {
	const harness = new SchedulerHarness({upstreams, teams: {desk: {startsPerSecond: 10, burst: 4}}});
	const {scheduler} = harness.nodes[0]!;
	await harness.clock.advance(1000);
	scheduler.addJob(harness.createJob('j', 14, {team: 'desk'}));
	t.is(harness.starts.length, 4);
	await harness.clock.advance(1010);
	t.is(harness.starts.length, 14);
	t.like(scheduler.addJob(harness.createJob('late', 100, {team: 'desk', deadline: harness.clock.getMonotonicTime() + 2000})), {reason: 'team-quota'});
	await harness.close();
});

test('10,000 queued tasks are dropped in one call', async t => {
	const harness = new SchedulerHarness({profile: {maxQueuedTasks: 30_000}});
	const {scheduler} = harness.nodes[0]!;
	scheduler.addJob(harness.createJob('big', 10_000, {deadline: 1e9}));
	scheduler.addJob(harness.createJob('other', 3, {deadline: 1e9}));
	t.is(scheduler.removeJob('big'), 9996);
	t.is(scheduler.removeJob('big'), 0);
	for (const start of harness.running) {
		start.end(answered);
	}

	await harness.clock.advance(1);
	t.deepEqual(harness.getStartedTasks().slice(4), ['other/0', 'other/1', 'other/2']);
	await harness.close();
});

test('a change of the order in the configuration takes effect', async t => {
	const harness = new SchedulerHarness();
	const {scheduler} = harness.nodes[0]!;
	scheduler.addJob(harness.createJob('long', 20));
	await harness.clock.advance(100);
	scheduler.addJob(harness.createJob('short', 1));
	harness.configuration.push(createConfiguration({order: 'fifo'}));
	await harness.end(harness.starts[0]!);
	t.is(harness.starts.at(-1)!.task, 'long/4');
	await harness.close();
});

test('tasks run in another data centre only if the profile allows it, and after its own tasks', async t => {
	const both = [...upstreams.slice(0, 2), ...upstreams.slice(2).map(upstream => ({...upstream, dataCenter: 'b'}))];
	for (const isAllowed of [false, true]) {
		const harness = new SchedulerHarness({
			nodeCount: 2, dataCenters: ['a', 'b'], upstreams: both, profile: {spillToOtherDataCenters: isAllowed, spillWaitMs: 250},
		});
		const [local, remote] = harness.nodes;
		await harness.clock.advance(1000);
		remote!.scheduler.addJob(harness.createJob('own', 2));
		local!.scheduler.addJob(harness.createJob('spilled', 60));
		await harness.clock.advance(100);
		t.is(harness.running.size, isAllowed ? 2 + 4 + 7 : 2 + 4);
		remote!.scheduler.addJob(harness.createJob('more', 60));
		await harness.clock.advance(100);
		for (const start of harness.running) {
			start.end(answered);
		}

		await harness.clock.advance(300);
		const running = [...harness.running].filter(start => start.task.startsWith('more'));
		t.is(running.length, 12);
		await harness.close();
	}
});

test('an entry VM without slots gets the last free slot of another', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams: [createUpstream('u0', {slots: 40})]});
	await harness.clock.advance(1000);
	const owner = harness.nodes.findIndex(({scheduler}) => scheduler.getStatus().upstreams[0]!.isOwned);
	harness.nodes[owner]!.scheduler.addJob(harness.createJob('own', 39));
	harness.nodes[1 - owner]!.scheduler.addJob(harness.createJob('other', 1));
	await harness.clock.advance(100);
	t.true(harness.getStartedTasks().includes('other/0'));
	await harness.close();
});

test('a stopping entry VM hands its upstreams over to the others, which count its running tasks', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams, tuning: {reservedPart: 0}});
	const [stopping, other] = harness.nodes;
	await harness.clock.advance(1000);
	stopping!.scheduler.addJob(harness.createJob('running', 4));
	stopping!.scheduler.handleStopping();
	other!.members.push(toMembers([stopping!.self]).map(member => ({...member, isLeaving: true})));
	await harness.clock.advance(100);
	other!.scheduler.addJob(harness.createJob('next', 40));
	await harness.clock.advance(100);
	t.is(harness.running.size, 16);
	t.true(other!.scheduler.getStatus().upstreams.every(({isOwned}) => isOwned));
	t.is(other!.scheduler.getStatus().upstreams.reduce((sum, {leasedOut}) => sum + leasedOut, 0), 4);
	await harness.close();
});

test('a closed scheduler sets no timer when its last tasks end', async t => {
	const harness = new SchedulerHarness({nodeCount: 2, upstreams, tuning: {reservedPart: 0, batchMs: 1}});
	await harness.clock.advance(1000);
	harness.nodes[0]!.scheduler.addJob(harness.createJob('j', 16));
	await harness.clock.advance(20);
	await harness.close();
	for (const start of harness.running) {
		start.end(answered);
	}

	await harness.clock.advance(0);
	t.false(harness.clock.runNext());
});
