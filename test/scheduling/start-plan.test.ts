import test from 'ava';
import {
	type ExpectedRelease, getMeanRemainingMs, createSchedulingOptions, type PlacementCandidate, planStarts as planStartsOf, type StartPlanOptions, type WaitingTasks,
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
