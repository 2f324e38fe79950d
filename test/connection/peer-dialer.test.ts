import test from 'ava';
import {DialerSet} from '../../src/connection/dialer-set.js';
import {type MemberRecord} from '../../src/connection/member-record.js';
import {type MemberTable} from '../../src/connection/member-table.js';
import {PeerDialer} from '../../src/connection/peer-dialer.js';
import {type PeerMeshSettings} from '../../src/connection/peer-mesh-options.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {createFakeClock} from '../support/fake-clock.js';

const maxBackoffMs = 300;

/** Lets the dialling tasks go on. */
async function runTasks(): Promise<void> {
	for (let turns = 0; turns < 20; turns++) {
		await Promise.resolve();
	}
}

function createFixture() {
	const clock = createFakeClock();
	const state = {isLinked: false, dialCount: 0, timerCount: 0};
	const dialer = new PeerDialer({
		clock: {
			...clock,
			setTimer(callback, delayMs) {
				state.timerCount++;
				return clock.setTimer(callback, delayMs);
			},
		},
		random: createSeededRandom(1),
		address: 'b:1',
		isLinked: () => state.isLinked,
		async dial() {
			state.dialCount++;
			state.isLinked = true;
		},
		minBackoffMs: 50,
		getMaxBackoffMs: () => maxBackoffMs,
	});
	return {clock, state, dialer};
}

test('a task whose address is linked sets no timer, and redials at once when it is woken after the end of the link', async t => {
	const {clock, state, dialer} = createFixture();
	const ended = dialer.run();
	await runTasks();
	clock.tick(60_000);
	dialer.checkLink();
	await runTasks();
	t.deepEqual(state, {isLinked: true, dialCount: 1, timerCount: 0});
	state.isLinked = false;
	dialer.wake();
	await runTasks();
	t.deepEqual(state, {isLinked: true, dialCount: 2, timerCount: 0});
	dialer.wake();
	await runTasks();
	t.is(state.dialCount, 2);
	dialer.close();
	await ended;
});

test('a task whose link has ended unnoticed redials at the next check', async t => {
	const {state, dialer} = createFixture();
	const ended = dialer.run();
	await runTasks();
	state.isLinked = false;
	dialer.checkLink();
	await runTasks();
	t.is(state.dialCount, 2);
	dialer.close();
	await ended;
});

test('a link that ends unnoticed is dialled again within the maximum backoff, until the tasks are stopped', async t => {
	const clock = createFakeClock();
	let dialCount = 0;
	let link: unknown;
	const record = {incarnation: {id: 'b-1'}, address: 'b:1', getOpenLink: () => link} as unknown as MemberRecord;
	const table = {getRecordsAt: () => new Set([record]), getRecord: () => record} as unknown as MemberTable;
	const settings = {
		clock, random: createSeededRandom(1), minBackoffMs: 50, maxBackoffMs, downRetentionMs: 60_000, seeds: [],
	} as unknown as PeerMeshSettings;
	const dialers = new DialerSet({
		settings,
		table,
		async dial() {
			dialCount++;
			link = {};
			return 'b-1';
		},
	});
	dialers.update(new Set(['b:1']));
	await runTasks();
	clock.tick(maxBackoffMs * 10);
	await runTasks();
	t.is(dialCount, 1);
	link = undefined;
	clock.tick(maxBackoffMs);
	await runTasks();
	t.is(dialCount, 2);
	dialers.close();
	link = undefined;
	clock.tick(maxBackoffMs * 10);
	await runTasks();
	t.is(dialCount, 2);
});
