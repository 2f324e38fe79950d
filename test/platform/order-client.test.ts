import {once} from 'node:events';
import {createServer, type RequestListener, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {type JsonOutcome} from '../../src/platform/json-client.js';
import {OrderClient} from '../../src/platform/order-client.js';
import {type Clock} from '../../src/seams/index.js';

type TestTimer = {readonly callback: () => void; readonly dueAt: number};

/** Clock whose timers fire when the test says so, with any delay. */
class TestClock implements Clock {
	now = 0;
	timerCount = 0;
	readonly #timers = new Set<TestTimer>();

	getTime(): number {
		return this.now;
	}

	getMonotonicTime(): number {
		return this.now;
	}

	setTimer(callback: () => void, delayMs: number): {close: () => void} {
		const timer = {callback, dueAt: this.now + delayMs};
		this.timerCount++;
		this.#timers.add(timer);
		return {
			close: () => {
				this.#timers.delete(timer);
			},
		};
	}

	setRepeatingTimer(): {close: () => void} {
		throw new Error('not used');
	}

	/** Sets the time and calls the timers that are due. */
	advanceTo(now: number): void {
		this.now = now;
		for (const timer of this.#timers) {
			if (timer.dueAt <= now) {
				this.#timers.delete(timer);
				timer.callback();
			}
		}
	}
}

type Fixture = {
	readonly clock: TestClock;
	readonly server: Server;
	/** Connections in the order of their arrival. */
	readonly sockets: Socket[];
	readonly client: OrderClient;
	readonly call: (timeoutMs?: number, isRepeatable?: boolean) => Promise<JsonOutcome>;
};

async function createFixture(t: ExecutionContext, listener: RequestListener): Promise<Fixture> {
	const server = createServer({keepAliveTimeout: 5000}, listener).listen({host: '127.0.0.1', port: 0});
	await once(server, 'listening');
	const sockets: Socket[] = [];
	server.on('connection', socket => {
		sockets.push(socket);
	});
	const clock = new TestClock();
	const client = new OrderClient({
		clock, maxConnections: 4, connectTimeoutMs: 250, idleMs: 30_000, maxAnswerBytes: 1000,
	});
	t.teardown(() => {
		client.close();
		server.closeAllConnections();
		server.close();
	});
	return {
		clock, server, sockets, client,
		call: async (timeoutMs = 150, isRepeatable = false) => client.call({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`, path: '/x', headers: 'A: b\r\n', body: {text: '\u00E9'}, timeoutMs, isRepeatable,
		}),
	};
}

/** Answers each request with what it received. */
const echo: RequestListener = (req, res) => {
	let text = '';
	req.setEncoding('utf8').on('data', (chunk: string) => {
		text += chunk;
	}).on('end', () => {
		res.end(JSON.stringify({
			url: req.url, method: req.method, a: req.headers.a, type: req.headers['content-type'], text,
		}));
	});
};

test('a call sends its path, headers and body, and one connection serves calls in sequence', async t => {
	const {call, sockets} = await createFixture(t, echo);
	for (const isRepeatable of [false, true, false, true]) {
		t.deepEqual(await call(150, isRepeatable), {
			kind: 'answered', status: 200,
			body: {
				url: '/x', method: 'POST', a: 'b', type: 'application/json', text: '{"text":"\u00E9"}',
			},
		});
	}

	t.is(sockets.length, 1);
});

test('concurrent calls share a timer, and at most four connections', async t => {
	const {call, sockets, clock} = await createFixture(t, echo);
	const outcomes = await Promise.all(Array.from({length: 12}, async () => call()));
	t.true(outcomes.every(({kind}) => kind === 'answered'));
	t.is(sockets.length, 4);
	t.is(clock.timerCount, 1);
});

test('a call ends at its time limit, not before it, and its connection is closed', async t => {
	const {call, server, sockets, clock} = await createFixture(t, () => {/* Never answers. */});
	const outcomes: JsonOutcome[] = [];
	const pending = [150, 200].map(async timeoutMs => {
		outcomes.push(await call(timeoutMs));
	});
	await once(server, 'request');
	await once(server, 'request');
	clock.advanceTo(149);
	await Promise.resolve();
	t.is(outcomes.length, 0);
	clock.advanceTo(150);
	await pending[0];
	t.deepEqual(outcomes, [{
		kind: 'unanswered', detail: 'no answer in time', status: undefined, isRefused: false,
	}]);
	clock.advanceTo(200);
	await pending[1];
	t.is(outcomes.length, 2);
	await Promise.all(sockets.map(async socket => socket.destroyed || once(socket, 'close')));
});

test('a process whose timers are late reads a received answer before it ends the call', async t => {
	let answer: (() => void) | undefined;
	const {call, server, clock} = await createFixture(t, (req, res) => {
		answer = () => {
			res.end('{}');
		};
	});
	const outcome = call();
	await once(server, 'request');
	clock.advanceTo(400);
	answer!();
	t.like(await outcome, {kind: 'answered'});
	const second = call();
	await once(server, 'request');
	clock.advanceTo(800);
	clock.advanceTo(951);
	t.like(await second, {kind: 'unanswered'});
});

test('calls that wait for a connection end at their time limits, and are not sent later', async t => {
	let requestCount = 0;
	const fixture: {onAllSent?: () => void} = {};
	const allSent = new Promise<void>(resolve => {
		fixture.onAllSent = resolve;
	});
	const {call, clock} = await createFixture(t, () => {
		requestCount++;
		if (requestCount === 4) {
			fixture.onAllSent!();
		}
	});
	const pending = Array.from({length: 6}, async () => call());
	await allSent;
	clock.advanceTo(150);
	const outcomes = await Promise.all(pending);
	t.true(outcomes.every(({kind}) => kind === 'unanswered'));
	t.is(requestCount, 4);
});

test('an idle connection is not used when its host is about to close it', async t => {
	const {call, sockets, clock} = await createFixture(t, echo);
	await call();
	clock.now = 3999;
	await call();
	t.is(sockets.length, 1);
	clock.now = 7999;
	await call();
	t.is(sockets.length, 2);
});

test('idle connections are closed after their time', async t => {
	const {call, sockets, clock} = await createFixture(t, echo);
	await call();
	clock.advanceTo(150);
	const [socket] = sockets;
	t.false(socket!.destroyed);
	clock.advanceTo(4000);
	await once(socket!, 'close');
	t.is(sockets.length, 1);
});

test('the client ends its calls when it is closed, and makes no further ones', async t => {
	const {call, client, server, sockets} = await createFixture(t, () => {/* Never answers. */});
	const pending = Array.from({length: 6}, async () => call());
	await once(server, 'request');
	client.close();
	const outcomes = await Promise.all(pending);
	t.true(outcomes.every(({kind}) => kind === 'unanswered'));
	const count = sockets.length;
	t.like(await call(), {kind: 'unanswered', isRefused: false});
	t.true(sockets.length <= 4 && sockets.length >= count);
});
