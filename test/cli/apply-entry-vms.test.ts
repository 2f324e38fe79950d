import test, {type ExecutionContext} from 'ava';
import {createLocalCluster, type LocalCluster} from '../../src/lab/local-cluster.js';
import {createEtcdPlatform} from '../../src/platform/index.js';
import {createPlatformStandIn} from '../../src/testing/index.js';
import {loopbackHost} from '../support/loopback-host.js';
import {run} from './cli-fixture.js';

async function start(t: ExecutionContext): Promise<{cluster: LocalCluster; apply: (folder: string) => ReturnType<typeof run>}> {
	const cluster = await createLocalCluster({dataCenters: [{name: 'dc1', entryVms: 3, upstreams: 1}]});
	t.teardown(async () => cluster.close());
	const apply = async (folder: string) => run(['apply', folder, '--platform-urls', cluster.platform.getUrl(), '--deployment', 'local', '--json']);
	return {cluster, apply};
}

function getVersions(cluster: LocalCluster): readonly number[] {
	return cluster.getEntryVms().map(entryVm => entryVm.getComponents().configuration.getConfiguration().version);
}

test('an accepted version is in force on every entry VM when apply returns', async t => {
	const {cluster, apply} = await start(t);
	const applied = await apply('examples/sangha');
	t.is(applied.exitCode, 0, applied.out);
	t.like(JSON.parse(applied.out), {outcome: 'accepted', version: 2, inForce: 3});
	t.deepEqual(getVersions(cluster), [2, 2, 2]);
});

test('an entry VM that cannot reach the platform gets the version from its peers', async t => {
	const {cluster, apply} = await start(t);
	const unreachable = await createPlatformStandIn({host: loopbackHost});
	await unreachable.setFault({isDown: true});
	t.teardown(async () => unreachable.close());
	await cluster.addEntryVm('dc1', {
		platform: createEtcdPlatform({endpoints: [unreachable.getUrl()]}),
		peerSeeds: [cluster.getEntryVms()[0]!.getPeerAddress()],
	});
	const applied = await apply('examples/skjalageymsla');
	t.like(JSON.parse(applied.out), {outcome: 'accepted', version: 2, inForce: 4});
	t.deepEqual(getVersions(cluster), [2, 2, 2, 2]);
});

test('an entry VM that starts with stale reads reaches the current version', async t => {
	const {cluster, apply} = await start(t);
	const applied = await apply('examples/sangha');
	t.is(applied.exitCode, 0, applied.out);
	await cluster.platform.setFault({staleRevisions: 3});
	const late = await cluster.addEntryVm('dc1');
	const {configuration} = late.getComponents();
	await configuration.getStream().filter(({version}) => version === 2).take(1).drain();
	t.is(configuration.getConfiguration().version, 2);
});
