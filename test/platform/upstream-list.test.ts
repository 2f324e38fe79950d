import test from 'ava';
import {PoolLayout, upstreamsSchema} from '../../src/pool/index.js';
import {sleep} from '../../src/seams/index.js';
import {type StoreClient} from '../../src/platform/store-client.js';
import {UpstreamList} from '../../src/platform/upstream-list.js';
import {ManualClock} from '../../src/testing/index.js';
import {createUpstream, silentLog} from '../pool/pool-harness.js';

function createEntry(id: string, overrides: Readonly<Record<string, unknown>> = {}): {readonly key: string; readonly value: string} {
	const value = JSON.stringify({
		service: 's', address: '10.0.0.1:80', zone: 'dc1', state: 'ready', capacity: {cpu: 16_000, mem_mb: 1000, gpu: 0}, labels: ['a', 'r1'], born: 1, ...overrides,
	});
	return {key: `servers/${id}`, value};
}

function createFixture(log = silentLog) {
	const clock = new ManualClock();
	const state = {
		ids: ['u1', 'u2'], coldMs: 0, oddItems: [] as ReadonlyArray<{readonly key: string; readonly value: string}>, revision: 1,
	};
	const store: Pick<StoreClient, 'getRange' | 'getChanges'> = {
		getChanges: async () => ({ok: true, value: {revision: 1, changes: []}}),
		getRange: async () => ({ok: true, value: {revision: state.revision, items: [...state.oddItems, ...state.ids.map(id => createEntry(id, {cold_remaining_ms: state.coldMs}))].map(item => ({...item, revision: 1}))}}),
	};
	const layout = new PoolLayout();
	layout.setCount('dc1', 1);
	const list = new UpstreamList({
		clock, log, store: store as StoreClient, layout, dataCenters: ['dc1', 'dc2'], onChange() {/* Not checked. */},
	});
	return {clock, state, list};
}

function getIds(upstreams: ReadonlyArray<{readonly id: string}>): readonly string[] {
	return upstreams.map(({id}) => id);
}

test('an upstream whose entry expired counts as missing for a limited time', async t => {
	const {clock, state, list} = createFixture();
	await list.read();
	await clock.advance(5000);
	state.ids = ['u2'];
	await list.read();
	t.deepEqual(getIds(list.getUpstreams('dc1')), ['u2']);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u1']);
	state.ids = ['u1', 'u2'];
	await list.read();
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
	state.ids = ['u2'];
	await list.read();
	await clock.advance(2600);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
});

test('a list that was first read recently is incomplete, since entries may have expired while the store was unavailable', async t => {
	const {clock, list} = createFixture();
	t.false(list.isComplete('dc1'));
	await list.read();
	await clock.advance(2000);
	await list.read();
	t.false(list.isComplete('dc1'));
	await clock.advance(600);
	t.false(list.isComplete('dc1'));
	list.addReport({
		pool: 'dc1', revision: 1, upstreams: ['u1', 'u2'].map(id => createUpstream(id, 16_000)), former: [],
	});
	t.true(list.isComplete('dc1'));
});

test('a report of a VM whose version reports no former addresses does not show that all are known', async t => {
	const {clock, list} = createFixture();
	await list.read();
	await clock.advance(3000);
	await list.read();
	list.addReport(upstreamsSchema.parse({pool: 'dc1', revision: 1, upstreams: [createUpstream('u1', 16_000)]}));
	t.false(list.isComplete('dc1'));
});

test('a list that no owner has reported is incomplete until tasks that an owner started at former addresses have ended', async t => {
	const {clock, list} = createFixture();
	await list.read();
	await clock.advance(3000);
	await list.read();
	t.false(list.isComplete('dc1'));
	await clock.advance(1900);
	await list.read();
	t.false(list.isComplete('dc1'));
	await clock.advance(100);
	t.true(list.isComplete('dc1'));
});

