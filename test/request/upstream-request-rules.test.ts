import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {createUpstreamClient} from '../../src/connection/index.js';
import {
	type HeaderList, checkHeaders, checkMethod, checkPath, getAnswerHeaders, getForwardedHeaders,
} from '../../src/request/index.js';
import {createListedUpstream} from '../connection/raw-upstream.js';

const seed = 7;
const pureRuns = 3000;
const wireRuns = 400;

/** Fragments typical of request smuggling, mixed with arbitrary text. */
const fragment = fc.oneof(
	fc.constantFrom('\r\n', '\n', '\r', '\0', '\t', ' ', '#', '//', '/', '\\', '@', ':', '?', '&', '%0d%0a', '%2e%2e', '..', 'http://', 'HTTP/1.1', 'a', 'é', 'Ā'),
	fc.constantFrom('\u{2028}', '\u{10D}\u{10A}'),
	fc.constantFrom('Host: x', 'Transfer-Encoding: chunked', 'Content-Length: 5', 'GET /b HTTP/1.1', '0'),
	fc.string({maxLength: 6}),
);
const text = fc.array(fragment, {maxLength: 6}).map(pieces => pieces.join(''));
const path = fc.oneof(text, text.map(rest => `/${rest}`));
const headerName = fc.oneof(
	fc.constantFrom('connection', 'Connection', 'CONNECTION', 'keep-alive', 'trailer', 'te', 'upgrade', 'expect'),
	fc.constantFrom('transfer-encoding', 'Transfer_Encoding', 'content-length', 'host', 'proxy-authorization', 'endivemill-job', 'Endivemill-Attempt', 'Endivemill_Job'),
	fc.constantFrom('accept', 'x-a', 'x-b', 'cookie', 'content-type'),
	text,
);
const plainText = fc.array(fc.constantFrom('a', '?', '&', '=', '..', '%0d%0a', '%00', ':', '@', ';', '//b'), {maxLength: 6}).map(pieces => pieces.join(''));
const plainHeaders = fc.array(fc.tuple(headerName.filter(name => /^[\-\w]+$/v.test(name)), plainText), {maxLength: 5});
const headers = fc.array(fc.tuple(headerName, fc.oneof(text, headerName)), {maxLength: 5});

/** Names that must never be forwarded, in any case. */
const forbidden = /^(?:connection|keep-alive|transfer-encoding|te|trailer|upgrade|host|content-length|expect|proxy-.*|endivemill-.*)$/iv;

/** Trims the whitespace around a field value, as a server does. */
function trimField(value: string): string {
	return value.replace(/^[\t ]+/v, '').replace(/[\t ]+$/v, '');
}

function isSafeText(value: string): boolean {
	return [...value].every(character => character === '\t' || (character >= ' ' && character <= 'ÿ' && character !== '\u{7F}'));
}

test('only listed methods are accepted', t => {
	for (const method of ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']) {
		t.deepEqual(checkMethod(method), {ok: true});
	}

	for (const method of ['CONNECT', 'TRACE', 'get', '', 'GET ', 'GET /', 'PRI']) {
		t.like(checkMethod(method), {ok: false});
	}
});

test('only paths in origin form are accepted', t => {
	for (const good of ['/', '/a', '/a/b?c=d&e[]=f', '/a//b', '/%0d%0a', '/a:b@c;d=1,2!$\'()*+~', '/?a=/?']) {
		t.deepEqual(checkPath(good), {ok: true});
	}

	for (const bad of ['', 'a', '//a', '*', 'http://a/b', '/a b', '/a#b', '/a\r\nHost: x', '/a\u{0}', String.raw`/a\b`, '/é', '/a\u{7F}', `/${'a'.repeat(9000)}`]) {
		t.like(checkPath(bad), {ok: false});
	}
});

