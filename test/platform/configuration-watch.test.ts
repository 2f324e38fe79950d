import test from 'ava';
import {ConfigurationWatch} from '../../src/platform/configuration-watch.js';
import {type StoreClient} from '../../src/platform/store-client.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {silentLog} from '../pool/pool-harness.js';

function createConfiguration(version: number): string {
	return JSON.stringify({version, routes: [], services: []});
}

test('only the item under its own key is the configuration, among the operator\'s items and those under keys that begin with it', async t => {
	const clock = new ManualClock();
	const changes = [
		{key: 'op/config', revision: 2, value: createConfiguration(2)},
		{key: 'op/config/odd', revision: 3, value: createConfiguration(9)},
		{key: 'op/config2', revision: 4, value: '['},
	];
	const items = [
		{key: 'op/a', revision: 1, value: createConfiguration(7)},
		{key: 'op/config', revision: 1, value: createConfiguration(1)},
		{key: 'op/config0', revision: 1, value: createConfiguration(8)},
	];
	const store: Pick<StoreClient, 'getRange' | 'getChanges'> = {
		getRange: async () => ({ok: true, value: {items, revision: 1}}),
		async getChanges() {
			watch.close();
			return {ok: true, value: {changes, revision: 4}};
		},
	};
	const watch: ConfigurationWatch = new ConfigurationWatch({clock, log: silentLog, store: store as StoreClient});
	await watch.run();
	t.is(watch.getRoutingTable()?.version, 2);
});
