import test from 'ava';
import {createLocalCluster, type LocalCluster} from '../../src/lab/index.js';

test('tasks that wait longer than spillWaitMs run in another data centre if the profile allows it', async t => {
	const cluster = await createLocalCluster({
		dataCenters: [{name: 'dc1', entryVms: 4, upstreams: 1}, {name: 'dc2', entryVms: 1, upstreams: 2}],
		slots: 2,
		declarations: {profiles: {p: {spillToOtherDataCenters: true, spillWaitMs: 1}}, services: {demo: {profile: 'p'}}},
	});
	t.teardown(async () => cluster.close());
	const tasks = Array.from({length: 30}, () => ({path: '/t', headers: {'X-Run-Ms': '50'}}));
	// Not every entry VM has a control link to the other data centre.
	for (const [index, address] of cluster.getCallerAddresses().slice(0, 4).entries()) {
		const before = countRemoteStarts(cluster);
		const res = await fetch(`http://${address}/v1/jobs`, {method: 'POST', body: JSON.stringify({service: 'demo', tasks})});
		t.is(res.status, 200);
		t.true(countRemoteStarts(cluster) > before, `entry VM ${index}`);
	}

	const starts = cluster.getUpstreams().reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0);
	t.is(starts, 120);
});

function countRemoteStarts(cluster: LocalCluster): number {
	return cluster.getUpstreams().filter(({listed}) => listed.dataCenter === 'dc2').reduce((sum, {standIn}) => sum + standIn.getCounts().starts, 0);
}
