import test from 'ava';
import {EventLog} from '../../src/process/events.js';
import {systemClock} from '../../src/seams/index.js';
import {FaultyNetwork} from './faulty-network.js';
import {
	createList, createTestMesh, waitForMembers, waitForState, waitUntil,
} from './test-mesh.js';

for (const directions of [{sending: true}, {receiving: true}, {sending: true, receiving: true}]) {
	test(`a connection silent in ${Object.keys(directions).join(' and ')} is replaced, and messages arrive once and in order`, async t => {
		const network = new FaultyNetwork();
		const received: unknown[] = [];
		const logs = ['a', 'b'].map(process => new EventLog({process}));
		const isSilenceRecorded = (): boolean => logs.some(events => events.getEvents().some(({kind}) => kind === 'peer-silent'));
		const first = await createTestMesh(t, 'a', {
			events: logs[0],
			missedHeartbeatsUntilDown: 1_000_000,
			onControl({body}) {
				received.push(body);
			},
		});
		const second = await createTestMesh(t, 'b', {
			events: logs[1], missedHeartbeatsUntilDown: 1_000_000, dial: network.dial, seeds: [first.getAddress()],
		});
		await waitForState(second, 'a-1', 'up');
		second.sendControl('a-1', {topic: 'x', body: 1});
		await waitUntil(() => received.length === 1);
		network.silence(directions);
		second.sendControl('a-1', {topic: 'x', body: 2});
		await waitUntil(() => isSilenceRecorded() && second.getMembers()[0]!.state === 'up' && first.getMembers()[0]!.state === 'up');
		second.sendControl('a-1', {topic: 'x', body: 3});
		await waitUntil(() => received.length === 3);
		t.deepEqual(received, [1, 2, 3]);
	});
}

test('a peer that has closed a silent link opens a new one, although the other end still holds the old one', async t => {
	const network = new FaultyNetwork();
	const received: unknown[] = [];
	const first = await createTestMesh(t, 'b', {
		onControl({body}) {
			received.push(body);
		},
	});
	const holder = await createTestMesh(t, 'a', {
		dial: network.dial, seeds: [first.getAddress()], missedHeartbeatsUntilSilent: 1_000_000, missedHeartbeatsUntilDown: 2_000_000,
	});
	await Promise.all([waitForState(holder, 'b-1', 'up'), waitForState(first, 'a-1', 'up')]);
	network.silence({sending: true, receiving: true});
	holder.sendControl('b-1', {topic: 'x', body: 1});
	await waitUntil(() => received.length === 1);
	t.is(network.sockets.length, 1);
});

test('partitioned members are down, and up again after the partition without intervention', async t => {
	const network = new FaultyNetwork();
	const first = await createTestMesh(t, 'a', {dial: network.dial, connectTimeoutMs: 400});
	const second = await createTestMesh(t, 'b', {
		dial: network.dial, connectTimeoutMs: 400, entryVms: createList(['kolkata', 'a', first.getAddress()]),
	});
	await waitForState(second, 'a-1', 'up');
	network.cut([first.getAddress(), second.getAddress()]);
	await Promise.all([waitForState(first, 'b-1', 'down'), waitForState(second, 'a-1', 'down')]);
	t.deepEqual(await first.request('b-1', {topic: 'x', body: 1}), {kind: 'not_sent', detail: 'the peer is down'});
	t.false(first.sendControl('b-1', {topic: 'x', body: 1}));
	network.heal();
	await Promise.all([waitForState(first, 'b-1', 'up'), waitForState(second, 'a-1', 'up')]);
	t.pass();
});

test('a member whose address refuses connections is down, even if it is in the list', async t => {
	const network = new FaultyNetwork();
	const first = await createTestMesh(t, 'a');
	const second = await createTestMesh(t, 'b', {
		dial: network.dial, missedHeartbeatsUntilDown: 1_000_000, entryVms: createList(['kolkata', 'a', first.getAddress()]),
	});
	await waitForState(second, 'a-1', 'up');
	// It stops without its announcement arriving.
	network.silence({sending: true, receiving: true});
	await first.close();
	await waitForState(second, 'a-1', 'down');
	t.pass();
});

