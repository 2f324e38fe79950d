import test from 'ava';
import {
	type Candidate, PoolDirectory, type PoolLoad, RemoteLoadRelay,
} from '../../src/pool/index.js';
import {type PoolView} from '../../src/scheduling/index.js';
import {ManualClock} from '../../src/testing/index.js';
import {typicalWork} from './pool-harness.js';

const load: PoolLoad = {
	cores: 64, freeCpu: 13_600, rooms: [9000, 7000], queuedWork: 0,
};
const sender = {dataCenter: 'a', vm: 'a-1', id: 'a-1-1'};

type Vm = {readonly directory: PoolDirectory; readonly relay: RemoteLoadRelay; readonly getView: () => PoolView; readonly lines: readonly unknown[]};

/** Creates what a VM of data centre `a` knows of the pool `b`, which is in another data centre. */
function createVm(clock: ManualClock, getVmCount = () => 30): Vm {
	const owner: Candidate = {
		id: 'b-1', dataCenter: 'b', cores: 1, isUp: true, isLeaving: false, claims: {b: 2},
	};
	const candidates = [owner];
	const pools = ['a', 'b'];
	const lines: unknown[] = [];
	const add = (fields: unknown): void => {
		lines.push(fields);
	};

	const directory = new PoolDirectory({
		clock, selfId: 'a-2', dataCenter: 'a', getPools: () => pools, getCandidates: () => candidates,
	});
	const relay = new RemoteLoadRelay({
		clock, dataCenter: 'a', directory, getVmCount, log: {debug: add, info: add, warn: add},
	});
	return {
		directory, relay, getView: () => directory.getViews(['b'])[0]!, lines,
	};
}

/** Passes on what one VM has. */
function passOn(from: Vm, to: Vm): void {
	const items = from.relay.getItems();
	to.relay.handleRelayed(structuredClone(Object.fromEntries(items.map(({name, value}) => [name, value]))), sender);
}

test('a VM without a link learns the load of a remote pool with its age, and forgets it when it is too old', async t => {
	const clock = new ManualClock();
	const [linked, other] = [createVm(clock), createVm(clock)];
	await clock.advance(1000);
	linked.directory.addClaims({b: {fence: 2, load}});
	await clock.advance(150);
	t.is(other.getView().reportedAt, undefined);
	passOn(linked, other);
	t.like(other.getView(), {
		cores: 64, freeCpu: 13_600, rooms: [9000, 7000], reportedAt: clock.getMonotonicTime() - 150,
	});
	t.deepEqual(other.relay.getCounts(), [{verdict: 'recorded', upToMs: 200, count: 1}]);
	t.is(other.lines.length, 1);
	await clock.advance(2850);
	t.is(other.getView().cores, 64);
	await clock.advance(1);
	t.like(other.getView(), {cores: 0, reportedAt: undefined});
	passOn(linked, other);
	t.is(other.getView().cores, 0, 'a load that is too old is not passed on either');
});

test('work that a VM sends after a relayed load was measured is subtracted from it', async t => {
	const clock = new ManualClock();
	const [linked, other] = [createVm(clock), createVm(clock)];
	linked.directory.addClaims({b: {fence: 2, load}});
	passOn(linked, other);
	await clock.advance(200);
	linked.directory.addClaims({b: {fence: 2, load: {...load, freeCpu: 10_000}}});
	await clock.advance(50);
	other.directory.addSentTask('b', {
		taskCount: 1, needs: {...typicalWork.needs, cpu: 1000}, estimateMs: 100, after: [],
	});
	passOn(linked, other);
	t.is(other.getView().freeCpu, 9000);
});

test('the newest load counts, and one of an earlier owner does not', async t => {
	const clock = new ManualClock();
	const vm = createVm(clock);
	await clock.advance(1000);
	vm.directory.addClaims({b: {fence: 2, load}});
	vm.relay.handleRelayed({b: {fence: 2, ageMs: 5, load: {...load, cores: 1}}}, sender);
	await clock.advance(10);
	vm.relay.handleRelayed({b: {fence: 1, ageMs: 5, load: {...load, cores: 2}}}, sender);
	t.is(vm.getView().cores, 64);
	vm.relay.handleRelayed({b: {fence: 2, ageMs: 5, load: {...load, cores: 3}}}, sender);
	t.is(vm.getView().cores, 3);
	vm.directory.addClaims({b: {fence: 2, load}});
	t.is(vm.getView().cores, 64);
});

test('malformed loads, unknown and local pools, and loads from another data centre are ignored', t => {
	const clock = new ManualClock();
	const vm = createVm(clock);
	const valid = {fence: 2, ageMs: 5, load};
	for (const value of [
		undefined, null, 7, 'b', [valid], {b: null}, {b: {...valid, ageMs: -1}}, {b: {...valid, ageMs: undefined}}, {b: {...valid, fence: 'x'}}, {b: {...valid, load: {cores: 64}}},
	]) {
		vm.relay.handleRelayed(value, sender);
		t.is(vm.getView().reportedAt, undefined);
	}

	vm.relay.handleRelayed({b: valid}, {...sender, dataCenter: 'b'});
	t.is(vm.getView().reportedAt, undefined);
	vm.relay.handleRelayed(Object.fromEntries([['a', valid], ['unknown', valid], ['b', valid], ['x', 1]]), sender);
	t.is(vm.getView().cores, 64);
	t.is(vm.directory.getViews().length, 1);
	t.is(vm.relay.getCounts().find(({verdict}) => verdict === 'invalid')?.count, 12);
	t.is(vm.lines.length, 1, 'one line a second');
});

test('a load is sent when it changes and renewed once a second, not more often than each heartbeat, and never by a VM that received it from another', async t => {
	const clock = new ManualClock();
	const [linked, other] = [createVm(clock), createVm(clock)];
	const getRevision = (): number | undefined => linked.relay.getItems()[0]?.revision;
	linked.directory.addClaims({b: {fence: 2, load}});
	passOn(linked, other);
	t.deepEqual(other.relay.getItems(), []);
	t.is(getRevision(), 1);
	await clock.advance(500);
	linked.directory.addClaims({b: {fence: 2, load}});
	t.is(getRevision(), 1, 'unchanged');
	linked.directory.addClaims({b: {fence: 2, load: {...load, queuedWork: 5}}});
	t.is(getRevision(), 2, 'changed');
	await clock.advance(99);
	linked.directory.addClaims({b: {fence: 2, load}});
	t.is(getRevision(), 2, 'less than a heartbeat later');
	await clock.advance(901);
	linked.directory.addClaims({b: {fence: 2, load: {...load, queuedWork: 5}}});
	t.is(getRevision(), 3, 'renewed');
});

test('nothing is passed on while all VMs are linked', t => {
	const vm = createVm(new ManualClock(), () => 10);
	vm.directory.addClaims({b: {fence: 2, load}});
	t.deepEqual(vm.relay.getItems(), []);
});

test('lending between pools uses only what their owners sent, so that relayed queues cause no messages between data centres', t => {
	const vm = createVm(new ManualClock());
	vm.relay.handleRelayed({b: {fence: 2, ageMs: 0, load: {...load, queuedWork: 500}}}, sender);
	t.is(vm.getView().queuedWork, 500);
	t.is(vm.directory.getReceivedViews(['b'])[0]!.queuedWork, 0);
});
