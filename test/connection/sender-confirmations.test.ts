/**
 * What an entry VM knows of the senders of the requests that it received: bytes that waited in a buffer do not show that a sender still waits.
 */
import test from 'ava';
import {
	decodeValue, encodeFrame, encodeValue, frameHeaderBytes,
} from '../../src/connection/frame-codec.js';
import {type FrameConnection} from '../../src/connection/frame-connection.js';
import {
	createImmediateProgress, EventLoopProgress, type InputProgress, type SenderConfirmation,
} from '../../src/connection/index.js';
import {JobClient} from '../../src/connection/job-client.js';
import {decodeJobMessage} from '../../src/connection/job-messages.js';
import {JobServer} from '../../src/connection/job-server.js';
import {MemberRecord} from '../../src/connection/member-record.js';
import {ManualClock, ManualEventLoop} from '../../src/testing/index.js';

type Message = Readonly<Record<string, unknown>> & {readonly type: string; readonly stamp?: number; readonly echo?: number};

/** Connection that takes the frames of one end and delivers those of the test. */
class FakeConnection {
	readonly sent: Message[] = [];
	readonly #clock: ManualClock;
	#isClosed = false;
	#lastReceived = 0;
	#receive: ((payloads: readonly Uint8Array[] | undefined) => void) | undefined;

	constructor(clock: ManualClock) {
		this.#clock = clock;
	}

	async receiveAll(): Promise<readonly Uint8Array[] | undefined> {
		if (this.#isClosed) {
			return undefined;
		}

		return new Promise(resolve => {
			this.#receive = resolve;
		});
	}

