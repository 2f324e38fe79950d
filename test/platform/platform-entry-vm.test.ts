import test from 'ava';
import {request} from 'undici';
import {
	createPlatformDeployment, host, prefix, waitFor,
} from './platform-deployment.js';

async function getStatus(address: string, path: string, method: 'GET' | 'DELETE' = 'GET'): Promise<number> {
	const res = await request(`http://${address}${path}`, {method, headers: {host}});
	await res.body.dump();
	return res.statusCode;
}

test('a job submitted to any entry VM runs once and is answered when it ends', async t => {
	const deployment = await createPlatformDeployment();
	await deployment.waitUntilReady();
	t.like(await deployment.submit(0, '00000000000000a1', {taskCount: 3}), {status: 200, state: 'completed'});
	t.like(await deployment.submit(1, '00000000000000a2', {taskCount: 3}), {status: 200, state: 'completed'});
	t.is(deployment.upstreams.flatMap(upstream => upstream.getStarts()).length, 6);
	await deployment.close();
});

test('duplicate submissions of a job to two entry VMs start its tasks once', async t => {
	const deployment = await createPlatformDeployment();
	await deployment.waitUntilReady();
	const answers = await Promise.all([0, 1, 0].map(async position => deployment.submit(position, '00000000000000b1')));
	t.deepEqual(answers.map(({status}) => status), [200, 200, 200]);
	t.is(deployment.upstreams.flatMap(upstream => upstream.getStarts()).length, 2);
	await deployment.close();
});

for (const {name, canceller} of [{name: 'the entry VM that has its request', canceller: 0}, {name: 'another entry VM', canceller: 1}]) {
	test(`a job that is cancelled at ${name} ends, and no task of it starts any more`, async t => {
		const deployment = await createPlatformDeployment({getWork: () => ({needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 600})});
		await deployment.waitUntilReady();
		const id = '00000000000000c2';
		const steps = [{
			count: 2, cpu: 6800, mem_mb: 64, estimate_ms: 600,
		}, {
			count: 2, cpu: 6800, mem_mb: 64, estimate_ms: 600, after: [0],
		}];
		const answer = deployment.submit(0, id, {body: {steps}});
		const getStarts = () => deployment.upstreams.flatMap(upstream => upstream.getStarts());
		await waitFor(() => getStarts().length === 2);
		const [address] = deployment.entryVms[canceller]!.getAddresses();
		t.is(await getStatus(address!, `${prefix}${id}`, 'DELETE'), 200);
		t.like(await answer, {status: 200, state: 'cancelled'});
		await waitFor(() => getStarts().every(({end}) => end !== undefined));
		t.deepEqual(getStarts().map(({end}) => end), ['stopped', 'stopped']);
		t.like(await deployment.submit(1, id, {body: {steps}}), {status: 200, state: 'cancelled'});
		t.is(getStarts().length, 2);
		await deployment.close();
	});
}

test('requests are routed by the active configuration', async t => {
	const deployment = await createPlatformDeployment();
	await deployment.waitUntilReady();
	const [address] = deployment.entryVms[0]!.getAddresses();
	t.is(await getStatus(address!, '/other/'), 404);
	t.is(await getStatus(address!, prefix), 200);
	t.is(await getStatus(address!, `${prefix}00000000000000c1`), 410);
	t.is(await getStatus(address!, `${prefix}00000000000000c1`, 'DELETE'), 410);
	deployment.setConfiguration(2, [prefix, '/other/']);
	await waitFor(() => deployment.entryVms.every(entryVm => entryVm.getConfigurationVersion() === 2));
	t.is(await getStatus(address!, '/other/'), 200);
	await deployment.close();
});

// Guards against an owner that fills a shrunk upstream while the store rejects its calls and serves other VMs.
test('an owner that the store turns away learns from another VM that an upstream has shrunk', async t => {
	const deployment = await createPlatformDeployment({upstreamsPerDataCenter: 1, isGuarded: false});
	await deployment.waitUntilReady();
	const position = deployment.entryVms.findIndex(entryVm => entryVm.isOwner());
	deployment.store.faults.refusedCallers = [`edge-dc1-${position}`];
	const [upstream] = deployment.upstreams;
	upstream!.setCapacity({...upstream!.getCapacity(), cpu: 8000});
	upstream!.register('ready');
	await waitFor(() => deployment.entryVms.every(entryVm => entryVm.getKnownCores() === 8));
	t.like(await deployment.submit(position, '00000000000000c3', {taskCount: 4}), {status: 200});
	t.true(upstream!.getStarts().every(({used}) => used.cpu <= 8000));
	await deployment.close();
});

