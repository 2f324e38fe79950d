import test from 'ava';
import {type Member, type PeerMesh, type PeerMeshOptions} from '../../src/connection/index.js';
import {type ListedEntryVm} from '../../src/platform/index.js';
import {CurrentValue} from '../../src/process/current-value.js';
import {createSlowClock} from '../support/slow-clock.js';
import {FaultyNetwork} from './faulty-network.js';
import {
	createListedVm, createTestMesh, type TestContext, waitForMembers, waitUntil,
} from './test-mesh.js';

const dataCenters = ['kolkata', 'shanti', 'siliguri'];

type Site = {readonly dataCenter: string; readonly mesh: PeerMesh; readonly network: FaultyNetwork; readonly id: string};

/** Creates three data centres of three entry VMs each, which share a single seed. */
async function createSites(t: TestContext, options: Partial<PeerMeshOptions> = {}): Promise<readonly Site[]> {
	const sites: Site[] = [];
	for (const dataCenter of dataCenters) {
		for (const number of [1, 2, 3]) {
			const vm = `${dataCenter}-${number}`;
			const network = new FaultyNetwork();
			const mesh = await createTestMesh(t, vm, {
				self: {dataCenter, vm, id: `${vm}-1`},
				dial: network.dial,
				seeds: sites.slice(0, 1).map(site => site.mesh.getAddress()),
				onRequest: async () => vm,
				getHeartbeat: () => ({configurationVersion: vm.length, isLeaving: false, load: undefined}),
				...options,
			});
			sites.push({
				dataCenter, mesh, network, id: `${vm}-1`,
			});
		}
	}

	await Promise.all(sites.map(async ({mesh}) => waitForMembers(mesh, members => countMembers(members, 'up') === 8)));
	return sites;
}

function countMembers(members: readonly Member[], state: Member['state']): number {
	return members.filter(member => member.state === state).length;
}

test('each entry VM discovers those of all data centres through a single seed, with their status', async t => {
	const sites = await createSites(t);
	for (const {mesh} of sites) {
		await waitForMembers(mesh, members => members.every(({incarnation, configurationVersion}) => configurationVersion === incarnation.vm.length));
	}

	const addresses = new Map(sites.map(({id, mesh}) => [id, mesh.getAddress()]));
	for (const {mesh} of sites) {
		t.true(mesh.getMembers().every(({incarnation, peerAddress}) => addresses.get(incarnation.id) === peerAddress));
	}
});

test('an entry VM sends requests to each one in the other data centres', async t => {
	const sites = await createSites(t);
	const remoteSites = sites.filter(({dataCenter}) => dataCenter !== 'kolkata');
	const outcomes = await Promise.all(remoteSites.map(async ({id}) => sites[0]!.mesh.request(id, {topic: 'x', body: undefined})));
	t.deepEqual(outcomes, remoteSites.map(({id}) => ({kind: 'answered', body: id.slice(0, -2)})));
});

test('entry VMs that stop in another data centre are down everywhere, as reported by the remaining ones', async t => {
	const sites = await createSites(t, {missedHeartbeatsUntilDown: 1_000_000});
	for (const count of [1, 2]) {
		await sites.at(-count)!.mesh.close();
		await Promise.all(sites.slice(0, -count).map(async ({mesh}) => waitForMembers(mesh, members =>
			countMembers(members, 'down') === count && countMembers(members, 'up') === 8 - count)));
	}

	t.pass();
});

test('a partitioned data centre is down for the others, stays up within itself, and is up again after the partition', async t => {
	const sites = await createSites(t, {connectTimeoutMs: 400});
	const isolated = sites.filter(({dataCenter}) => dataCenter === 'shanti');
	const rest = sites.filter(site => !isolated.includes(site));
	const getAddresses = (group: readonly Site[]): readonly string[] => group.map(({mesh}) => mesh.getAddress());
	for (const {network} of rest) {
		network.cut(getAddresses(isolated));
	}

	for (const {network} of isolated) {
		network.cut(getAddresses(rest));
	}

	await Promise.all([
		...rest.map(async ({mesh}) => waitForMembers(mesh, members => countMembers(members, 'down') === 3 && countMembers(members, 'up') === 5)),
		...isolated.map(async ({mesh}) => waitForMembers(mesh, members => countMembers(members, 'down') === 6 && countMembers(members, 'up') === 2)),
	]);
	for (const {network} of sites) {
		network.heal();
	}

	await Promise.all(sites.map(async ({mesh}) => waitForMembers(mesh, members => countMembers(members, 'up') === 8)));
	t.pass();
});

test('links to another data centre that are not planned are closed', async t => {
	const sites = await createSites(t);
	const localLinkCount = 3 * 3;
	const remoteLinkCount = 3 * 2;
	await waitUntil(() => sites.flatMap(({network}) => network.sockets).filter(({destroyed}) => !destroyed).length === localLinkCount + remoteLinkCount);
	t.true(sites.every(({mesh}) => countMembers(mesh.getMembers(), 'up') === 8));
});

test('when the VMs of another data centre are discovered one by one and none listens yet, few of them are dialled', async t => {
	const list = new CurrentValue<readonly ListedEntryVm[]>([]);
	const dialed = new Set<string>();
	await createTestMesh(t, 'a', {
		// All updates of the list fall within the minimum time between two updates, however busy the machine is.
		clock: createSlowClock(1000),
		entryVms: list.getStream(),
		async dial(address) {
			dialed.add(address);
			return {ok: false, reason: 'refused', detail: 'no listener'};
		},
	});
	const vms: ListedEntryVm[] = [];
	for (let position = 0; position < 60; position++) {
		vms.push(createListedVm('shanti', `vm-${position}`, `127.0.0.2:${1000 + position}`));
		list.set([...vms]);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	// Two links are planned at a time; without the minimum time between updates 25 addresses were dialled.
	t.true(dialed.size <= 4);
});

test('what an entry VM passes on reaches those of its data centre and no others, which receive its heartbeats without it', async t => {
	const sites = await createSites(t);
	const self = {dataCenter: 'kolkata', vm: 'kolkata-4', id: 'kolkata-4-1'};
	const seeds = [sites[0]!.mesh.getAddress()];
	const items = [{name: 'b', revision: 1, value: {cores: 1}}];
	const heartbeatCounts = new Map<string, number>();
	const received: unknown[] = [];
	for (const [vm, dataCenter] of [['kolkata-5', 'kolkata'], ['shanti-5', 'shanti']] as const) {
		await createTestMesh(t, vm, {
			self: {dataCenter, vm, id: `${vm}-1`},
			seeds,
			onHeartbeat(_body, {id}) {
				heartbeatCounts.set(vm, (heartbeatCounts.get(vm) ?? 0) + Number(id === self.id));
			},
			onRelayed(relayed, {id}) {
				received.push([vm, id, relayed]);
			},
		});
	}

	// This VM links to all others, so that those of other data centres receive its heartbeats.
	await createTestMesh(t, self.vm, {
		self, seeds, getRelayed: () => items, maxFullMeshVms: 100,
	});
	await waitUntil(() => ['kolkata-5', 'shanti-5'].every(vm => (heartbeatCounts.get(vm) ?? 0) >= 2));
	t.deepEqual(received, [['kolkata-5', self.id, {b: {cores: 1}}]]);
});