test('hop-by-hop headers and those listed in Connection are not forwarded', t => {
	const result = getForwardedHeaders([
		['Accept', 'a'], ['CONNECTION', 'close, X-Secret'], ['x-secret', '1'], ['Host', 'a'], ['Endivemill-Attempt', '2'], ['Accept', 'b'], ['Proxy-Authorization', 'c'],
	]);
	t.deepEqual(result, {ok: true, headers: [['Accept', 'a'], ['Accept', 'b']]});
	t.false(getForwardedHeaders([['a b', 'c']]).ok);
	t.false(getForwardedHeaders([['a', 'b\r\nc: d']]).ok);
	t.false(getForwardedHeaders(Array.from({length: 101}, () => ['a', 'b'])).ok);
	t.false(getForwardedHeaders([['a', 'b'.repeat(17_000)]]).ok);
});

test('no list of headers leads to a forbidden field or a line break being forwarded', t => {
	fc.assert(fc.property(headers, list => {
		const result = getForwardedHeaders(list);
		if (!result.ok) {
			return;
		}

		t.true(checkHeaders(result.headers).ok);
		for (const [name, value] of result.headers) {
			t.notRegex(name.replaceAll('_', '-'), forbidden);
			t.true(isSafeText(name) && isSafeText(value));
		}

		const named = new Set(list.filter(([name]) => name.toLowerCase() === 'connection').flatMap(([, value]) => value.toLowerCase().split(',').map(item => item.trim())));
		t.false(result.headers.some(([name]) => named.has(name.toLowerCase())));
		t.deepEqual(getAnswerHeaders(list), result.headers);
	}), {seed, numRuns: pureRuns});
});

test('an accepted request arrives as exactly one request with the same target and fields', async t => {
	const seen: Array<{readonly method: string; readonly url: string; readonly headers: HeaderList; readonly body: string}> = [];
	let faults = 0;
	const server = createServer(async (req, res) => {
		const chunks: Uint8Array[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Uint8Array);
		}

		const names = req.rawHeaders.filter((_, index) => index % 2 === 0);
		seen.push({
			method: req.method ?? '', url: req.url ?? '', headers: names.map((name, index) => [name, req.rawHeaders[(index * 2) + 1] ?? '']), body: Buffer.concat(chunks).toString(),
		});
		res.end('ok');
	});
	server.on('clientError', () => {
		faults++;
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const upstream = createListedUpstream((server.address() as AddressInfo).port);
	const client = createUpstreamClient();
	let sent = 0;
	const method = fc.constantFrom('GET', 'POST', 'DELETE', 'PUT', 'OPTIONS', 'HEAD', 'TRACE');
	const anyTarget = fc.oneof(path, plainText.map(rest => `/a${rest}`), plainText.map(rest => `/a${rest}`));
	const anyHeaders = fc.oneof(headers, plainHeaders, plainHeaders);
	await fc.assert(fc.asyncProperty(method, anyTarget, anyHeaders, text, async (method, target, list, body) => {
		const forwarded = getForwardedHeaders(list);
		const req = {
			method, path: target, headers: forwarded.ok ? forwarded.headers : list, body: Buffer.from(body),
		};
		const outcome = await client.run(upstream, req, {timeoutMs: 10_000, notStartedStatuses: [], idleConnectionMs: 5000});
		const isAllowed = forwarded.ok && checkMethod(method).ok && checkPath(target).ok;
		t.is(outcome.kind, isAllowed ? 'answered' : 'not_started');
		sent += isAllowed ? 1 : 0;
		t.is(seen.length, sent);
		if (!isAllowed) {
			return;
		}

		const received = seen.at(-1)!;
		t.deepEqual([received.method, received.url, received.body], [method, target, Buffer.from(body).toString()]);
		const forwardedHeaders = received.headers.filter(([name]) => !['host', 'connection', 'content-length'].includes(name));
		t.deepEqual(forwardedHeaders, forwarded.headers.map(([name, value]) => [name, trimField(value)]));
	}), {seed, numRuns: wireRuns});
	t.is(faults, 0);
	t.log({sent, refused: wireRuns - sent});
	await client.close();
	server.close();
});