test('a member that is not in the list stays up', async t => {
	const first = await createTestMesh(t, 'a');
	const events = new EventLog({process: 'b'});
	const second = await createTestMesh(t, 'b', {seeds: [first.getAddress()], entryVms: createList(), events});
	await waitForState(second, 'a-1', 'up');
	const {messagesReceived} = second.getTraffic().control;
	await waitUntil(() => second.getTraffic().control.messagesReceived > messagesReceived + 20);
	t.is(second.getMembers()[0]?.state, 'up');
});

test('a silent member is down once another incarnation answers at its address', async t => {
	const network = new FaultyNetwork();
	const watcher = await createTestMesh(t, 'a', {dial: network.dial, missedHeartbeatsUntilDown: 1000});
	const stale = await createTestMesh(t, 'b', {dial: network.dial, seeds: [watcher.getAddress()]});
	await waitForState(watcher, 'b-1', 'up');
	// The old process stops without its announcement arriving.
	network.silence({sending: true, receiving: true});
	const address = stale.getAddress();
	await stale.close();
	const fresh = await createTestMesh(t, 'b', {self: {dataCenter: 'kolkata', vm: 'b', id: 'b-2'}, listenAddress: address});
	await Promise.all([waitForState(watcher, 'b-1', 'down'), waitForState(watcher, 'b-2', 'up'), waitForState(fresh, 'a-1', 'up')]);
	t.like(await watcher.request('b-1', {topic: 'x', body: 1}), {kind: 'not_sent'});
});

test('after a pause of this process no member is down', async t => {
	let skippedMs = 0;
	const gaps: number[] = [];
	const events = new EventLog({process: 'b'});
	const first = await createTestMesh(t, 'a');
	const second = await createTestMesh(t, 'b', {
		seeds: [first.getAddress()],
		events,
		clock: {...systemClock, getMonotonicTime: () => systemClock.getMonotonicTime() + skippedMs},
		onPause(gapMs) {
			gaps.push(gapMs);
		},
	});
	await waitForState(second, 'a-1', 'up');
	skippedMs = 60_000;
	await waitUntil(() => gaps.some(gapMs => gapMs >= skippedMs));
	const {messagesReceived} = second.getTraffic().control;
	await waitUntil(() => second.getTraffic().control.messagesReceived > messagesReceived + 3);
	t.is(second.getMembers()[0]?.state, 'up');
	t.false(events.getEvents().some(({kind}) => kind === 'peer-down'));
});

test('a peer that stops reading has a bounded buffer and does not delay others', async t => {
	const network = new FaultyNetwork();
	const received: unknown[] = [];
	const slow = await createTestMesh(t, 'a');
	const other = await createTestMesh(t, 'c', {
		onControl({body}) {
			received.push(body);
		},
	});
	const sender = await createTestMesh(t, 'b', {
		dial: network.dial, seeds: [slow.getAddress(), other.getAddress()], maxControlBufferBytes: 100_000, missedHeartbeatsUntilSilent: 1000, missedHeartbeatsUntilDown: 2000,
	});
	await waitForMembers(sender, members => members.filter(({state}) => state === 'up').length === 2);
	for (const socket of network.sockets.filter(({address}) => address === slow.getAddress())) {
		socket.isStalled = true;
	}

	const body = 'x'.repeat(10_000);
	const accepted = Array.from({length: 20}, () => sender.sendControl('a-1', {topic: 'x', body}));
	t.is(accepted.filter(Boolean).length, 9);
	t.is(sender.getTraffic().faults['buffer-full'], 11);
	t.true(sender.sendControl('c-1', {topic: 'x', body: 'small'}));
	await waitUntil(() => received.length === 1);
	t.deepEqual(received, ['small']);
});

test('a member that is down is removed unless it is in the list', async t => {
	const listed = await createTestMesh(t, 'a');
	const unlisted = await createTestMesh(t, 'b');
	const watcher = await createTestMesh(t, 'c', {
		seeds: [unlisted.getAddress()], entryVms: createList(['kolkata', 'a', listed.getAddress()]), downRetentionMs: 50,
	});
	await waitForMembers(watcher, members => members.filter(({state}) => state === 'up').length === 2);
	await Promise.all([listed.close(), unlisted.close()]);
	await waitForMembers(watcher, members => members.length === 1 && members[0]!.state === 'down');
	t.is(watcher.getMembers()[0]?.incarnation.id, 'a-1');
});