test('an upstream that an owner no longer reports counts as missing', async t => {
	const {clock, list} = createFixture();
	const report = (...ids: string[]): void => {
		list.addReport({
			pool: 'dc1', revision: 1, upstreams: ids.map(id => createUpstream(id, 16_000)), former: [],
		});
	};

	report('u1', 'u2');
	await clock.advance(3000);
	t.true(list.isComplete('dc1'));
	report('u2');
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u1']);
});

test('an older report brings back no earlier capacity, and its unlisted upstreams count as missing', async t => {
	const {clock, list} = createFixture();
	const report = (revision: number, cpu: number, ...ids: string[]): void => {
		list.addReport({pool: 'dc1', revision, upstreams: ids.map(id => createUpstream(id, cpu))});
	};

	const getCapacities = (): readonly number[] => list.getUpstreams('dc1').map(({capacity}) => capacity.cpu);
	report(20, 4000, 'u1');
	report(10, 16_000, 'u1', 'u2');
	t.deepEqual(getCapacities(), [4000]);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u2']);
	report(0, 16_000, 'u1');
	t.deepEqual(getCapacities(), [4000]);
	t.is(list.getPoolRevision('dc1'), 20);
	await clock.advance(5000);
	t.false(list.isComplete('dc1'));
	report(30, 8000, 'u1');
	t.deepEqual(getCapacities(), [8000]);
});

test('a report that is older than what this VM has read itself changes no listed upstream', async t => {
	const {state, list} = createFixture();
	state.revision = 7;
	await list.read();
	list.addReport({pool: 'dc1', revision: 6, upstreams: [createUpstream('u1', 4000)]});
	t.deepEqual(list.getUpstreams('dc1').map(({id, capacity}) => [id, capacity.cpu]), [['u1', 16_000], ['u2', 16_000]]);
	list.addReport({pool: 'dc1', revision: 8, upstreams: [createUpstream('u1', 4000)]});
	t.deepEqual(list.getUpstreams('dc1').map(({id, capacity}) => [id, capacity.cpu]), [['u1', 4000]]);
});

test('a VM that begins to follow the list can wait for its first read, for a limited time', async t => {
	const clock = new ManualClock();
	for (const [readMs, waitMs] of [[120, 120], [60_000, 200]] as const) {
		const store: Pick<StoreClient, 'getRange'> = {
			async getRange() {
				await sleep(clock, readMs);
				return {ok: true, value: {revision: 5, items: [{...createEntry('u1'), revision: 1}]}};
			},
		};
		const list = new UpstreamList({
			clock, log: silentLog, store: store as StoreClient, layout: new PoolLayout(), onChange() {/* Not checked. */},
		});
		const waits: number[] = [];
		const wait = async (): Promise<void> => {
			const startedAt = clock.getMonotonicTime();
			await list.waitForUpdate(200);
			waits.push(clock.getMonotonicTime() - startedAt);
		};

		await wait();
		list.setFollowing(true);
		void wait();
		await clock.advance(300);
		list.close();
		t.deepEqual(waits, [0, waitMs]);
	}
});

test('a list that was last read long ago is incomplete, since upstreams may have been added', async t => {
	const {clock, list} = createFixture();
	await list.read();
	await clock.advance(60_000);
	t.false(list.isComplete('dc1'));
});

test('on a VM that follows the store, an upstream reported by another owner but not read counts as missing for a limited time', async t => {
	const {clock, list} = createFixture();
	await list.read();
	list.setFollowing(true);
	list.addReport({pool: 'dc1', revision: 2, upstreams: [createUpstream('u1', 16_000), createUpstream('u3', 16_000)]});
	t.deepEqual(getIds(list.getUpstreams('dc1')), ['u1', 'u2']);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u3']);
	await clock.advance(5000);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
	list.close();
});

