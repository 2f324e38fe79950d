import test, {type ExecutionContext} from 'ava';
import {getConfigurationKey, type ListedUpstream} from '../../src/platform/index.js';
import {PlatformStandIn, UpstreamStandIn} from '../../src/testing/index.js';
import {configurationSchema} from '../../src/version/index.js';
import {type DaemonProcess, startDaemon, waitForStatus} from './daemon-process.js';

type Deployment = {
	readonly upstream: UpstreamStandIn;
	readonly daemons: readonly DaemonProcess[];
};

async function setUp(t: ExecutionContext, count: number): Promise<Deployment> {
	const platform = new PlatformStandIn({deployment: 'test'});
	const upstream = new UpstreamStandIn();
	await platform.listen();
	await upstream.listen();
	t.teardown(async () => platform.close());
	t.teardown(async () => upstream.close());
	const declarations = {profiles: {p: {}}, services: {demo: {profile: 'p'}}};
	platform.putKey(getConfigurationKey('test'), JSON.stringify(configurationSchema.parse({version: 1, changeId: 'c', declarations})));
	const listed: ListedUpstream = {
		kind: 'upstream', name: 'u1', dataCenter: 'dc1', state: 'live', service: 'demo', address: upstream.getAddress(), slots: 8, connections: 8,
		cores: 1, memoryMb: 1, accelerators: 0, rack: '',
	};
	platform.addVm(listed);
	const daemons = await Promise.all(Array.from({length: count}, async (_, index) => startDaemon(t, `e${index + 1}`, platform.getUrl())));
	for (const daemon of daemons) {
		platform.addVm(daemon.listed);
	}

	await Promise.all(daemons.map(async ({listed: {operatorAddress}}) => waitForStatus(operatorAddress, status =>
		status.isReady === true && (status.members as ReadonlyArray<{state: string}>).filter(({state}) => state === 'up').length === count - 1)));
	return {upstream, daemons};
}

async function getToken({listed}: DaemonProcess): Promise<string> {
	const res = await fetch(`http://${listed.callerAddress}/v1/coordinator`);
	const {coordinator} = await res.json() as {coordinator: string};
	return coordinator;
}

async function submit({listed}: DaemonProcess, token: string, runMs: number): Promise<string | undefined> {
	const tasks = [{path: '/t', headers: {'X-Run-Ms': String(runMs)}}];
	const res = await fetch(`http://${listed.callerAddress}/v1/jobs/${token}/k`, {method: 'PUT', body: JSON.stringify({service: 'demo', tasks})});
	const {outcome} = await res.json() as {outcome?: string};
	return outcome;
}

async function waitForStart(upstream: UpstreamStandIn): Promise<void> {
	while (upstream.getCounts().starts === 0) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

test('after SIGTERM a running job completes, and another process keeps its answer', async t => {
	const {upstream, daemons} = await setUp(t, 2);
	const [leaving, staying] = daemons as [DaemonProcess, DaemonProcess];
	const token = await getToken(leaving);
	const answer = submit(leaving, token, 600);
	await waitForStart(upstream);
	leaving.child.kill('SIGTERM');
	t.is(await answer, 'complete');
	t.is(await leaving.exitCode, 0);
	t.is(await submit(staying, token, 600), 'complete');
	t.is(upstream.getCounts().starts, 1);
});

test('after SIGKILL the outcome of the id is unknown, and the job is not started again', async t => {
	const {upstream, daemons} = await setUp(t, 2);
	const [dying, staying] = daemons as [DaemonProcess, DaemonProcess];
	const token = await getToken(dying);
	const answer = submit(dying, token, 5000);
	const forwarded = submit(staying, token, 5000);
	await waitForStart(upstream);
	dying.child.kill('SIGKILL');
	await t.throwsAsync(answer);
	t.is(await forwarded, 'unknown');
	t.is(await submit(staying, token, 5000), 'unknown');
	t.is(upstream.getCounts().starts, 1);
});

test('a process paused for longer than every timeout resumes and answers its own jobs once', async t => {
	const {upstream, daemons} = await setUp(t, 2);
	const [paused, staying] = daemons as [DaemonProcess, DaemonProcess];
	const token = await getToken(paused);
	const answer = submit(paused, token, 200);
	await waitForStart(upstream);
	paused.child.kill('SIGSTOP');
	await waitForStatus(staying.listed.operatorAddress, status => (status.members as ReadonlyArray<{state: string}>)[0]?.state === 'down');
	t.is(await submit(staying, token, 200), 'unknown');
	paused.child.kill('SIGCONT');
	t.is(await answer, 'complete');
	await waitForStatus(staying.listed.operatorAddress, status => (status.members as ReadonlyArray<{state: string}>)[0]?.state === 'up');
	t.is(await submit(staying, token, 200), 'complete');
	t.is(upstream.getCounts().starts, 1);
});
