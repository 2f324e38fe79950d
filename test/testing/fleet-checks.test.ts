import test from 'ava';
import {type FleetSubmission} from '../../src/testing/fleet-callers.js';
import {
	findEarlyRestarts, findViolations, type FleetRecord, type FleetViolation,
} from '../../src/testing/fleet-checks.js';
import {type RestartGap} from '../../src/testing/restart-gaps.js';
import {type RecordedStart} from '../../src/testing/simulated-upstreams.js';

const capacity = {cpu: 16_000, memoryMb: 64, accelerators: 0};

function createRun(number: number, startedAt: number, options: Partial<RecordedStart> = {}): RecordedStart {
	return {
		task: 'j.0.0.0', number, upstream: `u${number}`, fence: 1, startedAt, used: {...capacity, cpu: 8000}, capacity, endedAt: startedAt + 100, end: 'lapsed', isEndedByCrash: true, crashedBy: 'deadly.0.0.0', ...options,
	};
}

function createSubmission(outcome: FleetSubmission['outcome']): FleetSubmission {
	return {
		job: 'j', taskCount: 1, vm: 'vm', sentAt: 0, endedAt: 9000, outcome,
	};
}

function getRules(record: Partial<FleetRecord>): ReadonlyArray<FleetViolation['rule']> {
	const violations = findViolations({
		starts: [], submissions: [createSubmission('left')], deadlyTasks: new Set(), listedCapacities: [], orders: [], evacuations: [], ...record,
	});
	return violations.map(({rule}) => rule);
}

test('a deadly task has too many starts with the third start after the third crash', t => {
	const deadlyTasks = new Set(['j.0.0.0']);
	const starts = Array.from({length: 5}, (_, position) => createRun(position + 1, position * 1000));
	t.deepEqual(getRules({starts, deadlyTasks}), []);
	const tooMany = [...starts, createRun(6, 5000, {endedAt: undefined, end: undefined, isEndedByCrash: false})];
	t.deepEqual(getRules({starts: tooMany, deadlyTasks}), ['too-many-starts']);
	t.deepEqual(getRules({starts: tooMany}), []);
	// Only runs that a crash ended count for the third one.
	const withStopped = [createRun(1, 0, {end: 'stopped', isEndedByCrash: false}), ...tooMany.slice(1)];
	t.deepEqual(getRules({starts: withStopped, deadlyTasks}), []);
});

test('a start may exceed a capacity that its upstream has shown for a short time only', t => {
	const getRulesAt = (startedAt: number, cpu: number, listedAt: readonly number[]): ReadonlyArray<FleetViolation['rule']> => getRules({
		starts: [createRun(1, startedAt, {upstream: 'u', used: {...capacity, cpu: 12_000}})],
		listedCapacities: [{upstream: 'u', at: 0, cpu: 16_000}, ...listedAt.map(at => ({upstream: 'u', at, cpu})), {upstream: 'other', at: 0, cpu: 1}],
	});

	t.deepEqual(getRulesAt(5600, 8000, [1000]), ['over-capacity']);
	t.deepEqual(getRulesAt(5400, 8000, [1000]), []);
	t.deepEqual(getRulesAt(5600, 12_000, [1000]), []);
	t.deepEqual(getRulesAt(500, 8000, [1000]), []);
	// It shows the capacity of the start from 3000 on.
	t.deepEqual(getRules({
		starts: [createRun(1, 9000, {upstream: 'u', used: {...capacity, cpu: 12_000}})],
		listedCapacities: [{upstream: 'u', at: 0, cpu: 8000}, {upstream: 'u', at: 3000, cpu: 16_000}, {upstream: 'u', at: 5000, cpu: 8000}],
	}), []);
});

test('a job without deadly tasks and without failed runs may not fail', t => {
	const submissions = [createSubmission('interrupted'), createSubmission('failed')];
	const starts = [createRun(1, 0), createRun(2, 1000)];
	t.deepEqual(getRules({starts, submissions}), ['innocent-failed']);
	t.deepEqual(getRules({starts, submissions, deadlyTasks: new Set(['other.0.0.0'])}), ['innocent-failed']);
	t.deepEqual(getRules({starts, submissions, deadlyTasks: new Set(['j.0.0.3'])}), []);
	// One of two crashes under the task had another cause, so that it looks like the task's fault.
	t.deepEqual(getRules({starts: [starts[0]!, createRun(2, 1000, {crashedBy: undefined})], submissions}), []);
	t.deepEqual(getRules({starts: [createRun(1, 0, {crashedBy: undefined})], submissions}), ['innocent-failed']);
	t.deepEqual(getRules({starts: [createRun(1, 0, {crashedBy: undefined}), createRun(2, 1000, {task: 'j.0.0.1'})], submissions}), ['innocent-failed']);
	t.deepEqual(getRules({starts: [...starts, createRun(3, 2000, {end: 'failed', isEndedByCrash: false})], submissions}), []);
	t.deepEqual(getRules({starts, submissions: [createSubmission('completed')]}).filter(rule => rule === 'innocent-failed'), []);
});

test('an upstream may not get orders of two processes under one fence', t => {
	const order = {upstream: 'u1', fence: 7, process: 'vm1-1'};
	t.deepEqual(getRules({orders: [order, {...order, process: 'vm1-2'}]}), ['shared-fence']);
	t.deepEqual(getRules({orders: [order, order, {...order, fence: 8, process: 'vm1-2'}, {...order, upstream: 'u2', process: 'vm1-2'}]}), []);
});

test('a start below the bound of its ground is too early, unless it has no bound or is a double run', t => {
	const runs = [createRun(1, 0), createRun(2, 200)] as const;
	const getEarly = (options: Partial<RestartGap<RecordedStart>>): readonly FleetViolation[] => findEarlyRestarts([{
		ground: 'resent', earlier: runs[0], later: runs[1], gapMs: 100, apartMs: 200, isAfterDone: false, minGapMs: 130, ...options,
	}]);
	t.deepEqual(getEarly({}), [{rule: 'early-restart', job: 'j', runs: [...runs]}]);
	t.deepEqual(getEarly({gapMs: 130}), []);
	t.deepEqual(getEarly({gapMs: -1}), []);
	t.deepEqual(getEarly({minGapMs: undefined}), []);
});

test('a start in an evacuated data centre is wrong from the bound after the write to the removal', t => {
	const evacuations = [{
		dataCenter: 'dc1', from: 1000, until: 9000, boundMs: 5000,
	}];
	const getRulesAt = (startedAt: number, upstream: string): ReadonlyArray<FleetViolation['rule']> => getRules({starts: [createRun(1, startedAt, {upstream})], evacuations});
	t.deepEqual(getRulesAt(6001, 'dc1-u0'), ['evacuated-start']);
	t.deepEqual([[6000, 'dc1-u0'], [9000, 'dc1-u0'], [7000, 'dc10-u0']].flatMap(([at, upstream]) => getRulesAt(at as number, upstream as string)), []);
});