test('an entry with a port out of range names no upstream and leaves the others listed', async t => {
	const {state, list} = createFixture();
	state.oddItems = [createEntry('u0', {address: '10.0.0.1:99999'}), createEntry('u3', {address: '10.0.0.1:0'}), createEntry('u4', {address: 'x y:80'})];
	await list.read();
	t.deepEqual(getIds(list.getUpstreams('dc1')), ['u1', 'u2']);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
});

test('an upstream whose entry was overwritten by an invalid one counts as missing for as long as that stands', async t => {
	const {clock, state, list} = createFixture();
	await list.read();
	await clock.advance(5000);
	state.ids = ['u2'];
	for (const value of ['[', '{}', createEntry('u1', {address: '10.0.0.1:0'}).value]) {
		state.oddItems = [{key: 'servers/u1', value}];
		await list.read();
		await clock.advance(60_000);
		t.deepEqual(getIds(list.getUpstreams('dc1')), ['u2']);
		t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u1']);
	}

	state.oddItems = [];
	await list.read();
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u1']);
	await clock.advance(2600);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
});

test('an upstream whose entry was overwritten by a valid one of another data centre counts as missing for a limited time', async t => {
	const {clock, state, list} = createFixture();
	await list.read();
	state.ids = ['u2'];
	state.oddItems = [createEntry('u1', {zone: 'dc2'})];
	await list.read();
	await clock.advance(2000);
	await list.read();
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u1']);
	await clock.advance(600);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
	t.is(list.getCount('dc2'), 1);
});

test('invalid entries do not count as upstreams, and each is logged once while it stands', async t => {
	const lines: unknown[] = [];
	const {state, list} = createFixture({
		...silentLog, info(fields) {
			lines.push(fields);
		},
	});
	state.oddItems = ['u3', 'u4'].map(id => createEntry(id, {capacity: 5}));
	await list.read();
	await list.read();
	t.is(list.getCount('dc1'), 2);
	t.deepEqual(lines, [{key: 'servers/u3'}, {key: 'servers/u4'}]);
	state.oddItems = [];
	await list.read();
	state.oddItems = [{key: 'servers/u3', value: ''}];
	await list.read();
	t.is(lines.length, 3);
});

test('an upstream that an owner reports as overwritten counts as missing until it is no longer reported', async t => {
	const {clock, list} = createFixture();
	const [first, second] = ['u1', 'u2'].map(id => createUpstream(id, 16_000));
	list.addReport({
		pool: 'dc1', revision: 1, upstreams: [first!], overwritten: [second!],
	});
	await clock.advance(60_000);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u2']);
	list.addReport({
		pool: 'dc1', revision: 2, upstreams: [first!], overwritten: [],
	});
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u2']);
	await clock.advance(2600);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), []);
});

test('on a VM that follows the store, a reported upstream whose entry was read as invalid counts as missing for as long as that stands', async t => {
	const {clock, state, list} = createFixture();
	state.oddItems = [{key: 'servers/u3', value: '['}];
	await list.read();
	list.setFollowing(true);
	list.addReport({
		pool: 'dc1', revision: 2, upstreams: [], overwritten: [createUpstream('u3', 16_000)],
	});
	await clock.advance(20_000);
	t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u3']);
	t.deepEqual(getIds(list.getUpstreams('dc1')), ['u1', 'u2']);
	list.close();
});

test('an entry of a data centre that does not exist names no upstream and leaves the one that it overwrites missing', async t => {
	const {clock, state, list} = createFixture();
	await list.read();
	state.ids = ['u2'];
	for (const odd of [{zone: 'ghost'}, {zone: 'ghost', capacity: 5}, {zone: ''}]) {
		state.oddItems = [createEntry('u1', odd), createEntry('u3', odd)];
		await list.read();
		await clock.advance(60_000);
		t.deepEqual(getIds(list.getMissingUpstreams('dc1')), ['u1']);
	}

	t.is(list.getCount('ghost'), 0);
});