test('a job that must be stored is refused instead of being accepted and lost', async t => {
	const deployment = await createPlatformDeployment({vmsPerDataCenter: 1});
	await deployment.waitUntilReady();
	t.like(await deployment.submit(0, '00000000000000d1', {body: {best_effort: false}}), {status: 503});
	t.like(await deployment.submit(0, '00000000000000d2', {body: {steps: []}}), {status: 400});
	t.is(deployment.upstreams.flatMap(upstream => upstream.getStarts()).length, 0);
	await deployment.close();
});

test('jobs complete while the store is unavailable', async t => {
	const deployment = await createPlatformDeployment();
	await deployment.waitUntilReady();
	t.like(await deployment.submit(0, '00000000000000e1'), {status: 200});
	deployment.store.faults.refusal = 503;
	t.like(await deployment.submit(1, '00000000000000e2'), {status: 200});
	deployment.store.faults.refusal = false;
	await deployment.close();
});

test('when the owner of a pool dies, the next one completes its jobs without starting a task twice', async t => {
	const deployment = await createPlatformDeployment({getWork: () => ({needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 600})});
	await deployment.waitUntilReady();
	const ownerPosition = deployment.entryVms.findIndex(entryVm => entryVm.isOwner());
	const other = 1 - ownerPosition;
	const answer = deployment.submit(other, '00000000000000f1', {
		body: {
			steps: [{
				count: 3, cpu: 6800, mem_mb: 64, estimate_ms: 600,
			}],
		},
	});
	await waitFor(() => deployment.upstreams.flatMap(upstream => upstream.getStarts()).length === 3);
	await deployment.entryVms[ownerPosition]!.abort();
	t.like(await answer, {status: 200, state: 'completed'});
	const starts = deployment.upstreams.flatMap(upstream => upstream.getStarts());
	t.is(new Set(starts.map(({task}) => task)).size, 3);
	t.true(starts.every(({end}) => end !== 'lapsed'));
	t.is(starts.length, 3);
	await deployment.close();
});

test('a leaving upstream receives no new tasks', async t => {
	const deployment = await createPlatformDeployment({vmsPerDataCenter: 1});
	await deployment.waitUntilReady();
	t.like(await deployment.submit(0, '0000000000000101', {taskCount: 4}), {status: 200});
	const [leaving] = deployment.upstreams;
	leaving!.register('draining');
	await waitFor(() => deployment.entryVms[0]!.getAvailableUpstreamCount() === 1);
	const before = leaving!.getStarts().length;
	t.like(await deployment.submit(0, '0000000000000102', {taskCount: 4}), {status: 200});
	t.is(leaving!.getStarts().length, before);
	await deployment.close();
});

test('a data centre with many upstreams has several pools, which distribute the starts and lend each other free capacity', async t => {
	const deployment = await createPlatformDeployment({vmsPerDataCenter: 3, upstreamsPerDataCenter: 24});
	await deployment.waitUntilReady();
	t.is(deployment.store.getText('layout/dc1'), '{"pools":2}');
	const answers = await Promise.all(Array.from({length: 12}, async (_, index) => deployment.submit(index % 3, `00000000000002${String(index).padStart(2, '0')}`, {taskCount: 3})));
	t.true(answers.every(({status}) => status === 200));
	// More tasks than either pool can run concurrently.
	t.like(await deployment.submit(0, '0000000000000301', {taskCount: 40}), {status: 200, state: 'completed'});
	const starts = deployment.upstreams.flatMap(upstream => upstream.getStarts());
	t.is(starts.length, 76);
	t.is(new Set(starts.map(({task}) => task)).size, 76);
	t.true(deployment.entryVms.filter(entryVm => entryVm.isOwner()).length >= 2);
	await deployment.close();
});

test('a VM that cannot read the number of pools receives it from other VMs', async t => {
	const deployment = await createPlatformDeployment({vmsPerDataCenter: 2, upstreamsPerDataCenter: 20});
	await deployment.waitUntilReady();
	t.true(deployment.entryVms.every(entryVm => entryVm.getPoolCount() === 2));
	deployment.store.setText('layout/dc1', 'not a number');
	const added = await deployment.addEntryVm('dc1', 'edge-dc1-9');
	await waitFor(() => added.isReady() && added.getPoolCount() === 2);
	t.pass();
	await deployment.close();
});

