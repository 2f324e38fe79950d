import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import {createLocalCluster, type LocalCluster} from '../../src/lab/index.js';

type InvalidRequestCase = {
	readonly title: string;
	readonly target: string;
	readonly body?: string;
	readonly headers?: Record<string, string>;
	readonly status: number;
	readonly problem: string;
};

const task = '{"path":"/t"}';

function createBody(tasks: string, extraFields = ''): string {
	return `{"service":"demo","tasks":[${tasks}]${extraFields}}`;
}

/** Requests to refuse; `{coordinator}` in a target stands for the coordinator's token. */
const cases: readonly InvalidRequestCase[] = [
	{
		title: 'an unknown resource', target: 'GET /nothing', status: 404, problem: 'not-found',
	},
	{
		title: 'a service without a path', target: 'GET /v1/services/demo', status: 404, problem: 'not-found',
	},
	{
		title: 'an unsupported method on a job', target: 'PATCH /v1/jobs/{coordinator}/a', status: 405, problem: 'method-not-allowed',
	},
	{
		title: 'an unsupported method on the job collection', target: 'PUT /v1/jobs', status: 405, problem: 'method-not-allowed',
	},
	{
		title: 'an invalid coordinator token', target: 'PUT /v1/jobs/x/a', body: createBody(task), status: 400, problem: 'invalid-id',
	},
	{
		title: 'an invalid key', target: 'PUT /v1/jobs/{coordinator}/a%20b', body: createBody(task), status: 400, problem: 'invalid-id',
	},
	{
		title: 'a key of 129 characters', target: `PUT /v1/jobs/{coordinator}/${'k'.repeat(129)}`, body: createBody(task), status: 400, problem: 'invalid-id',
	},
	{
		title: 'a period that was never issued', target: 'PUT /v1/jobs/{coordinator}9/a', body: createBody(task), status: 410, problem: 'record-expired',
	},
	{
		title: 'a body that is not JSON', target: 'PUT /v1/jobs/{coordinator}/a1', body: '{', status: 400, problem: 'invalid-request',
	},
	{
		title: 'an unknown field', target: 'PUT /v1/jobs/{coordinator}/a2', body: createBody(task, ',"x":1'), status: 400, problem: 'invalid-request',
	},
	{
		title: 'no task', target: 'PUT /v1/jobs/{coordinator}/a3', body: createBody(''), status: 400, problem: 'invalid-request',
	},
	{
		title: '1,001 tasks', target: 'POST /v1/jobs', body: createBody(Array.from({length: 1001}, () => task).join(',')), status: 400, problem: 'invalid-request',
	},
	{
		title: 'a task path that is an absolute URL', target: 'POST /v1/jobs', body: createBody('{"path":"http://other/"}'), status: 400, problem: 'invalid-request',
	},
	{
		title: 'the method CONNECT in a task', target: 'POST /v1/jobs', body: createBody('{"path":"/","method":"CONNECT"}'), status: 400, problem: 'invalid-request',
	},
	{
		title: 'a header value with a line break', target: 'POST /v1/jobs', body: createBody(String.raw`{"path":"/","headers":{"a":"b\r\nc: d"}}`), status: 400, problem: 'invalid-request',
	},
	{
		title: 'an unknown service', target: 'POST /v1/jobs', body: '{"service":"other","tasks":[{"path":"/"}]}', status: 404, problem: 'unknown-service',
	},
	{
		title: 'an unknown team', target: 'POST /v1/jobs', body: createBody(task, ',"team":"other"'), status: 422, problem: 'unknown-team',
	},
	{
		title: 'needs that no upstream meets', target: 'POST /v1/jobs', body: createBody('{"path":"/","needs":{"accelerators":9}}'), status: 422, problem: 'never-runnable',
	},
	{
		title: 'a deadline over the limit', target: 'POST /v1/jobs', body: createBody(task, ',"deadlineMs":600001'), status: 400, problem: 'invalid-request',
	},
	{
		title: 'an attempt of zero', target: 'GET /v1/services/demo/t', headers: {'endivemill-attempt': '0'}, status: 400, problem: 'invalid-request',
	},
	{
		title: 'a body over the limit', target: 'PUT /v1/jobs/{coordinator}/a4', body: 'x'.repeat(20_001), status: 413, problem: 'body-too-large',
	},
	{
		title: 'a plain body over the limit', target: 'POST /v1/services/demo/t', body: 'x'.repeat(20_001), status: 413, problem: 'body-too-large',
	},
];