test('one report after a long gap does not make the list complete, since the owner may not have read all upstreams since', async t => {
	const {clock, list} = createFixture();
	const report = {
		pool: 'dc1', revision: 1, upstreams: [createUpstream('u1', 16_000)], former: [],
	};
	list.addReport(report);
	await clock.advance(60_000);
	list.addReport(report);
	t.false(list.isComplete('dc1'));
	await clock.advance(2500);
	list.addReport(report);
	t.true(list.isComplete('dc1'));
});

test('the address at which an upstream was listed before is remembered for a limited time, also if its entry was missing in between', async t => {
	const {clock, state, list} = createFixture();
	await list.read();
	state.ids = ['u2'];
	await list.read();
	await clock.advance(1000);
	state.oddItems = [createEntry('u1', {address: '10.0.0.1:81', born: 2})];
	await list.read();
	t.deepEqual(list.getFormerUpstreams('dc1').map(({id, address}) => [id, address]), [['u1', '10.0.0.1:80']]);
	t.deepEqual(list.getMissingUpstreams('dc1'), []);
	await clock.advance(29_000);
	t.is(list.getFormerUpstreams('dc1').length, 1);
	await clock.advance(2000);
	t.deepEqual(list.getFormerUpstreams('dc1'), []);
});

test('an address at which an upstream is listed again is not a former one', async t => {
	const {state, list} = createFixture();
	await list.read();
	state.ids = ['u2'];
	state.oddItems = [createEntry('u1', {address: '10.0.0.1:81'})];
	await list.read();
	state.ids = ['u1', 'u2'];
	state.oddItems = [];
	await list.read();
	t.deepEqual(list.getFormerUpstreams('dc1').map(({address}) => address), ['10.0.0.1:81']);
});

for (const isFollowing of [false, true]) {
	test(`the former addresses that an owner reports are known to a VM that ${isFollowing ? 'follows the store' : 'has read nothing'}`, async t => {
		const {clock, list} = createFixture();
		const [listed] = ['u1'].map(id => createUpstream(id, 16_000));
		if (isFollowing) {
			await list.read();
			list.setFollowing(true);
		}

		list.addReport({
			pool: 'dc1', revision: 1, upstreams: [{...listed!, address: '10.0.0.1:80'}], former: [{...listed!, address: '10.0.0.1:79'}],
		});
		t.deepEqual(list.getFormerUpstreams('dc1').map(({address}) => address), ['10.0.0.1:79']);
		await clock.advance(31_000);
		t.deepEqual(list.getFormerUpstreams('dc1'), []);
		list.close();
	});
}

test('on a VM that follows the store, the address at which an owner uses an upstream is a former one if it was read with another address', async t => {
	const {list} = createFixture();
	await list.read();
	list.setFollowing(true);
	list.addReport({pool: 'dc1', revision: 2, upstreams: [{...createUpstream('u1', 16_000), address: '10.0.0.1:79'}]});
	t.deepEqual(list.getUpstreams('dc1').map(({address}) => address), ['10.0.0.1:80', '10.0.0.1:80']);
	t.deepEqual(list.getFormerUpstreams('dc1').map(({address}) => address), ['10.0.0.1:79']);
	list.close();
});

test('the number of former addresses is bounded, and the oldest are forgotten first', async t => {
	const {state, list} = createFixture();
	state.ids = [];
	for (let round = 0; round < 1100; round++) {
		state.oddItems = [createEntry('u1', {address: `10.0.0.1:${1000 + round}`})];
		await list.read();
	}

	const former = list.getFormerUpstreams('dc1');
	t.is(former.length, 1000);
	t.is(former.at(-1)!.address, '10.0.0.1:2098');
});

test('an upstream that is warm now is known to have been cold, for the runs that began on it then', async t => {
	const {clock, state, list} = createFixture();
	state.coldMs = 3000;
	await list.read();
	t.is(list.getUpstreams('dc1')[0]!.cold?.until, 3000);
	await clock.advance(1000);
	state.coldMs = 0;
	await list.read();
	t.is(list.getUpstreams('dc1')[0]!.cold?.until, 1000);
});
