/**
 * How often an entry VM sends heartbeats to another one. Answers fleets of tens of VMs a data centre: heartbeats of all pairs at
 * full pace would take more of a small VM than its callers do. The owners of pools must be missed soon, and tell their load. The rest matter
 * less: an owner notices that a VM is gone whose jobs it holds by the job connection. A VM sends about as many heartbeats whatever the number
 * of the others.
 */

/** What decides over the pace of one link. */
export type HeartbeatIntervalInput = {
	readonly isSameDataCenter: boolean;
	/** Whether the VM that sends owns a pool. */
	readonly isOwner: boolean;
	/** Other VMs of this data centre. */
	readonly localPeerCount: number;
	/** VMs of all data centres. */
	readonly vmCount: number;
};

/**
 * Other VMs of the data centre up to which an owner, and a VM that owns nothing, sends heartbeats at full pace. Larger, heartbeats take more of a
 * VM; smaller, VMs that went silent are noticed later.
 */
const ownerLinks = 6;
const otherLinks = 3;

/** VMs of all data centres up to which each is linked to each, so that owners hear each other directly. */
export const maxMeshVms = 10;

/** Ticks between heartbeats to another data centre where few VMs are linked, whose reports need not come at once. */
const farFactor = 5;

/**
 * Gets every how many ticks a heartbeat is sent.
 * @param input - What is known of the two VMs.
 */
export function getHeartbeatIntervalTicks({isSameDataCenter: isNear, isOwner, localPeerCount: nearCount, vmCount}: HeartbeatIntervalInput): number {
	if (!isNear) {
		return vmCount <= maxMeshVms ? 1 : farFactor;
	}

	return Math.max(1, Math.ceil(nearCount / (isOwner ? ownerLinks : otherLinks)));
}
