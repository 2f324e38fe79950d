/**
 * Names of leases; short, since each goes over the link twice.
 */

/** Characters of an incarnation's id that tell it from the others of its data centre: the end of its random part. */
const ownerCharacters = 8;
const radix = 36;

/**
 * Creates the name of a lease. Names are told apart within one service.
 * @param ownerId - Incarnation that grants it.
 * @param number - Number of the lease at its owner.
 * @internal
 */
export function createLeaseId(ownerId: string, number: number): string {
	return `${getOwnerPart(ownerId)}:${number.toString(radix)}`;
}

/**
 * Gets whether a lease was named by an incarnation.
 * @param leaseId - Name of the lease.
 * @param ownerId - Incarnation.
 * @internal
 */
export function isLeaseGrantedBy(leaseId: string, ownerId: string): boolean {
	return leaseId.startsWith(`${getOwnerPart(ownerId)}:`);
}

function getOwnerPart(ownerId: string): string {
	return ownerId.slice(-ownerCharacters);
}
