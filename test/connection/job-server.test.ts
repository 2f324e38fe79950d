import test from 'ava';
import {type FrameConnection} from '../../src/connection/frame-connection.js';
import {encodeFrame, encodeValue} from '../../src/connection/frame-codec.js';
import {JobServer} from '../../src/connection/job-server.js';
import {MemberRecord} from '../../src/connection/member-record.js';
import {ManualClock} from '../../src/testing/index.js';

const silenceMs = 500;
/** Size of the length prefix of a frame, in bytes. */
const headerBytes = 4;

function createFixture() {
	const clock = new ManualClock();
	const state = {
		isClosed: false, lastReceived: 0, aborted: 0, requests: 0,
	};
	let receive: (payloads: readonly Uint8Array[] | undefined) => void = () => {/* The server has not started to read. */};
	const connection: Pick<FrameConnection, 'receiveAll' | 'send' | 'close' | 'getLastReceived' | 'getBufferedBytes' | 'addDrainCallback'> = {
		receiveAll: async () => new Promise(resolve => {
			receive = resolve;
		}),
		send() {/* Sent frames are ignored. */},
		close() {
			state.isClosed = true;
			receive(undefined);
		},
		getLastReceived: () => state.lastReceived,
		getBufferedBytes: () => 0,
		addDrainCallback() {/* Nothing is ever buffered. */},
	};
	const server = new JobServer({
		clock,
		connection: connection as FrameConnection,
		record: new MemberRecord({dataCenter: 'dc1', vm: 'vm-1', id: 'vm-1-1'}, '127.0.0.1:1', {now: 0, maxBufferBytes: 1000, maxFrameBytes: 1000}),
		async onRequest(_request, _from, signal) {
			state.requests++;
			return new Promise(() => {
				signal.addEventListener('abort', () => {
					state.aborted++;
				});
			});
		},
		maxBodyBytes: 1000,
		silenceMs,
		getLogicalTime: () => 0,
		onLogicalTime() {/* Not tested here. */},
		onFault() {/* Not tested here. */},
	});
	void server.run();
	return {
		clock, server, state,
		async receiveRequest(id: number) {
			const body = encodeValue({});
			state.lastReceived = clock.getMonotonicTime();
			receive([encodeFrame({
				type: 'request', id, logicalTime: 0, topic: 'any', size: body.length, part: body,
			}).subarray(headerBytes)]);
			await clock.advance(0);
		},
	};
}

test('a request received after a long silence is not handled', async t => {
	const {clock, state, receiveRequest} = createFixture();
	await clock.advance(600);
	await receiveRequest(1);
	t.is(state.requests, 1);
	await clock.advance(1700);
	await receiveRequest(2);
	t.is(state.requests, 1);
	t.true(state.isClosed);
	t.is(state.aborted, 1);
});

test('the request of a silent peer is aborted after the silence timeout, also for a new member', async t => {
	const {clock, server, state, receiveRequest} = createFixture();
	await receiveRequest(1);
	for (let waitedMs = 0; waitedMs <= silenceMs; waitedMs += 100) {
		await clock.advance(100);
		server.tick(clock.getMonotonicTime());
	}

	await clock.advance(0);
	t.is(state.aborted, 1);
});

test('the connection of an unreachable peer is closed although each tick of this process is late', async t => {
	const {clock, server, state, receiveRequest} = createFixture();
	await receiveRequest(1);
	for (let waitedMs = 0; waitedMs < 3000; waitedMs += 250) {
		await clock.advance(250);
		// Same calls as by PeerMesh at a tick that is 150 ms late.
		server.resetSilenceTimer();
		server.tick(clock.getMonotonicTime());
	}

	t.true(state.isClosed);
});
