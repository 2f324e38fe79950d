import test from 'ava';
import {restartMessage} from '../../src/pool/index.js';
import {
	describeGap, describeRestartGaps, findShortGaps, getRestartGaps, getRestartSummaries, type RestartGap, type RestartRecord, type TimedLine, type TimedRun,
} from '../../src/testing/restart-gaps.js';

const task = 'j.0.0.0';

function createRun(number: number, startedAt: number, endedAt: number | undefined, options: Partial<TimedRun> = {}): TimedRun {
	return {
		task, number, upstream: `u${number}`, startedAt, endedAt, end: 'stopped', isEndedByCrash: false, ...options,
	};
}

/** Creates the line of a start; the caller submitted the job at time 0. */
function createLine(run: number, at: number, fields: TimedLine['fields'] = {}): TimedLine {
	return {
		at, message: restartMessage, fields: {
			task, run, upstream: `u${run}`, afterMs: at, ...fields,
		},
	};
}

function getGaps(record: Partial<RestartRecord>): readonly RestartGap[] {
	return getRestartGaps({
		runs: [], submissions: [{job: 'j', sentAt: 0}], logLines: [], ...record,
	});
}

function getGrounds(record: Partial<RestartRecord>): readonly string[] {
	return getGaps(record).map(({ground}) => ground);
}

test('a gap lasts from the true end of the run that ended last to the next start', t => {
	const runs = [createRun(3, 500, 600), createRun(1, 10, 450), createRun(2, 100, 200), createRun(1, 0, 10, {task: 'j.0.0.1'})];
	t.deepEqual(getGaps({runs}).map(({earlier, later, gapMs, apartMs}) => [earlier.number, later.number, gapMs, apartMs]), [[1, 2, -350, 90], [1, 3, 50, 490]]);
});

test('a run that has not ended makes the gap infinitely negative, and every negative gap is short', t => {
	const logLines = [createLine(2, 99, {after: 1, end: 'stopped', grounds: 'listed'})];
	const [open] = getGaps({runs: [createRun(1, 0, undefined), createRun(2, 100, 200)], logLines});
	t.is(open!.gapMs, -Infinity);
	t.deepEqual(findShortGaps([open!]), [open!]);
	const gaps = getGaps({runs: [createRun(1, 0, 101), createRun(2, 100, 200)], logLines});
	t.deepEqual(findShortGaps(gaps).map(({gapMs, ground}) => [gapMs, ground]), [[-1, 'listed stopped']]);
	t.deepEqual(findShortGaps(getGaps({runs: [createRun(1, 0, 100), createRun(2, 100, 200)], logLines})), []);
});

test('the ground is that of the line of the start', t => {
	const runs = [createRun(1, 0, 100), createRun(2, 200, 300)];
	const getGround = (fields: TimedLine['fields']): string => getGrounds({runs, logLines: [createLine(2, 199, fields)]})[0]!;
	t.is(getGround({after: 1, end: 'lapsed', grounds: 'lease-expired'}), 'lease-expired lapsed');
	t.is(getGround({
		after: 1, end: 'stopped', grounds: 'lender', refused: 'no-room',
	}), 'lender stopped no-room');
	t.is(getGround({priorFence: 7}), 'moved');
	t.is(getGround({priorFence: 7, after: 0, refused: 'stale-run'}), 'moved stale-run');
	// The line is of another start, or tells of refusals only.
	t.is(getGround({priorFence: 7, upstream: 'u3'}), 'unknown');
	t.is(getGround({after: 0, refused: 'stale-run'}), 'unknown stale-run');
	// A start in another pool names no upstream.
	t.is(getGround({
		upstream: undefined, pool: 'dc2', after: 1, end: 'stopped', grounds: 'listed',
	}), 'listed stopped');
});

test('an owner knows no runs of earlier submissions', t => {
	const runs = [createRun(1, 0, 1000), createRun(1, 2300, 2400, {upstream: 'u9'}), createRun(2, 2500, 2600)];
	const submissions = [{job: 'j', sentAt: 0}, {job: 'j', sentAt: 2299}, {job: 'other', sentAt: 2450}];
	const line = createLine(2, 2499, {
		afterMs: 200, after: 1, end: 'stopped', grounds: 'listed',
	});
	t.deepEqual(getGrounds({runs, submissions, logLines: [line]}), ['listed stopped', 'resent']);
	// The first run of the second submission was lost on its way.
	t.deepEqual(getGrounds({runs: [runs[0]!, runs[2]!], submissions, logLines: [line]}), ['resent']);
	t.deepEqual(getGrounds({runs: runs.slice(0, 2), submissions: submissions.slice(0, 1)}), ['unknown']);
});

