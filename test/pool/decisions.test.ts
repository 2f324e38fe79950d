import test from 'ava';
import {
	type AdmissionInput, canMeetObjective, chooseUpstream, decideAdmission, DurationEstimator, electOwners, findRoute, getCriticalPathMs, getPoolNames, isOverdue, type JobStep,
	type OrderedJob, type PlacementCandidate, type PoolView, sortByUrgency, sortByExpectedWait, type Candidate,
} from '../../src/pool/index.js';

const step: JobStep = {
	taskCount: 2, needs: {cpu: 7000, memoryMb: 64, accelerators: 0}, estimateMs: 200, after: [],
};

function createCandidate(id: string, cpu: number, options: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, rack: 'r1', labels: ['a', 'r1'], free: {cpu, memoryMb: 32_768, accelerators: 0}, slowness: 1, isSuspect: false, ...options,
	};
}

function createOrdered(options: Partial<OrderedJob>): OrderedJob {
	return {
		priority: 0, hasStarted: false, objectiveAt: 1000, remainingMs: 100, remainingWork: 100, arrivedAt: 0, ...options,
	};
}

test('a task goes to the fullest upstream that still fits', t => {
	const chosen = chooseUpstream(step, [createCandidate('empty', 16_000), createCandidate('half', 8000), createCandidate('full', 6000)]);
	t.is(chosen?.id, 'half');
});

test('an upstream that fails is a last resort and is used when nothing else fits', t => {
	const doubtful = createCandidate('doubtful', 7000, {isSuspect: true});
	t.is(chooseUpstream(step, [doubtful, createCandidate('sound', 16_000)])?.id, 'sound');
	t.is(chooseUpstream(step, [doubtful, createCandidate('full', 1000)])?.id, 'doubtful');
});

test('labels, the rack of the data and the most tasks on one upstream are kept to', t => {
	const near = createCandidate('near', 16_000, {rack: 'r2', labels: ['b', 'r2']});
	const far = createCandidate('far', 8000);
	t.is(chooseUpstream({...step, dataRack: 'r2'}, [far, near])?.id, 'near');
	t.is(chooseUpstream({...step, requiredLabel: 'b'}, [far, near])?.id, 'near');
	t.is(chooseUpstream({...step, requiredLabel: 'c'}, [far, near]), undefined);
	t.is(chooseUpstream({...step, maxPerUpstream: 1}, [far, near], new Map([['far', 1]]))?.id, 'near');
});

test('a slow upstream is passed over while a faster one has room', t => {
	t.is(chooseUpstream(step, [createCandidate('slow', 8000, {slowness: 6}), createCandidate('fast', 16_000)])?.id, 'fast');
});

test('at overload, jobs that are begun come first, then those that can meet their objective, then late ones', t => {
	const begun = createOrdered({hasStarted: true, priority: 2, objectiveAt: 0});
	const inTime = createOrdered({priority: 2});
	const urgent = createOrdered({priority: 0, remainingWork: 200});
	const small = createOrdered({priority: 0, remainingWork: 50});
	const late = createOrdered({priority: 0, objectiveAt: 50});
	t.deepEqual(sortByUrgency([late, inTime, urgent, small, begun], 0), [begun, small, urgent, inTime, late]);
	t.false(canMeetObjective(late, 0));
});

const admission: AdmissionInput = {
	fittingUpstreams: 3, workAhead: 0, work: 3000, cores: 200, higherPriorityCores: 0, unplacedWork: 3000, criticalPathMs: 100, objectiveMs: 200, deadlineMs: 1500, nextRunEndMs: 10,
};

test('a job with room now, also for a part of its tasks, is admitted however late it already is', t => {
	t.true(decideAdmission({...admission, unplacedWork: 0, objectiveMs: 20}).isAdmitted);
	t.true(decideAdmission({
		...admission, unplacedWork: 2000, workAhead: 100_000, objectiveMs: 20,
	}).isAdmitted);
	t.false(decideAdmission({...admission, workAhead: 100_000}).isAdmitted);
});

test('a job that would be given up later is refused when it comes, with the wait to expect', t => {
	const decision = decideAdmission({...admission, workAhead: 400_000});
	t.deepEqual(decision, {
		isAdmitted: false, reason: 'deadline', expectedWaitMs: 10 + (401_500 / 160), retryAfterMs: 10 + (401_500 / 160),
	});
});

test('a job that no upstream can take, or for which there is none, is refused', t => {
	t.like(decideAdmission({...admission, fittingUpstreams: 0}), {isAdmitted: false, reason: 'does-not-fit'});
	t.like(decideAdmission({...admission, cores: 0}), {isAdmitted: false, reason: 'no-upstream', retryAfterMs: 1000});
});

test('the longest chain follows the steps that wait for one another', t => {
	t.is(getCriticalPathMs([step, {...step, estimateMs: 50}, {...step, after: [0, 1], estimateMs: 30}]), 230);
});

test('durations are learnt by route, and one stuck task moves them little', t => {
	const estimator = new DurationEstimator();
	t.is(estimator.getExpectedMs('a', 100), 100);
	for (let count = 0; count < 200; count++) {
		estimator.addDuration('a', 100, 140);
	}

	t.true(Math.abs(estimator.getExpectedMs('a', 100) - 140) < 1);
	t.is(estimator.getExpectedMs('b', 100), 100);
	estimator.addDuration('a', 100, 100_000);
	t.true(estimator.getExpectedMs('a', 100) < 165);
});

