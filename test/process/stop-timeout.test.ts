import {randomUUID} from 'node:crypto';
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {createLocalCluster} from '../../src/lab/index.js';
import {noUpstreamFaults} from '../../src/testing/upstream-faults.js';

const deadlineMs = 60_000;

const waitForCoordinator = {headers: {prefer: 'wait=5'}};

test('a graceful stop that times out aborts the requests to upstreams and hands the outcome over to a successor', async t => {
	const cluster = await createLocalCluster({entryVm: {stopTimeoutMs: 100}, upstream: {faults: {...noUpstreamFaults, mode: 'silent'}}});
	t.teardown(async () => cluster.close());
	const [leaving, other] = cluster.getEntryVms();
	const coordinator = await fetch(`http://${leaving!.getCallerAddress()}/v1/coordinator`);
	const {coordinator: token} = await coordinator.json() as {coordinator: string};
	const path = `/v1/jobs/${token}/${randomUUID()}`;
	const job = {service: 'demo', tasks: [{path: '/task'}], deadlineMs};
	const accepted = await fetch(`http://${leaving!.getCallerAddress()}${path}`, {method: 'PUT', body: JSON.stringify(job), headers: {prefer: 'respond-async'}});
	t.is(accepted.status, 202);
	while (cluster.getUpstreams().every(({standIn}) => standIn.getCounts().starts === 0)) {
		await nextTurn();
	}

	await cluster.removeEntryVm(leaving!);
	const answer = await fetch(`http://${other!.getCallerAddress()}${path}`, waitForCoordinator);
	const {outcome, type} = await answer.json() as {outcome: string; type: string};
	t.is(outcome, 'failed');
	t.true(type.endsWith('stopped-running'));
	t.deepEqual(leaving!.getStatus().upstreams.pools, []);
});
