import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {type MemberRecord} from '../../src/connection/member-record.js';
import {MemberTable} from '../../src/connection/member-table.js';
import {type Member} from '../../src/connection/peer-network.js';
import {EventLog} from '../../src/process/events.js';
import {createFakeClock} from '../support/fake-clock.js';

const status = {
	configurationVersion: 1, isLeaving: false, claims: {p: 1}, cores: 1,
};

function createTable(): {readonly table: MemberTable; readonly emitted: Array<readonly Member[]>; readonly add: (vm: string, address: string) => MemberRecord} {
	const clock = createFakeClock();
	const table = new MemberTable({
		clock, events: new EventLog({clock, process: 'a-1'}), maxBufferBytes: 1000, maxFrameBytes: 1000, onDown() {/* Not tested here. */}, onRemove() {/* Not tested here. */},
	});
	const emitted: Array<readonly Member[]> = [];
	table.getStream().subscribe({
		next(members) {
			emitted.push(members);
		},
		error(err) {
			throw err;
		},
		complete() {/* Not tested here. */},
	});
	return {table, emitted, add: (vm, address) => table.getOrAddRecord({dataCenter: 'dc1', vm, id: `${vm}-1`}, address)};
}

test('batched changes are emitted once, at the end of the batch', async t => {
	const {table, emitted, add} = createTable();
	// A stream emits its first value in a later task than the subscription.
	await setImmediate();
	const before = emitted.length;
	table.batchChanges(() => {
		const record = add('b', '127.0.0.1:2');
		table.batchChanges(() => {
			add('c', '127.0.0.1:3');
		});
		table.setState(record, 'up', 'test');
		table.setStatus(record, status);
		t.is(emitted.length, before);
		t.true(table.getRevision() > 0);
	});
	t.is(emitted.length, before + 1);
	t.like(table.getMembers(), [{state: 'up', claims: {p: 1}}, {state: 'silent'}]);
	t.is(emitted.at(-1), table.getMembers());

	table.batchChanges(() => {
		table.setStatus(table.getRecord('b-1')!, {...status, claims: {p: 1}});
	});
	t.is(emitted.length, before + 1);
	t.throws(() => {
		table.batchChanges(() => {
			table.setStatus(table.getRecord('b-1')!, {...status, claims: {p: 2}});
			throw new Error('test');
		});
	}, {message: 'test'});
	t.is(emitted.length, before + 2);
	table.setStatus(table.getRecord('b-1')!, {...status, claims: {q: 2}});
	t.is(emitted.length, before + 3);
});

test('records are found by their current address', t => {
	const {table, add} = createTable();
	const [b, successor] = [add('b', '127.0.0.1:2'), add('again', '127.0.0.1:2')];
	t.deepEqual([...table.getRecordsAt('127.0.0.1:2')], [b, successor]);
	table.setAddress(b, '127.0.0.1:3');
	t.deepEqual([...table.getRecordsAt('127.0.0.1:2')], [successor]);
	t.deepEqual([...table.getRecordsAt('127.0.0.1:3')], [b]);
	table.setState(successor, 'down', 'test');
	table.removeDeparted(-1, () => true);
	t.is(table.getRecordsAt('127.0.0.1:2').size, 0);
	t.is(table.getRecord('again-1'), undefined);
	t.deepEqual([...table.getRecordsAt('127.0.0.1:3')], [b]);
});