test('a run is overdue by its estimate or by its siblings', t => {
	t.false(isOverdue({ageMs: 400, expectedMs: 100, siblingMs: 0}));
	t.true(isOverdue({ageMs: 500, expectedMs: 100, siblingMs: 0}));
	t.true(isOverdue({ageMs: 250, expectedMs: 100, siblingMs: 80}));
	// As seen on a day: the estimate was far too short, the siblings ran on faster upstreams.
	t.false(isOverdue({ageMs: 289, expectedMs: 73.5, siblingMs: 186}));
});

function createVm(id: string, options: Partial<Candidate> = {}): Candidate {
	return {
		id, dataCenter: 'dc1', cores: 1, isUp: true, isLeaving: false, claims: {}, ...options,
	};
}

test('an owner keeps its pool when VMs come and go', t => {
	const owner = createVm('b', {claims: {dc1: 7}});
	t.is(electOwners(['dc1'], [createVm('a'), owner, createVm('c')]).get('dc1')?.id, 'b');
	t.is(electOwners(['dc1'], [createVm('a'), {...owner, isUp: false}, createVm('c')]).get('dc1')?.id, 'a');
});

test('of two owners the one with the higher fence stays', t => {
	t.is(electOwners(['dc1'], [createVm('a', {claims: {dc1: 3}}), createVm('b', {claims: {dc1: 7}})]).get('dc1')?.id, 'b');
});

test('a VM that leaves hands its pool on, unless it is the last', t => {
	const leaving = createVm('a', {isLeaving: true, claims: {dc1: 3}});
	t.is(electOwners(['dc1'], [leaving, createVm('b')]).get('dc1')?.id, 'b');
	t.is(electOwners(['dc1'], [leaving]).get('dc1')?.id, 'a');
});

test('a pool without VMs of its own is taken from elsewhere, and given back', t => {
	const far = createVm('f', {dataCenter: 'dc2', claims: {dc1: 9, dc2: 1}});
	t.is(electOwners(['dc1'], [far]).get('dc1')?.id, 'f');
	t.is(electOwners(['dc1'], [far, createVm('a')]).get('dc1')?.id, 'a');
	t.is(electOwners(['dc1'], []).get('dc1'), undefined);
});

test('pools without an owner go to VMs in proportion to their cores', t => {
	const large = createVm('z', {cores: 1.35});
	const small = ['a', 'b', 'c'].map(id => createVm(id, {cores: 0.324}));
	const pools = getPoolNames('dc1', 6);
	const elected = electOwners(pools, [...small, large]);
	const counts = [large, ...small].map(vm => [...elected.values()].filter(({id}) => id === vm.id).length);
	t.deepEqual(counts, [4, 1, 1, 0]);
	t.deepEqual(electOwners(pools, [large, ...small]), elected);
});

test('when an owner dies, its pools go to the VMs that have least to do, and the others stay', t => {
	const pools = getPoolNames('dc1', 4);
	const claim = (...positions: readonly number[]) => Object.fromEntries(positions.map(position => [pools[position]!, position + 1]));
	const busy = createVm('a', {claims: claim(0, 1)});
	const dead = createVm('b', {isUp: false, claims: claim(2, 3)});
	const elected = electOwners(pools, [busy, dead, createVm('c'), createVm('d')]);
	t.deepEqual(pools.map(pool => elected.get(pool)?.id), ['a', 'a', 'c', 'd']);
});

function createView(pool: string, options: Partial<PoolView> = {}): PoolView {
	return {
		pool, isNear: false, isOwn: false, ownerId: pool, cores: 200, freeCpu: 50_000, rooms: [24_000, 24_000], queuedWork: 0, ...options,
	};
}

test('jobs stay near while there is room, and go where it comes free sooner in a burst at home', t => {
	const home = createView('home', {isNear: true});
	t.is(sortByExpectedWait([createView('far'), home], 14_000)[0]?.pool, 'home');
	t.is(sortByExpectedWait([createView('far'), {...home, freeCpu: 0, queuedWork: 4000}], 14_000)[0]?.pool, 'far');
	t.is(sortByExpectedWait([createView('far', {cores: 0}), {...home, freeCpu: 0, queuedWork: 40_000}], 14_000)[0]?.pool, 'home');
});

test('the longest prefix of a host decides on the route', t => {
	const rules = {
		route: 'r', service: 's', priority: 0, maxAttempts: 1, stretch: 1, slackMs: 0,
	};
	const table = {
		version: 1, maxBodyBytes: 10, routes: [{host: 'h', prefix: '/a/', rules}, {host: 'h', prefix: '/a/b/', rules}, {host: 'g', prefix: '/a/', rules}],
	};
	t.is(findRoute(table, 'h', '/a/b/1')?.prefix, '/a/b/');
	t.is(findRoute(table, 'h', '/a/1')?.prefix, '/a/');
	t.is(findRoute(table, 'x', '/a/1'), undefined);
});
