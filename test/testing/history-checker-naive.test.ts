import test from 'ava';
import fc from 'fast-check';
import {checkHistory, type HistoryRecord} from '../../src/testing/index.js';
import {checkHistoryNaively} from './naive-history-checker.js';

const time = fc.integer({min: 0, max: 12});
const request = fc.constantFrom('r', 's');
const task = fc.constantFrom('r/0', 'r/1', 's/0', 's/1');
const vm = fc.constantFrom('a', 'b');
const upstream = fc.constantFrom('u', 'v');
const call = fc.integer({min: 0, max: 5});

const record: fc.Arbitrary<HistoryRecord> = fc.oneof(
	fc.record({
		kind: fc.constant('answer' as const),
		time,
		call,
		outcome: fc.constantFrom('complete', 'not_run', 'failed', 'unknown'),
		problemType: fc.constantFrom('', 'urn:x:answer-not-kept', 'urn:x:stopped-running', 'urn:x:gone'),
		hash: fc.constantFrom('h', 'i'),
		echoes: fc.oneof(fc.constantFrom(['r/0', 'r/1'], ['s/0', 's/1']), fc.array(fc.option(task, {nil: undefined}), {maxLength: 2})),
	}),
	fc.record({
		kind: fc.constant('no-answer' as const), time, call, reason: fc.constantFrom('refused', 'cut', 'left'),
	}),
	fc.record({
		kind: fc.constant('start' as const), time, upstream, task,
	}),
	fc.record({
		kind: fc.constant('leaving' as const), time, upstream, isLeaving: fc.boolean(),
	}),
	fc.record({
		kind: fc.constant('version' as const), time, vm, version: fc.integer({min: 0, max: 3}),
	}),
	fc.record({kind: fc.constant('stop-began' as const), time, vm}),
	fc.record({
		kind: fc.constant('disruption' as const), time, vm, detail: fc.constant('fault'), until: fc.option(time, {nil: undefined}),
	}),
);

/** Every call has a unique number, and every submission of a request has the same form and tasks. */
const submits = fc.array(
	fc.record({
		time, request, attempt: fc.integer({min: 1, max: 2}), vm, coordinator: vm,
	}),
	{maxLength: 6},
).map(list => list.map((submit, index): HistoryRecord => ({
	kind: 'submit',
	call: index,
	form: submit.request === 'r' ? 'job' : 'single',
	tasks: [`${submit.request}/0`, `${submit.request}/1`],
	isIdempotent: false,
	...submit,
})));

test('the checker and its naive counterpart find the same violations', t => {
	fc.assert(fc.property(submits, fc.array(record, {maxLength: 14}), (sent, others) => {
		const records = [...sent, ...others];
		const found = checkHistory(records, {leavingGraceMs: 3}).map(violation => `${violation.rule} ${violation.subject}`);
		t.deepEqual([...new Set(found)].toSorted(), checkHistoryNaively(records, 3));
	}), {seed: 20_261_204, numRuns: 3000});
	t.pass();
});
