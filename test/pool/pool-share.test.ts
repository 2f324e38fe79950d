import test from 'ava';
import {
	electOwners, getPoolNames, mayClaimAnotherPool, sortByVmPreference,
} from '../../src/pool/index.js';

const pools = getPoolNames('a', 7);
const vms = Array.from({length: 13}, (_, position) => `v${position}`);
const stepMs = 25;

type SimulationOptions = {
	/** Times from which each restarted VM can claim pools, in milliseconds. */
	readonly startsMs: readonly number[];
	/** Time until VMs receive the claims of others, in milliseconds. */
	readonly propagationMs: number;
	readonly isLimited?: boolean;
};

/** Simulates VMs that start one after another and elect owners by the claims received from each other; gets the number of pools that each one owns in the end. */
function simulateStarts({startsMs, propagationMs, isLimited = true}: SimulationOptions): {readonly counts: readonly number[]} {
	const owned = new Map<string, ReadonlySet<string>>(vms.map(vm => [vm, new Set()]));
	const history: Array<ReadonlyMap<string, ReadonlySet<string>>> = [];
	for (let now = 0; now < 5000; now += stepMs) {
		const received = history.at(-1 - Math.round(propagationMs / stepMs));
		for (const [position, vm] of vms.entries()) {
			const ageMs = now - (startsMs[position] ?? Infinity);
			if (ageMs < 0) {
				continue;
			}

			const knownVms = vms.filter((other, index) => other === vm || (startsMs[index] ?? Infinity) + propagationMs <= now);
			const elected = electOwners(pools, knownVms.map(id => ({
				id, dataCenter: 'a', cores: 0.5, isUp: true, isLeaving: false,
				claims: Object.fromEntries([...(id === vm ? owned : received ?? owned).get(id)!].map(pool => [pool, 1])),
			})));
			const next = new Set(owned.get(vm));
			for (const pool of isLimited ? sortByVmPreference(pools, vm) : pools) {
				const mayTake = !isLimited || mayClaimAnotherPool({
					poolCount: pools.length, vmCount: vms.length, ownedCount: next.size, ageMs,
				});
				if (elected.get(pool)?.id !== vm) {
					next.delete(pool);
				} else if (!next.has(pool) && mayTake) {
					next.add(pool);
				}
			}

			owned.set(vm, next);
		}

		history.push(new Map(owned));
	}

	return {counts: vms.map(vm => owned.get(vm)!.size)};
}

test('after a failure of all VMs of a data centre, none of them claims more pools than its share', t => {
	const startsMs = vms.map((_, position) => position * 50);
	for (const propagationMs of [0, 50, 150]) {
		const {counts} = simulateStarts({startsMs, propagationMs});
		t.is(counts.reduce((sum, count) => sum + count, 0), pools.length);
		t.is(Math.max(...counts), 1);
	}

	t.true(Math.max(...simulateStarts({startsMs, propagationMs: 50, isLimited: false}).counts) > 1);
});

test('a VM that remains the only one claims all pools after the limited time', t => {
	t.is(simulateStarts({startsMs: [0], propagationMs: 50}).counts[0], pools.length);
});

test('VMs that start at the same time seldom claim the same pool first', t => {
	const first = vms.map(vm => sortByVmPreference(pools, vm)[0]);
	t.true(new Set(first).size >= 4);
});

test('a new VM may claim the only pool of its data centre immediately, even if the number of VMs is not known', t => {
	for (const vmCount of [3, Infinity]) {
		t.true(mayClaimAnotherPool({
			poolCount: 1, vmCount, ownedCount: 0, ageMs: 0,
		}));
	}
});