test('an owner whose timers are late hands its pool over to a punctual VM and claims none', async t => {
	let lateMs = 0;
	const deployment = await createPlatformDeployment({
		getClock: (clock, vm) => vm === 'edge-dc1-0' ? {...clock, setTimer: (callback, delayMs) => clock.setTimer(callback, delayMs + lateMs)} : clock,
	});
	await deployment.waitUntilReady();
	const [late, punctual] = deployment.entryVms;
	if (!late!.isOwner()) {
		// Makes the VM whose timers become late the owner of the pool.
		await punctual!.abort();
		await waitFor(() => late!.isOwner());
		deployment.entryVms[1] = await deployment.addEntryVm('dc1', 'edge-dc1-8');
		await waitFor(() => deployment.entryVms[1]!.isReady());
	}

	lateMs = 200;
	await waitFor(() => !late!.isOwner() && deployment.entryVms[1]!.isOwner());
	t.like(await deployment.submit(1, '0000000000000401'), {status: 200, state: 'completed'});
	t.false(late!.isOwner());
	await deployment.close();
});

test('odd entries under new keys and over that of a live upstream end no entry VM, and no task runs twice', async t => {
	const deployment = await createPlatformDeployment({getWork: () => ({needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 100})});
	await deployment.waitUntilReady();
	const {store, upstreams} = deployment;
	const liveKey = 'servers/i-dc1-0';
	const entry = JSON.parse(store.getText(liveKey)!) as Readonly<Record<string, unknown>>;
	const oddValues = [
		'',
		'[',
		'['.repeat(10_000),
		`${'['.repeat(10_000)}${']'.repeat(10_000)}`,
		'{}',
		JSON.stringify(entry).replace('16000', '1e400'),
		...[{address: '127.0.0.1:99999'}, {address: 'x y:80'}, {capacity: {cpu: 1e308, mem_mb: 1e308}}, {born: 1e308}, {state: 'odd'}].map(odd => JSON.stringify({...entry, ...odd})),
	];
	const vm = {
		name: 'edge-dc1-7', dataCenter: 'dc1', peerAddress: '127.0.0.1:99999', callerAddress: '127.0.0.1:1',
	};
	store.setText('vms/edge-dc1-7', JSON.stringify(vm));
	store.setText('layout/ghost', '{"pools":9}');
	store.setText('op/config2', store.getText('op/config')!.replace('"version":1', '"version":9'));
	for (const [position, value] of oddValues.entries()) {
		store.setText(`servers/odd-${position}`, value);
	}

	const body = {
		steps: [{
			count: 2, cpu: 6800, mem_mb: 64, estimate_ms: 100,
		}],
	};
	const added = await deployment.addEntryVm('dc1', 'edge-dc1-8');
	await waitFor(() => added.isReady());
	const answers = [];
	for (const [position, value] of oddValues.entries()) {
		store.setText(liveKey, value);
		answers.push(deployment.submit(position % 3, `00000000000005${String(position).padStart(2, '0')}`, {body}));
		await waitFor(() => upstreams.flatMap(upstream => upstream.getStarts()).length > position);
		if (position % 2 === 1) {
			upstreams[0]!.register('ready');
		}
	}

	const owner = deployment.entryVms.find(entryVm => entryVm.isOwner())!;
	const outcomes = await Promise.all(answers);
	t.deepEqual(outcomes.map(({state}) => state), oddValues.map(() => 'completed'));
	upstreams[0]!.register('ready');
	const others = deployment.entryVms.filter(entryVm => entryVm !== owner);
	await owner.abort();
	await waitFor(() => others.some(entryVm => entryVm.isOwner() && entryVm.getAvailableUpstreamCount() === 2));
	const other = deployment.entryVms.indexOf(others[0]!);
	t.like(await deployment.submit(other, '0000000000000599', {body}), {status: 200, state: 'completed'});
	const starts = upstreams.flatMap(upstream => upstream.getStarts());
	t.is(new Set(starts.map(({task}) => task)).size, 2 * (oddValues.length + 1));
	t.is(starts.length, 2 * (oddValues.length + 1));
	t.is(others[0]!.getConfigurationVersion(), 1);
	await deployment.close();
});
