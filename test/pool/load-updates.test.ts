import test from 'ava';
import {
	type Candidate, PoolDirectory, type PoolLoad, type PoolView,
} from '../../src/pool/index.js';
import {LoadPublisher} from '../../src/pool/load-publisher.js';
import {ManualClock} from '../../src/testing/index.js';
import {typicalWork} from './pool-harness.js';

const idle: PoolLoad = {
	cores: 64, freeCpu: 13_600, rooms: [9000, 7000], queuedWork: 0,
};
const step = {
	taskCount: 1, needs: typicalWork.needs, estimateMs: 100, after: [],
};

function createDirectory(): {readonly clock: ManualClock; readonly directory: PoolDirectory; readonly getRooms: () => readonly number[] | undefined} {
	const clock = new ManualClock();
	const owner: Candidate = {
		id: 'b-1', dataCenter: 'b', cores: 1, isUp: true, isLeaving: false, claims: {b: 1},
	};
	const candidates = [owner];
	const pools = ['a', 'b'];
	const directory = new PoolDirectory({
		clock, selfId: 'a-1', dataCenter: 'a', getPools: () => pools, getCandidates: () => candidates,
	});
	directory.addClaims({b: {fence: 1, load: idle}});
	return {clock, directory, getRooms: () => directory.getViews().find(({pool}) => pool === 'b')?.rooms};
}

test('the pools are in the same order whoever names them', t => {
	t.deepEqual(createDirectory().directory.getPools(), ['a', 'b']);
});

test('a task on its way takes the smallest room that holds it, until its pool has counted it', t => {
	const {directory, getRooms} = createDirectory();
	const sequence = directory.addSentTask('b', step);
	t.deepEqual(getRooms(), [9000, 200]);
	directory.addSentTask('b', step);
	t.deepEqual(getRooms(), [2200, 200]);
	directory.setLoad('b', {...idle, rooms: [9000]}, sequence);
	t.deepEqual(getRooms(), [2200]);
	directory.setLoad('b', {...idle, rooms: [2200]}, sequence + 1);
	t.deepEqual(getRooms(), [2200]);
});

test('a heartbeat that may have left before a task came does not count it', async t => {
	const {clock, directory, getRooms} = createDirectory();
	directory.addSentTask('b', step);
	directory.addClaims({b: {fence: 1, load: idle}});
	t.deepEqual(getRooms(), [9000, 200]);
	await clock.advance(50);
	directory.addClaims({b: {fence: 1, load: idle}});
	t.deepEqual(getRooms(), [9000, 7000]);
});

test('the fence of a later owner is kept', t => {
	const {directory} = createDirectory();
	directory.addFence('a', 7);
	directory.addFence('a', 5);
	t.is(directory.getKnownFence('a'), 7);
});

function createTeller(): {readonly clock: ManualClock; readonly teller: LoadPublisher; readonly told: string[]; load: PoolLoad; others: PoolView[]} {
	const clock = new ManualClock();
	const told: string[] = [];
	const fixture = {
		clock, told, load: idle, others: ['b', 'c'].map(pool => createView(pool, 0)),
	};
	const teller = new LoadPublisher({
		clock,
		hasQueue: () => fixture.load.queuedWork > 0,
		getLoad: () => fixture.load,
		getOtherPools: () => fixture.others,
		send(pool) {
			told.push(pool);
		},
	});
	return Object.assign(fixture, {teller});
}

function createView(pool: string, queuedWork: number): PoolView {
	return {
		pool, isNear: false, isOwn: false, ownerId: pool, cores: 64, freeCpu: 0, rooms: [], queuedWork,
	};
}

test('all are told when work begins to wait, and those with waiting work when there is room', t => {
	const fixture = createTeller();
	fixture.teller.publish();
	t.deepEqual(fixture.told, []);
	const waiting = createTeller();
	waiting.load = {...idle, rooms: [], queuedWork: 100};
	waiting.teller.publish();
	t.deepEqual(waiting.told, ['b', 'c']);
	const helping = createTeller();
	helping.others = [createView('b', 0), createView('c', 500)];
	helping.teller.publish();
	t.deepEqual(helping.told, ['c']);
});

test('news in quick succession are told together, and the last is not lost', async t => {
	const fixture = createTeller();
	fixture.teller.publish();
	fixture.others = [createView('b', 500)];
	fixture.teller.publish();
	fixture.teller.publish();
	t.deepEqual(fixture.told, []);
	await fixture.clock.advance(20);
	t.deepEqual(fixture.told, ['b']);
});
