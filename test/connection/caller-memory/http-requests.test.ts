import {once} from 'node:events';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
	CallerMemory, createHttpListener, type HttpHandler, type HttpListener, readRequestBody,
} from '../../../src/connection/index.js';
import {parseAddress} from '../../../src/connection/tcp-transport.js';
import {systemClock} from '../../../src/seams/index.js';

async function setUp(t: ExecutionContext, {maxHeldBytes = 1_000_000, maxFragmentedBodies = 1, handler}: {
	readonly maxHeldBytes?: number;
	readonly maxFragmentedBodies?: number;
	readonly handler?: HttpHandler;
} = {}) {
	const memory = new CallerMemory({
		clock: systemClock, maxHeldBytes, maxConnections: 100, fragmentedBodies: {maxCount: maxFragmentedBodies},
	});
	const listener = await createHttpListener({
		address: '127.0.0.1:0', memory, handler: handler ?? (async (req, res) => {
			const body = await readRequestBody(req, {maxBytes: 200_000, memory});
			const size = body.kind === 'whole' ? body.bytes.length : 0;
			res.shouldKeepAlive &&= body.kind === 'whole';
			res.writeHead(body.kind === 'whole' ? 200 : 503).end(`${body.kind} ${size};`);
		}),
	});
	t.teardown(async () => {
		memory.close();
		await listener.abort();
	});
	return {memory, listener};
}

async function send(listener: HttpListener, bytes: string): Promise<string> {
	const socket = connect(parseAddress(listener.getAddress()));
	socket.write(bytes);
	return text(socket);
}

/** Waits until nothing is held, which it is not forever if the account misses an end. */
async function waitUntilFree(memory: CallerMemory): Promise<void> {
	while (memory.getCounters().heldBytes !== 0) {
		await delay(10);
	}
}

const post = (headers: string, body = '') => `POST / HTTP/1.1\r\nHost: h\r\n${headers}\r\n\r\n${body}`;

test('bodies with chunk extensions and trailers, after "100-continue" and pipelined ones are read whole', async t => {
	const {listener, memory} = await setUp(t);
	const chunks = '3;name=value\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n';
	const answer = await send(listener, [
		post('Transfer-Encoding: chunked', chunks), post('Content-Length: 6', 'abcdef'), post('Expect: 100-continue\r\nContent-Length: 7', 'abcdefg'), post('Content-Length: 0\r\nConnection: close'),
	].join(''));
	t.deepEqual(answer.match(/whole \d+;/gv), ['whole 5;', 'whole 6;', 'whole 7;', 'whole 0;']);
	t.true(answer.includes('HTTP/1.1 100 Continue'));
	await waitUntilFree(memory);
});

// Guards against a request whose end two parties see at different places.
test('a request with both a length and a transfer coding is refused', async t => {
	const {listener} = await setUp(t);
	t.regex(await send(listener, post('Content-Length: 3\r\nTransfer-Encoding: chunked', '0\r\n\r\n')), /^HTTP\/1\.1 400/v);
});

test('a body for which there is no memory is refused and its connection closed', async t => {
	const {listener, memory} = await setUp(t, {maxHeldBytes: 100_000});
	const answer = await send(listener, post('Content-Length: 150000', 'x'.repeat(140_000)));
	t.true(answer === '' || answer.includes('refused 0;'));
	t.is(memory.getCounters().refused.memory, 1);
	t.regex(await send(listener, post('Content-Length: 3\r\nConnection: close', 'abc')), /whole 3;/v);
});

// Guards against a parser that goes on discarding bodies when Node uses it for the next connection.
test('after a refusal of a body in small chunks, other bodies are read whole', async t => {
	const {listener, memory} = await setUp(t, {maxFragmentedBodies: 0});
	for (let count = 0; count < 5; count++) {
		const answer = await send(listener, post('Transfer-Encoding: chunked', '1\r\nx\r\n'.repeat(20_000)));
		t.true(answer === '' || answer.includes('refused 0;'));
		t.regex(await send(listener, post('Transfer-Encoding: chunked\r\nConnection: close', '3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')), /whole 5;/v);
	}

	t.is(memory.getCounters().refused['small-chunks'], 5);
	await waitUntilFree(memory);
});

test('a body in small chunks is read whole in turns, and the requests after it on its connection as well', async t => {
	const {listener, memory} = await setUp(t, {maxHeldBytes: 10_000_000});
	const body = '1\r\nx\r\n'.repeat(100_000) + '0\r\n\r\n';
	const answer = await send(listener, [
		post('Transfer-Encoding: chunked', body), post('Transfer-Encoding: chunked', body), post('Content-Length: 3\r\nConnection: close', 'abc'),
	].join(''));
	t.deepEqual(answer.match(/whole \d+;/gv), ['whole 100000;', 'whole 100000;', 'whole 3;']);
	t.is(memory.getCounters().refused['small-chunks'], 0);
	await waitUntilFree(memory);
});

test('a connection with more unanswered requests than allowed is closed without handling the rest', async t => {
	let handled = 0;
	const {listener, memory} = await setUp(t, {
		handler() {
			handled++;
		},
	});
	t.is(await send(listener, post('Content-Length: 0').repeat(500)), '');
	t.is(handled, 64);
	t.is(memory.getCounters().refused.pipelining, 1);
	await waitUntilFree(memory);
});

test('limits that change while the listener is open apply to new connections, and open ones are closed after their next answer', async t => {
	const {listener} = await setUp(t);
	const open = connect(parseAddress(listener.getAddress()));
	await once(open, 'connect');
	open.write(post('Content-Length: 1', 'a'));
	await once(open, 'data');
	listener.setLimits({maxHeaderBytes: 2000, headTimeoutMs: 200});
	const long = `X-Long: ${'x'.repeat(4000)}\r\nContent-Length: 1`;
	t.regex(await send(listener, post(long, 'a')), /^HTTP\/1\.1 431/v);
	open.write(post(long, 'a'));
	t.regex(await text(open), /Connection: close.*whole 1;/sv);
	t.regex(await send(listener, 'POST / HTTP/1.1\r\nHost: h\r\n'), /^HTTP\/1\.1 408/v);
});
