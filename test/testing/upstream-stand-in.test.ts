import test, {type ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import {sleep, systemClock} from '../../src/seams/index.js';
import {UpstreamStandIn, type UpstreamStandInOptions} from '../../src/testing/index.js';

async function waitUntil(isReached: () => boolean): Promise<void> {
	while (!isReached()) {
		await sleep(systemClock, 2);
	}
}

async function startUpstream(t: ExecutionContext, options: UpstreamStandInOptions = {}) {
	const upstream = new UpstreamStandIn({name: 'u1', ...options});
	const dispatcher = new Agent();
	await upstream.listen();
	t.teardown(async () => {
		await dispatcher.destroy();
		await upstream.close();
	});
	const send = async (task: string, runMs = 0) => {
		const answer = await request(`http://${upstream.getAddress()}/hold?seat=4`, {
			method: 'POST', body: '{}', dispatcher, headers: {'x-task-id': task, 'x-run-ms': String(runMs)},
		});
		return {status: answer.statusCode, body: await answer.body.text()};
	};

	return {upstream, send, dispatcher};
}

test('a task is run, echoed and recorded', async t => {
	const {upstream, send} = await startUpstream(t);
	const answer = await send('a/0');
	t.is(answer.status, 200);
	t.deepEqual(JSON.parse(answer.body), {task: 'a/0', upstream: 'u1', start: 0});
	t.deepEqual(upstream.getRecord().map(entry => [entry.kind, entry.task, entry.path, entry.reason]), [
		['start', 'a/0', '/hold?seat=4', undefined],
		['end', 'a/0', '/hold?seat=4', 'answered'],
	]);
});

test('counts the slots in use', async t => {
	const timerCallbacks: Array<() => void> = [];
	const clock = {
		...systemClock,
		setTimer(callback: () => void) {
			timerCallbacks.push(callback);
			return {close() {/* Timers are not cancelled in this test. */}};
		},
	};
	const {upstream, send} = await startUpstream(t, {clock});
	const pending = Promise.all([send('a', 30), send('b', 30), send('c', 30)]);
	await waitUntil(() => timerCallbacks.length === 3);
	t.like(upstream.getCounts(), {starts: 3, ends: 0, slotsInUse: 3});
	for (const finish of timerCallbacks) {
		finish();
	}

	await pending;
	t.like(upstream.getCounts(), {
		starts: 3, ends: 3, slotsInUse: 0, maxSlotsInUse: 3,
	});
});

test('an upstream in mode `fail` starts tasks and answers with an error', async t => {
	const {upstream, send} = await startUpstream(t);
	await upstream.setFaults({mode: 'fail'});
	const answer = await send('a', 1000);
	t.is(answer.status, 500);
	t.deepEqual(upstream.getRecord().map(entry => entry.reason ?? entry.kind), ['start', 'failed']);
});

test('an unavailable upstream does not start tasks', async t => {
	const {upstream, send} = await startUpstream(t);
	await upstream.setFaults({mode: 'unavailable'});
	const answer = await send('a');
	t.is(answer.status, 503);
	t.like(upstream.getCounts(), {starts: 0, refusals: 1});
});

test('an answer that breaks off is an error for the client', async t => {
	const {upstream, send} = await startUpstream(t);
	await upstream.setFaults({mode: 'break-off'});
	await t.throwsAsync(send('a'));
	t.is(upstream.getRecord().at(-1)?.reason, 'broken-off');
});

test('a silent upstream starts a task and never answers', async t => {
	const {upstream, send} = await startUpstream(t, {
		faults: {
			mode: 'silent', slowFactor: 1, refuse: false, leaving: false,
		},
	});
	const pending = t.throwsAsync(send('a'));
	await waitUntil(() => upstream.getCounts().starts === 1);
	upstream.breakConnections();
	await pending;
	await waitUntil(() => upstream.getCounts().ends === 1);
	t.is(upstream.getRecord().at(-1)?.reason, 'abandoned');
});

test('silenced connections transfer no further data, and new ones work', async t => {
	const {upstream, send} = await startUpstream(t);
	const kept = new Agent({connections: 1});
	const sendOver = async (dispatcher: Agent, task: string) => {
		const answer = await request(`http://${upstream.getAddress()}/`, {dispatcher, headers: {'x-task-id': task}});
		return answer.body.dump();
	};

	await sendOver(kept, 'a');
	upstream.silenceConnections();
	const lost = t.throwsAsync(sendOver(kept, 'b'));
	await send('c');
	t.deepEqual(upstream.getRecord().filter(entry => entry.kind === 'start').map(entry => entry.task), ['a', 'c']);
	await kept.destroy();
	await lost;
});

test('a refusing upstream accepts no connections, and later listens on the same port again', async t => {
	const {upstream, send} = await startUpstream(t);
	await upstream.setFaults({refuse: true});
	await t.throwsAsync(send('a'), {code: 'ECONNREFUSED'});
	await upstream.setFaults({refuse: false});
	const answer = await send('b');
	t.is(answer.status, 200);
	t.is(upstream.getCounts().starts, 1);
});

test('faults and record are reachable over HTTP', async t => {
	const {upstream, send, dispatcher} = await startUpstream(t);
	const base = `http://${upstream.getAddress()}`;
	const changed = await request(`${base}/control`, {method: 'PUT', body: '{"slowFactor":2,"leaving":true}', dispatcher});
	t.like(await changed.body.json(), {starts: 0, faults: {slowFactor: 2, leaving: true}});
	const wrong = await request(`${base}/control`, {method: 'PUT', body: '{"mode":"tired"}', dispatcher});
	t.is(wrong.statusCode, 400);
	await wrong.body.dump();
	await send('a');
	const record = await request(`${base}/record`, {dispatcher});
	const recordText = await record.body.text();
	const lines = recordText.trim().split('\n').map(line => JSON.parse(line) as {task: string; isLeaving: boolean});
	t.deepEqual(lines.map(line => [line.task, line.isLeaving]), [['a', true], ['a', true]]);
});