async function setUp(t: ExecutionContext): Promise<LocalCluster> {
	const cluster = await createLocalCluster({
		dataCenters: [{name: 'dc1', entryVms: 1, upstreams: 1}],
		entryVm: {limits: {maxBodyBytes: 20_000, http: {headTimeoutMs: 300, requestTimeoutMs: 600, maxHeaderBytes: 4096}}},
	});
	t.teardown(async () => cluster.close());
	return cluster;
}

test('invalid requests are refused with the matching problem and start no task', async t => {
	const cluster = await setUp(t);
	const base = `http://${cluster.getCallerAddresses()[0]!}`;
	const res = await fetch(`${base}/v1/coordinator`);
	const {coordinator} = await res.json() as {coordinator: string};
	for (const {title, target, body, headers, status, problem} of cases) {
		const [method, path] = target.replace('{coordinator}', coordinator).split(' ') as [string, string];
		const answer = await fetch(base + path, {method, body, headers});
		const {type, detail} = await answer.json() as {type: string; detail: string};
		t.is(answer.status, status, `${title}: ${detail}`);
		t.is(type, `urn:endivemill:problem:${problem}`, title);
		t.is(answer.headers.get('content-type'), 'application/problem+json', title);
	}

	t.is(cluster.getUpstreams()[0]!.standIn.getCounts().starts, 0);
	const answer = await fetch(`${base}/v1/services/demo/t`);
	t.is(answer.status, 200);
});

test('an id whose body was refused does not run until a higher attempt', async t => {
	const cluster = await setUp(t);
	const base = `http://${cluster.getCallerAddresses()[0]!}`;
	const res = await fetch(`${base}/v1/coordinator`);
	const {coordinator} = await res.json() as {coordinator: string};
	const url = `${base}/v1/jobs/${coordinator}/k`;
	for (const body of ['{', 'x'.repeat(20_001), createBody(task)]) {
		const answer = await fetch(url, {method: 'PUT', body});
		const {outcome} = await answer.json() as {outcome: string};
		t.is(outcome, 'not_run');
	}

	t.is(cluster.getUpstreams()[0]!.standIn.getCounts().starts, 0);
	const answer = await fetch(url, {method: 'PUT', body: createBody(task), headers: {'endivemill-attempt': '2'}});
	t.is(answer.status, 200);
	t.is(cluster.getUpstreams()[0]!.standIn.getCounts().starts, 1);
});

/** Raw requests and the expected start of the status line. */
const rawRequests: ReadonlyArray<{readonly title: string; readonly bytes: string; readonly answer: string}> = [
	{title: 'a header section that never ends', bytes: 'GET /v1/coordinator HTTP/1.1\r\nHost: a\r\n', answer: 'HTTP/1.1 408'},
	{title: 'a body that never ends', bytes: 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{', answer: 'HTTP/1.1 4'},
	{title: 'garbage', bytes: '\u0001\u0002\u0003\r\n\r\n', answer: 'HTTP/1.1 400'},
	{title: 'a header section over the limit', bytes: `GET / HTTP/1.1\r\nHost: a\r\nX: ${'x'.repeat(5000)}\r\n\r\n`, answer: 'HTTP/1.1 431'},
	{title: 'two Content-Length headers', bytes: 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}', answer: 'HTTP/1.1 400'},
	{title: 'both Content-Length and Transfer-Encoding', bytes: 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', answer: 'HTTP/1.1 400'},
	{
		title: 'a singleton header given twice',
		bytes: 'GET /v1/services/demo/t HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nConnection: close\r\n\r\n',
		answer: 'HTTP/1.1 400',
	},
];

test('malformed HTTP is refused, and the listener keeps serving other requests', async t => {
	const cluster = await setUp(t);
	const [address] = cluster.getCallerAddresses() as [string];
	const port = Number(address.split(':')[1]);
	await Promise.all(rawRequests.map(async ({title, bytes, answer}) => {
		const socket = connect({port, host: '127.0.0.1'});
		socket.write(bytes);
		const reply = await text(socket);
		t.true(reply.startsWith(answer), title);
	}));
	t.is(cluster.getUpstreams()[0]!.standIn.getCounts().starts, 0);
	const res = await fetch(`http://${address}/v1/services/demo/t`);
	t.is(res.status, 200);
});
