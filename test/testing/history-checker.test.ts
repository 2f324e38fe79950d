import test from 'ava';
import {
	type AnswerRecord, checkHistory, type HistoryRecord, type HistoryRule, type SubmitRecord,
} from '../../src/testing/index.js';

function submit(time: number, call: number, change: Partial<SubmitRecord> = {}): SubmitRecord {
	return {
		kind: 'submit', time, call, request: 'r', form: 'job', attempt: 1, tasks: ['r/0', 'r/1'], isIdempotent: false, vm: 'a', coordinator: 'a', ...change,
	};
}

function answer(time: number, call: number, change: Partial<AnswerRecord> = {}): AnswerRecord {
	return {
		kind: 'answer', time, call, outcome: 'complete', problemType: '', hash: 'h', echoes: ['r/0', 'r/1'], ...change,
	};
}

function start(time: number, task: string, upstream = 'u'): HistoryRecord {
	return {
		kind: 'start', time, upstream, task,
	};
}

const notRun: Partial<AnswerRecord> = {outcome: 'not_run', hash: '', echoes: []};
const unknown: Partial<AnswerRecord> = {
	outcome: 'unknown', problemType: 'urn:endivemill:coordinator-gone', hash: '', echoes: [],
};
const run = [submit(1, 0), start(2, 'r/0'), start(2, 'r/1'), answer(5, 0)];

function checkRules(title: string, records: readonly HistoryRecord[], rules: readonly HistoryRule[]): void {
	test(title, t => {
		t.deepEqual(checkHistory(records).map(violation => violation.rule), [...rules]);
	});
}

