import test from 'ava';
import {
	electOwners, findRoute, getCriticalPathMs, getPoolNames, type JobStep, type Candidate,
} from '../../src/pool/index.js';
import {
	type AdmissionInput, canMeetObjective, chooseUpstream, decideAdmission, DurationEstimator, isOverdue, type OrderedJob, type PlacementCandidate, type PoolView,
	sortByExpectedWait, sortByUrgency,
} from '../../src/scheduling/index.js';

const step: JobStep = {
	taskCount: 2, needs: {cpu: 7000, memoryMb: 64, accelerators: 0}, estimateMs: 200, after: [],
};

function createCandidate(id: string, cpu: number, options: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, rack: 'r1', labels: ['a', 'r1'], free: {cpu, memoryMb: 32_768, accelerators: 0}, slowness: 1, isSuspect: false, ...options,
	};
}

function createOrderedJob(options: Partial<OrderedJob>): OrderedJob {
	return {
		priority: 0, hasStarted: false, isCommitted: false, objectiveAt: 1000, remainingMs: 100, remainingWork: 100, arrivedAt: 0, ...options,
	};
}

test('a task is placed on the fullest upstream that it fits', t => {
	const chosen = chooseUpstream(step, [createCandidate('empty', 16_000), createCandidate('half', 8000), createCandidate('full', 6000)]);
	t.is(chosen?.id, 'half');
});

test('a suspect upstream is used only if the task fits no other', t => {
	const suspect = createCandidate('suspect', 7000, {isSuspect: true});
	t.is(chooseUpstream(step, [suspect, createCandidate('healthy', 16_000)])?.id, 'healthy');
	t.is(chooseUpstream(step, [suspect, createCandidate('full', 1000)])?.id, 'suspect');
});

test('placement respects required labels, the rack of the data and the maximum number of tasks on one upstream', t => {
	const matching = createCandidate('matching', 16_000, {rack: 'r2', labels: ['b', 'r2']});
	const other = createCandidate('other', 8000);
	t.is(chooseUpstream({...step, dataRack: 'r2'}, [other, matching])?.id, 'matching');
	t.is(chooseUpstream({...step, requiredLabel: 'b'}, [other, matching])?.id, 'matching');
	t.is(chooseUpstream({...step, requiredLabel: 'c'}, [other, matching]), undefined);
	t.is(chooseUpstream({...step, maxPerUpstream: 1}, [other, matching], new Map([['other', 1]]))?.id, 'matching');
});

test('a faster upstream with free capacity is preferred to a slow one', t => {
	t.is(chooseUpstream(step, [createCandidate('slow', 8000, {slowness: 6}), createCandidate('fast', 16_000)])?.id, 'fast');
});

test('a task is packed among the upstreams on which it ends in time, and goes to the fastest if there is none', t => {
	const candidates = [createCandidate('fast', 16_000, {slowness: 0.6}), createCandidate('average', 12_000), createCandidate('slow', 8000, {slowness: 1.7})];
	t.is(chooseUpstream(step, candidates, undefined, 2)?.id, 'slow');
	t.is(chooseUpstream(step, candidates, undefined, 1.4)?.id, 'average');
	t.is(chooseUpstream(step, candidates, undefined, 0.4)?.id, 'fast');
	t.is(chooseUpstream(step, candidates)?.id, 'fast');
});

test('started jobs come first, then those that can meet their objective, then late ones', t => {
	const started = createOrderedJob({hasStarted: true, priority: 2, objectiveAt: 0});
	const inTime = createOrderedJob({priority: 2});
	const urgent = createOrderedJob({priority: 0, remainingWork: 200});
	const small = createOrderedJob({priority: 0, remainingWork: 50});
	const late = createOrderedJob({priority: 0, objectiveAt: 50});
	t.deepEqual(sortByUrgency([late, inTime, urgent, small, started], 0), [started, small, urgent, inTime, late]);
	t.false(canMeetObjective(late, 0));
});

const admissionInput: AdmissionInput = {
	fittingUpstreams: 3, workAhead: 0, work: 3000, cores: 200, higherPriorityCores: 0, unplacedWork: 3000, criticalPathMs: 100, objectiveMs: 200, deadlineMs: 1500, nextRunEndMs: 10,
};

test('a job of which any task can start now is admitted even if it will miss its objective', t => {
	t.true(decideAdmission({...admissionInput, unplacedWork: 0, objectiveMs: 20}).isAdmitted);
	t.true(decideAdmission({
		...admissionInput, unplacedWork: 2000, workAhead: 100_000, objectiveMs: 20,
	}).isAdmitted);
	t.false(decideAdmission({...admissionInput, workAhead: 100_000}).isAdmitted);
});

test('a job that would miss its deadline is refused on arrival, with the expected wait', t => {
	const decision = decideAdmission({...admissionInput, workAhead: 400_000});
	t.deepEqual(decision, {
		isAdmitted: false, reason: 'deadline', expectedWaitMs: 10 + (401_500 / 160), retryAfterMs: 10 + (401_500 / 160),
	});
});

