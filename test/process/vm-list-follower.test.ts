import test from 'ava';
import {getVmPrefix, type VmList} from '../../src/platform/index.js';
import {createVmListFollower} from '../../src/process/index.js';
import {
	createEntryVm, createUpstream, type FollowerFixture, startPlatform, waitFor,
} from './follower-fixture.js';

function startFollower({platform}: FollowerFixture, pollMs = 60_000) {
	return createVmListFollower({platform, deployment: 'test', pollMs});
}

function getNames({entryVms, upstreams}: VmList): string {
	return [...entryVms, ...upstreams].map(({name}) => name).join(' ');
}

test('the list follows additions, changes and removals', async t => {
	const fixture = await startPlatform(t);
	fixture.standIn.addVm(createEntryVm('e1'));
	const follower = startFollower(fixture);
	await waitFor(follower.getStream(), list => getNames(list) === 'e1');
	fixture.standIn.addVm(createUpstream('u1'));
	await waitFor(follower.getStream(), list => getNames(list) === 'e1 u1');
	fixture.standIn.addVm({...createEntryVm('e1'), state: 'leaving'});
	await waitFor(follower.getStream(), list => list.entryVms[0]?.state === 'leaving');
	fixture.standIn.removeVm(createEntryVm('e1'));
	t.is(getNames(await waitFor(follower.getStream(), list => list.entryVms.length === 0)), 'u1');
	follower.close();
});

test('invalid entries are skipped and counted', async t => {
	const fixture = await startPlatform(t);
	fixture.standIn.addVm(createUpstream('u1'));
	fixture.standIn.putKey(`${getVmPrefix('test')}shanti/u2`, '{"kind": "upstream"}');
	fixture.standIn.putKey(`${getVmPrefix('test')}shanti/u3`, JSON.stringify(createUpstream('u4')));
	const follower = startFollower(fixture);
	t.true(await follower.refresh());
	t.is(getNames(follower.getVmList()), 'u1');
	t.is(follower.getStatus().invalidEntries, 2);
	follower.close();
});

test('an entry with a port out of range or a number too large names no VM and leaves the others listed', async t => {
	const fixture = await startPlatform(t);
	fixture.standIn.addVm(createUpstream('u1'));
	const follower = startFollower(fixture);
	await waitFor(follower.getStream(), list => getNames(list) === 'u1');
	for (const address of ['10.0.0.1:99999', '10.0.0.1:0', '999.0.0.1:80', '1.2:80', '[10.0.0.1]:80']) {
		fixture.standIn.addVm({...createUpstream('u0'), address});
		fixture.standIn.addVm({...createEntryVm('e0'), peerAddress: address});
		await follower.refresh();
		t.is(getNames(follower.getVmList()), 'u1');
	}

	for (const amount of ['cores', 'memoryMb', 'accelerators']) {
		fixture.standIn.addVm({...createUpstream('u0'), [amount]: 1e308});
		await follower.refresh();
		t.is(getNames(follower.getVmList()), 'u1');
	}

	fixture.standIn.addVm(createUpstream('u2'));
	await waitFor(follower.getStream(), list => getNames(list) === 'u1 u2');
	follower.close();
});

test('the last list stays while the platform is unavailable, and a newer list from a peer is applied', async t => {
	const fixture = await startPlatform(t);
	fixture.standIn.addVm(createUpstream('u1'));
	const follower = startFollower(fixture);
	await follower.refresh();
	const {revision} = follower.getVmList();
	await fixture.standIn.setFault({isDown: true});
	t.false(await follower.refresh());
	t.is(getNames(follower.getVmList()), 'u1');
	t.false(follower.offerVmList({revision, entryVms: [], upstreams: []}));
	t.true(follower.offerVmList({revision: revision + 1, entryVms: [createEntryVm('e1')], upstreams: []}));
	t.is(getNames(follower.getVmList()), 'e1');
	follower.close();
});

test('a stale read does not restore an older list', async t => {
	const fixture = await startPlatform(t);
	fixture.standIn.addVm(createUpstream('u1'));
	const follower = startFollower(fixture);
	await follower.refresh();
	fixture.standIn.addVm(createUpstream('u2'));
	await follower.refresh();
	await fixture.standIn.setFault({staleRevisions: 1});
	t.true(await follower.refresh());
	t.is(getNames(follower.getVmList()), 'u1 u2');
	follower.close();
});

test('a poll finds a removal when the watch delivers no events', async t => {
	const fixture = await startPlatform(t);
	fixture.standIn.addVm(createUpstream('u1'));
	fixture.standIn.addVm(createUpstream('u2'));
	const follower = startFollower(fixture, 50);
	await waitFor(follower.getStream(), list => getNames(list) === 'u1 u2');
	fixture.standIn.silenceConnections();
	fixture.standIn.removeVm(createUpstream('u1'));
	await waitFor(follower.getStream(), list => getNames(list) === 'u2');
	t.pass();
	follower.close();
});
