import {randomUUID} from 'node:crypto';
import {Writable} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import bunyan from 'bunyan';
import {Agent, request} from 'undici';
import {createTlsStore} from '../../src/connection/index.js';
import {createLocalCluster, type LocalCluster} from '../../src/lab/index.js';
import {type EntryVm, type EntryVmOptions, type EntryVmTls} from '../../src/process/index.js';
import {createOperatorAccessCheck} from '../../src/process/operator-access.js';
import {getTlsFile, readTlsFile} from '../support/tls-files.js';

const token = 'a-token-of-operators-0123';
const peerKey = 'a-peer-key-of-the-test-0123';

type Reply = {readonly status: number; readonly text: string};

async function createTlsStores(): Promise<EntryVmTls> {
	const files = {certFile: getTlsFile('server'), keyFile: getTlsFile('server-key')};
	const caFile = getTlsFile('authority');
	return {
		caller: await createTlsStore({files}),
		operator: await createTlsStore({files: {...files, caFile}}),
		peer: await createTlsStore({files: {...files, caFile}}),
	};
}

async function setUp(t: ExecutionContext, options: Partial<EntryVmOptions>): Promise<{readonly cluster: LocalCluster; readonly entryVms: readonly [EntryVm, EntryVm]}> {
	const cluster = await createLocalCluster({dataCenters: [{name: 'dc1', entryVms: 0, upstreams: 2}], entryVm: options});
	t.teardown(async () => cluster.close());
	const first = await cluster.addEntryVm('dc1', {tls: await createTlsStores()});
	const second = await cluster.addEntryVm('dc1', {tls: await createTlsStores()});
	return {cluster, entryVms: [first, second]};
}

function createAgent(t: ExecutionContext, name?: string): Agent {
	const own = name === undefined ? {} : {cert: readTlsFile(name), key: readTlsFile(`${name}-key`)};
	const agent = new Agent({connect: {ca: readTlsFile('authority'), ...own}});
	t.teardown(async () => agent.destroy());
	return agent;
}

async function get(dispatcher: Agent, url: string, headers: Record<string, string> = {}): Promise<Reply> {
	const res = await request(`https://${url}`, {dispatcher, headers});
	return {status: res.statusCode, text: await res.body.text()};
}

test('operators need the token if one is configured', t => {
	const check = (authorization: string | undefined, expected: string | undefined) => createOperatorAccessCheck({token: expected})({headers: {authorization}, socket: {}} as never);
	t.true(check(`Bearer ${token}`, token));
	t.true(check(`bearer  ${token} `, token));
	t.true(check(undefined, undefined));
	for (const wrong of [undefined, '', 'Bearer', 'Bearer ', token, `Basic ${token}`, `Bearer ${token}4`, `Bearer ${token.slice(1)}`, `Bearer ${token.toUpperCase()}`]) {
		t.false(check(wrong, token));
	}

	t.false(createOperatorAccessCheck({acceptsCertificates: true})({headers: {}, socket: {authorized: true}} as never));
});

test('each listener enforces its own access rules, and no output contains a secret', async t => {
	const lines: string[] = [];
	const stream = new Writable({
		write(chunk, _encoding, callback) {
			lines.push(String(chunk));
			callback();
		},
	});
	const log = bunyan.createLogger({name: 'test', level: 'trace', stream});
	const {cluster, entryVms: [first, second]} = await setUp(t, {operatorToken: token, peerKey, log});
	const withoutCertificate = createAgent(t);
	const withCertificate = createAgent(t, 'client');
	const withOtherCertificate = createAgent(t, 'other-client');
	const operator = first.getOperatorAddress();
	for (const path of ['/healthz', '/readyz']) {
		t.like(await get(withoutCertificate, `${operator}${path}`), {status: 200});
	}

	for (const path of ['/metrics', '/v1/status', '/v1/events', '/v1/drain']) {
		t.like(await get(withoutCertificate, `${operator}${path}`), {status: 401});
		t.like(await get(withOtherCertificate, `${operator}${path}`, {authorization: 'Bearer x'}), {status: 401});
	}

	// The second entry VM forwards the job to the first one over TLS.
	const coordinator = await get(withoutCertificate, `${first.getCallerAddress()}/v1/coordinator`);
	const {coordinator: id} = JSON.parse(coordinator.text) as {coordinator: string};
	const res = await request(`https://${second.getCallerAddress()}/v1/jobs/${id}/${randomUUID()}`, {
		method: 'PUT', dispatcher: withoutCertificate, body: JSON.stringify({service: 'demo', tasks: [{path: '/a'}, {path: '/b'}]}),
	});
	t.is(res.statusCode, 200, await res.body.text());
	t.is(cluster.getUpstreams().reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0), 2);

	const answers = await Promise.all([
		get(withCertificate, `${operator}/v1/status`),
		get(withoutCertificate, `${operator}/v1/events`, {authorization: `Bearer ${token}`}),
		get(withCertificate, `${operator}/metrics`),
	]);
	t.deepEqual(answers.map(({status}) => status), [200, 200, 200]);
	const exposed = [...answers.map(({text}) => text), ...lines].join('\n');
	t.true(exposed.includes('job-accepted'));
	for (const secret of [token, peerKey, readTlsFile('server-key').split('\n')[1]!]) {
		t.false(exposed.includes(secret));
	}
});
