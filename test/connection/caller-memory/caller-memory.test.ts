import {type Socket} from 'node:net';
import test from 'ava';
import {CallerMemory, type CallerMemoryOptions, getCallerBounds} from '../../../src/connection/index.js';
import {ManualClock} from '../../../src/testing/index.js';

/** A connection whose counters a test sets. */
class FakeSocket {
	bytesRead = 0;
	bytesWritten = 0;
	writableLength = 0;
	written = '';
	isClosed = false;
	isPaused = false;

	constructor(readonly remoteAddress: string) {/* The address is all that is given. */}

	pause(): void {
		this.isPaused = true;
	}

	write(text: string): void {
		this.written += text;
	}

	resume(): this {
		this.isPaused = false;
		return this;
	}

	destroySoon(): void {
		this.isClosed = true;
	}

	destroy(): void {
		this.isClosed = true;
	}
}

class FakeBody {
	received = 0;
	refusal = '';

	getReceived(): number {
		return this.received;
	}

	refuse(cause: string): void {
		this.refusal = cause;
	}
}

function setUp(options: Partial<CallerMemoryOptions> = {}) {
	const clock = new ManualClock();
	const memory = new CallerMemory({
		clock, maxHeldBytes: 1_000_000, maxConnections: 100, ...options,
	});
	const connect = (address = '10.0.0.1') => {
		const fake = new FakeSocket(address);
		const socket = fake as unknown as Socket;
		memory.addConnection(socket);
		return {fake, socket};
	};

	const addBody = (socket: Socket, bytes: number) => {
		const body = new FakeBody();
		const connection = memory.getConnection(socket)!;
		memory.beginRequest(socket);
		memory.setBody(connection, body);
		body.received = bytes;
		memory.setBodyBytes(connection, bytes);
		return {body, connection};
	};

	return {
		clock, memory, connect, addBody,
	};
}

test('the account returns to what it was when bodies end and connections close', t => {
	const {memory, connect, addBody} = setUp();
	const {socket} = connect();
	const {connection} = addBody(socket, 5000);
	const held = memory.getCounters().heldBytes;
	memory.setBody(connection, undefined);
	t.is(memory.getCounters().heldBytes, held - 5000);
	addBody(socket, 7000);
	memory.removeConnection(socket);
	memory.setBody(connection, undefined);
	t.is(memory.getCounters().heldBytes, 0);
});

test('an exhausted account refuses incomplete bodies until an eighth is free, and whole requests wait for their answers', t => {
	const {memory, connect, addBody} = setUp();
	const waiting = connect();
	memory.beginRequest(waiting.socket);
	const bodies = Array.from({length: 12}, () => addBody(connect().socket, 90_000).body);
	t.true(memory.getCounters().heldBytes <= 1_000_000);
	t.true(bodies.some(({refusal}) => refusal === 'memory'));
	t.true(bodies.some(({refusal}) => refusal === ''));
	t.false(waiting.fake.isClosed);
});

test('whole requests are counted, and incomplete ones are refused in their favour', t => {
	const {memory, connect, addBody} = setUp();
	const {body} = addBody(connect().socket, 500_000);
	memory.addWholeBytes(600_000);
	t.is(body.refusal, 'memory');
	t.false(memory.isFull());
	memory.addWholeBytes(300_000);
	t.false(memory.isFull());
	memory.addWholeBytes(100_000);
	t.true(memory.isFull());
});

// Guards against bodies that grow without a bound while whole requests exhaust the account.
test('incomplete bodies are refused although whole requests alone exhaust the account', t => {
	const {memory, connect, addBody} = setUp();
	memory.addWholeBytes(2_000_000);
	const bodies = Array.from({length: 20}, () => addBody(connect().socket, 90_000).body);
	t.true(bodies.filter(({refusal}) => refusal === '').length <= 2);
	t.true(memory.getCounters().heldBytes < 2_400_000);
});

test('unfinished heads and unread answers are counted, and refused with an answer where none is under way', async t => {
	const {clock, memory, connect} = setUp({maxHeldBytes: 50_000});
	const head = connect();
	const before = memory.getCounters().heldBytes;
	head.fake.bytesRead = 12_000;
	await clock.advance(300);
	t.is(memory.getCounters().heldBytes, before + 12_000);
	const reader = connect();
	reader.fake.bytesWritten = 60_000;
	reader.fake.writableLength = 60_000;
	await clock.advance(300);
	t.true(reader.fake.isClosed);
	t.is(reader.fake.written, '');
	head.fake.bytesRead = 60_000;
	await clock.advance(300);
	t.regex(head.fake.written, /^HTTP\/1.1 503 .*Retry-After/sv);
	memory.close();
});

