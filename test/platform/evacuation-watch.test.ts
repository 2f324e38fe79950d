import test from 'ava';
import {ConfigurationWatch} from '../../src/platform/configuration-watch.js';
import {EvacuationWatch} from '../../src/platform/evacuation-watch.js';
import {type StoreClient, type StoreFault} from '../../src/platform/store-client.js';
import {Evacuations, type LogFields} from '../../src/pool/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {silentLog} from '../pool/pool-harness.js';

type WatchFixture = {readonly evacuations: Evacuations; readonly watch: EvacuationWatch; readonly lines: Array<{readonly message: string; readonly fields: LogFields}>};

function createWatch(): WatchFixture {
	const evacuations = new Evacuations();
	const lines: Array<{readonly message: string; readonly fields: LogFields}> = [];
	const addLine = (fields: LogFields, message: string): void => {
		lines.push({message, fields});
	};

	const watch = new EvacuationWatch({dataCenters: ['a', 'b', 'c'], evacuations, log: {...silentLog, warn: addLine}});
	return {evacuations, watch, lines};
}

const item = (name: string, revision = 1, value = '{}') => ({key: `op/evacuate/${name}`, revision, value});
const removal = (name: string, revision: number) => ({key: `op/evacuate/${name}`, revision, value: undefined});

test('whatever the value of an item, its data centre is evacuated from the write to the removal', t => {
	const {evacuations, watch, lines} = createWatch();
	watch.setItems([item('b'), {...item('b'), key: 'op/config'}], 5);
	t.deepEqual(evacuations.getState(), {revision: 5, dataCenters: ['b']});
	watch.addChanges([item('a', 6, ''), item('b', 7, '[odd'), removal('b', 8)]);
	t.deepEqual(evacuations.getState(), {revision: 8, dataCenters: ['a']});
	t.true(evacuations.isEvacuated('a'));
	t.deepEqual(lines.map(({fields: {source, began, ended}}) => ({source, began, ended})), [
		{source: 'store', began: ['b'], ended: []}, {source: 'store', began: ['a'], ended: []}, {source: 'store', began: [], ended: ['b']},
	]);
});

test('an unknown data centre is logged once and ignored, from the store and from a peer', t => {
	const {evacuations, watch, lines} = createWatch();
	watch.setItems([item('nowhere'), item('')], 5);
	watch.setItems([item('nowhere'), item('')], 6);
	watch.addChanges([item('nowhere', 7), item('a/b', 8), removal('nowhere', 9)]);
	watch.addPeerState({revision: 20, dataCenters: ['nowhere', 'b']}, 'peer');
	t.deepEqual(evacuations.getState().dataCenters, ['b']);
	t.deepEqual(lines.filter(({message}) => message.includes('unknown')).map(({fields: {key}}) => key), ['op/evacuate/nowhere', 'op/evacuate/', 'op/evacuate/a/b']);
});

test('a state that is older than the known one changes nothing, whether the store or a peer gives it', t => {
	const {evacuations, watch} = createWatch();
	watch.addPeerState({revision: 10, dataCenters: ['a']}, 'peer');
	watch.addPeerState({revision: 9, dataCenters: []}, 'late peer');
	watch.setItems([], 8);
	watch.addChanges([item('b', 7), removal('a', 10)]);
	t.deepEqual(evacuations.getState(), {revision: 10, dataCenters: ['a']});
	watch.addPeerState({revision: 11, dataCenters: []}, 'peer');
	t.deepEqual(evacuations.getState(), {revision: 11, dataCenters: []});
});

test('the state is published only once some VM is known to have known an evacuation', t => {
	const {watch} = createWatch();
	watch.setItems([], 5);
	t.is(watch.getPublishedState(), undefined);
	// A peer that cannot reach the store has not heard of the end.
	watch.addPeerState({revision: 3, dataCenters: ['a']}, 'peer');
	t.deepEqual(watch.getPublishedState(), {revision: 5, dataCenters: []});
});

test('an evacuation that is written or removed while the history is lost or the store fails is found by the next read', async t => {
	const {evacuations, watch} = createWatch();
	const clock = new ManualClock();
	const fault = (reason: StoreFault['reason']): StoreFault => ({ok: false, reason, detail: ''});
	const read = (revision: number, items: ReadonlyArray<ReturnType<typeof item>> = []) => ({ok: true, value: {items, revision}});
	const reads = [fault('refused'), fault('unanswered'), read(3), read(9, [item('b', 6)]), read(12)];
	const changes = [fault('history-lost'), fault('unanswered')];
	const seen: unknown[] = [];
	let position = 0;
	const configuration: ConfigurationWatch = new ConfigurationWatch({
		clock, log: silentLog, evacuations: watch, store: {
			async getRange(prefix: string) {
				t.is(prefix, 'op/');
				return reads[position++]!;
			},
			async getChanges() {
				seen.push(evacuations.getState());
				const change = changes.shift();
				if (change === undefined) {
					configuration.close();
				}

				return change ?? {ok: true, value: {changes: [], revision: 12}};
			},
		} as unknown as StoreClient,
	});
	t.false(configuration.isFirstReadDone());
	const running = configuration.run();
	await clock.advance(2000);
	await running;
	t.true(configuration.isFirstReadDone());
	t.deepEqual(seen, [{revision: 3, dataCenters: []}, {revision: 9, dataCenters: ['b']}, {revision: 12, dataCenters: []}]);
});
