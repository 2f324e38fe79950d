import test from 'ava';
import {type ListedEntryVm} from '../../src/platform/index.js';
import {VmRegistry} from '../../src/platform/vm-registry.js';
import {ManualClock, settlePromises} from '../../src/testing/manual-clock.js';
import {silentLog} from '../pool/pool-harness.js';
import {createFakeStoreClient, createWireItem, type WireItem} from './store-fixture.js';

const self = {
	name: 'edge-a-1', dataCenter: 'a', peerAddress: '10.0.0.1:3', callerAddress: '10.0.0.1:1',
};
const other = {...self, name: 'edge-a-2', peerAddress: '10.0.0.2:3'};

/** Registry on a store with the given items, which registrations are added to. */
function createRegistry(items: WireItem[], onRead: (listed: readonly ListedEntryVm[]) => void) {
	const clock = new ManualClock();
	const store = createFakeStoreClient(clock, (url, body) => {
		const {writes = []} = (body ?? {}) as {readonly writes?: readonly WireItem[]};
		for (const write of writes) {
			const position = items.findIndex(({key}) => key === write.key);
			items.splice(position === -1 ? items.length : position, 1, {...write, revision: 2});
		}

		return {body: url.pathname === '/api/kv-range' ? {items, as_of: 9} : {revision: 9}};
	});
	return {
		clock, registry: new VmRegistry({
			clock, store, self, log: silentLog, onRead,
		}),
	};
}

/** Advances by the time of two reads and a registration between them. */
async function advanceToNextReads(clock: ManualClock): Promise<void> {
	for (let second = 0; second < 25; second++) {
		await clock.advance(1000);
	}
}

async function readRegistry(items: readonly WireItem[]): Promise<readonly ListedEntryVm[]> {
	let listed: readonly ListedEntryVm[] = [];
	const {registry} = createRegistry([...items], vms => {
		listed = vms;
	});
	void registry.run();
	await settlePromises();
	registry.close();
	return listed;
}

test('a registered VM with a port out of range or under a key that is not its own is skipped, and the others are listed', async t => {
	const createItem = (overrides: Readonly<Record<string, unknown>>, key = 'vms/edge-a-0'): WireItem =>
		createWireItem(key, JSON.stringify({...other, name: 'edge-a-0', ...overrides}));
	const listed = await readRegistry([
		createWireItem('vms/', JSON.stringify({...other, name: ''})),
		createItem({peerAddress: '10.0.0.1:99999'}),
		createItem({peerAddress: '10.0.0.1'}),
		createItem({peerAddress: ''}),
		createItem({peerAddress: 'x y:80'}),
		createItem({dataCenter: 5}),
		createItem({}, 'vms/edge-a-0/odd'),
		createWireItem('vms/edge-a-0', '{"name":'.repeat(10_000)),
		createWireItem(`vms/${self.name}`, JSON.stringify(self)),
		createWireItem(`vms/${other.name}`, JSON.stringify({...other, newField: 1})),
	]);
	t.deepEqual(listed.map(({name}) => name), [self.name, other.name]);
});

test('a VM whose registration was overwritten by an invalid entry or removed registers again', async t => {
	const key = `vms/${self.name}`;
	const items: WireItem[] = [];
	let listed: readonly ListedEntryVm[] = [];
	const {clock, registry} = createRegistry(items, vms => {
		listed = vms;
	});
	void registry.run();
	const moved = createWireItem(key, JSON.stringify({...self, peerAddress: '10.0.0.9:3'}));
	for (const odd of [[createWireItem(key, '{}')], [], [createWireItem(key, JSON.stringify({...self, peerAddress: '10.0.0.1:0'}))]]) {
		items.splice(0, Infinity, ...odd);
		await advanceToNextReads(clock);
		t.deepEqual(listed.map(({name}) => name), [self.name]);
	}

	// Another process under the same name is the newer one.
	items.splice(0, Infinity, moved);
	await advanceToNextReads(clock);
	t.deepEqual(items, [moved]);
	registry.close();
});
