import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HttpOrders} from '../../src/platform/http-orders.js';
import {
	type DecisionLog, type LogFields, type OrderOutcome, type PollOutcome, type UpstreamDescription,
} from '../../src/pool/index.js';
import {systemClock} from '../../src/seams/index.js';
import {createPlatformDeployment} from './platform-deployment.js';

type SentOrder = 'start' | 'stop' | 'poll';

const run = {task: 'a.0.0.1', number: 2};

/** Sends orders to a server on loopback. */
class TestUpstream {
	readonly logged: Array<LogFields & {readonly message: string}> = [];
	readonly orders: HttpOrders;
	readonly #upstream: UpstreamDescription;

	constructor(address: string) {
		const add = (fields: LogFields, message: string): void => {
			this.logged.push({...fields, message});
		};

		const log: DecisionLog = {debug: add, info: add, warn: add};
		this.orders = new HttpOrders({clock: systemClock, log});
		this.#upstream = {
			id: 'i-1', bornMs: 1, address, dataCenter: 'dc1', service: 's', rack: 'r1', labels: [], isLeaving: false, capacity: {cpu: 1, memoryMb: 1, accelerators: 0},
		};
	}

	async send(order: SentOrder): Promise<OrderOutcome | PollOutcome> {
		const options = {upstream: this.#upstream, fence: 1, timeoutMs: 20_000};
		switch (order) {
			case 'start': {
				return this.orders.startRun({
					...options, run, spec: '', leaseUntilMs: 1,
				});
			}

			case 'stop': {
				return this.orders.stopRun({...options, run});
			}

			case 'poll': {
				return this.orders.poll({...options, acknowledged: 0, waitMs: 0});
			}
		}
	}
}

async function createTestUpstream(t: ExecutionContext, listener: RequestListener): Promise<TestUpstream> {
	const server = createServer(listener).listen({host: '127.0.0.1', port: 0});
	await once(server, 'listening');
	const upstream = new TestUpstream(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	t.teardown(async () => {
		await upstream.orders.close();
		server.close();
	});
	return upstream;
}

// A percent of 100 of a run that goes on, as constant reports have it, would look like a run that is about to end.
test('the percent that an upstream reports of a run is read if it can tell its progress', async t => {
	const running = [['a', 1, '', 40, 0], ['b', 1, '', 100, 0], ['c', 1], ['d', 1, '', '40', 0], ['e', 1, '', -1], ['f', 1, '', 1e308]];
	const upstream = await createTestUpstream(t, (_req, res) => {
		res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({
			clock_ms: 1, born: 1, running, ended: [],
		}));
	});
	const outcome = await upstream.send('poll');
	t.deepEqual(outcome.kind === 'seen' && outcome.running, [
		{task: 'a', number: 1, percent: 40}, ...['b', 'c', 'd', 'e', 'f'].map(task => ({task, number: 1})),
	]);
});

test('the log names the status or the failure behind each refused and each unanswered order', async t => {
	const answers = [[503, ''], [409, '{"clock_ms":1,"reason":"room"}'], [200, '{'], [200, '[]'], [502, '<html>']] as const;
	let position = 0;
	const upstream = await createTestUpstream(t, (_req, res) => {
		const answer = answers[position++];
		if (answer === undefined) {
			res.destroy();
		} else {
			res.writeHead(answer[0]).end(answer[1]);
		}
	});
	for (const order of ['poll', 'start', 'start', 'stop', 'stop', 'poll'] as const) {
		await upstream.send(order);
	}

	const message = 'order not answered';
	t.like(upstream.logged, [
		{
			order: 'poll', upstream: 'i-1', task: undefined, status: 503, reason: 'unhealthy', message: 'order refused by its upstream',
		},
		{
			order: 'start', task: run.task, run: run.number, status: 409, reason: 'no-room',
		},
		{order: 'start', status: 200, message},
		{
			order: 'stop', status: 200, detail: 'the answer cannot be decoded', message,
		},
		{order: 'stop', status: 502, message},
		{
			order: 'poll', status: undefined, detail: 'other side closed', message,
		},
	]);
	t.is(upstream.logged.length, 6);
});

