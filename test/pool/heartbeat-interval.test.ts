import test from 'ava';
import {getHeartbeatIntervalTicks} from '../../src/pool/index.js';

/** Interval of the ticks of an entry VM on the platform, in milliseconds, and number of missed heartbeats after which a VM is down. */
const tickMs = 100;
const missedHeartbeatsUntilDown = 5;

function getLocalIntervalTicks(localPeerCount: number, isOwner: boolean): number {
	return getHeartbeatIntervalTicks({
		isSameDataCenter: true, isOwner, localPeerCount, vmCount: localPeerCount + 1,
	});
}

test('among few VMs a heartbeat is sent on every tick', t => {
	t.is(getLocalIntervalTicks(2, true), 1);
	t.is(getLocalIntervalTicks(2, false), 1);
	t.is(getHeartbeatIntervalTicks({
		isSameDataCenter: false, isOwner: false, localPeerCount: 2, vmCount: 7,
	}), 1);
});

test('the heartbeat rate of a VM does not grow with the number of VMs', t => {
	for (const localPeerCount of [19, 100, 1000]) {
		t.true(localPeerCount / getLocalIntervalTicks(localPeerCount, true) <= 6);
		t.true(localPeerCount / getLocalIntervalTicks(localPeerCount, false) <= 3);
	}
});

test('owners send heartbeats at shorter intervals than other VMs', t => {
	t.true(getLocalIntervalTicks(19, true) < getLocalIntervalTicks(19, false));
});

test('among 20 VMs of a data centre the failure of an owner is detected within 2 seconds', t => {
	t.true(getLocalIntervalTicks(19, true) * tickMs * missedHeartbeatsUntilDown <= 2000);
});