test('a repeated send of a start is told from one that is carried out late', t => {
	const first = createRun(1, 0, 50, {upstream: 'u'});
	t.deepEqual(getGrounds({runs: [first, createRun(1, 300, 400, {upstream: 'u'})]}), ['order-repeated']);
	t.deepEqual(getGrounds({runs: [first, createRun(1, 3000, 3100, {upstream: 'u'})]}), ['late-order']);
	const second = createRun(2, 100, 200, {upstream: 'other'});
	const logLines = [createLine(2, 99, {
		upstream: 'other', after: 1, end: 'stopped', grounds: 'listed',
	})];
	t.deepEqual(getGrounds({runs: [first, second, createRun(1, 300, 400, {upstream: 'u'})], logLines}), ['listed stopped', 'late-order']);
	const late = [first, {...second, startedAt: 800, endedAt: 900}];
	t.deepEqual(getGrounds({runs: late, logLines}), ['late-order']);
	// A lender may wait for a proof of the sender.
	const lent = logLines.map(line => ({...line, fields: {...line.fields, upstream: undefined, pool: 'dc2'}}));
	t.deepEqual(getGrounds({runs: late, logLines: lent}), ['listed stopped']);
	t.deepEqual(getGrounds({runs: [first, {...second, startedAt: 2100, endedAt: 2200}], logLines: lent}), ['late-order']);
});

test('the ground of a start covers only the run whose end the owner knows', t => {
	const known = createRun(1, 10, 100);
	const later = createRun(2, 200, 300, {upstream: 'u3'});
	const logLines = [createLine(2, 199, {
		upstream: 'u3', after: 1, end: 'stopped', grounds: 'listed',
	})];
	// Another owner has started the same number elsewhere; that its run has ended is luck.
	const unknown = createRun(1, 50, 190, {upstream: 'u9', end: 'lapsed'});
	t.deepEqual(getGrounds({runs: [known, later], logLines}), ['listed stopped']);
	t.is(getGrounds({runs: [known, unknown, later], logLines}).at(-1), 'unknown');
	t.true(findShortGaps(getGaps({runs: [known, unknown, later], logLines})).some(gap => gap.later === later));
});

test('a gap is short if it is below the bound of its ground or has none', t => {
	const submissions = [{job: 'j', sentAt: 0}, {job: 'j', sentAt: 2200}];
	const getShort = (gapMs: number): readonly RestartGap[] => findShortGaps(getGaps({runs: [createRun(1, 0, 2200), createRun(1, 2200 + gapMs, 3000, {upstream: 'u'})], submissions}));
	t.is(getShort(131).length, 1);
	t.is(getShort(132).length, 0);
	const lapsed = (gapMs: number): Partial<RestartRecord> => ({
		runs: [createRun(1, 0, 1000), createRun(2, 1000 + gapMs, 3000)], logLines: [createLine(2, 1000 + gapMs, {after: 1, end: 'lapsed', grounds: 'lease-expired'})],
	});
	t.is(findShortGaps(getGaps(lapsed(9))).length, 1);
	t.is(findShortGaps(getGaps(lapsed(10))).length, 0);
	const unknown = getGaps({runs: [createRun(1, 0, 10), createRun(2, 5000, 5100)]});
	t.deepEqual(findShortGaps(unknown), unknown);
	t.is(describeGap(unknown[0]!), 'j.0.0.0: unknown, 4990 ms without proof, starts 5000 ms apart, at 5000: run 1 on u1 (stopped), run 2 on u2 (stopped)');
});

test('a summary has the count, the least gap and the quantiles of each ground', t => {
	const getRecord = (index: number): {readonly runs: readonly TimedRun[]; readonly line: TimedLine} => {
		const name = `j.0.0.${index}`;
		return {
			runs: [createRun(1, 0, 100, {task: name, end: index === 0 ? 'done' : 'lapsed'}), createRun(2, 100 + index, 900, {task: name})],
			line: createLine(2, 100 + index, {
				task: name, after: 1, end: 'lapsed', grounds: 'unlisted',
			}),
		};
	};

	const records = Array.from({length: 201}, (_, index) => getRecord(index));
	const gaps = getGaps({runs: records.flatMap(({runs}) => runs), logLines: records.map(({line}) => line)});
	t.deepEqual(getRestartSummaries(gaps), [{
		ground: 'unlisted lapsed', count: 201, leastMs: 0, firstPercentMs: 2, medianMs: 100, afterDoneCount: 1, minGapMs: 0,
	}]);
	t.deepEqual(describeRestartGaps(gaps), ['unlisted lapsed: 201, least 0, 1% 2, median 100 ms, bound 0, 1 after a run that was done']);
});
