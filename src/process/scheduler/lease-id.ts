/**
 * Identifiers of leases; they are short, since each is sent over the link twice.
 */

/** Number of trailing characters of an incarnation's id, from its random part, that distinguish it within its data centre. */
const ownerCharacters = 8;
const radix = 36;

/**
 * Creates the identifier of a lease, which is unique within one service.
 * @param ownerId - Identifier of the incarnation that grants the lease.
 * @param number - Sequence number of the lease at its owner.
 * @internal
 */
export function createLeaseId(ownerId: string, number: number): string {
	return `${getOwnerPart(ownerId)}:${number.toString(radix)}`;
}

/**
 * Gets whether a lease was granted by an incarnation.
 * @param leaseId - Identifier of the lease.
 * @param ownerId - Identifier of the incarnation.
 * @internal
 */
export function isLeaseGrantedBy(leaseId: string, ownerId: string): boolean {
	return leaseId.startsWith(`${getOwnerPart(ownerId)}:`);
}

function getOwnerPart(ownerId: string): string {
	return ownerId.slice(-ownerCharacters);
}
