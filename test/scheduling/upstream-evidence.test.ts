import test from 'ava';
import {
	createSpeed, decideOverdue, DurationDistribution, getFaultProbability, getRemainingMs, learnSpeed, type ObservedRun, RouteDurations,
} from '../../src/scheduling/index.js';

/** Durations from 80 to 125% of the estimate, with a share of runs that take 7 times as long. */
function createDurations(tailShare = 0.03): RouteDurations {
	const durations = new RouteDurations();
	for (let index = 0; index < 600; index++) {
		const ratio = 0.8 + (0.45 * (index % 10) / 10);
		durations.add({estimateMs: 100, siblingMs: 100}, 100 * ratio * (index % 100 < tailShare * 100 ? 7 : 1));
	}

	return durations;
}

function createRun(ageMs: number, options: Partial<ObservedRun> = {}): ObservedRun {
	return {
		durations: createDurations(), expectation: {estimateMs: 100, siblingMs: 100}, ageMs, earlierAgeMs: 0, job: `j${ageMs}`, ...options,
	};
}

const typical = {slowness: 1, endedNats: 0};

test('a single late run is a long task, as long as others of its route take as long', t => {
	for (const ageMs of [300, 450, 580]) {
		const run = createRun(ageMs);
		t.is(decideOverdue(run, {...typical, runs: [run]}, 1000).verdict, 'long-task');
	}
});

test('several runs that are late at once show that their upstream is at fault', t => {
	const runs = [createRun(300), createRun(320), createRun(350)];
	t.is(decideOverdue(runs[0]!, {...typical, runs}, 1000).verdict, 'stop');
});

test('runs that were late before another one ended normally tell nothing', t => {
	const runs = [createRun(300, {earlierAgeMs: 280}), createRun(320, {earlierAgeMs: 300}), createRun(350, {earlierAgeMs: 330})];
	t.is(decideOverdue(runs[0]!, {...typical, runs}, 1000).verdict, 'long-task');
});

test('a run is not late on an upstream that is known to be slow', t => {
	const runs = [createRun(240), createRun(230), createRun(235)];
	t.is(decideOverdue(runs[0]!, {...typical, slowness: 2.5, runs}, 1000).verdict, 'not-late');
});

test('a run is not stopped if a new one would be too late, or if it proceeds so that it ends earlier', t => {
	const runs = [createRun(300), createRun(320), createRun(350)];
	t.is(decideOverdue(runs[0]!, {...typical, runs}, 50).verdict, 'too-late');
	const proceeding = createRun(300, {progress: {percent: 90, hasChanged: true}});
	t.is(decideOverdue(proceeding, {...typical, runs: [proceeding, ...runs]}, 1000).verdict, 'proceeds');
	const constant = createRun(300, {progress: {percent: 90, hasChanged: false}});
	t.is(decideOverdue(constant, {...typical, runs: [constant, ...runs]}, 1000).verdict, 'stop');
});

test('the tasks of one job count less than those of several: their estimate may be short', t => {
	const ofOneJob = [createRun(300, {job: 'a'}), createRun(300, {job: 'a'})];
	const ofTwo = [createRun(300, {job: 'a'}), createRun(300, {job: 'b'})];
	t.true(getFaultProbability({...typical, runs: ofOneJob}, 600) < getFaultProbability({...typical, runs: ofTwo}, 600));
});

test('the route\'s tail determines how long a single run is left alone', t => {
	const withoutTail = createRun(400, {durations: createDurations(0)});
	t.is(decideOverdue(withoutTail, {...typical, runs: [withoutTail]}, 1000).verdict, 'stop');
});

test('a distribution gives conditional quantiles, and goes on above its largest observation', t => {
	const distribution = new DurationDistribution([]);
	for (let index = 0; index < 1000; index++) {
		distribution.add(index % 20 === 0 ? 7 : 1);
	}

	t.true(Math.abs(distribution.getQuantile(0.5) - 1) < 0.1);
	t.true(Math.abs(distribution.getSurvival(2) - 0.05) < 0.01);
	t.true(Math.abs(distribution.getConditionalQuantile(2, 0.5) - 7) < 0.7);
	t.true(distribution.getConditionalQuantile(2, 0.9999) > 8);
	t.true(distribution.getSurvival(100) < distribution.getSurvival(10));
});

test('a speed is learnt from a few runs, one long task hardly changes it, and two in turn do', t => {
	let speed = createSpeed();
	for (const ratio of [2.4, 2.6, 2.5]) {
		speed = learnSpeed(speed, {logRatio: Math.log(ratio), spread: 0.2});
	}

	t.true(Math.abs(speed.slowness - 2.5) < 0.3);
	const afterLongTask = learnSpeed(speed, {logRatio: Math.log(2.5 * 7), spread: 0.2});
	t.true(Math.abs(afterLongTask.slowness - speed.slowness) < 0.1);
	t.true(learnSpeed(afterLongTask, {logRatio: Math.log(2.5 * 5), spread: 0.2}).slowness > 8);
});

test('the remaining time of a run has a spread, and grows once it has outlasted most others', t => {
	const run = {durations: createDurations(), expectation: {estimateMs: 100, siblingMs: 100}, slowness: 2};
	t.true(Math.abs(getRemainingMs({...run, ageMs: 0}, 0.5) - 200) < 20);
	t.true(getRemainingMs({...run, ageMs: 0}, 0.9) > getRemainingMs({...run, ageMs: 0}, 0.5));
	t.true(getRemainingMs({...run, ageMs: 150}, 0.5) < 60);
	t.true(getRemainingMs({...run, ageMs: 400}, 0.5) > 600);
});
