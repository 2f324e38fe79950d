import {randomUUID} from 'node:crypto';
import test, {type ExecutionContext} from 'ava';
import {createLocalCluster, type LocalCluster, type LocalClusterOptions} from '../../src/lab/index.js';

type Reply = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: Record<string, unknown>;
};

async function setUp(t: ExecutionContext, options: LocalClusterOptions = {}): Promise<LocalCluster> {
	const cluster = await createLocalCluster(options);
	t.teardown(async () => cluster.close());
	return cluster;
}

async function call(address: string, target: string, body?: unknown, headers: Record<string, string> = {}): Promise<Reply> {
	const [method, path] = target.split(' ') as [string, string];
	const res = await fetch(`http://${address}${path}`, {method, headers, body: body === undefined ? undefined : JSON.stringify(body)});
	const text = await res.text();
	return {status: res.status, headers: res.headers, body: text.startsWith('{') ? JSON.parse(text) as Record<string, unknown> : {text}};
}

async function getToken(address: string): Promise<string> {
	const {body} = await call(address, 'GET /v1/coordinator');
	return body.coordinator as string;
}

function createJob(taskCount: number, runMs = 5) {
	return {
		service: 'demo',
		tasks: Array.from({length: taskCount}, (_, index) => ({path: `/task?index=${index}`, headers: {'X-Task-Id': `t${index}`, 'X-Run-Ms': String(runMs)}})),
	};
}

function countStarts(cluster: LocalCluster): number {
	return cluster.getUpstreams().reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0);
}

test('a job submitted through two entry VMs runs once and is answered completely to both', async t => {
	const cluster = await setUp(t);
	const [first, second] = cluster.getCallerAddresses() as [string, string];
	const path = `/v1/jobs/${await getToken(first)}/${randomUUID()}`;
	const job = createJob(100);
	const [answer, again] = await Promise.all([call(first, `PUT ${path}`, job), call(second, `PUT ${path}`, job)]);
	t.is(answer.status, 200, JSON.stringify(answer.body));
	t.is(answer.body.outcome, 'complete');
	t.is((answer.body.tasks as unknown[]).length, 100);
	t.deepEqual(again.body, answer.body);
	t.is(countStarts(cluster), 100);
	t.truthy(answer.headers.get('endivemill-coordinator'));
});

test('a plain request is forwarded to one upstream', async t => {
	const cluster = await setUp(t);
	const [address] = cluster.getCallerAddresses() as [string];
	const reply = await call(address, 'POST /v1/services/demo/hold?chair=4', {seat: 4});
	t.is(reply.status, 200);
	t.is(reply.headers.get('endivemill-outcome'), 'complete');
	t.is(countStarts(cluster), 1);
});

test('an id of a crashed coordinator is answered as unknown immediately and does not run', async t => {
	const cluster = await setUp(t);
	const [aborted] = cluster.getEntryVms();
	const path = `/v1/jobs/${await getToken(aborted!.getCallerAddress())}/k`;
	await cluster.abortEntryVm(aborted!);
	const reply = await call(cluster.getCallerAddresses()[0]!, `PUT ${path}`, createJob(1));
	t.is(reply.body.outcome, 'unknown');
	t.is(countStarts(cluster), 0);
});

test('a stopping coordinator hands its answers over to a successor', async t => {
	const cluster = await setUp(t);
	const [leaving] = cluster.getEntryVms();
	const token = await getToken(leaving!.getCallerAddress());
	const running = call(leaving!.getCallerAddress(), `PUT /v1/jobs/${token}/k`, createJob(30, 50));
	const other = cluster.getCallerAddresses()[1]!;
	await call(other, `GET /v1/jobs/${token}/k`, undefined, {prefer: 'wait=5'});
	await cluster.removeEntryVm(leaving!);
	const answer = await running;
	t.is(answer.body.outcome, 'complete');
	const kept = await call(other, `PUT /v1/jobs/${token}/k`, createJob(30, 50));
	t.deepEqual(kept.body, answer.body);
	const fresh = await call(other, `PUT /v1/jobs/${token}/new`, createJob(1));
	t.is(fresh.body.outcome, 'not_run');
	t.is(countStarts(cluster), 30);
});

test('an entry VM forwards a job to a coordinator that has just joined', async t => {
	const cluster = await setUp(t);
	const [other] = cluster.getCallerAddresses() as [string];
	const joined = await cluster.addEntryVm('dc1');
	const path = `/v1/jobs/${await getToken(joined.getCallerAddress())}/k`;
	while (!joined.isReady()) {
		await call(joined.getCallerAddress(), 'GET /v1/coordinator');
	}

	const reply = await call(other, `PUT ${path}`, createJob(2));
	t.is(reply.body.outcome, 'complete', JSON.stringify(reply.body));
	t.is(countStarts(cluster), 2);
});
