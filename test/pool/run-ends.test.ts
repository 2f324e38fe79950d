/**
 * Ends of runs: what an owner takes for proof that a run has ended, and what it reports of it.
 */
import test from 'ava';
import {type LendOutcome, type PoolOwner} from '../../src/pool/index.js';
import {createJob, PoolHarness} from './pool-harness.js';

/** Runs a task of another pool's job; its outcome is added to the returned list. */
function runLent(owner: PoolOwner, job: string): readonly LendOutcome[] {
	const outcomes: LendOutcome[] = [];
	const {steps: [step], spec} = createJob(job);
	void (async () => {
		outcomes.push(await owner.runLent({
			task: `${job}.0.0.0`, number: 1, spec, service: 's', step: step!, expectedMs: 100,
		}, new AbortController().signal));
	})();

	return outcomes;
}

test('the log tells why runs count as ended that their upstream did not list as ended', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'own', {step: {estimateMs: 1000}, remainingMs: 10_000});
	await harness.clock.advance(10);
	const lentOutcomes = runLent(owner, 'lent');
	await harness.clock.advance(10);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(3000);
	t.deepEqual(lentOutcomes, [{kind: 'ended', end: 'lapsed'}]);
	t.like(harness.logLines.filter(({message}) => message === 'run counts as ended').map(({fields}) => fields), [
		{
			task: 'own.0.0.0', run: 1, upstream: 'u0', end: 'lapsed', grounds: 'lease-expired',
		},
		{
			task: 'lent.0.0.0', run: 1, upstream: 'u0', end: 'lapsed', grounds: 'lease-expired',
		},
	]);
	t.like(harness.logLines.find(({message}) => message === 'run ended without success')?.fields, {task: 'own.0.0.0', run: 1});
	t.like(harness.logLines.find(({message}) => message === 'lent run ended without success')?.fields, {task: 'lent.0.0.0', run: 1, upstream: 'u0'});
});

test('the log tells when an upstream restarted under its identifier', async t => {
	const harness = new PoolHarness({upstreamCount: 1});
	harness.createOwner();
	await harness.clock.advance(50);
	harness.upstreams.crash('u0');
	harness.upstreams.addUpstream({...harness.descriptions[0]!, bornMs: 2});
	await harness.clock.advance(1000);
	t.like(harness.logLines.find(({message}) => message === 'upstream added')?.fields, {upstream: 'u0', address: 'u0:1', bornMs: 1});
	t.like(harness.logLines.find(({message}) => message === 'upstream restarted')?.fields, {upstream: 'u0', bornMs: 2, earlierBornMs: 1});
});
