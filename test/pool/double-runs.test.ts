/**
 * No task has two runs at the same time, whatever faults occur in a fleet of entry VMs. The seeds and faults listed here once violated an
 * invariant; `bench/pool-soak.ts` searches for further ones.
 */
import test, {type ExecutionContext} from 'ava';
import {type FleetFault} from '../../src/testing/fleet-faults.js';
import {describeResult, type FleetResult, runFleet} from '../../src/testing/fleet-run.js';
import {fleetRegressions} from './fleet-regressions.js';
import {createUpstream, PoolHarness} from './pool-harness.js';

function checkNoViolations(t: ExecutionContext, result: FleetResult): void {
	if (result.violations.length > 0) {
		t.log(describeResult(result, 1));
	}

	t.deepEqual(result.violations, []);
}

test('a fleet without faults violates no invariant and lends free capacity', async t => {
	const result = await runFleet(1, []);
	checkNoViolations(t, result);
	t.true(result.submissions.filter(({outcome}) => outcome === 'completed').length > 100);
	t.true(result.logLines.some(({message}) => message === 'lent runs ended'));
});

test('two simulations of a fleet with the same seed and faults are identical', async t => {
	const faults: readonly FleetFault[] = [
		{
			kind: 'kill', atMs: 3000, durationMs: 500, target: 0, salt: 1, strength: 0.5,
		}, {
			kind: 'freeze', atMs: 4000, durationMs: 1500, target: 3, salt: 1, strength: 0.5,
		},
	];
	const [first, second] = [await runFleet(2, faults), await runFleet(2, faults)];
	t.deepEqual(first.starts.map(({task, startedAt}) => [task, startedAt]), second.starts.map(({task, startedAt}) => [task, startedAt]));
});

for (const seed of [3, 4, 5]) {
	test(`a fleet violates no invariant with the faults of seed ${seed}`, async t => {
		checkNoViolations(t, await runFleet(seed));
	});
}

for (const {name, seed, faults} of fleetRegressions) {
	test(name, async t => {
		checkNoViolations(t, await runFleet(seed, faults));
	});
}

const longWork = {needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 900};

test('a run that a new instance of an upstream has accepted continues when its owner detects the new instance', async t => {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => longWork});
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	for (const {id} of harness.descriptions) {
		harness.upstreams.crash(id);
		harness.upstreams.addUpstream({...createUpstream(id, 16_000), bornMs: 2});
	}

	harness.submit(owner, 'a', {step: {estimateMs: 900}});
	await harness.clock.advance(2000);
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});
