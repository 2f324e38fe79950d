/**
 * Heartbeat interval between two entry VMs. With tens of VMs in a data centre, heartbeats between all pairs on every tick would take more
 * processor time of a small VM than its callers do. The interval therefore grows with the number of VMs, so that the number of heartbeats that
 * a VM sends stays about constant. Owners of pools use a shorter interval, since their failure must be detected early and heartbeats carry
 * their load. Other VMs matter less: an owner detects the failure of a VM whose jobs it runs by the job connection.
 */

/** Inputs to the heartbeat interval of one link. */
export type HeartbeatIntervalInput = {
	/** Whether both VMs are in one data centre. */
	readonly isSameDataCenter: boolean;
	/** Whether the sending VM owns a pool. */
	readonly isOwner: boolean;
	/** Number of other VMs in the sender's data centre. */
	readonly localPeerCount: number;
	/** Number of VMs in all data centres. */
	readonly vmCount: number;
};

/**
 * Maximum number of other VMs in the data centre with which an owner, and a VM that owns no pool, sends heartbeats on every tick. Higher values
 * take more processor time; lower values delay the detection of failed VMs.
 */
const ownerFullRatePeers = 6;
const otherFullRatePeers = 3;

/** Maximum number of VMs in all data centres that form a full mesh, in which owners receive each other's heartbeats directly. */
export const maxFullMeshVms = 10;

/** Interval of heartbeats to another data centre outside a full mesh, in ticks: only few VMs are linked, and their reports are not urgent. */
const remoteIntervalTicks = 5;

/**
 * Gets the interval between heartbeats to a VM, in ticks.
 * @param input - Placement and role of the two VMs.
 */
export function getHeartbeatIntervalTicks({isSameDataCenter, isOwner, localPeerCount, vmCount}: HeartbeatIntervalInput): number {
	if (!isSameDataCenter) {
		return vmCount <= maxFullMeshVms ? 1 : remoteIntervalTicks;
	}

	return Math.max(1, Math.ceil(localPeerCount / (isOwner ? ownerFullRatePeers : otherFullRatePeers)));
}
