import {Buffer} from 'node:buffer';
import test from 'ava';
import {AnswerReader, type HttpAnswer} from '../../src/platform/answer-reader.js';

const maxBodyBytes = 64;

/** Reads an answer in pieces of a size. */
function read(text: string, pieceBytes = Infinity): HttpAnswer | Error | undefined {
	const bytes = Buffer.from(text).toString('latin1');
	const reader = new AnswerReader(maxBodyBytes);
	for (let start = 0; start < bytes.length; start += pieceBytes) {
		const answer = reader.readBytes(bytes.slice(start, start + pieceBytes));
		if (answer !== undefined) {
			return answer;
		}
	}

	return reader.readEnd();
}

const answers: ReadonlyArray<readonly [name: string, text: string, answer: HttpAnswer]> = [
	['length', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', {status: 200, text: '{}', keepAliveMs: Infinity}],
	['no body', 'HTTP/1.1 409 Conflict\r\ncontent-length:0\r\nKeep-Alive: timeout=5\r\n\r\n', {status: 409, text: '', keepAliveMs: 5000}],
	['length in bytes', 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: keep-alive\r\n\r\n"\u00E9\u00E9"', {status: 200, text: '"\u00E9\u00E9"', keepAliveMs: Infinity}],
	['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\n"\u00E9\r\nA\r\n123456789"\r\n0\r\n\r\n', {status: 200, text: '"\u00E9123456789"', keepAliveMs: Infinity}],
	['trailers', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\nA: b\r\nC: d\r\n\r\n', {status: 200, text: '1', keepAliveMs: Infinity}],
	['empty chunks', 'HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n', {status: 503, text: '', keepAliveMs: 0}],
	['provisional answers', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200\r\nContent-Length: 1\r\n\r\n1', {status: 200, text: '1', keepAliveMs: Infinity}],
	['end of the connection', 'HTTP/1.0 200 OK\r\n\r\n{"a":1}', {status: 200, text: '{"a":1}', keepAliveMs: 0}],
	['HTTP/1.0', 'HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n1', {status: 200, text: '1', keepAliveMs: 0}],
	['HTTP/1.0, kept', 'HTTP/1.0 200 OK\r\nContent-Length: 1\r\nConnection: Keep-Alive\r\n\r\n1', {status: 200, text: '1', keepAliveMs: Infinity}],
	['a status without body', 'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n', {status: 304, text: '', keepAliveMs: Infinity}],
	['equal lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n1', {status: 200, text: '1', keepAliveMs: Infinity}],
];

test('an answer is read from pieces of any size', t => {
	for (const [name, text, answer] of answers) {
		for (const pieceBytes of [1, 2, 3, 7, Infinity]) {
			t.deepEqual(read(text, pieceBytes), answer, `${name}, ${pieceBytes}`);
		}
	}
});

test('an answer that is followed by further bytes is the last one of its connection', t => {
	t.deepEqual(read('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\n'), {status: 200, text: '1', keepAliveMs: 0});
	t.deepEqual(read('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n1'), {status: 200, text: '', keepAliveMs: 0});
});

const faults: ReadonlyArray<readonly [name: string, text: string]> = [
	['no HTTP', 'garbage\r\n\r\n'],
	['another version', 'HTTP/2 200 OK\r\n\r\n'],
	['odd status', 'HTTP/1.1 999 OK\r\n\r\n'],
	['odd length', 'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n'],
	['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12'],
	['list of lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n1'],
	['length and chunks', 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'],
	['another encoding', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'],
	['odd chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n'],
	['chunk without end', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n123\r\n'],
	['long body', 'HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n'],
	['long chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n1\r\n40\r\n'],
	['long body without length', `HTTP/1.1 200 OK\r\n\r\n${'1'.repeat(65)}`],
	['long head', `HTTP/1.1 200 OK\r\nA: ${'b'.repeat(20_000)}`],
	['long head, whole', `HTTP/1.1 200 OK\r\nA: ${'b'.repeat(20_000)}\r\n\r\n`],
	['long line of a chunk', `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;${'a'.repeat(20_000)}`],
	['long trailers', `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'A: b\r\n'.repeat(4000)}`],
	['long trailer', `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'a'.repeat(20_000)}`],
];

test('an answer that is not HTTP/1.1 or is too long is an error', t => {
	for (const [name, text] of faults) {
		t.true(read(text) instanceof Error, `${name}, whole`);
		t.true(read(text, 5) instanceof Error, `${name}, in pieces`);
	}
});

test('an answer that ends early is incomplete', t => {
	for (const [name, text] of answers.filter(([name]) => name !== 'end of the connection')) {
		for (let length = 0; length < Buffer.byteLength(text); length++) {
			const early = Buffer.from(text).subarray(0, length).toString('latin1');
			t.is(new AnswerReader(maxBodyBytes).readBytes(early), undefined, `${name}, ${length}`);
		}
	}
});
