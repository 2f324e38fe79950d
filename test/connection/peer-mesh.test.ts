import test from 'ava';
import {type Dial, dialTcp} from '../../src/connection/index.js';
import {CurrentValue} from '../../src/process/current-value.js';
import {EventLog} from '../../src/process/events.js';
import {type ListedEntryVm} from '../../src/platform/index.js';
import {FaultyNetwork} from './faulty-network.js';
import {
	createList, createListedVm, createTestMesh, waitForMembers, waitForState, waitUntil,
} from './test-mesh.js';

test('entry VMs in the list open links and exchange control messages and requests', async t => {
	const messages: unknown[] = [];
	const first = await createTestMesh(t, 'a', {
		onRequest: async ({topic, body}, from) => ({topic, body, from: from.id}),
	});
	const received = new Promise<void>(resolve => {
		void createTestMesh(t, 'b', {
			entryVms: createList(['kolkata', 'a', first.getAddress()]),
			onControl({body}) {
				messages.push(body);
				if (messages.length === 3) {
					resolve();
				}
			},
			onRequest: async () => 'answer of b',
		});
	});
	await waitForState(first, 'b-1', 'up');
	t.deepEqual([1, 2, 3].map(body => first.sendControl('b-1', {topic: 'x', body})), [true, true, true]);
	await received;
	t.deepEqual(messages, [1, 2, 3]);
	t.deepEqual(await first.request('b-1', {topic: 'y', body: {n: 1}}), {kind: 'answered', body: 'answer of b'});
});

test('a listed entry VM with a port out of range does not end the process, and the others are linked', async t => {
	const first = await createTestMesh(t, 'a');
	const second = await createTestMesh(t, 'b', {
		entryVms: createList(['kolkata', 'c', '127.0.0.1:99999'], ['kolkata', 'd', '127.0.0.1'], ['kolkata', 'a', first.getAddress()]),
	});
	await waitForState(second, 'a-1', 'up');
	t.like(await dialTcp('127.0.0.1:99999', new AbortController().signal), {ok: false, reason: 'unreachable'});
});

test('an entry VM with a single seed joins all others', async t => {
	const first = await createTestMesh(t, 'a');
	const second = await createTestMesh(t, 'b', {seeds: [first.getAddress()]});
	await waitForState(second, 'a-1', 'up');
	const third = await createTestMesh(t, 'c', {seeds: [second.getAddress()]});
	const isFull = (members: ReadonlyArray<{readonly state: string}>): boolean => members.filter(({state}) => state === 'up').length === 2;
	await Promise.all([first, second, third].map(async mesh => waitForMembers(mesh, isFull)));
	t.pass();
});

test('entry VMs that dial each other at the same time keep one link each', async t => {
	const list = new CurrentValue<readonly ListedEntryVm[]>([]);
	const network = new FaultyNetwork();
	const waiting: Array<() => void> = [];
	const dial: Dial = async (address, signal) => {
		const result = await network.dial(address, signal);
		// No handshake starts before both connections are established.
		await new Promise<void>(resolve => {
			waiting.push(resolve);
			if (network.sockets.length >= 2) {
				for (const release of waiting) {
					release();
				}
			}
		});
		return result;
	};

	const meshes = await Promise.all(['a', 'b'].map(async vm => createTestMesh(t, vm, {
		dial, entryVms: list.getStream(), heartbeatIntervalMs: 100,
	})));
	list.set(meshes.map((mesh, index) => createListedVm('kolkata', index === 0 ? 'a' : 'b', mesh.getAddress())));
	await Promise.all(meshes.map(async mesh => waitForMembers(mesh, ([member]) => member?.state === 'up')));
	for (const mesh of meshes) {
		const {messagesReceived} = mesh.getTraffic().control;
		await waitUntil(() => mesh.getTraffic().control.messagesReceived > messagesReceived + 20);
	}

	t.is(network.sockets.length, 2);
	t.is(network.sockets.filter(({destroyed}) => !destroyed).length, 1);
});

test('a seed that is an alias of a known address does not open a second link', async t => {
	const network = new FaultyNetwork();
	const first = await createTestMesh(t, 'a');
	const second = await createTestMesh(t, 'b', {
		seeds: ['192.0.2.1:1'],
		dial: async (address, signal) => network.dial(address === '192.0.2.1:1' ? first.getAddress() : address, signal),
	});
	await waitForState(second, 'a-1', 'up');
	const {messagesReceived} = second.getTraffic().control;
	await waitUntil(() => second.getTraffic().control.messagesReceived > messagesReceived + 20);
	t.is(network.sockets.length, 1);
});

test('logical time is sent with control messages, requests and answers', async t => {
	const logs = ['a', 'b'].map(process => new EventLog({process}));
	// Later than the clock time at which the logical times of the logs start.
	const future = 2 ** 52;
	let isReceived = false;
	const first = await createTestMesh(t, 'a', {
		events: logs[0],
		heartbeatIntervalMs: 60_000,
		onControl() {
			isReceived = true;
		},
		async onRequest() {
			logs[0]!.observeLogicalTime(future + 3);
			return logs[0]!.getLogicalTime();
		},
	});
	const second = await createTestMesh(t, 'b', {events: logs[1], heartbeatIntervalMs: 60_000, seeds: [first.getAddress()]});
	await waitForState(second, 'a-1', 'up');
	logs[1]!.observeLogicalTime(future + 1);
	second.sendControl('a-1', {topic: 'x', body: 1});
	await waitUntil(() => isReceived);
	t.is(logs[0]!.getLogicalTime(), future + 1);
	logs[1]!.observeLogicalTime(future + 2);
	t.like(await second.request('a-1', {topic: 'x', body: 1}), {kind: 'answered', body: future + 3});
	t.is(logs[1]!.getLogicalTime(), future + 3);
});

test('a peer that announces a longer heartbeat interval is not silent, and publishes a changed status immediately', async t => {
	let version = 1;
	const slow = await createTestMesh(t, 'a', {
		getHeartbeatIntervalTicks: () => 10, getHeartbeat: () => ({configurationVersion: version, isLeaving: false, load: undefined}),
	});
	const receivedVersions: number[] = [];
	const states = new Set<string>();
	const other = await createTestMesh(t, 'b', {
		seeds: [slow.getAddress()],
		onHeartbeat(body) {
			receivedVersions.push(body.configurationVersion);
		},
	});
	await waitForState(other, 'a-1', 'up');
	void other.getMemberStream().observe(members => {
		for (const {state} of members) {
			states.add(state);
		}
	});
	await waitUntil(() => receivedVersions.length >= 4);
	const before = receivedVersions.length;
	version = 2;
	await waitUntil(() => receivedVersions.includes(2));
	t.true(receivedVersions.length <= before + 2);
	t.deepEqual([...states], ['up']);
});