test('new connections take the place of silent ones when the bound is near', t => {
	const {memory, connect} = setUp({maxConnections: 32});
	const busy = connect();
	memory.beginRequest(busy.socket);
	const silent = Array.from({length: 40}, () => connect().fake);
	t.true(silent.filter(({isClosed}) => !isClosed).length <= 29);
	t.false(busy.fake.isClosed);
	t.is(memory.getCounters().refused.connections, silent.filter(({isClosed}) => isClosed).length);
});

test('a body without progress or below the minimum rate is given up, and one that arrives steadily is not', async t => {
	const {clock, memory, connect, addBody} = setUp({stallTimeoutMs: 5000});
	const stalled = addBody(connect().socket, 10).body;
	const slow = addBody(connect().socket, 10).body;
	const steady = addBody(connect().socket, 10).body;
	for (let seconds = 0; seconds < 60; seconds++) {
		await clock.advance(1000);
		slow.received++;
		steady.received += 1100;
	}

	t.deepEqual([stalled.refusal, slow.refusal, steady.refusal], ['slow-body', 'slow-body', '']);
	memory.close();
});

test('a connection with too many unanswered requests is closed, and answered ones do not count', t => {
	const {memory, connect} = setUp();
	const {fake, socket} = connect();
	for (let count = 0; count < 1000; count++) {
		t.true(memory.beginRequest(socket));
		memory.endRequest(socket);
	}

	for (let count = 0; count < 64; count++) {
		t.true(memory.beginRequest(socket));
	}

	t.false(memory.beginRequest(socket));
	t.true(fake.isClosed);
});

// Guards against bodies in small chunks whose number grows with that of their senders, and against senders who stop short of the end and keep others out.
test('of too many bodies in small chunks the last is refused, or one that has made no progress', async t => {
	const {clock, memory, connect, addBody} = setUp({fragmentedBodies: {maxCount: 2}});
	const bodies = ['a', 'b', 'c', 'd'].map(address => addBody(connect(address).socket, 1000));
	const add = (position: number): void => {
		memory.addFragmentedBody(bodies[position]!.connection);
	};

	add(0);
	add(1);
	add(1);
	add(2);
	t.deepEqual(bodies.map(({body}) => body.refusal), ['', '', 'small-chunks', '']);
	for (let count = 0; count < 8; count++) {
		bodies[1]!.body.received++;
		await clock.advance(250);
	}

	add(3);
	t.deepEqual(bodies.map(({body}) => body.refusal), ['small-chunks', '', 'small-chunks', '']);
	t.is(memory.getCounters().refused['small-chunks'], 2);
	memory.setBody(bodies[1]!.connection, undefined);
	const next = addBody(connect('e').socket, 1000);
	memory.addFragmentedBody(next.connection);
	t.is(next.body.refusal, '');
});

test('refusals are reported at most once a second, with counts', async t => {
	const reports: unknown[] = [];
	const {clock, memory, connect} = setUp({
		maxConnections: 16, onRefused(counts) {
			reports.push(counts);
		},
	});
	for (let count = 0; count < 30; count++) {
		connect();
		await clock.advance(100);
	}

	await clock.advance(1000);
	t.true(reports.length <= 5);
	t.is(reports.reduce((sum: number, counts) => sum + (counts as {connections: number}).connections, 0), memory.getCounters().refused.connections);
	memory.close();
});

test('connections of one IPv6 network count as one caller', t => {
	const {memory, connect} = setUp();
	const addresses = ['2001:db8:1:2::1', '2001:db8:1:2:3:4:5:6', '2001:db8::1', '::ffff:10.0.0.1', '::1'].map(address => memory.getConnection(connect(address).socket)!.address);
	t.deepEqual(addresses, ['2001:db8:1:2', '2001:db8:1:2', '2001:db8:0:0', '::ffff:10.0.0.1', '0:0:0:0']);
});

test('the bounds follow from the size of the VM', t => {
	// A quarter of the memory holds the receive buffers of all connections, accepted or not.
	t.deepEqual(getCallerBounds({memoryMb: 210, maxDescriptors: 2212}), {maxHeldBytes: 27_525_120, maxConnections: 210, maxQueuedConnections: 210});
	t.deepEqual(getCallerBounds({memoryMb: 4096, maxDescriptors: 2212}), {maxHeldBytes: 536_870_912, maxConnections: 1006, maxQueuedConnections: 511});
	t.deepEqual(getCallerBounds({}), {maxHeldBytes: 67_108_864, maxConnections: 10_000, maxQueuedConnections: 511});
	t.is(getCallerBounds({maxDescriptors: 10}).maxConnections, 16);
});
