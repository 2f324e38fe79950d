import test from 'ava';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {createFakeStoreClient, createWireItem} from './store-fixture.js';

const clock = new ManualClock();
const emptyItem = {key: 'servers/odd', revision: 3, created: 3};

test('an item whose empty value is omitted on the wire does not make the read fail', async t => {
	const valid = createWireItem('servers/i-1', 'x');
	const range = createFakeStoreClient(clock, () => ({body: {items: [emptyItem, valid], as_of: 5}}));
	t.like(await range.getRange('servers/'), {ok: true, value: {items: [{key: 'servers/odd', value: ''}, {key: 'servers/i-1', value: 'x'}]}});
	const watch = createFakeStoreClient(clock, () => ({body: {events: [emptyItem, valid], as_of: 5}}));
	t.like(await watch.getChanges('servers/', 1, 1), {ok: true, value: {changes: [{value: ''}, {value: 'x'}]}});
	const item = createFakeStoreClient(clock, () => ({body: {...emptyItem, as_of: 5}}));
	t.like(await item.getItem('servers/odd'), {ok: true, value: {item: {value: ''}}});
});
