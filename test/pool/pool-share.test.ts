import test from 'ava';
import {
	electOwners, getPoolNames, mayClaimAnotherPool, sortByVmPreference,
} from '../../src/pool/index.js';

const pools = getPoolNames('a', 7);
const vms = Array.from({length: 13}, (_, position) => `v${position}`);
const stepMs = 25;

type PlayOptions = {
	/** When each VM that comes back can take pools first, in milliseconds. */
	readonly startsMs: readonly number[];
	/** Time until VMs hear what others own, in milliseconds. */
	readonly hearMs: number;
	readonly isLimited?: boolean;
};

/** Lets VMs start one after another and elect by what they heard of each other; gets how many pools each one owns in the end. */
function playStarts({startsMs, hearMs, isLimited = true}: PlayOptions): {readonly counts: readonly number[]} {
	const owned = new Map<string, ReadonlySet<string>>(vms.map(vm => [vm, new Set()]));
	const history: Array<ReadonlyMap<string, ReadonlySet<string>>> = [];
	for (let now = 0; now < 5000; now += stepMs) {
		const heard = history.at(-1 - Math.round(hearMs / stepMs));
		for (const [position, vm] of vms.entries()) {
			const ageMs = now - (startsMs[position] ?? Infinity);
			if (ageMs < 0) {
				continue;
			}

			const seen = vms.filter((other, index) => other === vm || (startsMs[index] ?? Infinity) + hearMs <= now);
			const elected = electOwners(pools, seen.map(id => ({
				id, dataCenter: 'a', cores: 0.5, isUp: true, isLeaving: false,
				claims: Object.fromEntries([...(id === vm ? owned : heard ?? owned).get(id)!].map(pool => [pool, 1])),
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

test('after a loss of all VMs of a data centre none of them takes more pools than its share', t => {
	const startsMs = vms.map((_, position) => position * 50);
	for (const hearMs of [0, 50, 150]) {
		const {counts} = playStarts({startsMs, hearMs});
		t.is(counts.reduce((sum, count) => sum + count, 0), pools.length);
		t.is(Math.max(...counts), 1);
	}

	t.true(Math.max(...playStarts({startsMs, hearMs: 50, isLimited: false}).counts) > 1);
});

test('a VM that stays alone takes all pools after a while', t => {
	t.is(playStarts({startsMs: [0], hearMs: 50}).counts[0], pools.length);
});

test('VMs that start at the same time seldom begin with the same pool', t => {
	const first = vms.map(vm => sortByVmPreference(pools, vm)[0]);
	t.true(new Set(first).size >= 4);
});

test('a new VM takes the only pool of its data centre at once, also where the list of VMs is not known', t => {
	for (const vmCount of [3, Infinity]) {
		t.true(mayClaimAnotherPool({
			poolCount: 1, vmCount, ownedCount: 0, ageMs: 0,
		}));
	}
});
