/** What the owner logs of a job. */
import test from 'ava';
import {createJob, PoolHarness} from './pool-harness.js';

test('a job without deviations has one line of its owner, with its admission and its starts', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.logLines.length = 0;
	harness.submit(owner, 'a', {ageMs: 4, step: {taskCount: 2}});
	await harness.clock.advance(300);
	const lines = harness.logLines;
	t.deepEqual(lines.map(({message}) => message), ['job ended']);
	t.like(lines[0]!.fields, {
		job: 'a', route: 'r', tasks: 2, ageMs: 4, expectedWaitMs: 0, outcome: 'completed',
	});
	const upstreams = ['a.0.0.0', 'a.0.0.1'].map(task => harness.getStarts(task)[0]!.upstream);
	const freeCpus = upstreams[0] === upstreams[1] ? [16_000, 9200] : [16_000, 16_000];
	t.deepEqual(lines[0]!.fields.started, upstreams.map((upstream, position) => ({
		task: `0.${position}`, run: 1, afterMs: 4, upstream, freeCpu: freeCpus[position],
	})));
});

test('the line of a job that is released has its starts', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {step: {taskCount: 2}});
	await harness.clock.advance(20);
	owner.close();
	t.like(harness.logLines.find(({message}) => message === 'job released')?.fields, {job: 'a', started: {length: 2}});
});

test('the starts of a job that are logged are bounded and the others are counted', async t => {
	const harness = new PoolHarness({upstreamCount: 40});
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	harness.submit(owner, 'a', {step: {taskCount: 70}});
	await harness.clock.advance(300);
	t.like(harness.logLines.find(({message}) => message === 'job ended')?.fields, {started: {length: 64}, omittedStarts: 6});
});

test('the ends of lent runs are gathered in one line, also if the owner gives up the pool', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	const lend = (task: string): void => {
		void owner.runLent({
			task, number: 1, spec: 'work', service: 's', step: createJob('b').steps[0]!, expectedMs: 100,
		}, new AbortController().signal);
	};

	const getLogged = (): unknown[] => harness.logLines.filter(({message}) => message === 'lent runs ended').map(({fields}) => {
		const runs = fields.runs as ReadonlyArray<{readonly task: string}>;
		return runs.map(({task}) => task);
	});
	lend('b.0.0.0');
	lend('b.0.0.1');
	await harness.clock.advance(800);
	t.deepEqual(getLogged(), [['b.0.0.0', 'b.0.0.1']]);
	lend('b.0.0.2');
	await harness.clock.advance(200);
	t.is(getLogged().length, 1);
	owner.close();
	t.deepEqual(getLogged()[1], ['b.0.0.2']);
});
