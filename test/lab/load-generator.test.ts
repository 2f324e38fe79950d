import test from 'ava';
import {
	defaultLoadMix, drawInterarrivalMs, drawArrival, formatLoadReport, LoadGenerator,
} from '../../src/lab/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {sendCompleteAnswer, startScriptedEntryVm} from './scripted-entry-vm.js';

test('the same seed draws the same arrivals', t => {
	const first = createSeededRandom(3);
	const second = createSeededRandom(3);
	t.deepEqual(drawArrival(defaultLoadMix, first), drawArrival(defaultLoadMix, second));
	t.is(drawInterarrivalMs(10, first), drawInterarrivalMs(10, second));
});

test('drawn arrivals conform to the mix', t => {
	const random = createSeededRandom(5);
	const works = Array.from({length: 2000}, () => drawArrival(defaultLoadMix, random));
	t.true(works.every(work => work.runMs.length > 0 && work.runMs.length <= 199));
	t.true(works.every(work => work.kind === 'job' || work.runMs.length === 1));
	t.true(works.every(work => work.runMs.every(runMs => runMs <= defaultLoadMix.maxRunMs)));
	t.true(works.some(work => work.resubmitAfterMs !== undefined) && works.some(work => work.cancelAfterMs !== undefined));
});

test('a load is submitted and reported', async t => {
	const vm = await startScriptedEntryVm(() => 'dc.a.1.1', (submission, res) => {
		if (submission.url.startsWith('/v1/services')) {
			res.end('done');
			return;
		}

		const {tasks} = JSON.parse(submission.body) as {tasks: unknown[]};
		sendCompleteAnswer(res, tasks.map(() => 'done'));
	});
	const generator = new LoadGenerator({
		addresses: [vm.address], service: 'seats', perSecond: 400, durationMs: 150, seed: 2, mix: {resubmitFraction: 0.5, cancelFraction: 0, medianRunMs: 1},
		burstSize: 5, burstEveryMs: 50,
	});
	const report = await generator.run();
	await generator.close();
	await vm.close();
	t.true(report.jobs > 0 && report.singles > 0);
	t.is(report.outcomes.complete, report.jobs + report.singles);
	t.is(report.joined, report.resubmitted);
	t.is(report.calls, vm.submissions.length);
	t.regex(formatLoadReport(report), /outcomes +complete \d+/v);
});
