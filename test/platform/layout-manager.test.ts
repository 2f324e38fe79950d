import test from 'ava';
import {PoolLayout} from '../../src/pool/index.js';
import {LayoutManager} from '../../src/platform/layout-manager.js';
import {StoreClient} from '../../src/platform/store-client.js';
import {UpstreamList} from '../../src/platform/upstream-list.js';
import {systemClock} from '../../src/seams/index.js';
import {createPlatformStore, type PlatformStore} from '../../src/testing/index.js';
import {silentLog} from '../pool/pool-harness.js';
import {waitFor} from './platform-deployment.js';

function addUpstreams(store: PlatformStore, first: number, count: number): void {
	for (let position = first; position < first + count; position++) {
		store.setText(`servers/u${position}`, JSON.stringify({
			service: 's', address: `127.0.0.1:${position + 1}`, zone: 'a', state: 'ready', capacity: {cpu: 16_000, mem_mb: 1024}, labels: ['x', 'r'], born: 1,
		}));
	}
}

type Fixture = {readonly layout: PoolLayout; readonly close: () => Promise<void>};

function createKeeper(store: PlatformStore, isDecider: () => boolean, settleMs = 0): Fixture {
	const clock = systemClock;
	// A limit that a busy machine keeps.
	const client = new StoreClient({address: store.getAddress(), clock, callTimeoutMs: 20_000});
	const layout = new PoolLayout();
	const upstreams = new UpstreamList({
		clock, log: silentLog, store: client, layout, onChange() {/* Nobody follows. */},
	});
	const keeper = new LayoutManager({
		clock, log: silentLog, store: client, layout, upstreams, dataCenter: 'a', dataCenters: ['a'], isDecider, getMedianCores: () => 1, settleMs,
	});
	void keeper.run();
	return {
		layout,
		async close() {
			keeper.close();
			await client.close();
		},
	};
}

test('VMs that decide at the same time come to one number of pools, and others read it', async t => {
	const store = await createPlatformStore();
	addUpstreams(store, 0, 24);
	const keepers = [createKeeper(store, () => true), createKeeper(store, () => true), createKeeper(store, () => false)];
	await waitFor(() => keepers.every(({layout}) => layout.getPoolsOf('a').length > 0));
	t.deepEqual(keepers.map(({layout}) => layout.getPoolsOf('a').length), [2, 2, 2]);
	// Upstreams that come later do not change it.
	addUpstreams(store, 24, 24);
	const late = createKeeper(store, () => true);
	await waitFor(() => late.layout.getPoolsOf('a').length > 0);
	t.is(late.layout.getPoolsOf('a').length, 2);
	await Promise.all([...keepers, late].map(async keeper => keeper.close()));
	await store.close();
});

test('a write whose answer is lost counts as it was carried out', async t => {
	const store = await createPlatformStore();
	addUpstreams(store, 0, 36);
	store.faults.isLosingAnswers = true;
	const keeper = createKeeper(store, () => true);
	await waitFor(() => store.getText('layout/a') !== undefined);
	await waitFor(() => keeper.layout.getPoolsOf('a').length > 0);
	t.is(keeper.layout.getPoolsOf('a').length, 3);
	await keeper.close();
	await store.close();
});

test('nothing is decided while no upstream is listed or the store is away', async t => {
	const store = await createPlatformStore();
	const keeper = createKeeper(store, () => true);
	const calls = store.getCallCount();
	await waitFor(() => store.getCallCount() > calls + 4);
	t.is(store.getText('layout/a'), undefined);
	store.faults.refusal = 503;
	addUpstreams(store, 0, 12);
	const refused = store.getCallCount();
	await waitFor(() => store.getCallCount() > refused + 4);
	t.is(store.getText('layout/a'), undefined);
	store.faults.refusal = undefined;
	await waitFor(() => keeper.layout.getPoolsOf('a').length > 0);
	t.deepEqual(keeper.layout.getPoolsOf('a'), ['a']);
	await keeper.close();
	await store.close();
});
