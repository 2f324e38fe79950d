import test from 'ava';
import {request} from 'undici';
import {createUpstreamWorker} from '../../src/testing/index.js';
import {tsWorkerExecArgv} from '../support/ts-worker.js';

test('an upstream runs in a worker thread', async t => {
	const worker = createUpstreamWorker({name: 'w', isRecording: true, execArgv: tsWorkerExecArgv});
	const address = await worker.getAddress();
	const answer = await request(`http://${address}/run`, {headers: {'x-task-id': 'a'}});
	t.like(await answer.body.json(), {task: 'a', upstream: 'w'});
	await worker.setFaults({mode: 'fail'});
	const failed = await request(`http://${address}/run`, {headers: {'x-task-id': 'b'}});
	await failed.body.dump();
	t.is(failed.statusCode, 500);
	t.like(await worker.getCounts(), {starts: 2, ends: 2});
	const record = await worker.getRecord();
	t.deepEqual(record.map(entry => entry.task), ['a', 'a', 'b', 'b']);
	await worker.close();
});
