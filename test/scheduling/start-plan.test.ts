import test from 'ava';
import {
	type ExpectedRelease, getMeanRemainingMs, getUnplacedWork, createSchedulingOptions, type PlacementCandidate, planStarts as planStartsOf, type StartPlanOptions, type WaitingTasks,
} from '../../src/scheduling/index.js';
import {
	customerOne, customerTwo, replay, type ReplayLoad, type ReplayOptions, type ReplayResult,
} from './start-replay.js';

type TestUpstream = PlacementCandidate & {readonly releases: readonly ExpectedRelease[]};

function planStarts(jobs: readonly WaitingTasks[], upstreams: readonly TestUpstream[], options: Partial<StartPlanOptions<TestUpstream>> = {}) {
	return planStartsOf(jobs, upstreams, {getReleases: ({releases}) => releases, ...options});
}

function createUpstream(id: string, freeCpu: number, releases: ReadonlyArray<readonly [inMs: number, cpu: number]> = []): TestUpstream {
	return {
		id, rack: 'r', labels: [], free: createNeeds(freeCpu), slowness: 1, isSuspect: false, releases: releases.map(([inMs, cpu]) => ({inMs, needs: createNeeds(cpu)})),
	};
}

function createNeeds(cpu: number) {
	return {cpu, memoryMb: 0, accelerators: 0};
}

function createTasks(cpu: number, expectedMs: number, options: Partial<WaitingTasks> = {}): WaitingTasks {
	const needs = createNeeds(cpu);
	return {
		step: {
			taskCount: 1, needs, estimateMs: expectedMs, after: [],
		}, count: 1, expectedMs, hasStarted: false, slackMs: Infinity, avoided: new Set(), ...options,
	};
}

test('a job behind the head starts only where it ends before the reservation, or beside it', t => {
	// Of 64 cores on each upstream, the head needs 48.
	const head = createTasks(48, 100);
	const upstreams = [createUpstream('soon', 32, [[50, 32]]), createUpstream('later', 32, [[500, 32]])];
	const brief = createTasks(32, 40);
	const long = createTasks(32, 400);
	const small = createTasks(16, 400);
	const getStarts = (jobs: readonly WaitingTasks[]) => planStarts(jobs, upstreams).starts.map(({job, upstream}) => [jobs.indexOf(job), upstream.id]);
	t.deepEqual(getStarts([head, long, long]), [[1, 'later']]);
	t.deepEqual(getStarts([head, brief, {...brief}]), [[1, 'soon'], [2, 'later']]);
	t.deepEqual(getStarts([head, long, small]), [[1, 'later'], [2, 'soon']]);
	const {reservations} = planStarts([head, long], upstreams);
	t.deepEqual(reservations.map(({upstream, inMs, beside}) => [upstream.id, inMs, beside.cpu]), [['soon', 50, 16]]);
});

test('a job is held back whose last task would end too late, unless it has started or other pools have room', t => {
	const upstreams = [createUpstream('a', 32, [[50, 32]])];
	const job = createTasks(32, 100, {count: 4, slackMs: 200});
	t.deepEqual(planStarts([job], upstreams).held, [job]);
	t.is(planStarts([{...job, hasStarted: true}], upstreams).starts.length, 1);
	t.is(planStarts([{...job, slackMs: 300}], upstreams).held.length, 0);
	t.is(planStarts([job], upstreams, {freeElsewhere: [64]}).held.length, 0);
	t.is(planStarts([job], upstreams, {startsPerOwnStart: 4}).held.length, 0);
});

test('tasks respect memory, labels and the maximum number on one upstream', t => {
	const upstreams = [createUpstream('a', 64), createUpstream('b', 64)];
	const [tasks] = [createTasks(16, 10, {count: 4})];
	t.is(planStarts([{...tasks, step: {...tasks.step, needs: {...tasks.step.needs, memoryMb: 1}}}], upstreams).starts.length, 0);
	t.is(planStarts([{...tasks, step: {...tasks.step, requiredLabel: 'x'}}], upstreams).starts.length, 0);
	t.deepEqual(planStarts([{...tasks, avoided: new Set(['a'])}], upstreams).starts.map(({upstream}) => upstream.id), ['b', 'b', 'b', 'b']);
});

// Guards against a plan that starts more tasks of a step on an upstream than the step allows, since it does not count its own starts.
test('a plan starts no more tasks of a step on an upstream than its limit leaves beside those that run', t => {
	const {step} = createTasks(16, 100);
	const limited = createTasks(16, 100, {count: 5, step: {...step, maxPerUpstream: 2}, placedCounts: new Map([['a', 1]])});
	const upstreams = [createUpstream('a', 64), createUpstream('b', 64)];
	t.deepEqual(planStarts([limited], upstreams).starts.map(({upstream}) => upstream.id).sort(), ['a', 'b', 'b']);
	// The counts belong to one step: another one of the same kind starts beside it.
	t.deepEqual(planStarts([limited, {...limited, placedCounts: new Map()}], upstreams).starts.map(({upstream}) => upstream.id).sort(), ['a', 'a', 'a', 'b', 'b', 'b', 'b']);
	t.is(limited.placedCounts!.get('a'), 1);
});

