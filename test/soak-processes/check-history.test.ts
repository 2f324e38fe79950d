import test from 'ava';
import {checkHistory, getOverhangs} from '../../bench/soak-processes/check-history.js';
import {
	type AppliedFault, type Submission, type SoakHistory, type TaskRun,
} from '../../bench/soak-processes/history.js';

const job = '2000000000000001';

function createSubmission(options: Partial<Submission> = {}): Submission {
	return {
		job, taskCount: 2, vm: 'a', sentAt: 10_000, endedAt: 10_300, end: 'answered', status: 200, state: 'completed', ...options,
	};
}

function createRun(index: number, options: Partial<TaskRun> = {}): TaskRun {
	return {
		task: `${job}.0.0.${index}`, number: 1, upstream: 'u1', startedAt: 10_050, endedAt: 10_250, end: 'done', usedCpu: 6800, isEndedByCrash: false, ...options,
	};
}

function createFault(options: Partial<AppliedFault> = {}): AppliedFault {
	return {
		kind: 'stop', target: 'a', at: 9800, until: 13_000, ...options,
	};
}

const runs = [createRun(0), createRun(1)];
const brokenOff = {end: 'broken', status: undefined, state: undefined} as const;

function getViolations(history: Partial<SoakHistory>): readonly string[] {
	return checkHistory({
		sends: [createSubmission()], runs, deadlyTasks: [], capacities: [], changedSpecs: [], faults: [], ends: [], recoveries: [], ...history,
	}).map(({promise}) => promise);
}

test('a history without violations passes', t => {
	t.deepEqual(getViolations({
		faults: [createFault()],
		ends: [{
			vm: 'a', at: 13_000, wasTold: true, how: 'code 0',
		}],
		recoveries: [{vm: 'a', from: 20_000, servedAt: 22_000}],
	}), []);
});

test('finds overlapping runs of a task, also when one has not ended', t => {
	t.deepEqual(getViolations({
		runs: [...runs, createRun(0, {
			number: 2, upstream: 'u2', startedAt: 10_249, endedAt: 10_400,
		})],
	}), ['one-run']);
	t.deepEqual(getViolations({
		runs: [...runs, createRun(1, {
			number: 2, startedAt: 10_100, endedAt: undefined, end: undefined,
		})],
	}), ['one-run']);
	t.deepEqual(getViolations({runs: [createRun(0, {end: 'lapsed'}), runs[1]!, createRun(0, {number: 2, startedAt: 10_250, endedAt: 10_280})]}), []);
});

test('finds a job that was refused each time and ran', t => {
	const refused = createSubmission({status: 503, state: undefined});
	t.deepEqual(getViolations({sends: [refused]}), ['refused-not-run']);
	t.deepEqual(getViolations({sends: [refused], runs: []}), []);
	// The submission without an answer was possibly executed.
	t.deepEqual(getViolations({sends: [createSubmission(brokenOff), createSubmission({...refused, sentAt: 11_600, endedAt: 11_610})]}), []);
});

test('finds an answer `completed` while a task is not done', t => {
	t.deepEqual(getViolations({runs: [createRun(0)]}), ['answer-true']);
	t.deepEqual(getViolations({runs: [createRun(0), createRun(1, {end: 'lapsed'})]}), ['answer-true']);
});

test('finds an answer that is cut off or malformed', t => {
	t.deepEqual(getViolations({sends: [createSubmission({end: 'cut', state: undefined})]}), ['answer-whole']);
	t.deepEqual(getViolations({sends: [createSubmission({state: undefined})]}), ['answer-whole']);
	t.deepEqual(getViolations({sends: [createSubmission({status: 500, state: undefined})]}), ['answer-whole']);
});

test('finds a planned stop that breaks off a request', t => {
	t.deepEqual(getViolations({sends: [createSubmission(brokenOff)], faults: [createFault()]}), ['stop-breaks-nothing']);
	// Broken off early, but a task had started.
	t.deepEqual(getViolations({sends: [createSubmission({...brokenOff, endedAt: 10_100})], faults: [createFault()]}), ['stop-breaks-nothing']);
});

test('a planned stop is no violation when the request was not read, another fault was active, or another VM stopped', t => {
	t.deepEqual(getViolations({sends: [createSubmission({...brokenOff, endedAt: 10_100})], runs: [], faults: [createFault()]}), []);
	t.deepEqual(getViolations({
		sends: [createSubmission(brokenOff)], faults: [createFault(), createFault({
			kind: 'kill', target: 'b', at: 7500, until: 7600,
		})],
	}), []);
	t.deepEqual(getViolations({sends: [createSubmission(brokenOff)], faults: [createFault({target: 'b'})]}), []);
});

test('finds a process that exits by itself', t => {
	t.deepEqual(getViolations({
		ends: [{
			vm: 'a', at: 13_000, wasTold: false, how: 'code 1',
		}],
	}), ['ends-when-told']);
});

test('finds a VM that does not serve again in time', t => {
	t.deepEqual(getViolations({recoveries: [{vm: 'a', from: 20_000, servedAt: 35_001}]}), ['recovery']);
	t.deepEqual(getViolations({recoveries: [{vm: 'a', from: 20_000, servedAt: undefined}]}), ['recovery']);
	// The stand-ins had stalled, so the recovery time counts from the end of the stall.
	const stall = createFault({kind: 'stall', at: 21_000, until: 23_000});
	t.deepEqual(getViolations({recoveries: [{vm: 'a', from: 20_000, servedAt: 37_000}], faults: [stall]}), []);
	t.deepEqual(getViolations({recoveries: [{vm: 'a', from: 20_000, servedAt: 38_001}], faults: [stall]}), ['recovery']);
});

