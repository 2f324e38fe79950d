import test from 'ava';
import {getBeatFactor} from '../../src/pool/index.js';

/** Heartbeats that a VM sends a tick, with a number of other VMs in its data centre of which some own pools. */
function getBeatsPerTick(nearCount: number, owners: number): number {
	const pace = (hasOwner: boolean): number => 1 / getBeatFactor({
		isNear: true, hasOwner, nearCount, vmCount: nearCount + 1,
	});
	return (owners * pace(true)) + ((nearCount - owners) * pace(false));
}

test('among few VMs all heartbeats are at full pace', t => {
	t.is(getBeatsPerTick(2, 1), 2);
	t.is(getBeatFactor({
		isNear: false, hasOwner: false, nearCount: 2, vmCount: 7,
	}), 1);
});

test('what a VM without pools sends does not grow with the number of VMs', t => {
	for (const nearCount of [19, 100, 1000]) {
		t.true(getBeatsPerTick(nearCount, 5) <= 12);
	}
});

test('owners are heard sooner than others', t => {
	const pace = (hasOwner: boolean): number => getBeatFactor({
		isNear: true, hasOwner, nearCount: 19, vmCount: 97,
	});
	t.deepEqual([pace(true), pace(false)], [2, 10]);
});
