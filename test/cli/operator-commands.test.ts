import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {createLocalCluster, type LocalCluster} from '../../src/lab/index.js';
import {createFolder, run} from './cli-fixture.js';

type Deployment = {
	readonly cluster: LocalCluster;
	readonly env: Readonly<Record<string, string>>;
};

async function setUp(t: ExecutionContext): Promise<Deployment> {
	const cluster = await createLocalCluster();
	t.teardown(async () => cluster.close());
	const env = Object.fromEntries([['ENDIVEMILL_PLATFORM_URLS', cluster.platform.getUrl()], ['ENDIVEMILL_DEPLOYMENT', 'local']]);
	return {cluster, env};
}

async function writeJob(t: ExecutionContext, text: string): Promise<string> {
	const file = path.join(await createFolder(t, ''), 'job.json');
	await writeFile(file, text);
	return file;
}

const job = JSON.stringify({service: 'demo', tasks: [{path: '/a'}, {path: '/b'}]});

test('a job is submitted, shown and found in the timeline', async t => {
	const {cluster, env} = await setUp(t);
	const submitted = await run(['submit', await writeJob(t, job), '--json'], env);
	t.is(submitted.exitCode, 0, submitted.err);
	const {id, outcome, tasks} = JSON.parse(submitted.out) as {id: string; outcome: string; tasks: unknown[]};
	t.is(outcome, 'complete');
	t.is(tasks.length, 2);
	const again = await run(['submit', await writeJob(t, job), '--id', id], env);
	t.is(again.exitCode, 0, again.err);
	const shown = await run(['jobs', 'show', id], env);
	t.true(shown.out.includes('"outcome":"complete"'));
	const timeline = await run(['timeline', '--job', id], env);
	const kinds = timeline.out.trim().split('\n').map(line => line.split(/\s+/v)[2]);
	t.is(kinds.filter(kind => kind === 'task-started').length, 2);
	t.true(kinds.indexOf('job-accepted') < kinds.indexOf('task-started'));
	const starts = cluster.getUpstreams().reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0);
	t.is(starts, 2);
});

test('the trace names the processes and contains a span for the job', async t => {
	const {env} = await setUp(t);
	await run(['submit', await writeJob(t, job)], env);
	const {out} = await run(['timeline', '--format', 'chrome'], env);
	const {traceEvents} = JSON.parse(out) as {traceEvents: ReadonlyArray<{name: string; ph: string; id?: string}>};
	t.is(traceEvents.filter(({ph}) => ph === 'M').length, 3);
	const [begin, end] = traceEvents.filter(({name}) => name === 'job');
	t.is(begin?.ph, 'b');
	t.is(end?.ph, 'e');
	t.is(begin?.id, end?.id);
});

test('the status lists entry VMs, upstreams and unreachable entry VMs', async t => {
	const {cluster, env} = await setUp(t);
	const [first] = cluster.getEntryVms();
	await cluster.abortEntryVm(first!);
	const {out, exitCode} = await run(['status'], env);
	t.is(exitCode, 0);
	t.regex(out, /dc1\/e1 +unreachable/v);
	t.regex(out, /dc1\/e2 +ready +1 +up/v);
	t.regex(out, /demo +u1 +live/v);
});

test('a drained entry VM stops and transfers its records', async t => {
	const {cluster, env} = await setUp(t);
	const coordinator = await run(['coordinator', '--caller-addresses', cluster.getCallerAddresses()[0]!]);
	const id = `${coordinator.out.trim()}/k`;
	const file = await writeJob(t, job);
	await run(['submit', file, '--id', id], env);
	const drained = await run(['drain', 'e1'], env);
	t.is(drained.exitCode, 0);
	await cluster.getEntryVms()[0]!.close();
	const again = await run(['submit', file, '--id', id, '--caller-addresses', cluster.getCallerAddresses()[1]!]);
	t.is(again.exitCode, 0, again.err);
});

test('invalid input ends with the documented exit codes', async t => {
	const {env} = await setUp(t);
	const cases: ReadonlyArray<readonly [argv: readonly string[], exitCode: number]> = [
		[['submit', await writeJob(t, '{')], 2],
		[['submit', '/nowhere.json'], 2],
		[['submit', await writeJob(t, job), '--id', 'x'], 2],
		[['submit', await writeJob(t, JSON.stringify({service: 'other', tasks: [{path: '/'}]}))], 8],
		[['jobs', 'show', 'x'], 2],
		[['drain', 'other'], 7],
		[['timeline', '--since', '5'], 2],
		[['status', '--operator-addresses', '127.0.0.1:1'], 5],
		[['coordinator', '--caller-addresses', '127.0.0.1:1'], 5],
	];
	for (const [argv, exitCode] of cases) {
		const result = await run(argv, env);
		t.is(result.exitCode, exitCode, `${argv.join(' ')}: ${result.err}`);
	}
});
