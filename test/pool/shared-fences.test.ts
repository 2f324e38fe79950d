/**
 * Simulated fleets in which several owners of a pool know the same fence.
 */
import test, {type ExecutionContext} from 'ava';
import {
	describeResult, type FleetResult, getFleetFaults, getHoldFaults, getUpstreamAnswerFaults, getWorkloadFaults, runFleet,
} from '../../src/testing/fleet-run.js';

const messagesOfNewFences = new Set(['pool taken over', 'fence raised']);

async function runWithFaults(seed: number): Promise<FleetResult> {
	const faults = [...getFleetFaults(seed, 25), ...getUpstreamAnswerFaults(seed, 20), ...getWorkloadFaults(seed, 5), ...getHoldFaults(seed, 10)];
	return runFleet(seed, faults, {hasLeavers: true, hasResenders: true});
}

function checkNoViolations(t: ExecutionContext, result: FleetResult): void {
	if (result.violations.length > 0) {
		t.log(describeResult(result, 1));
	}

	t.deepEqual(result.violations, []);
}

// Without the store, owners that could not hear each other took the same fence, and a VM took the fence of its earlier term again.
for (const seed of [771_006, 771_013, 771_029, 771_043, 772_036, 773_000]) {
	test(`no two owners of a pool get the same fence (seed ${seed})`, async t => {
		const result = await runWithFaults(seed);
		const newFences = result.logLines.filter(({message}) => messagesOfNewFences.has(message)).map(({fields: {pool, fence}}) => `${String(pool)} ${String(fence)}`);
		t.true(newFences.length > 0);
		t.deepEqual(newFences.filter((fence, position) => newFences.indexOf(fence) < position), []);
		checkNoViolations(t, result);
	});
}

// An owner without jobs that was refused raised its fence and went on with what it knew from before the other owner.
for (const seed of [771_007, 771_023]) {
	test(`an owner that was refused knows of the runs that another owner has started meanwhile (seed ${seed})`, async t => {
		checkNoViolations(t, await runWithFaults(seed));
	});
}