/** Creates runs of the first task that a crash of their upstream has ended, 1 s apart. */
function createCrashes(count: number): readonly TaskRun[] {
	return Array.from({length: count}, (_, position) => createRun(0, {
		number: position + 1, upstream: `u${position}`, startedAt: 10_000 + (position * 1000), endedAt: 10_100 + (position * 1000), end: 'lapsed', isEndedByCrash: true,
	}));
}

test('finds a task that is started with another specification than its job\'s', t => {
	t.deepEqual(getViolations({changedSpecs: [{task: `${job}.0.0.0`, at: 11_000, spec: 'x'}]}), ['same-spec']);
});

test('finds a task that is started a third time after its third crash', t => {
	const sends = [createSubmission({...brokenOff, end: 'left', endedAt: 60_000})];
	const deadlyTasks = [`${job}.0.0.0`];
	t.deepEqual(getViolations({sends, runs: createCrashes(6), deadlyTasks}), ['given-up']);
	t.deepEqual(getViolations({sends, runs: createCrashes(5), deadlyTasks}), []);
	t.deepEqual(getViolations({sends, runs: createCrashes(6), deadlyTasks: [`${job}.0.0.1`]}), []);
	t.deepEqual(getViolations({sends, runs: createCrashes(6).map(run => ({...run, isEndedByCrash: false})), deadlyTasks}), []);
});

test('finds a start above the capacity that the entry of its upstream has shown for a while', t => {
	const used = [createRun(0, {usedCpu: 13_600}), runs[1]!];
	const capacities = [{upstream: 'u1', at: 0, cpu: 16_000}, {upstream: 'u1', at: 5000, cpu: 8000}, {upstream: 'u2', at: 0, cpu: 1}];
	t.deepEqual(getViolations({runs: used, capacities}), ['within-capacity']);
	t.deepEqual(getViolations({runs: used, capacities: [capacities[0]!, {...capacities[1]!, at: 6000}]}), []);
	t.deepEqual(getViolations({runs, capacities}), []);
	// A capacity that has just shrunk again.
	t.deepEqual(getViolations({runs: used, capacities: [{upstream: 'u1', at: 0, cpu: 8000}, {upstream: 'u1', at: 7000, cpu: 16_000}, {upstream: 'u1', at: 9000, cpu: 8000}]}), []);
	const excuse = createFault({kind: 'store-away', at: 5000, until: 7100});
	t.deepEqual(getViolations({runs: used, capacities, faults: [excuse]}), []);
	t.deepEqual(getViolations({runs: used, capacities, faults: [{...excuse, until: 7000}]}), ['within-capacity']);
	t.deepEqual(getViolations({runs: used, capacities, faults: [{...excuse, kind: 'kill'}]}), ['within-capacity']);
});

test('finds a job that could be done and is answered `failed`', t => {
	const sends = [createSubmission({state: 'failed'})];
	t.deepEqual(getViolations({sends}), ['failed-for-cause']);
	t.deepEqual(getViolations({sends, deadlyTasks: ['2000000000000002.0.0.0']}), ['failed-for-cause']);
	t.deepEqual(getViolations({sends, deadlyTasks: [`${job}.0.0.1`]}), []);
	t.deepEqual(getViolations({sends, runs: [createRun(0, {end: 'failed'})]}), []);
	const crashes = createCrashes(2).map(run => ({...run, crashedBy: '2000000000000009.0.0.0'}));
	t.deepEqual(getViolations({sends, runs: crashes}), ['failed-for-cause']);
	// One of two crashes under the task had another cause, so that it looks like the task's fault.
	t.deepEqual(getViolations({sends, runs: [crashes[0]!, {...crashes[1]!, crashedBy: undefined}]}), []);
	t.deepEqual(getViolations({sends, runs: [{...crashes[0]!, crashedBy: undefined}]}), ['failed-for-cause']);
});

test('finds a run that goes on for too long after its submission has ended', t => {
	const left = createSubmission({...brokenOff, endedAt: 10_100});
	const getPromises = (endedAt: number | undefined, submission = left): readonly string[] => getViolations({sends: [submission], runs: [createRun(0, {endedAt, end: 'lapsed'})]});
	t.deepEqual(getPromises(11_250), []);
	t.deepEqual(getPromises(11_251), ['ends-in-time']);
	t.deepEqual(getPromises(11_251, {...left, end: 'answered', status: 502}), ['ends-in-time']);
	t.false(getPromises(11_251, createSubmission({endedAt: 10_100})).includes('ends-in-time'));
	// Whoever observes a history sees the runs that go on up to its last answer.
	t.deepEqual(getViolations({
		sends: [left, createSubmission({
			job: '2000000000000009', sentAt: 11_000, endedAt: 11_300, status: 503, state: undefined,
		})], runs: [createRun(0, {endedAt: undefined})],
	}), ['ends-in-time']);
});

test('runs count from the end of the last submission before their start', t => {
	const sends = [createSubmission({...brokenOff, sentAt: 10_000, endedAt: 10_100}), createSubmission({...brokenOff, sentAt: 11_400, endedAt: 11_500})];
	const runsAfter = [createRun(0, {startedAt: 10_300, endedAt: 10_400}), createRun(0, {number: 2, startedAt: 11_450, endedAt: 11_700})];
	const history = {
		sends, runs: runsAfter, deadlyTasks: [], capacities: [], changedSpecs: [], faults: [], ends: [], recoveries: [],
	};
	t.deepEqual(getOverhangs(history).map(({startMs, endMs}) => [startMs, endMs]), [[200, 300], [-50, 200]]);
});
