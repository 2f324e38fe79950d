import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import test from 'ava';
import {encodeFrame} from '../../src/connection/frame-codec.js';
import {type LinkFault, type PeerMesh, type PeerMeshOptions} from '../../src/connection/index.js';
import {EventLog} from '../../src/process/events.js';
import {connectPeer, connectRaw, listenForPeers} from './raw-peer.js';
import {
	createTestMesh, type TestContext, waitForState, waitUntil,
} from './test-mesh.js';

/** Creates two linked entry VMs; the first one receives invalid input, and its link to the second must not be affected. */
async function createPair(t: TestContext, options: Partial<PeerMeshOptions> = {}): Promise<{readonly first: PeerMesh; readonly firstEvents: EventLog; readonly checkUndisturbed: () => boolean}> {
	const firstEvents = new EventLog({process: 'a'});
	const events = new EventLog({process: 'b'});
	const first = await createTestMesh(t, 'a', {events: firstEvents, onRequest: async ({body}) => body, ...options});
	const second = await createTestMesh(t, 'b', {seeds: [first.getAddress()], events});
	await waitForState(second, 'a-1', 'up');
	return {
		first,
		firstEvents,
		checkUndisturbed: () => second.getMembers()[0]?.state === 'up' && events.getEvents().every(({kind, subject}) => kind === 'peer-up' || subject !== 'a-1'),
	};
}

const badBytes: ReadonlyArray<readonly [string, Uint8Array, LinkFault]> = [
	['bytes that are not CBOR', Buffer.from([0, 0, 0, 3, 0xFF, 0xFF, 0xFF]), 'garbage'],
	['a message of an unknown type', encodeFrame({type: 'nonsense'}), 'garbage'],
	['a proof before the hello', encodeFrame({type: 'proof', mac: Buffer.alloc(32), lastLinkId: ''}), 'garbage'],
	['a frame over the limit', Buffer.from([0x7F, 0xFF, 0xFF, 0xFF]), 'frame-too-long'],
	['an HTTP request', Buffer.from('GET / HTTP/1.1\r\n\r\n'), 'frame-too-long'],
];

for (const [name, bytes, fault] of badBytes) {
	test(`${name} before the handshake closes the connection and is counted`, async t => {
		const {first, checkUndisturbed} = await createPair(t);
		const socket = await connectRaw(first.getAddress());
		socket.write(bytes);
		socket.resume();
		await once(socket, 'close');
		t.is(first.getTraffic().faults[fault], 1);
		t.true(checkUndisturbed());
	});
}

for (const kind of ['control', 'job'] as const) {
	test(`garbage, an oversized frame and a truncated one on a ${kind} connection close it and are counted`, async t => {
		const {first, checkUndisturbed} = await createPair(t);
		for (const [fault, bytes] of [['garbage', encodeFrame([1, 2])], ['frame-too-long', Buffer.from([0x7F, 0, 0, 0])]] as const) {
			const {connection, result} = await connectPeer(first.getAddress(), kind);
			t.true(result.ok);
			connection.send(bytes);
			while (await connection.receiveAll()) {
				// Reads until the other end closes.
			}

			t.is(first.getTraffic().faults[fault], 1);
		}

		const {connection} = await connectPeer(first.getAddress(), kind);
		connection.send(Buffer.from([0, 0, 0, 9, 1]));
		connection.closeAfterFlush();
		await waitUntil(() => first.getTraffic().faults.truncated === 1);
		t.true(checkUndisturbed());
	});
}

for (const [fault, options] of [['wrong-key', {key: 'another'}], ['wrong-deployment', {deployment: 'another'}]] as const) {
	test(`a peer with the ${fault} is rejected with a reason, counted and recorded as an event`, async t => {
		const {first, firstEvents, checkUndisturbed} = await createPair(t);
		const {result} = await connectPeer(first.getAddress(), 'control', options);
		t.like(result, {ok: false, reason: fault, isRejectedByPeer: true});
		t.is(first.getTraffic().faults[fault], 1);
		t.true(firstEvents.getEvents().some(({kind, detail}) => kind === 'peer-rejected' && detail === fault));
		t.true(checkUndisturbed());
	});
}

