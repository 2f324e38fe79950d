import test, {type ExecutionContext} from 'ava';
import {Caller, type CallResult} from '../../src/lab/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {sendCompleteAnswer, sendProblem, startScriptedEntryVm} from './scripted-entry-vm.js';

type Answer = Parameters<typeof startScriptedEntryVm>[1];

async function start(t: ExecutionContext, answers: readonly Answer[], token: () => string = () => 'dc.a.1.1') {
	let next = 0;
	const vm = await startScriptedEntryVm(token, (submission, res) => {
		answers[Math.min(next++, answers.length - 1)]!(submission, res);
	});
	const results: CallResult[] = [];
	const caller = new Caller({
		addresses: [vm.address],
		random: createSeededRandom(1),
		retryDelayMs: 1,
		observer: {
			submitted() {/* Only results are collected. */},
			ended(_call, result) {
				results.push(result);
			},
		},
	});
	t.teardown(async () => {
		await caller.close();
		await vm.close();
	});
	return {vm, caller, results};
}

const job = {service: 'seats', tasks: [{path: '/hold'}]};
const complete: Answer = (_submission, res) => {
	sendCompleteAnswer(res, ['{"task":"k/0"}']);
};

const refuse: Answer = (_submission, res) => {
	sendProblem(res, 503, 'not_run', '0');
};

const cut: Answer = (_submission, res) => {
	res.destroy();
};

test('a complete answer ends the request', async t => {
	const {caller, vm} = await start(t, [complete]);
	const result = await caller.submitJob(job, {id: {coordinator: 'dc.a.1.1', key: 'k'}});
	t.like(result, {calls: 1, attempts: 1, answer: {outcome: 'complete', tasks: [{status: 200, body: '{"task":"k/0"}'}]}});
	t.deepEqual(vm.submissions.map(submission => [submission.url, submission.attempt]), [['/v1/jobs/dc.a.1.1/k', '1']]);
});

test('after a cut connection the same id and attempt are sent again', async t => {
	const {caller, vm, results} = await start(t, [cut, complete]);
	const result = await caller.submitJob(job, {id: {coordinator: 'dc.a.1.1', key: 'k'}});
	t.like(result, {calls: 2, attempts: 1, answer: {outcome: 'complete'}});
	t.deepEqual(vm.submissions.map(submission => [submission.url, submission.attempt]), [['/v1/jobs/dc.a.1.1/k', '1'], ['/v1/jobs/dc.a.1.1/k', '1']]);
	t.like(results[0], {kind: 'no-answer', reason: 'cut'});
});

test('after not_run the attempt of the same id is incremented', async t => {
	const {caller, vm} = await start(t, [refuse, refuse, complete]);
	const result = await caller.submitJob(job, {id: {coordinator: 'dc.a.1.1', key: 'k'}});
	t.like(result, {calls: 3, attempts: 3, answer: {outcome: 'complete'}});
	t.deepEqual(vm.submissions.map(submission => submission.attempt), ['1', '2', '3']);
});

test('after not_run a new coordinator leads to a new id under it', async t => {
	let token = 'dc.a.1.1';
	const {caller, vm} = await start(t, [(submission, res) => {
		token = 'dc.b.1.1';
		res.setHeader('endivemill-coordinator', token);
		refuse(submission, res);
	}, complete], () => token);
	const result = await caller.submitJob(job, {id: {coordinator: 'dc.a.1.1', key: 'k'}});
	t.like(result, {calls: 2, attempts: 2, id: {coordinator: 'dc.b.1.1', key: 'k'}});
	t.deepEqual(vm.submissions.map(submission => [submission.url, submission.attempt]), [['/v1/jobs/dc.a.1.1/k', '1'], ['/v1/jobs/dc.b.1.1/k', '1']]);
});

test('attempts are limited, and a permanent refusal is final', async t => {
	const {caller} = await start(t, [refuse]);
	t.like(await caller.submitJob(job, {maxAttempts: 2}), {calls: 2, attempts: 2, answer: {outcome: 'not_run'}});
	const {caller: other} = await start(t, [(_submission, res) => {
		sendProblem(res, 400, 'not_run');
	}]);
	t.like(await other.submitJob(job), {calls: 1, answer: {outcome: 'not_run', status: 400}});
});

test('unknown and failed are final', async t => {
	for (const outcome of ['unknown', 'failed'] as const) {
		const {caller, vm} = await start(t, [(_submission, res) => {
			sendProblem(res, 502, outcome);
		}]);
		t.like(await caller.submitJob(job), {calls: 1, answer: {outcome, problemType: 'urn:test:problem'}});
		t.is(vm.submissions.length, 1);
	}
});

test('a resubmission is sent while the first call is pending', async t => {
	const held: Array<() => void> = [];
	const hold: Answer = (submission, res) => {
		held.push(() => {
			complete(submission, res);
		});
		if (held.length === 2) {
			for (const release of held) {
				release();
			}
		}
	};

	const {caller, results} = await start(t, [hold]);
	t.like(await caller.submitJob(job, {resubmitAfterMs: [1]}), {calls: 2, attempts: 1, answer: {outcome: 'complete'}});
	const hashes = results.map(result => result.kind === 'answered' ? result.hash : '');
	t.is(hashes[0], hashes[1]);
});

test('refused and cut connections are distinguished, and so are garbled and valid answers', async t => {
	const {caller, vm, results} = await start(t, [(_submission, res) => {
		res.end('no JSON');
	}, complete]);
	const id = await caller.createId('k');
	caller.setAddresses(['127.0.0.1:1', vm.address]);
	t.like(await caller.submitJob(job, {id}), {answer: {outcome: 'complete'}});
	t.true(results.some(result => result.kind === 'no-answer' && result.reason === 'refused'));
	t.true(results.some(result => result.kind === 'no-answer' && result.reason === 'garbled'));
});

test('a plain request is sent under its key and gets the upstream\'s answer', async t => {
	const {caller, vm} = await start(t, [(_submission, res) => {
		res.statusCode = 404;
		res.end('no such seat');
	}]);
	const result = await caller.sendRequest({
		service: 'seats', path: '/release', method: 'POST', body: 'x',
	}, {id: {coordinator: 'c', key: 'k'}});
	t.like(result, {answer: {outcome: 'complete', tasks: [{status: 404, body: 'no such seat'}]}});
	t.is(vm.submissions[0]?.url, '/v1/services/seats/release');
});
