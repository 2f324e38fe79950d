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

async function readRegistry(items: readonly WireItem[]): Promise<readonly ListedEntryVm[]> {
	const clock = new ManualClock();
	const store = createFakeStoreClient(clock, url => ({body: url.pathname === '/api/kv-range' ? {items, as_of: 9} : {revision: 9}}));
	let listed: readonly ListedEntryVm[] = [];
	const registry = new VmRegistry({
		clock, store, self, log: silentLog, onRead(vms) {
			listed = vms;
		},
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
