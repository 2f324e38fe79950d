/**
 * Claims on pools in the store, which decide on ownership while entry VMs cannot reach each other.
 */

/** Last claim that an owner wrote. */
export type StoredClaim = {
	readonly ownerId: string;
	/** Store revision of the write; the claim that an owner writes when it takes a pool over gives its fence. */
	readonly revision: number;
};

/** Reads and writes claims; its promises never reject. */
export type StoredClaims = {
	/**
	 * Writes a claim of this VM on a pool.
	 * @param pool - Pool.
	 * @returns Revision, higher than all earlier ones; `undefined` when the store does not answer in time.
	 */
	addClaim(pool: string): Promise<number | undefined>;

	/**
	 * Gets the last claim of a pool.
	 * @param pool - Pool.
	 * @returns Claim; `undefined` when there is none or the store does not answer.
	 */
	getClaim(pool: string): Promise<StoredClaim | undefined>;
};