test('a job is refused if it fits no upstream or if there is none', t => {
	t.like(decideAdmission({...admissionInput, fittingUpstreams: 0}), {isAdmitted: false, reason: 'does-not-fit'});
	t.like(decideAdmission({...admissionInput, cores: 0}), {isAdmitted: false, reason: 'no-upstream', retryAfterMs: 1000});
});

test('the critical path follows the dependencies between steps', t => {
	t.is(getCriticalPathMs([step, {...step, estimateMs: 50}, {...step, after: [0, 1], estimateMs: 30}]), 230);
});

test('expected durations follow the measured ones of each route, and a single stuck task hardly changes them', t => {
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

test('a run is overdue by its expected duration, or by that of its siblings if there are any', t => {
	t.false(isOverdue({ageMs: 400, expectedMs: 100, siblingMs: 0}));
	t.true(isOverdue({ageMs: 500, expectedMs: 100, siblingMs: 0}));
	t.true(isOverdue({ageMs: 250, expectedMs: 100, siblingMs: 80}));
	// An observed case: the estimate was much too short, and the siblings ran on faster upstreams.
	t.false(isOverdue({ageMs: 289, expectedMs: 73.5, siblingMs: 186}));
});

function createVmCandidate(id: string, options: Partial<Candidate> = {}): Candidate {
	return {
		id, dataCenter: 'dc1', cores: 1, isUp: true, isLeaving: false, claims: {}, ...options,
	};
}

test('an owner keeps its pool when other VMs join or leave, and loses it when it is down', t => {
	const owner = createVmCandidate('b', {claims: {dc1: 7}});
	t.is(electOwners(['dc1'], [createVmCandidate('a'), owner, createVmCandidate('c')]).get('dc1')?.id, 'b');
	t.is(electOwners(['dc1'], [createVmCandidate('a'), {...owner, isUp: false}, createVmCandidate('c')]).get('dc1')?.id, 'a');
});

test('of two VMs that claim a pool, the one with the higher fence owns it', t => {
	t.is(electOwners(['dc1'], [createVmCandidate('a', {claims: {dc1: 3}}), createVmCandidate('b', {claims: {dc1: 7}})]).get('dc1')?.id, 'b');
});

test('a leaving VM loses its pool, unless it is the last one', t => {
	const leaving = createVmCandidate('a', {isLeaving: true, claims: {dc1: 3}});
	t.is(electOwners(['dc1'], [leaving, createVmCandidate('b')]).get('dc1')?.id, 'b');
	t.is(electOwners(['dc1'], [leaving]).get('dc1')?.id, 'a');
});

test('a pool whose data centre has no VM is owned by a remote VM until a local one is up', t => {
	const remote = createVmCandidate('f', {dataCenter: 'dc2', claims: {dc1: 9, dc2: 1}});
	t.is(electOwners(['dc1'], [remote]).get('dc1')?.id, 'f');
	t.is(electOwners(['dc1'], [remote, createVmCandidate('a')]).get('dc1')?.id, 'a');
	t.is(electOwners(['dc1'], []).get('dc1'), undefined);
});

test('pools without an owner are distributed to VMs in proportion to their cores', t => {
	const large = createVmCandidate('z', {cores: 1.35});
	const small = ['a', 'b', 'c'].map(id => createVmCandidate(id, {cores: 0.324}));
	const pools = getPoolNames('dc1', 6);
	const elected = electOwners(pools, [...small, large]);
	const counts = [large, ...small].map(vm => [...elected.values()].filter(({id}) => id === vm.id).length);
	t.deepEqual(counts, [4, 1, 1, 0]);
	t.deepEqual(electOwners(pools, [large, ...small]), elected);
});

test('the pools of an owner that is down go to the least loaded VMs, and other pools keep their owners', t => {
	const pools = getPoolNames('dc1', 4);
	const claim = (...positions: readonly number[]) => Object.fromEntries(positions.map(position => [pools[position]!, position + 1]));
	const busy = createVmCandidate('a', {claims: claim(0, 1)});
	const down = createVmCandidate('b', {isUp: false, claims: claim(2, 3)});
	const elected = electOwners(pools, [busy, down, createVmCandidate('c'), createVmCandidate('d')]);
	t.deepEqual(pools.map(pool => elected.get(pool)?.id), ['a', 'a', 'c', 'd']);
});

function createView(pool: string, options: Partial<PoolView> = {}): PoolView {
	return {
		pool, isNear: false, isOwn: false, ownerId: pool, cores: 200, freeCpu: 50_000, rooms: [24_000, 24_000], queuedWork: 0, ...options,
	};
}

test('the local pool is preferred if it has free capacity, and a remote one if its expected wait is shorter', t => {
	const local = createView('local', {isNear: true});
	t.is(sortByExpectedWait([createView('remote'), local], 14_000)[0]?.pool, 'local');
	t.is(sortByExpectedWait([createView('remote'), {...local, freeCpu: 0, queuedWork: 4000}], 14_000)[0]?.pool, 'remote');
	t.is(sortByExpectedWait([createView('remote', {cores: 0}), {...local, freeCpu: 0, queuedWork: 40_000}], 14_000)[0]?.pool, 'local');
});

test('a request takes the route of its host with the longest matching path prefix', t => {
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
