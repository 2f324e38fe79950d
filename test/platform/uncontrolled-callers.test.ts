/**
 * Guards an entry VM against callers that exhaust its memory or its descriptors: the process is started as in a deployment on a VM of the smallest kind.
 * Crowds and bounds are those of the specification; they check no times and no share of served requests.
 */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {callerPort, startEntryVmProcess} from './entry-vm-process.js';
import {CallerCrowd} from './caller-crowd.js';

const maxMemoryMb = 190;
const maxDescriptors = 700;
const settings = ['limits.memory_mb=210', `limits.max_fds=${maxDescriptors}`];

const head = 'POST /jobs/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\n';
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const largeChunk = `${(250_000).toString(16)}\r\n${'x'.repeat(250_000)}\r\n`;

function createWhole(body: Uint8Array | string): Uint8Array {
	return Buffer.concat([Buffer.from(`${head}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n`), Buffer.from(body)]);
}

const crowds: ReadonlyArray<readonly [title: string, connectionCount: number, bytes: Uint8Array]> = [
	['bodies in one-byte chunks', 6, Buffer.from(chunkedHead + '1\r\nx\r\n'.repeat(250_000))],
	['bodies in one large chunk', 900, Buffer.from(chunkedHead + largeChunk)],
	['bodies shorter than their announced length', 900, Buffer.from(`${head}Content-Length: 250001\r\n\r\n${'x'.repeat(250_000)}`)],
	['heads without an end', 900, Buffer.from(`${head}${`X-A: ${'x'.repeat(1000)}\r\n`.repeat(15)}`)],
	['connections without a request', 900, Buffer.alloc(0)],
	['chunk extensions', 100, Buffer.from(`${chunkedHead}${`1;${'e'.repeat(200)}\r\nx\r\n`.repeat(2000)}`)],
	['answers that are not read', 30, Buffer.from('GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n'.repeat(3000))],
	['deeply nested bodies', 30, createWhole(`{"steps":${'['.repeat(100_000)}${']'.repeat(100_000)}}`)],
	['bodies with thousands of steps', 30, createWhole(`{"best_effort":true,"steps":[${Array.from({length: 10_000}).fill('{"count":10000}').join(',')}]}`)],
	['bodies that are not UTF-8', 30, createWhole(Buffer.alloc(262_144, 0xFF))],
	['numbers out of range and special keys', 30, createWhole('{"best_effort":true,"__proto__":{"a":1},"steps":[{"count":1e308,"cpu":1e308,"count":1,"__proto__":[],"constructor":{}}]}')],
];

for (const [title, connectionCount, bytes] of crowds) {
	test.serial(`an entry VM survives ${title}`, async t => {
		const entryVm = await startEntryVmProcess({
			settings, onEnd(end) {
				t.teardown(end);
			},
		});
		const crowd = new CallerCrowd({
			ip: entryVm.ip, port: callerPort, connectionCount, bytes,
		});
		t.teardown(() => {
			crowd.close();
		});
		await crowd.waitUntilSent();
		const descriptors = await entryVm.waitUntilSettled();
		t.is(entryVm.getEnd(), '');
		await entryVm.completeJob();
		const memoryMb = await entryVm.getPeakMemoryMb();
		t.log(`${Math.round(memoryMb)} MB, ${descriptors} descriptors`);
		t.is(entryVm.getEnd(), '');
		t.true(memoryMb < maxMemoryMb, `${memoryMb} MB`);
		t.true(descriptors <= maxDescriptors, `${descriptors} descriptors`);
	});
}