checkRules('a complete run has no violations', run, []);
checkRules('a duplicate submission that joins has no violations', [...run, submit(3, 1, {vm: 'b'}), answer(6, 1)], []);
checkRules('the order of the records does not matter', run.toReversed(), []);
checkRules('a task started twice', [...run, start(3, 'r/1', 'v')], ['task-started-twice']);
checkRules('a single request run twice', [
	submit(1, 0, {form: 'single', tasks: ['r/0']}), start(2, 'r/0'), start(3, 'r/0'), answer(5, 0, {echoes: ['r/0']}),
], ['non-idempotent-ran-twice']);
checkRules('an idempotent request run twice has no violations', [
	submit(1, 0, {form: 'single', tasks: ['r/0'], isIdempotent: true}), start(2, 'r/0'), start(3, 'r/0'), answer(5, 0, {echoes: ['r/0']}),
], []);
checkRules('a start before not_run', [submit(1, 0), start(2, 'r/0'), answer(3, 0, notRun)], ['started-after-not-run']);
checkRules('a start long after not_run', [submit(1, 0), answer(3, 0, notRun), start(900, 'r/0')], ['started-after-not-run']);
checkRules('a higher attempt runs', [
	submit(1, 0), answer(2, 0, notRun), submit(3, 1, {attempt: 2}), start(4, 'r/0'), start(4, 'r/1'), answer(5, 1),
], []);
checkRules('a start between not_run and the higher attempt', [
	submit(1, 0), answer(2, 0, notRun), start(2.5, 'r/0'), submit(3, 1, {attempt: 2}), start(4, 'r/1'), answer(5, 1),
], ['started-after-not-run']);
checkRules('a start in both attempts', [
	submit(1, 0), start(1.5, 'r/0'), answer(2, 0, notRun), submit(3, 1, {attempt: 2}), start(4, 'r/0'), start(4, 'r/1'), answer(5, 1),
], ['task-started-twice', 'started-after-not-run']);
checkRules('an answer that lacks a task', [...run.slice(0, 3), answer(5, 0, {echoes: ['r/0']})], ['answer-not-whole']);
checkRules('an answer of another caller', [...run.slice(0, 3), answer(5, 0, {echoes: ['r/0', 's/1']})], ['answer-not-own']);
checkRules('an answer that changed', [...run, submit(6, 1), answer(7, 1, {hash: 'other'})], ['answer-changed']);
checkRules('complete, then failed', [
	...run, submit(6, 1), answer(7, 1, {
		outcome: 'failed', problemType: 'urn:x:task-failed', hash: '', echoes: [],
	}),
], ['answer-changed']);
checkRules('complete, then no longer kept', [
	...run, submit(6, 1), answer(7, 1, {
		outcome: 'failed', problemType: 'urn:x:answer-not-kept', hash: '', echoes: [],
	}),
], []);
checkRules('complete, then not_run', [...run, submit(6, 1), answer(7, 1, notRun)], ['started-after-not-run', 'started-after-not-run', 'answer-changed']);
checkRules('unknown without a cause', [...run, submit(6, 1), answer(7, 1, unknown)], ['unknown-without-cause']);
checkRules('unknown after a crash', [
	...run, {
		kind: 'disruption', time: 5, vm: 'a', detail: 'killed',
	}, submit(6, 1, {vm: 'b'}), answer(7, 1, unknown),
], []);
checkRules('unknown while the coordinator is partitioned', [
	...run, {
		kind: 'disruption', time: 5, until: 8, vm: 'a', detail: 'cut off',
	}, submit(6, 1, {vm: 'b'}), answer(7, 1, unknown),
], []);
checkRules('unknown long after a partition ended', [
	...run, {
		kind: 'disruption', time: 5, until: 8, vm: 'a', detail: 'cut off',
	}, submit(6, 1, {vm: 'b'}), answer(9, 1, unknown),
], ['unknown-without-cause']);
checkRules('unknown after another entry VM crashed', [
	...run, {
		kind: 'disruption', time: 5, vm: 'c', detail: 'killed',
	}, submit(6, 1, {vm: 'b'}), answer(7, 1, unknown),
], ['unknown-without-cause']);
checkRules('unknown after the successor of a coordinator that stopped crashed', [
	...run, {kind: 'stop-began', time: 5, vm: 'a'}, {
		kind: 'disruption', time: 6, vm: 'c', detail: 'killed',
	}, submit(6, 1, {vm: 'b'}), answer(7, 1, unknown),
], []);
checkRules('a task that was not requested', [...run, start(6, 's/0')], ['started-unasked']);
checkRules('a start on a leaving upstream within the grace time', [{
	kind: 'leaving', time: 0, upstream: 'u', isLeaving: true,
}, ...run], []);
checkRules('a start on a leaving upstream after the grace time', [{
	kind: 'leaving', time: -6000, upstream: 'u', isLeaving: true,
}, ...run], ['started-on-leaving', 'started-on-leaving']);
checkRules('a mark that is repeated keeps its time', [{
	kind: 'leaving', time: -6000, upstream: 'u', isLeaving: true,
}, {
	kind: 'leaving', time: 0, upstream: 'u', isLeaving: true,
}, ...run], ['started-on-leaving', 'started-on-leaving']);
checkRules('a start on an upstream that is live again', [{
	kind: 'leaving', time: -6000, upstream: 'u', isLeaving: true,
}, {
	kind: 'leaving', time: 0, upstream: 'u', isLeaving: false,
}, ...run], []);
checkRules('a planned stop that cut a request', [
	...run, submit(6, 1), {kind: 'stop-began', time: 7, vm: 'a'}, {
		kind: 'no-answer', time: 8, call: 1, reason: 'cut',
	}, {kind: 'stop-ended', time: 8, vm: 'a'},
], ['stop-cut-request']);
checkRules('a planned stop that failed a running job', [
	submit(1, 0), start(2, 'r/0'), answer(5, 0, {
		outcome: 'failed', problemType: 'urn:x:stopped-running', hash: '', echoes: [],
	}),
], ['stop-cut-request']);
checkRules('a planned stop that cut a request of an entry VM that had been partitioned', [
	...run, {
		kind: 'disruption', time: 5, until: 20, vm: 'a', detail: 'cut off',
	}, submit(6, 1), {kind: 'stop-began', time: 7, vm: 'a'}, {
		kind: 'no-answer', time: 8, call: 1, reason: 'cut',
	},
], ['stop-cut-request']);
checkRules('a crash may cut a request', [
	...run, submit(6, 1), {
		kind: 'disruption', time: 7, vm: 'a', detail: 'killed',
	}, {
		kind: 'no-answer', time: 8, call: 1, reason: 'cut',
	},
], []);
checkRules('a version that falls', [
	{
		kind: 'version', time: 1, vm: 'a', version: 2,
	}, {
		kind: 'version', time: 2, vm: 'b', version: 1,
	}, {
		kind: 'version', time: 3, vm: 'a', version: 1,
	},
], ['version-fell']);
checkRules('a request without any answer', [submit(1, 0), {
	kind: 'no-answer', time: 2, call: 0, reason: 'refused',
}], ['no-answer']);
checkRules('a call that hangs', [...run, submit(2, 1)], ['call-hung']);
