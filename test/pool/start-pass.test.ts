import test from 'ava';
import {type LendOutcome} from '../../src/pool/index.js';
import {PoolHarness, typicalWork} from './pool-harness.js';

const patientRules = {
	route: 'r', service: 's', priority: 0, maxAttempts: 3, stretch: 2, slackMs: 5000,
};

/** Options of a job of one task. */
function createOptions(cpu: number, estimateMs: number) {
	return {rules: patientRules, remainingMs: 10_000, step: {needs: {...typicalWork.needs, cpu}, estimateMs}};
}

// Guards against tasks of three quarters of an upstream that wait while smaller ones take whatever becomes free.
test('a task that does not fit has a reservation: longer tasks do not start in its way, briefer ones do, and lent ones respect it', async t => {
	const harness = new PoolHarness({
		upstreamCount: 1,
		getWork(task) {
			const [cpu, durationMs] = {
				run: [8000, 300], large: [12_000, 50], long: [6000, 1000], brief: [6000, 50],
			}[task.split('.')[0]!] ?? [6000, 1000];
			return {needs: {...typicalWork.needs, cpu: cpu!}, durationMs: durationMs!};
		},
	});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'run', createOptions(8000, 300));
	await harness.clock.advance(10);
	harness.submit(owner, 'large', createOptions(12_000, 50));
	harness.submit(owner, 'long', createOptions(6000, 1000));
	harness.submit(owner, 'brief', createOptions(6000, 50));
	await harness.clock.advance(20);
	t.deepEqual(harness.upstreams.starts.map(({task}) => task), ['run.0.0.0', 'brief.0.0.0']);
	await harness.clock.advance(60);
	// 8000 are free, of which the large task will need all but 4000.
	t.deepEqual(owner.getLoad().rooms, [4000]);
	const lent: LendOutcome[] = [];
	void (async () => {
		lent.push(await owner.runLent({
			task: 'lent.0.0.0', number: 1, spec: 'work', service: 's', expectedMs: 1000,
			step: {
				taskCount: 1, needs: {...typicalWork.needs, cpu: 6000}, estimateMs: 1000, after: [],
			},
		}, new AbortController().signal));
	})();

	await harness.clock.advance(0);
	t.deepEqual(lent, [{kind: 'refused', reason: 'no-room'}]);
	await harness.clock.advance(300);
	t.deepEqual(harness.upstreams.starts.map(({task}) => task).slice(2), ['large.0.0.0', 'long.0.0.0']);
	t.true(harness.logLines.some(({message}) => message === 'waiting tasks planned'));
});

// Guards against tasks of a step that share an upstream beyond the step's limit while another job takes part of the capacity.
test('tasks of a limited step that do not all fit at once start on different upstreams', async t => {
	const harness = new PoolHarness({
		upstreamCount: 3,
		getWork: task => ({needs: {...typicalWork.needs, cpu: task.startsWith('large') ? 12_000 : 7000}, durationMs: task.startsWith('large') ? 900 : 100}),
	});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'large', createOptions(12_000, 900));
	await harness.clock.advance(10);
	const {step, ...options} = createOptions(7000, 100);
	harness.submit(owner, 'limited', {...options, step: {...step, taskCount: 5, maxPerUpstream: 1}});
	const counts: number[] = [];
	for (let elapsedMs = 0; elapsedMs < 600; elapsedMs += 20) {
		await harness.clock.advance(20);
		for (const {id} of harness.descriptions) {
			counts.push(harness.upstreams.starts.filter(({task, upstream, endedAt}) => task.startsWith('limited') && upstream === id && endedAt === undefined).length);
		}
	}

	t.is(Math.max(...counts), 1);
	t.deepEqual(harness.outcomes.get('limited'), {kind: 'completed'});
	t.true(harness.logLines.some(({message}) => message === 'waiting tasks planned'));
});