	send(frame: Uint8Array): void {
		if (!this.#isClosed) {
			this.sent.push((decodeValue(frame.subarray(frameHeaderBytes)) as {readonly value: Message}).value);
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#receive?.(undefined);
	}

	isClosed(): boolean {
		return this.#isClosed;
	}

	getLastReceived(): number {
		return this.#lastReceived;
	}

	getBufferedBytes(): number {
		return 0;
	}

	addDrainCallback(): void {/* Nothing is ever buffered. */}

	async deliver(...messages: readonly Message[]): Promise<void> {
		this.#lastReceived = this.#clock.getMonotonicTime();
		this.#receive?.(messages.map(message => encodeFrame(message).subarray(frameHeaderBytes)));
		await this.#clock.advance(0);
	}
}

const linkOptions = {
	maxBodyBytes: 1000, silenceMs: 500, getLogicalTime: () => 0, onLogicalTime() {/* Not tested here. */}, onFault() {/* Not tested here. */},
};

function createServer({areAnswered = false} = {}) {
	const clock = new ManualClock();
	const connection = new FakeConnection(clock);
	const confirmations: SenderConfirmation[] = [];
	const server = new JobServer({
		...linkOptions,
		clock,
		connection: connection as unknown as FrameConnection,
		record: new MemberRecord({dataCenter: 'dc1', vm: 'vm-1', id: 'vm-1-1'}, '127.0.0.1:1', {now: 0, maxBufferBytes: 1000, maxFrameBytes: 1000}),
		async onRequest(_request, _from, _signal, confirmation) {
			confirmations.push(confirmation);
			return areAnswered ? {} : new Promise(() => {/* The request stays in progress. */});
		},
	});
	void server.run();
	return {
		clock, connection, server, confirmations,
	};
}

function createRequest(id: number, echo?: number, ageMs?: number): Message {
	const body = encodeValue({});
	return {
		type: 'request', id, logicalTime: 0, topic: 'any', size: body.length, part: body, ...(echo === undefined ? {} : {echo}), ...(ageMs === undefined ? {} : {ageMs}),
	};
}

function createClient(createProgress: (clock: ManualClock) => InputProgress = createImmediateProgress): {readonly clock: ManualClock; readonly connection: FakeConnection; readonly client: JobClient} {
	const clock = new ManualClock();
	const connection = new FakeConnection(clock);
	const client = new JobClient({
		...linkOptions,
		clock,
		inputProgress: createProgress(clock),
		connect: async () => ({ok: true, connection: connection as unknown as FrameConnection}),
		getTimeoutFactor: () => 1,
		idleMs: 10_000,
	});
	return {clock, connection, client};
}

test('bytes that a sender sent before it gave up do not confirm that it waits', async t => {
	const {clock, connection, server, confirmations} = createServer();
	await clock.advance(600);
	server.tick(600);
	t.like(connection.sent, [{type: 'keep-alive', stamp: 600}]);
	await connection.deliver(createRequest(1, 600));
	t.is(confirmations[0]!.getConfirmedAt(), 600);
	await clock.advance(900);
	await connection.deliver({type: 'keep-alive', echo: 600}, createRequest(2, 600));
	t.is(confirmations[0]!.getConfirmedAt(), 600);
	t.is(confirmations[1]!.getConfirmedAt(), 600);
});

test('a sender confirms that it waits when it is asked', async t => {
	const {clock, connection, confirmations} = createServer();
	await clock.advance(700);
	await connection.deliver(createRequest(1, 0));
	t.is(confirmations[0]!.getConfirmedAt(), 0);
	let isConfirmed = false;
	void (async () => {
		await Promise.all([confirmations[0]!.requestConfirmation(), confirmations[0]!.requestConfirmation()]);
		isConfirmed = true;
	})();

	await clock.advance(5);
	t.deepEqual(connection.sent, [{type: 'keep-alive', stamp: 700, isUrgent: true}]);
	t.false(isConfirmed);
	await connection.deliver({type: 'keep-alive', echo: 700});
	t.true(isConfirmed);
	t.is(confirmations[0]!.getConfirmedAt(), 700);
});

test('an echo of a stamp that was never sent confirms nothing', async t => {
	const {clock, connection, confirmations} = createServer();
	await clock.advance(100);
	await connection.deliver(createRequest(1, 0), {type: 'keep-alive', echo: 5000});
	t.is(confirmations[0]!.getConfirmedAt(), 0);
});

test('waits for a confirmation end with the connection', async t => {
	const {clock, connection, confirmations} = createServer();
	await connection.deliver(createRequest(1, 0));
	const waits = [confirmations[0]!.requestConfirmation()];
	connection.close();
	await clock.advance(0);
	await Promise.all([...waits, confirmations[0]!.requestConfirmation()]);
	t.is(connection.sent.length, 1);
});

test('during an upgrade, a sender of the earlier version counts as waiting when it was last heard', async t => {
	const {clock, connection, confirmations} = createServer();
	await clock.advance(300);
	await connection.deliver(createRequest(1));
	t.is(confirmations[0]!.getConfirmedAt(), 300);
	const wait = confirmations[0]!.requestConfirmation();
	await clock.advance(200);
	await connection.deliver({type: 'keep-alive'});
	await wait;
	t.is(confirmations[0]!.getConfirmedAt(), 500);
});

test('a sender echoes an urgent stamp immediately and the last stamp with whatever it sends, and nothing once it has given up', async t => {
	const {clock, connection, client} = createClient();
	void client.request({topic: 'first', body: 0});
	await clock.advance(0);
	await connection.deliver({type: 'keep-alive', stamp: 10_000});
	t.like(connection.sent, [{type: 'request', echo: 0}]);
	void client.request({topic: 'second', body: 0});
	await clock.advance(200);
	client.tick(200);
	t.like(connection.sent.slice(1), [{type: 'request', echo: 10_000}, {type: 'keep-alive', echo: 10_000}]);
	await connection.deliver({type: 'keep-alive', stamp: 10_100, isUrgent: true});
	t.deepEqual(connection.sent.slice(3), [{type: 'keep-alive', echo: 10_100}]);
	await clock.advance(2000);
	client.tick(2200);
	t.true(connection.isClosed());
	await connection.deliver({type: 'keep-alive', stamp: 12_000, isUrgent: true});
	t.is(connection.sent.length, 4);
});

// Guards against double runs: a task in another pool went on for its borrower, although the sender of the job had gone.
test('a request that is made for another process is confirmed only as far as that one was', async t => {
	const {clock, connection, server, confirmations} = createServer();
	await clock.advance(600);
	server.tick(600);
	await connection.deliver(createRequest(1, 600), createRequest(2, 600));
	await clock.advance(400);
	server.tick(1000);
	await connection.deliver({type: 'keep-alive', echo: 1000, ages: [[1, 450]]});
	t.deepEqual(confirmations.map(confirmation => confirmation.getConfirmedAt()), [550, 1000]);
	await clock.advance(200);
	server.tick(1200);
	// A new request reports its own age, and what is known of the others stays.
	await connection.deliver(createRequest(3, 1200, 300));
	t.deepEqual(confirmations.map(confirmation => confirmation.getConfirmedAt()), [550, 1200, 900]);
	await clock.advance(100);
	server.tick(1400);
	await connection.deliver({type: 'keep-alive', echo: 1300});
	t.deepEqual(confirmations.map(confirmation => confirmation.getConfirmedAt()), [1300, 1300, 1300]);
});

test('a cancelled request is not confirmed by later echoes of its connection', async t => {
	const {clock, connection, server, confirmations} = createServer();
	await clock.advance(600);
	server.tick(600);
	await connection.deliver(createRequest(1, 600), createRequest(2, 600));
	await connection.deliver({type: 'cancel', id: 1});
	await clock.advance(400);
	server.tick(1000);
	await connection.deliver({type: 'keep-alive', echo: 1000});
	t.deepEqual(confirmations.map(confirmation => confirmation.getConfirmedAt()), [600, 1000]);
});

test('a sender reports the ages of the confirmations for which its requests wait', async t => {
	const {clock, connection, client} = createClient();
	void client.request({topic: 'own', body: 0});
	void client.request({topic: 'fresh', body: 0}, undefined, {getConfirmedAt: () => clock.getMonotonicTime() - 100});
	void client.request({topic: 'stale', body: 0}, undefined, {getConfirmedAt: () => 0});
	void client.request({topic: 'unknown', body: 0}, undefined, {getConfirmedAt: () => -Infinity});
	await clock.advance(300);
	await connection.deliver({type: 'keep-alive', stamp: 10_000, isUrgent: true});
	t.deepEqual(connection.sent.at(-1), {type: 'keep-alive', echo: 10_000, ages: [[2, 100], [3, 300], [4, 1_000_000]]});
	void client.request({topic: 'late', body: 0}, undefined, {getConfirmedAt: () => 0});
	const {ageMs} = connection.sent.at(-1)!;
	t.is(ageMs, 300);
});

test('ages that cannot be read make a message invalid', t => {
	t.is(decodeJobMessage(encodeFrame({...createRequest(1, 1), ageMs: -1}).subarray(frameHeaderBytes)), undefined);
	for (const ages of [{}, [[1]], [[1, -1]], [['1', 1]], [[1, Number.NaN]], [1]]) {
		t.is(decodeJobMessage(encodeFrame({type: 'keep-alive', echo: 1, ages}).subarray(frameHeaderBytes)), undefined);
	}
});

test('an answer carries a stamp, and replaces a keep-alive once the sender echoes such stamps', async t => {
	const {clock, connection, server, confirmations} = createServer({areAnswered: true});
	await clock.advance(600);
	await connection.deliver(createRequest(1, 0));
	t.like(connection.sent, [{type: 'answer', id: 1, stamp: 600}]);
	server.tick(600);
	t.like(connection.sent.slice(1), [{type: 'keep-alive', stamp: 600}]);
	await clock.advance(450);
	await connection.deliver(createRequest(2, 600));
	t.is(confirmations[1]!.getConfirmedAt(), 600);
	await clock.advance(100);
	await connection.deliver(createRequest(3, 1050));
	t.is(confirmations[2]!.getConfirmedAt(), 1050);
	t.is(connection.sent.length, 4);
	server.tick(1150);
	await clock.advance(400);
	server.tick(1550);
	t.is(connection.sent.length, 4);
	await clock.advance(100);
	server.tick(1650);
	t.like(connection.sent.slice(4), [{type: 'keep-alive', stamp: 1650}]);
});

test('during an upgrade, answers replace no keep-alives to a sender of the earlier version, which echoes only the stamps of keep-alives', async t => {
	const {clock, connection, server} = createServer({areAnswered: true});
	await clock.advance(600);
	server.tick(600);
	let id = 0;
	for (let now = 700; now <= 2700; now += 100) {
		await clock.advance(100);
		const echo = connection.sent.findLast(({type}) => type === 'keep-alive')?.stamp;
		await connection.deliver(createRequest(++id, echo));
		server.tick(now);
	}

	t.is(connection.sent.filter(({type}) => type === 'keep-alive').length, 5);
});

test('a sender echoes the stamps of answers, and a request replaces a keep-alive unless ages must be reported', async t => {
	const {clock, connection, client} = createClient();
	const answer = encodeValue({});
	void client.request({topic: 'first', body: 0});
	await clock.advance(0);
	await connection.deliver({
		type: 'answer', id: 1, logicalTime: 0, stamp: 10_000, size: answer.length, part: answer,
	});
	await clock.advance(100);
	void client.request({topic: 'second', body: 0});
	client.tick(100);
	t.like(connection.sent, [{type: 'request', echo: 0}, {type: 'request', echo: 10_000}]);
	await clock.advance(100);
	client.tick(200);
	t.is(connection.sent.length, 2);
	await clock.advance(100);
	client.tick(300);
	t.like(connection.sent.slice(2), [{type: 'keep-alive', echo: 10_000}]);
	void client.request({topic: 'lent', body: 0}, undefined, {getConfirmedAt: () => 0});
	await clock.advance(200);
	void client.request({topic: 'third', body: 0});
	client.tick(500);
	t.like(connection.sent.slice(3), [{type: 'request'}, {type: 'request'}, {type: 'keep-alive', echo: 10_000, ages: [[3, 500]]}]);
});

test('the ages in a keep-alive count although a request has echoed its stamp before', async t => {
	const {clock, connection, server, confirmations} = createServer();
	await clock.advance(1000);
	server.tick(1000);
	await connection.deliver(createRequest(1, 1000, 0));
	await clock.advance(400);
	server.tick(1400);
	await connection.deliver(createRequest(2, 1400));
	t.deepEqual(confirmations.map(confirmation => confirmation.getConfirmedAt()), [1000, 1400]);
	await connection.deliver({type: 'keep-alive', echo: 1400, ages: [[1, 100]]});
	t.deepEqual(confirmations.map(confirmation => confirmation.getConfirmedAt()), [1300, 1400]);
});

test('a request for a process that waits at its sender reports an age, so that later ones of the process count', async t => {
	const {clock, connection, client} = createClient();
	void client.request({topic: 'lent', body: 0}, undefined, {getConfirmedAt: () => Infinity});
	await clock.advance(0);
	t.like(connection.sent, [{type: 'request', ageMs: 0}]);
});

// Guards against double runs: a sender that was held between two reads confirmed that callers wait whose connections had ended before the stamp came.
test('a sender echoes a stamp only once it has read what had arrived before', async t => {
	const loop = new ManualEventLoop();
	const {clock, connection, client} = createClient(createdClock => new EventLoopProgress({clock: createdClock, callAfterPoll: loop.callAfterPoll, refreshMs: 1e9}));
	const runTurns = async (): Promise<void> => {
		for (let turn = 0; turn < 3; turn++) {
			await loop.runTurn();
		}
	};

	const caller = new AbortController();
	void client.request({topic: 'any', body: 0}, caller.signal);
	void client.request({topic: 'any', body: 0});
	await clock.advance(0);
	t.is(connection.sent.length, 0);
	await runTurns();
	t.deepEqual(connection.sent.map(({type}) => type), ['request', 'request']);

	// The end of a caller's connection has arrived by now and is not read yet.
	await clock.advance(700);
	await connection.deliver({type: 'keep-alive', stamp: 9000, isUrgent: true});
	client.tick(700);
	void client.request({topic: 'any', body: 0});
	await clock.advance(0);
	t.like(connection.sent.at(-1), {type: 'request', id: 3, echo: 0});
	await loop.runTurn();
	await loop.runTurn(() => {
		caller.abort();
	});
	t.like(connection.sent.at(-1), {type: 'cancel', id: 1});
	await loop.runTurn();
	t.like(connection.sent.at(-1), {type: 'keep-alive', echo: 9000});
	t.is(connection.sent.filter(({echo}) => echo === 9000).length, 1);
});

test('a sender that gets stamps faster than it reads still echoes some', async t => {
	const loop = new ManualEventLoop();
	const {clock, connection, client} = createClient(createdClock => new EventLoopProgress({clock: createdClock, callAfterPoll: loop.callAfterPoll, refreshMs: 1e9}));
	void client.request({topic: 'any', body: 0});
	for (let turn = 0; turn < 30; turn++) {
		await clock.advance(1);
		await loop.runTurn();
		await connection.deliver({type: 'keep-alive', stamp: 1000 + turn, isUrgent: true});
	}

	const echoes = connection.sent.filter(({type}) => type === 'keep-alive').map(({echo}) => echo!);
	t.true(echoes.length > 5);
	t.true(echoes.at(-1)! >= 1010);
	t.deepEqual(echoes, echoes.toSorted((a, b) => a - b));
});

test('an urgent stamp that comes while an earlier one waits for its echo is echoed without another keep-alive', async t => {
	const loop = new ManualEventLoop();
	const {clock, connection, client} = createClient(createdClock => new EventLoopProgress({clock: createdClock, callAfterPoll: loop.callAfterPoll, refreshMs: 1e9}));
	void client.request({topic: 'any', body: 0});
	for (const stamp of [100, 200]) {
		await clock.advance(1);
		await loop.runTurn();
		await loop.runTurn();
		await loop.runTurn();
		await connection.deliver({type: 'keep-alive', stamp, isUrgent: true});
		await clock.advance(1);
		await loop.runTurn();
		await connection.deliver({type: 'keep-alive', stamp: stamp + 1, isUrgent: true});
		for (let turn = 0; turn < 6; turn++) {
			await clock.advance(1);
			await loop.runTurn();
		}

		t.like(connection.sent.at(-1), {type: 'keep-alive', echo: stamp + 1});
	}
});