test('a peer with another protocol version is rejected', async t => {
	const {first} = await createPair(t);
	const socket = await connectRaw(first.getAddress());
	const hello = {
		type: 'hello', protocol: 99, deployment: 'test', kind: 'control', dataCenter: 'kolkata', vm: 'raw', id: 'raw-1', address: '127.0.0.1:1', challenge: Buffer.alloc(32),
	};
	socket.write(encodeFrame(hello));
	socket.resume();
	await once(socket, 'close');
	t.is(first.getTraffic().faults['wrong-protocol'], 1);
});

test('a listener with another key gets no link', async t => {
	const first = await createTestMesh(t, 'a', {key: 'another'});
	const second = await createTestMesh(t, 'b', {seeds: [first.getAddress()]});
	await waitUntil(() => (second.getTraffic().faults['wrong-key'] ?? 0) > 0);
	t.deepEqual(second.getMembers(), []);
});

test('a connection that sends nothing is closed after the timeout', async t => {
	const {first, checkUndisturbed} = await createPair(t, {connectTimeoutMs: 400});
	const socket = await connectRaw(first.getAddress());
	socket.resume();
	await once(socket, 'close');
	t.is(first.getTraffic().faults['handshake-timeout'], 1);
	t.true(checkUndisturbed());
});

test('connections beyond the limit on concurrent handshakes are closed immediately', async t => {
	const first = await createTestMesh(t, 'a', {maxHandshakes: 2, connectTimeoutMs: 60_000});
	const sockets = await Promise.all([1, 2, 3].map(async () => connectRaw(first.getAddress())));
	await waitUntil(() => first.getTraffic().faults['too-many-handshakes'] === 1);
	t.is(sockets.length, 3);
	for (const socket of sockets) {
		socket.destroy();
	}
});

test('a control message that is received again over a new connection is not handled again', async t => {
	const received: unknown[] = [];
	const first = await createTestMesh(t, 'a', {
		onControl({body}) {
			received.push(body);
		},
	});
	for (const bodies of [[1, 2], [1, 2, 3]]) {
		const {connection} = await connectPeer(first.getAddress(), 'control');
		connection.send(encodeFrame({type: 'start', received: 0, addresses: []}));
		for (const body of bodies) {
			connection.send(encodeFrame({
				type: 'data', number: body, logicalTime: 0, topic: 'x', body,
			}));
		}

		await waitUntil(() => received.length === bodies.length);
	}

	t.deepEqual(received, [1, 2, 3]);
	t.is(first.getTraffic().faults['duplicate-message'], 2);
});

test('a request that is received again over a new connection is not handled again', async t => {
	let count = 0;
	const first = await createTestMesh(t, 'a', {
		async onRequest() {
			count++;
		},
	});
	const request = encodeFrame({
		type: 'request', id: 1, logicalTime: 0, topic: 'x', size: 1, part: Buffer.from([1]),
	});
	const isHandled = (): boolean => count === 1;
	const isRefused = (): boolean => first.getTraffic().faults['duplicate-request'] === 1;
	for (const isDone of [isHandled, isRefused]) {
		const {connection} = await connectPeer(first.getAddress(), 'job');
		connection.send(request);
		await waitUntil(isDone);
		connection.close();
	}

	t.is(count, 1);
});

test('of two links, the one dialled by the incarnation with the lower identifier stays', async t => {
	const mesh = await createTestMesh(t, 'm', {seeds: [await listenForPeers(t)], missedHeartbeatsUntilSilent: 1_000_000, missedHeartbeatsUntilDown: 2_000_000});
	await waitForState(mesh, 'raw-1', 'up');
	const {result} = await connectPeer(mesh.getAddress(), 'control');
	t.like(result, {ok: false, reason: 'duplicate', isRejectedByPeer: true});
	t.is(mesh.getMembers()[0]?.state, 'up');
});
