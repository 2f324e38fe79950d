/**
 * Guards an entry VM against callers that exhaust its memory or its descriptors: the process is started as in a deployment on a VM of the smallest kind.
 * Crowds and bounds are those of the specification; they check no times and no share of served requests.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {callerPort, startEntryVmProcess} from './entry-vm-process.js';
import {CallerCrowd} from './caller-crowd.js';
import {ReturningCrowd} from './returning-crowd.js';

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

/** Memory of the smallest VM; what was received and not read counts. */
const vmMemoryMb = 210;

/** Time after which a process that answers no ordinary request counts as hung, in milliseconds. */
const hungMs = 60_000;
const sampleMs = 100;
const oneByteChunks = Buffer.from(chunkedHead + '1\r\nx\r\n'.repeat(250_000));

const returningCrowds: ReadonlyArray<readonly [title: string, connectionCount: number, maxDescriptors: number, bytes: Uint8Array]> = [
	['20 callers that come back with bodies in one-byte chunks', 20, 700, oneByteChunks],
	['150 callers that come back with bodies in one-byte chunks', 150, 700, oneByteChunks],
	['1,400 callers that come back with bodies in one large chunk', 1400, 3075, Buffer.from(chunkedHead + largeChunk)],
	['1,400 callers that come back with bodies in small chunks', 1400, 3075, Buffer.from(chunkedHead + `10\r\n${'x'.repeat(16)}\r\n`.repeat(15_600))],
];

// Guards against callers whose bodies stop short of their end and who come back at once when they are refused: they ended a process, or kept it from all others.
for (const [title, connectionCount, maxDescriptors, bytes] of returningCrowds) {
	test.serial(`an entry VM answers ordinary callers beside ${title}`, async t => {
		const entryVm = await startEntryVmProcess({
			settings: [`limits.memory_mb=${vmMemoryMb}`, `limits.max_fds=${maxDescriptors}`], onEnd(end) {
				t.teardown(end);
			},
		});
		const crowd = new ReturningCrowd({
			ip: entryVm.ip, port: callerPort, connectionCount, bytes, maxAttempts: 200_000,
		});
		t.teardown(async () => crowd.close());
		const peak = {memoryMb: 0, descriptors: 0};
		const sampling = new AbortController();
		const sample = async (): Promise<void> => {
			while (!sampling.signal.aborted && entryVm.getEnd() === '') {
				peak.memoryMb = Math.max(peak.memoryMb, await entryVm.getMemoryMb());
				peak.descriptors = Math.max(peak.descriptors, await entryVm.getDescriptorCount());
				await delay(sampleMs);
			}
		};

		const sampled = sample();
		await crowd.waitForAttempts(connectionCount);
		const isAnswered = await Promise.race([completeJob(), delay(hungMs, false, {ref: false})]);
		await entryVm.waitUntilSettled();
		sampling.abort();
		await sampled;
		const {attempts, refusals} = await crowd.getState();
		t.log(`${Math.round(peak.memoryMb)} MB with what was not read, ${peak.descriptors} descriptors, ${attempts} attempts, ${refusals} refusals`);
		t.is(entryVm.getEnd(), '');
		t.true(isAnswered, 'no ordinary request is answered');
		t.true(peak.memoryMb < vmMemoryMb, `${peak.memoryMb} MB`);
		t.true(peak.descriptors <= maxDescriptors, `${peak.descriptors} descriptors`);

		async function completeJob(): Promise<boolean> {
			await entryVm.completeJob();
			return true;
		}
	});
}

// Guards against limits on callers' chunks that a caller meets who is alone.
test.serial('a job whose body is in one-byte chunks up to the size limit is completed', async t => {
	const entryVm = await startEntryVmProcess({
		settings, onEnd(end) {
			t.teardown(end);
		},
	});
	const job = '{"spec":"x","best_effort":true,"steps":[{"count":2,"cpu":6800,"mem_mb":64,"estimate_ms":30}]}'.padEnd(250_000);
	const chunks = Array.from(job, character => `1\r\n${character}\r\n`).join('');
	const socket = connect({host: entryVm.ip, port: callerPort});
	socket.write(`${chunkedHead.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n')}${chunks}0\r\n\r\n`);
	const answer = await text(socket);
	t.regex(answer, /^HTTP\/1\.1 200 OK\r\n.*\{"state":"completed"\}$/vs);
});
