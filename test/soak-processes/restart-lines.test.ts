import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {parseLine, readRestartLines} from '../../bench/soak-processes/restart-lines.js';
import {restartMessage} from '../../src/pool/index.js';
import {getRestartGaps} from '../../src/testing/restart-gaps.js';

const fields = {
	task: 'j.0.0.0', run: 2, upstream: 'u2', afterMs: 300, after: 1, end: 'lapsed', grounds: 'lease-expired',
};

function createLine(at: number, message = restartMessage): string {
	return JSON.stringify({
		name: 'endivemill', level: 30, ...fields, msg: message, time: new Date(at).toISOString(),
	});
}

test('a line has its time on the clock that all processes share', t => {
	const [line] = parseLine(createLine(1000), 500);
	t.like(line, {at: 1500, message: restartMessage, fields});
	t.deepEqual(parseLine(createLine(1000, 'job ended'), 500), []);
	t.deepEqual(parseLine(createLine(1000).slice(0, -1), 500), []);
	t.deepEqual(parseLine('', 500), []);
});

test('the lines of all logs of a folder give the grounds of the starts', t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'restart-lines-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	writeFileSync(path.join(folder, 'a.log'), `${createLine(Date.now(), 'job ended')}\n${createLine(Date.now())}\n`);
	writeFileSync(path.join(folder, 'a.conf'), `${createLine(0)}\n`);
	const logLines = readRestartLines(folder);
	t.is(logLines.length, 1);
	const now = logLines[0]!.at;
	const run = {task: 'j.0.0.0', usedCpu: 1, isEndedByCrash: false};
	const gaps = getRestartGaps({
		runs: [
			{
				...run, number: 1, upstream: 'u1', startedAt: now - 250, endedAt: now - 200, end: 'lapsed',
			},
			{
				...run, number: 2, upstream: 'u2', startedAt: now, endedAt: now + 100, end: 'done',
			},
		],
		submissions: [{job: 'j', sentAt: now - 300}],
		logLines,
	});
	t.deepEqual(gaps.map(({ground, gapMs}) => [ground, gapMs]), [['lease-expired lapsed', 200]]);
});