const refusals: ReadonlyArray<readonly [status: number, body: string, reason: string]> = [
	[400, '', 'invalid'],
	[409, '{"clock_ms":1,"reason":"fence"}', 'fenced'],
	[409, '{"clock_ms":1,"reason":"old"}', 'stale-run'],
	[409, '{"clock_ms":1,"reason":"late"}', 'late'],
	[409, '{"clock_ms":1,"reason":"room"}', 'no-room'],
	[409, '{"clock_ms":1,"reason":"ticket"}', 'invalid'],
	[421, '', 'wrong-instance'],
	[429, '', 'unhealthy'],
	[503, '', 'unhealthy'],
];

const failures: ReadonlyArray<readonly [status: number, body: string]> = [
	...[201, 202, 204, 206, 300, 301, 302, 304, 307, 308, 401, 403, 404, 405, 408, 410, 412, 413, 425, 499, 500, 501, 502, 504, 507, 599].map(status => [status, ''] as const),
	[500, '{"clock_ms":1}'],
	[500, '{"clock_ms":1,"reason":"room"}'],
	// Only the reasons of the protocol promise that nothing was done.
	[409, ''],
	[409, '{}'],
	[409, '{"reason":"room"}'],
	[409, '{"clock_ms":1}'],
	[409, '{"clock_ms":1,"reason":"running"}'],
	[409, '{"clock_ms":1,"reason":"constructor"}'],
	[409, '{"clock_ms":1,"reason":["room"]}'],
	[200, ''],
	[200, '{'],
	[200, '{}'],
	[200, 'null'],
	[200, '{"clock_ms":"1"}'],
];

test('an order counts as refused only with the answers that promise that nothing was done', async t => {
	const answers: Array<readonly [status: number, body: string]> = [];
	let requestCount = 0;
	const upstream = await createTestUpstream(t, (_req, res) => {
		const [status, body] = answers.shift()!;
		requestCount++;
		res.writeHead(status, {location: '/api/hold'}).end(body);
	});
	for (const order of ['start', 'stop', 'poll'] as const) {
		for (const [status, body, reason] of refusals) {
			answers.push([status, body]);
			t.deepEqual(await upstream.send(order), {kind: 'refused', reason} as OrderOutcome, `${order} ${status} ${body}`);
		}

		for (const [status, body] of failures) {
			answers.push([status, body]);
			t.like(await upstream.send(order), {kind: 'unanswered'}, `${order} ${status} ${body}`);
		}
	}

	t.is(requestCount, (refusals.length + failures.length) * 3);
});

test('an end of an unknown kind counts as a failure, which the attempts of its task limit', async t => {
	const upstream = await createTestUpstream(t, (_req, res) => {
		res.end('{"clock_ms":1,"born":1,"running":[],"ended":[[1,"a.0.0.1",2,"evicted",""],[2,"a.0.0.2",1,"constructor",""],[3,"a.0.0.3",1,"done",""]]}');
	});
	const outcome = await upstream.send('poll') as Extract<PollOutcome, {readonly kind: 'seen'}>;
	t.deepEqual(outcome.ended.map(({end}) => end), ['failed', 'failed', 'done']);
	t.like(upstream.logged, [{
		upstream: 'i-1', task: 'a.0.0.1', run: 2, end: 'evicted', message: 'unknown end of a run',
	}, {end: 'constructor'}]);
});

test('an endless answer is abandoned, and its connection is closed', async t => {
	const closed: Array<Promise<unknown>> = [];
	const upstream = await createTestUpstream(t, (_req, res) => {
		closed.push(once(res, 'close'));
		const write = (): void => {
			while (!res.destroyed && res.write(' '.repeat(65_536))) {/* Writes until the buffer is full. */}
		};

		res.on('drain', write);
		write();
	});
	t.like(await upstream.send('poll'), {kind: 'unanswered', detail: 'an answer of more than 1048576 bytes'});
	await Promise.all(closed);
	t.is(closed.length, 1);
});

