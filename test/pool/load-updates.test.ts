import test from 'ava';
import {type Candidate, PoolDirectory, type PoolLoad} from '../../src/pool/index.js';
import {type PoolView} from '../../src/scheduling/index.js';
import {LoadPublisher} from '../../src/pool/load-publisher.js';
import {ManualClock} from '../../src/testing/index.js';
import {typicalWork} from './pool-harness.js';

const idle: PoolLoad = {
	cores: 64, freeCpu: 13_600, rooms: [9000, 7000], queuedWork: 0,
};
const step = {
	taskCount: 1, needs: typicalWork.needs, estimateMs: 100, after: [],
};

function createDirectory(): {readonly clock: ManualClock; readonly directory: PoolDirectory; readonly getFreeCapacities: () => readonly number[] | undefined} {
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
	return {clock, directory, getFreeCapacities: () => directory.getViews().find(({pool}) => pool === 'b')?.rooms};
}

test('the pools are in the same order on all VMs', t => {
	t.deepEqual(createDirectory().directory.getPools(), ['a', 'b']);
});

test('a sent task reserves the smallest free capacity that holds it until its pool has counted it', t => {
	const {directory, getFreeCapacities} = createDirectory();
	const sequence = directory.addSentTask('b', step);
	t.deepEqual(getFreeCapacities(), [9000, 200]);
	directory.addSentTask('b', step);
	t.deepEqual(getFreeCapacities(), [2200, 200]);
	directory.setLoad('b', {...idle, rooms: [9000]}, sequence);
	t.deepEqual(getFreeCapacities(), [2200]);
	directory.setLoad('b', {...idle, rooms: [2200]}, sequence + 1);
	t.deepEqual(getFreeCapacities(), [2200]);
});

test('a heartbeat that may have been sent before a task arrived does not count the task', async t => {
	const {clock, directory, getFreeCapacities} = createDirectory();
	directory.addSentTask('b', step);
	directory.addClaims({b: {fence: 1, load: idle}});
	t.deepEqual(getFreeCapacities(), [9000, 200]);
	await clock.advance(50);
	directory.addClaims({b: {fence: 1, load: idle}});
	t.deepEqual(getFreeCapacities(), [9000, 7000]);
});

test('a lower fence does not replace a higher one', t => {
	const {directory} = createDirectory();
	directory.addFence('a', 7);
	directory.addFence('a', 5);
	t.is(directory.getKnownFence('a'), 7);
});

function createPublisher(): {readonly clock: ManualClock; readonly publisher: LoadPublisher; readonly recipients: string[]; load: PoolLoad; otherPools: PoolView[]} {
	const clock = new ManualClock();
	const recipients: string[] = [];
	const fixture = {
		clock, recipients, load: idle, otherPools: ['b', 'c'].map(pool => createView(pool, 0)),
	};
	const publisher = new LoadPublisher({
		clock,
		hasQueuedTasks: () => fixture.load.queuedWork > 0,
		getLoad: () => fixture.load,
		getOtherPools: () => fixture.otherPools,
		send(pool) {
			recipients.push(pool);
		},
	});
	return Object.assign(fixture, {publisher});
}

function createView(pool: string, queuedWork: number): PoolView {
	return {
		pool, isNear: false, isOwn: false, ownerId: pool, cores: 64, freeCpu: 0, rooms: [], queuedWork,
	};
}

test('the load is published to all pools when a queue forms, and to those with a queue when there is free capacity', t => {
	const fixture = createPublisher();
	fixture.publisher.publish();
	t.deepEqual(fixture.recipients, []);
	const queueing = createPublisher();
	queueing.load = {...idle, rooms: [], queuedWork: 100};
	queueing.publisher.publish();
	t.deepEqual(queueing.recipients, ['b', 'c']);
	const lending = createPublisher();
	lending.otherPools = [createView('b', 0), createView('c', 500)];
	lending.publisher.publish();
	t.deepEqual(lending.recipients, ['c']);
});

test('updates in quick succession are combined, and the last one is not lost', async t => {
	const fixture = createPublisher();
	fixture.publisher.publish();
	fixture.otherPools = [createView('b', 500)];
	fixture.publisher.publish();
	fixture.publisher.publish();
	t.deepEqual(fixture.recipients, []);
	await fixture.clock.advance(20);
	t.deepEqual(fixture.recipients, ['b']);
});

test('the view of a pool is kept until its load, the work sent to it or its owner changes', async t => {
	const {clock, directory} = createDirectory();
	const getView = (): PoolView => directory.getViews().find(({pool}) => pool === 'b')!;
	const first = getView();
	await clock.advance(500);
	t.is(getView(), first);
	t.is(directory.getAgeMs('b'), 500);
	const sequence = directory.addSentTask('b', step);
	t.deepEqual(getView().rooms, [9000, 200]);
	t.not(getView(), first);
	directory.setLoad('b', {...idle, rooms: [9000]}, sequence);
	t.is(directory.getAgeMs('b'), 0);
	t.like(getView(), {ownerId: 'b-1', rooms: [9000]});
});

test('the view of a pool follows its owner', t => {
	const createOwner = (id: string, fence: number): Candidate => ({
		id, dataCenter: 'b', cores: 1, isUp: true, isLeaving: false, claims: {b: fence},
	});
	let candidates = [createOwner('b-1', 1)];
	const pools = ['b'];
	const directory = new PoolDirectory({
		clock: new ManualClock(), selfId: 'b-2', dataCenter: 'b', getPools: () => pools, getCandidates: () => candidates,
	});
	directory.addClaims({b: {fence: 1, load: idle}});
	t.like(directory.getViews()[0], {ownerId: 'b-1', isOwn: false});
	candidates = [createOwner('b-2', 2)];
	t.like(directory.getViews()[0], {ownerId: 'b-2', isOwn: true});
});
