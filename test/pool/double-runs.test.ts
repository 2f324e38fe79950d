/**
 * No task has two runs at the same time, whatever befalls a fleet of entry VMs; the seeds and faults named here once broke a promise, and
 * `bench/pool-soak.ts` looks for more.
 */
import test, {type ExecutionContext} from 'ava';
import {type FleetFault} from '../../src/testing/fleet-faults.js';
import {describeResult, type FleetResult, runFleet} from '../../src/testing/fleet-run.js';
import {brokenFleets} from './broken-fleets.js';
import {createUpstream, PoolHarness} from './pool-harness.js';

function checkPromises(t: ExecutionContext, result: FleetResult): void {
	if (result.violations.length > 0) {
		t.log(describeResult(result, 1));
	}

	t.deepEqual(result.violations, []);
}

test('a fleet without faults keeps all promises and lends room', async t => {
	const result = await runFleet(1, []);
	checkPromises(t, result);
	t.true(result.submissions.filter(({outcome}) => outcome === 'completed').length > 100);
	t.true(result.logLines.some(({message}) => message === 'task placed for another pool'));
});

test('two runs of a fleet are the same', async t => {
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
	test(`a fleet keeps all promises with the faults of seed ${seed}`, async t => {
		checkPromises(t, await runFleet(seed));
	});
}

for (const {name, seed, faults} of brokenFleets) {
	test(name, async t => {
		checkPromises(t, await runFleet(seed, faults));
	});
}

const longWork = {needs: {cpu: 6800, memoryMb: 64, accelerators: 0}, durationMs: 900};

test('a run that a new life of an upstream has taken goes on when its owner learns of that life', async t => {
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