// Guards against capacity that is reserved for tasks which their limit does not allow there.
test('a plan reserves what the limit of a step leaves on an upstream', t => {
	const {step} = createTasks(16, 100);
	const limited = createTasks(16, 100, {count: 4, step: {...step, maxPerUpstream: 2}, placedCounts: new Map([['b', 1]])});
	// One task of the plan itself starts on the first upstream and none on the second.
	const upstreams = [createUpstream('a', 16, [[50, 48]]), createUpstream('b', 0, [[100, 64]])];
	const {starts, reservations} = planStarts([limited], upstreams);
	t.deepEqual(starts.map(({upstream}) => upstream.id), ['a']);
	t.deepEqual(reservations.map(({upstream, inMs, beside}) => [upstream.id, inMs, beside.cpu]), [['a', 50, 32], ['b', 100, 48]]);
});

// Guards against a job that is taken for one in time, since more of its tasks would fit on an upstream than its limit allows.
test('a job is held back if its limit lets too few of its tasks run at the same time', t => {
	const upstreams = [createUpstream('a', 64), createUpstream('b', 0, [[50, 64]])];
	const job = createTasks(16, 100, {count: 6, slackMs: 250});
	const limit = (maxPerUpstream: number): WaitingTasks => ({...job, step: {...job.step, maxPerUpstream}});
	t.is(planStarts([job], upstreams).held.length, 0);
	t.is(planStarts([limit(1)], upstreams).held.length, 1);
	t.is(planStarts([limit(2)], upstreams).held.length, 0);
});

// Guards against a job that is admitted as one that starts at once, although its limit keeps some of its tasks waiting.
test('the work that cannot start now includes tasks that their limit or their label keeps from free capacity', t => {
	const {step} = createTasks(16_000, 100);
	const upstreams = [createUpstream('a', 64_000), createUpstream('b', 64_000)];
	t.is(getUnplacedWork([{step, count: 5}], upstreams), 0);
	t.is(getUnplacedWork([{step: {...step, maxPerUpstream: 2}, count: 5}], upstreams), 16 * 100);
	t.is(getUnplacedWork([{step: {...step, requiredLabel: 'x'}, count: 5}], upstreams), 5 * 16 * 100);
	// What one step takes is not free for the next one.
	t.is(getUnplacedWork([{step, count: 5}, {step, count: 5}], upstreams), 2 * 16 * 100);
});

test('the remaining time of a run is never below zero and grows once the run is past its expectation', t => {
	t.is(getMeanRemainingMs(0, 100), 100);
	const ages = [100, 150, 200, 300, 500, 1000];
	const remaining = ages.map(age => getMeanRemainingMs(age, 100));
	t.true(getMeanRemainingMs(50, 100) < 100);
	t.true(remaining.every(ms => ms > 0));
	t.deepEqual(remaining.slice(2), remaining.slice(2).toSorted((a, b) => a - b));
});

test('a part of the scheduling is turned off by its name', t => {
	t.true(createSchedulingOptions().reservesCapacity);
	t.true(createSchedulingOptions('other').reservesCapacity);
	t.false(createSchedulingOptions('other, reservesCapacity').reservesCapacity);
});

const seeds = [1, 2, 3, 4];

function replayAll(options: Omit<ReplayOptions, 'seed'>): readonly ReplayResult[] {
	return seeds.map(seed => replay({...options, seed}));
}

function getMean(results: readonly ReplayResult[], getValue: (result: ReplayResult) => number): number {
	return results.reduce((sum, result) => sum + getValue(result), 0) / results.length;
}

for (const [name, load] of Object.entries({customerOne, customerTwo} satisfies Record<string, ReplayLoad>)) {
	for (const rate of [0.85, 1.1]) {
		// Guards against plans that serve fewer jobs than the order of the queue alone, or serve large tasks at the cost of small ones.
		test(`at ${rate} of the capacity, a plan serves more jobs of ${name} in time than the order of the queue`, t => {
			const greedy = replayAll({load, rate});
			const planned = replayAll({load, rate, plan: {}});
			const compare = (getValue: (result: ReplayResult) => number): readonly [number, number] => [getMean(greedy, getValue), getMean(planned, getValue)];
			const shares = Object.fromEntries([
				['in time', compare(({inTime}) => inTime)] as const,
				['worth', compare(({worth}) => worth)] as const,
				...load.routes.map(route => [route.name, compare(({byRoute}) => byRoute[route.name]!)] as const),
				...Array.from({length: 10}, (_, decile) => [`decile ${decile + 1}`, compare(({bySize}) => bySize[decile]!)] as const),
			]);
			t.log(Object.entries(shares).map(([key, [before, after]]) => `${key} ${before.toFixed(3)} ${after.toFixed(3)}`).join(', '));
			const [before, after] = shares['in time']!;
			t.true(after > before);
			t.true(shares.worth![1] > shares.worth![0]);
			t.true(shares['decile 10']![1] > shares['decile 10']![0]);
			t.true(shares['decile 1']![1] > shares['decile 1']![0] - 0.03);
			t.true(planned.every(({reservations, backfilled}) => reservations > 0 && backfilled > 0));
		});
	}
}
