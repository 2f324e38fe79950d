import test from 'ava';
import {createRateLimitedLog, type DecisionLog} from '../../src/pool/index.js';
import {ManualClock} from '../../src/testing/index.js';

type Line = readonly [string, string, unknown];

function createRecorder(): {readonly lines: Line[]; readonly log: DecisionLog} {
	const lines: Line[] = [];
	return {
		lines,
		log: {
			debug(fields, message) {
				lines.push(['debug', message, fields.leftOut]);
			},
			info(fields, message) {
				lines.push(['info', message, fields.leftOut]);
			},
			warn(fields, message) {
				lines.push(['warn', message, fields.leftOut]);
			},
		},
	};
}

test('lines beyond the limit are omitted and counted, except warnings', async t => {
	const clock = new ManualClock();
	const {lines, log} = createRecorder();
	const bounded = createRateLimitedLog({
		clock, log, linesPerSecond: 2, debugLinesPerSecond: 1,
	});
	for (const message of ['a', 'b', 'c', 'd']) {
		bounded.info({}, message);
		bounded.warn({}, message);
	}

	await clock.advance(1000);
	bounded.info({}, 'e');
	t.deepEqual(lines.filter(([level]) => level === 'info').map(([, message]) => message), ['a', 'b', 'e']);
	t.deepEqual(lines.filter(([level]) => level === 'warn').map(([, message, leftOut]) => leftOut ?? message), ['a', 'b', 'c', 'd', 2]);
});

test('lines of level debug do not count against the limit of level info', t => {
	const {lines, log} = createRecorder();
	const bounded = createRateLimitedLog({
		clock: new ManualClock(), log, linesPerSecond: 1, debugLinesPerSecond: 1,
	});
	bounded.debug({}, 'a');
	bounded.debug({}, 'b');
	bounded.info({}, 'c');
	t.deepEqual(lines.map(([, message]) => message), ['a', 'c']);
});
