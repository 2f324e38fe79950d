/**
 * Runs on an upstream that restarts under its identifier and knows nothing of its former instance.
 */
import test from 'ava';
import {type LendOutcome} from '../../src/pool/index.js';
import {createJob, PoolHarness, typicalWork} from './pool-harness.js';

test('a lent run does not count as ended while an earlier send of its start may be carried out by a restarted upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 800})});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	const [faults] = harness.faults;
	const lateMs = [700];
	faults!.reachesNextInstance = true;
	faults!.getLateMs = () => lateMs.pop() ?? 0;
	const {steps: [step], spec} = createJob('a');
	const ends: Array<{readonly at: number; readonly outcome: LendOutcome}> = [];
	void (async () => {
		const outcome = await owner.runLent({
			task: 'a.0.0.0', number: 1, spec, service: 's', step: step!, expectedMs: 800,
		}, new AbortController().signal);
		ends.push({at: harness.clock.getMonotonicTime(), outcome});
	})();

	await harness.clock.advance(400);
	harness.upstreams.crash('u0');
	await harness.clock.advance(20);
	harness.upstreams.addUpstream({...harness.descriptions[0]!, bornMs: 2});
	await harness.clock.advance(2500);
	t.is(ends.length, 1);
	t.true(harness.upstreams.starts.every(({startedAt, endedAt = Infinity}) => startedAt < ends[0]!.at && endedAt <= ends[0]!.at));
});
