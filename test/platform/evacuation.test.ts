import test from 'ava';
import {request} from 'undici';
import {createPlatformDeployment, waitFor, type PlatformDeployment} from './platform-deployment.js';

const getStarts = ({upstreams}: PlatformDeployment, dataCenter: string) => upstreams.slice(...(dataCenter === 'dc1' ? [0, 2] : [2])).flatMap(upstream => upstream.getStarts());
const waitUntilKnown = async ({entryVms}: PlatformDeployment, names: readonly string[]): Promise<void> =>
	waitFor(() => entryVms.every(entryVm => entryVm.getEvacuation().dataCenters.join(',') === names.join(',')));

test('callers of an evacuated data centre are served from the other one, and are refused at once when both are evacuated', async t => {
	const deployment = await createPlatformDeployment({dataCenters: ['dc1', 'dc2'], vmsPerDataCenter: 1});
	await deployment.waitUntilReady();
	const {store} = deployment;
	store.setText('op/evacuate/dc1', '');
	store.setText('op/evacuate/dc9', '{}');
	await waitUntilKnown(deployment, ['dc1']);
	t.like(await deployment.submit(0, '00000000000000a1', {taskCount: 3}), {status: 200, state: 'completed'});
	t.like(await deployment.submit(1, '00000000000000a2', {taskCount: 8}), {status: 200, state: 'completed'});
	t.deepEqual(getStarts(deployment, 'dc1'), []);
	t.is(getStarts(deployment, 'dc2').length, 11);
	const res = await request(`http://${deployment.entryVms[0]!.getAddresses()[2]!}/metrics`);
	const metrics = await res.body.text();
	t.regex(metrics, /^endivemill_evacuated\{data_center="dc1"\} 1$/mv);
	t.regex(metrics, new RegExp(`^endivemill_evacuation_revision ${deployment.entryVms[0]!.getEvacuation().revision}$`, 'mv'));
	t.regex(metrics, /^endivemill_pool_runs\{pool="dc1"\} 0$/mv);
	t.regex(metrics, /^endivemill_pool_cores\{pool="dc1"\} 0$/mv);
	t.regex(metrics, /^endivemill_evacuation_moved_jobs_total 0$/mv);

	store.setText('op/evacuate/dc2', '{}');
	await waitUntilKnown(deployment, ['dc1', 'dc2']);
	t.like(await deployment.submit(0, '00000000000000a3'), {status: 503, retryAfter: '2'});
	t.true(deployment.entryVms.every(entryVm => entryVm.isReady()));

	store.setText('op/evacuate/dc1', undefined);
	await waitUntilKnown(deployment, ['dc2']);
	t.like(await deployment.submit(1, '00000000000000a4'), {status: 200, state: 'completed'});
	t.is(getStarts(deployment, 'dc1').length, 2);
	await deployment.close();
});

test('a VM that starts while the store refuses its calls learns of the evacuation from a peer, and all learn of its end from the store', async t => {
	const deployment = await createPlatformDeployment({dataCenters: ['dc1', 'dc2'], vmsPerDataCenter: 1});
	await deployment.waitUntilReady();
	const {store} = deployment;
	store.setText('op/evacuate/dc1', '{}');
	await waitUntilKnown(deployment, ['dc1']);
	store.faults.refusal = 503;
	const added = await deployment.addEntryVm('dc1', 'edge-dc1-9');
	await waitUntilKnown(deployment, ['dc1']);
	t.is(added.getEvacuation().revision, deployment.entryVms[0]!.getEvacuation().revision);
	await deployment.entryVms[0]!.abort();
	// It gets the configuration from the other peer too.
	await waitFor(() => added.isOwner() && added.isReady());
	t.like(await deployment.submit(2, '00000000000000b1'), {status: 200, state: 'completed'});
	t.deepEqual(getStarts(deployment, 'dc1'), []);

	store.setText('op/evacuate/dc1', undefined);
	store.compact();
	store.faults.refusal = false;
	await waitFor(() => deployment.entryVms.slice(1).every(entryVm => entryVm.getEvacuation().dataCenters.length === 0));
	await waitFor(() => added.getKnownCores() === 64);
	t.like(await deployment.submit(2, '00000000000000b2'), {status: 200, state: 'completed'});
	t.is(getStarts(deployment, 'dc1').length, 2);
	await deployment.close();
});
