/**
 * What the store holds of the owners of pools, for the times at which entry VMs do not see each other.
 */

/** The last write of an owner. */
export type StoredClaim = {
	readonly ownerId: string;
	/** Revision of the write; it is the fence of an owner that wrote it when it took the pool over. */
	readonly revision: number;
};

/** Reads and writes claims; nothing rejects. */
export type StoredClaims = {
	/**
	 * Writes that this VM owns a pool.
	 * @param pool - Pool.
	 * @returns Revision, above all fences so far; `undefined` where the store does not answer in time.
	 */
	addClaim(pool: string): Promise<number | undefined>;

	/**
	 * Gets the last claim of a pool.
	 * @param pool - Pool.
	 * @returns Claim; `undefined` where there is none or the store does not answer.
	 */
	getClaim(pool: string): Promise<StoredClaim | undefined>;
};
