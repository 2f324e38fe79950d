import test from 'ava';
import {getHeartbeatIntervalTicks} from '../../src/pool/index.js';

/** Time between the ticks of an entry VM on the platform, and ticks missed until a VM is down. */
const beatMs = 100;
const downBeats = 5;

function getFactor(nearCount: number, isOwner: boolean): number {
	return getHeartbeatIntervalTicks({
		isSameDataCenter: true, isOwner, localPeerCount: nearCount, vmCount: nearCount + 1,
	});
}

test('among few VMs all heartbeats are at full pace', t => {
	t.is(getFactor(2, true), 1);
	t.is(getFactor(2, false), 1);
	t.is(getHeartbeatIntervalTicks({
		isSameDataCenter: false, isOwner: false, localPeerCount: 2, vmCount: 7,
	}), 1);
});

test('what a VM sends does not grow with the number of VMs', t => {
	for (const nearCount of [19, 100, 1000]) {
		t.true(nearCount / getFactor(nearCount, true) <= 6);
		t.true(nearCount / getFactor(nearCount, false) <= 3);
	}
});

test('owners are heard sooner than others', t => {
	t.true(getFactor(19, true) < getFactor(19, false));
});

test('among 20 VMs of a data centre an owner that went silent is noticed within 2 seconds', t => {
	t.true(getFactor(19, true) * beatMs * downBeats <= 2000);
});
