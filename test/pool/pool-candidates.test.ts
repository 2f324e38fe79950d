import test from 'ava';
import {type Member} from '../../src/connection/index.js';
import {PoolLayout} from '../../src/pool/index.js';
import {PoolCandidates} from '../../src/pool/pool-candidates.js';

function createMember(vm: string, options: Partial<Member> = {}): Member {
	return {
		incarnation: {dataCenter: 'a', vm, id: `${vm}-1`}, state: 'up', isLeaving: false, peerAddress: '', configurationVersion: 1, claims: {}, cores: 1, ...options,
	};
}

function createFixture() {
	const state: {members: readonly Member[]; owned: ReadonlyArray<readonly [string, number]>; isLeaving: boolean} = {members: [], owned: [], isLeaving: false};
	const layout = new PoolLayout();
	const candidates = new PoolCandidates({
		self: {dataCenter: 'a', vm: 'self', id: 'self-1'},
		cores: 0.324,
		layout,
		peers: {getMembers: () => state.members},
		getOwnedPools: () => state.owned,
		isLeaving: () => state.isLeaving,
	});
	return {state, layout, candidates};
}

test('the candidates are created again only when a member or the state of this VM changes', t => {
	const {state, candidates} = createFixture();
	const first = candidates.getCandidates();
	t.like(first, [{
		id: 'self-1', cores: 0.324, isUp: true, claims: {},
	}]);
	t.is(candidates.getCandidates(), first);
	state.owned = [['a', 3]];
	t.like(candidates.getCandidates(), [{claims: {a: 3}}]);
	state.owned = [['a', 5]];
	t.like(candidates.getCandidates(), [{claims: {a: 5}}]);
	state.isLeaving = true;
	t.like(candidates.getCandidates(), [{isLeaving: true}]);
	state.members = [createMember('b', {state: 'silent'})];
	t.like(candidates.getCandidates()[1], {id: 'b-1', isUp: false});
});

const secondPool = 'a#1/2';

test('pools that other VMs claim are added to the layout, including those of other data centres', t => {
	const {state, layout, candidates} = createFixture();
	state.members = [createMember('b', {claims: {[secondPool]: 7}}), createMember('c', {incarnation: {dataCenter: 'z', vm: 'c', id: 'c-1'}, claims: {z: 2}})];
	candidates.getCandidates();
	t.deepEqual(layout.getPools(), ['a#0/2', 'a#1/2', 'z']);
	t.is(candidates.countLocalOwners(), 1);
	t.true(candidates.hasReachableVm('z'));
	t.false(candidates.hasReachableVm('y'));
});

test('a VM that becomes an owner sends heartbeats at the interval of owners', t => {
	const {state, candidates} = createFixture();
	state.members = Array.from({length: 20}, (_, index) => createMember(`v${index}`));
	const peer = state.members[0]!.incarnation;
	const nonOwnerInterval = candidates.getHeartbeatIntervalTicks(peer);
	state.owned = [['a', 2]];
	t.true(candidates.getHeartbeatIntervalTicks(peer) < nonOwnerInterval);
	state.owned = [];
	t.is(candidates.getHeartbeatIntervalTicks(peer), nonOwnerInterval);
});
