import {Buffer} from 'node:buffer';
import test from 'ava';
import {Dispatcher} from 'undici';
import {callJson} from '../../src/platform/json-client.js';
import {decodeHoldAnswer} from '../../src/platform/wire-messages.js';
import {type Clock} from '../../src/seams/index.js';

/** HTTP client whose calls are answered explicitly by the test. */
class ManualDispatcher extends Dispatcher {
	handlers: Dispatcher.DispatchHandler[] = [];
	abortedCount = 0;

	override dispatch(_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		handler.onRequestStart?.(this.#createController(), undefined);
		this.handlers.push(handler);
		return true;
	}

	answer(status: number, ...chunks: readonly string[]): void {
		const handler = this.handlers.shift()!;
		handler.onResponseStart?.(this.#createController(), status, {}, '');
		for (const chunk of chunks) {
			handler.onResponseData?.(this.#createController(), Buffer.from(chunk));
		}

		handler.onResponseEnd?.(this.#createController(), {});
	}

	#createController(): Dispatcher.DispatchController {
		return {
			aborted: false, paused: false, reason: null,
			abort: () => {
				this.abortedCount++;
			},
			pause() {/* Nothing is read. */},
			resume() {/* Nothing is read. */},
		};
	}
}

type ManualTimerClock = Clock & {now: number; readonly due: Array<() => void>};

/** Clock whose timers are fired explicitly by the test, with any delay. */
function createManualTimerClock(): ManualTimerClock {
	const clock: ManualTimerClock = {
		now: 0,
		due: [],
		getTime: () => clock.now,
		getMonotonicTime: () => clock.now,
		setTimer(callback) {
			clock.due.push(callback);
			return {close() {/* A timer that fires after its end must have no effect. */}};
		},
		setRepeatingTimer: () => ({close() {/* Not used. */}}),
	};
	return clock;
}

const call = {
	origin: 'http://u', method: 'POST', path: '/x', body: {a: 1}, timeoutMs: 150,
} as const;

test('an answer in several chunks is reassembled', async t => {
	const dispatcher = new ManualDispatcher();
	const outcome = callJson(dispatcher, createManualTimerClock(), call);
	dispatcher.answer(200, '{"a', '":"\u00E9"}');
	t.deepEqual(await outcome, {kind: 'answered', status: 200, body: {a: '\u00E9'}});
	const bad = callJson(dispatcher, createManualTimerClock(), call);
	dispatcher.answer(200, '{');
	t.like(await bad, {kind: 'unanswered'});
});

test('an unanswered call is abandoned at its time limit and its connection is aborted', async t => {
	const dispatcher = new ManualDispatcher();
	const clock = createManualTimerClock();
	const outcome = callJson(dispatcher, clock, call);
	clock.now = 151;
	clock.due[0]!();
	t.like(await outcome, {kind: 'unanswered'});
	t.is(dispatcher.abortedCount, 1);
});

test('a process whose timers are late reads a received answer before it abandons the call', async t => {
	const dispatcher = new ManualDispatcher();
	const clock = createManualTimerClock();
	const outcome = callJson(dispatcher, clock, call);
	clock.now = 400;
	clock.due[0]!();
	t.is(dispatcher.abortedCount, 0);
	dispatcher.answer(200, '{}');
	t.deepEqual(await outcome, {kind: 'answered', status: 200, body: {}});
	const second = callJson(dispatcher, clock, call);
	clock.now = 800;
	clock.due[2]!();
	clock.now = 951;
	clock.due[3]!();
	t.like(await second, {kind: 'unanswered'});
});

test('an answer beyond the size limit is abandoned and its connection is aborted', async t => {
	const dispatcher = new ManualDispatcher();
	const outcome = callJson(dispatcher, createManualTimerClock(), {...call, maxAnswerBytes: 8});
	dispatcher.answer(200, '"1234', '567"');
	t.like(await outcome, {kind: 'unanswered', status: 200, detail: 'an answer of more than 8 bytes'});
	t.is(dispatcher.abortedCount, 1);
	const largest = callJson(dispatcher, createManualTimerClock(), {...call, maxAnswerBytes: 8});
	dispatcher.answer(200, '"1234', '56"');
	t.like(await largest, {kind: 'answered', body: '123456'});
});

test('a deeply nested answer is read or is unanswered, and never ends the process', async t => {
	const dispatcher = new ManualDispatcher();
	const outcome = callJson(dispatcher, createManualTimerClock(), call);
	dispatcher.answer(200, '['.repeat(400_000), ']'.repeat(400_000));
	t.is(decodeHoldAnswer((await outcome as {readonly body?: unknown}).body), undefined);
	t.is(decodeHoldAnswer(JSON.parse(`{"clock_ms":1,"running":${'['.repeat(400_000)}${']'.repeat(400_000)},"ended":[]}`)), undefined);
});