/** Ways in which a server loses a connection after it has received the whole request. */
const losses: ReadonlyArray<readonly [name: string, lose: (socket: Socket) => void]> = [
	['closed', socket => socket.destroy()],
	['reset', socket => socket.resetAndDestroy()],
	['half-closed', socket => socket.end()],
	['closed within the header', socket => socket.end('HTTP/1.1 200 OK\r\ncontent-le')],
	['closed within the body', socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"clock_ms"')],
	['closed within a chunk', socket => socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10\r\n{"clock_ms"')],
	['closed after garbage', socket => socket.end('garbage\r\n\r\n')],
	['closed after a provisional answer', socket => socket.end('HTTP/1.1 103 Early Hints\r\n\r\n')],
];

for (const isReused of [false, true]) {
	test(`an order whose connection is lost before its answer is sent once, over a ${isReused ? 'reused' : 'new'} connection`, async t => {
		for (const [name, lose] of losses) {
			const sockets = new Set<Socket>();
			let requestCount = 0;
			const upstream = await createTestUpstream(t, (req, res) => {
				requestCount++;
				sockets.add(req.socket);
				req.resume().once('end', () => {
					if (isReused && requestCount === 1) {
						res.end('{"clock_ms":1}');
					} else {
						lose(req.socket);
					}
				});
			});
			if (isReused) {
				t.like(await upstream.send('start'), {kind: 'done'});
			}

			t.like(await upstream.send('start'), {kind: 'unanswered', isRefused: false}, name);
			// A copy of the order would arrive before this one.
			t.like(await upstream.send('stop'), {kind: 'unanswered'}, name);
			t.is(requestCount, isReused ? 3 : 2, name);
			t.is(sockets.size, 2, name);
		}
	});
}

test('an order whose connection is refused is told apart from one that may have been delivered', async t => {
	// No process listens on the first port.
	const upstream = new TestUpstream('127.0.0.1:1');
	t.teardown(async () => upstream.orders.close());
	for (const order of ['start', 'stop', 'poll'] as const) {
		t.like(await upstream.send(order), {kind: 'unanswered', isRefused: true}, order);
	}
});

test('concurrent orders that wait for a connection are each sent once, even if all connections are lost', async t => {
	const orderCount = 40;
	let requestCount = 0;
	const upstream = await createTestUpstream(t, (req, res) => {
		const count = ++requestCount;
		req.resume().once('end', () => {
			if (count % 3 === 0) {
				res.writeHead(200, {connection: count % 2 === 0 ? 'close' : 'keep-alive'}).end('{"clock_ms":1}');
			} else {
				losses[count % losses.length]![1](req.socket);
			}
		});
	});
	const outcomes = await Promise.all(Array.from({length: orderCount}, async () => upstream.send('start')));
	t.true(outcomes.every(({kind}) => kind === 'done' || kind === 'unanswered'));
	t.like(await upstream.send('poll'), {kind: 'unanswered'});
	t.is(requestCount, orderCount + 1);
});

test('an order that meets the end of an idle connection arrives once at most', async t => {
	for (const [name, lose] of losses.slice(0, 3)) {
		let requestCount = 0;
		let socket: Socket | undefined;
		const upstream = await createTestUpstream(t, (req, res) => {
			requestCount++;
			socket = req.socket;
			req.resume().once('end', () => {
				res.end('{"clock_ms":1}');
			});
		});
		t.like(await upstream.send('start'), {kind: 'done'});
		lose(socket!);
		const outcome = await upstream.send('start');
		t.is(requestCount, outcome.kind === 'done' ? 2 : 1, name);
		t.like(await upstream.send('stop'), {kind: 'done'}, name);
		t.is(requestCount, outcome.kind === 'done' ? 3 : 2, name);
	}
});

test('a run that started although its order was answered with 500 is not started again beside it', async t => {
	const deployment = await createPlatformDeployment({vmsPerDataCenter: 1, getWork: () => ({needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 100})});
	t.teardown(async () => deployment.close());
	await deployment.waitUntilReady();
	for (const upstream of deployment.upstreams) {
		upstream.getStartStatus = ({number}) => number === 1 ? 500 : undefined;
	}

	t.like(await deployment.submit(0, '00000000000000a1', {taskCount: 1}), {status: 200, state: 'completed'});
	const starts = deployment.upstreams.flatMap(upstream => upstream.getStarts()).toSorted((a, b) => a.startedAt - b.startedAt);
	t.true(starts.every(({startedAt}, position) => position === 0 || startedAt >= starts[position - 1]!.endedAt!));
});
