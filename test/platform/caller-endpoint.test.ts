import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import test from 'ava';
import {type PoolNode, type RoutingTable} from '../../src/pool/index.js';
import {CancelledJobs} from '../../src/platform/cancelled-jobs.js';
import {CallerEndpoint} from '../../src/platform/caller-endpoint.js';
import {ManualClock} from '../../src/testing/index.js';
import {createJob, silentLog} from '../pool/pool-harness.js';

const job = {
	spec: 'work', steps: [{
		count: 1, cpu: 1000, mem_mb: 1, estimate_ms: 10,
	}], best_effort: true,
};

const resendMs = 1300;
const deadlineMs = 1500;

/** Gets the time at which an unanswered job is abandoned that waited unread for a time, in milliseconds from the reading of its head; its body comes and the connection ends some time after it. */
async function getAbandonedAt(unreadMs: number, {bodyMs = 0, endEvent = '', endMs = 0} = {}): Promise<number> {
	const clock = new ManualClock();
	let abandonedAt = Infinity;
	const node = {
		getUnreadMs: () => unreadMs,
		submit: async (_job: unknown, _remainingMs: number, signal: AbortSignal) => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				abandonedAt = clock.getMonotonicTime();
				resolve({kind: 'interrupted', reason: 'test'});
			});
		}),
	};
	const {rules} = createJob('a');
	const table = {version: 1, maxBodyBytes: 10_000, routes: [{host: 'h', prefix: '/p/', rules}]};
	const cancelledJobs = new CancelledJobs({
		clock,
		getPeers() {
			throw new Error('Nothing is cancelled');
		},
	});
	const endpoint = new CallerEndpoint({
		clock, log: silentLog, node: node as unknown as PoolNode, cancelledJobs, getRoutingTable: () => table, onAnswer() {/* Not checked. */},
	});
	const socket = new Socket();
	const body = new PassThrough();
	const req = Object.assign(body, {
		socket, method: 'POST', url: '/p/0123456789abcdef', headers: {host: 'h', 'x-endivemill-deadline-ms': String(deadlineMs)},
	});
	const ignore = (): void => {/* The end of the connection is not reported, and the answer is not checked. */};
	const res = {
		destroyed: false, headersSent: false, once: ignore, off: ignore, writeHead: ignore, end: ignore,
	};
	const handled = endpoint.handle(req as unknown as IncomingMessage, res as unknown as ServerResponse);
	await clock.advance(bodyMs);
	body.end(JSON.stringify(job));
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	await clock.advance(endMs);
	if (endEvent !== '') {
		socket.emit(endEvent);
	}

	await clock.advance(deadlineMs + resendMs);
	await handled;
	return abandonedAt;
}

// Guards against double runs: the caller counts its time until it submits the job again from its deadline on.
test('an unanswered job is abandoned at its caller\'s deadline, also if the end of the connection is not detected', async t => {
	t.is(await getAbandonedAt(0), deadlineMs);
});

test('a job that may have waited unread during a pause is abandoned that much earlier', async t => {
	t.is(await getAbandonedAt(700), await getAbandonedAt(0) - 700);
});

test('the time in which a body is read counts against the deadline of its caller', async t => {
	t.is(await getAbandonedAt(0, {bodyMs: 300}), deadlineMs);
});

for (const endEvent of ['end', 'error', 'close']) {
	test(`a job is abandoned as soon as the end of its caller's connection is read (${endEvent})`, async t => {
		t.is(await getAbandonedAt(0, {endEvent, endMs: 200}), 200);
	});
}
