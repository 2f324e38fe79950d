import test from 'ava';
import {checkHistory} from '../../bench/soak-processes/check-history.js';
import {
	type AppliedFault, type Submission, type SoakHistory, type TaskRun,
} from '../../bench/soak-processes/history.js';

const job = '2000000000000001';

function createSend(options: Partial<Submission> = {}): Submission {
	return {
		job, taskCount: 2, vm: 'a', sentAt: 10_000, endedAt: 10_300, end: 'answered', status: 200, state: 'completed', ...options,
	};
}

function createRun(index: number, options: Partial<TaskRun> = {}): TaskRun {
	return {
		task: `${job}.0.0.${index}`, number: 1, upstream: 'u1', startedAt: 10_050, endedAt: 10_250, end: 'done', ...options,
	};
}

function createFault(options: Partial<AppliedFault> = {}): AppliedFault {
	return {
		kind: 'stop', target: 'a', at: 9800, until: 13_000, ...options,
	};
}

const runs = [createRun(0), createRun(1)];
const broken = {end: 'broken', status: undefined, state: undefined} as const;

function getBroken(history: Partial<SoakHistory>): readonly string[] {
	return checkHistory({
		sends: [createSend()], runs, faults: [], ends: [], recoveries: [], ...history,
	}).map(({promise}) => promise);
}

test('a history that keeps all promises passes', t => {
	t.deepEqual(getBroken({
		faults: [createFault()],
		ends: [{
			vm: 'a', at: 13_000, wasTold: true, how: 'code 0',
		}],
		recoveries: [{vm: 'a', from: 20_000, servedAt: 22_000}],
	}), []);
});

test('two runs of a task at a time are found, also where one has no end', t => {
	t.deepEqual(getBroken({
		runs: [...runs, createRun(0, {
			number: 2, upstream: 'u2', startedAt: 10_249, endedAt: 10_400,
		})],
	}), ['one-run']);
	t.deepEqual(getBroken({
		runs: [...runs, createRun(1, {
			number: 2, startedAt: 10_100, endedAt: undefined, end: undefined,
		})],
	}), ['one-run']);
	t.deepEqual(getBroken({runs: [createRun(0, {end: 'lapsed'}), runs[1]!, createRun(0, {number: 2, startedAt: 10_250, endedAt: 10_280})]}), []);
});

test('a job that was refused each time and has run is found', t => {
	const refused = createSend({status: 503, state: undefined});
	t.deepEqual(getBroken({sends: [refused]}), ['refused-not-run']);
	t.deepEqual(getBroken({sends: [refused], runs: []}), []);
	// The send without an answer may have run.
	t.deepEqual(getBroken({sends: [createSend(broken), createSend({...refused, sentAt: 11_600, endedAt: 11_610})]}), []);
});

test('an answer that says completed while a task is not done is found', t => {
	t.deepEqual(getBroken({runs: [createRun(0)]}), ['answer-true']);
	t.deepEqual(getBroken({runs: [createRun(0), createRun(1, {end: 'lapsed'})]}), ['answer-true']);
});

test('an answer that is cut off or cannot be understood is found', t => {
	t.deepEqual(getBroken({sends: [createSend({end: 'cut', state: undefined})]}), ['answer-whole']);
	t.deepEqual(getBroken({sends: [createSend({state: undefined})]}), ['answer-whole']);
	t.deepEqual(getBroken({sends: [createSend({status: 500, state: undefined})]}), ['answer-whole']);
});

test('a planned stop that breaks off a request is found', t => {
	t.deepEqual(getBroken({sends: [createSend(broken)], faults: [createFault()]}), ['stop-breaks-nothing']);
	// Broken off soon, but a task had started.
	t.deepEqual(getBroken({sends: [createSend({...broken, endedAt: 10_100})], faults: [createFault()]}), ['stop-breaks-nothing']);
});

test('a planned stop is not blamed for what was not read, nor beside another fault, nor at another VM', t => {
	t.deepEqual(getBroken({sends: [createSend({...broken, endedAt: 10_100})], runs: [], faults: [createFault()]}), []);
	t.deepEqual(getBroken({
		sends: [createSend(broken)], faults: [createFault(), createFault({
			kind: 'kill', target: 'b', at: 7500, until: 7600,
		})],
	}), []);
	t.deepEqual(getBroken({sends: [createSend(broken)], faults: [createFault({target: 'b'})]}), []);
});

test('a process that ends by itself is found', t => {
	t.deepEqual(getBroken({
		ends: [{
			vm: 'a', at: 13_000, wasTold: false, how: 'code 1',
		}],
	}), ['ends-when-told']);
});

test('a VM that does not serve again in time is found', t => {
	t.deepEqual(getBroken({recoveries: [{vm: 'a', from: 20_000, servedAt: 35_001}]}), ['recovery']);
	t.deepEqual(getBroken({recoveries: [{vm: 'a', from: 20_000, servedAt: undefined}]}), ['recovery']);
	// The stand-ins did not run themselves.
	const stall = createFault({kind: 'stall', at: 21_000, until: 23_000});
	t.deepEqual(getBroken({recoveries: [{vm: 'a', from: 20_000, servedAt: 37_000}], faults: [stall]}), []);
	t.deepEqual(getBroken({recoveries: [{vm: 'a', from: 20_000, servedAt: 38_001}], faults: [stall]}), ['recovery']);
});
