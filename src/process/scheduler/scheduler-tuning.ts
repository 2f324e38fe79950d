/**
 * Settings of the exchange of slots.
 */

/** How eagerly slots move between entry VMs; fewer messages against shorter waits. */
export type SchedulerTuning = {
	/** Time for which changes are gathered into one message, in milliseconds. */
	readonly batchMs: number;
	/** Expected wait for the own slots from which on others are asked for idle ones, in milliseconds. */
	readonly demandWaitMs: number;
	/** Part of the owned slots that is kept free of leases for jobs that arrive. */
	readonly reservedPart: number;
	/** Part of the owned slots that is leased out at a time when they are idle; at least one slot. */
	readonly grantPart: number;
	/** Least time between two demands told to the same member, in milliseconds. */
	readonly demandIntervalMs: number;
	/** Time for which a lease without a task is kept, in milliseconds. */
	readonly leaseIdleMs: number;
	/** Most members asked at the same time. */
	readonly demandFanOut: number;
	/** Part of the owned slots kept free of leases to other data centres. */
	readonly spillReserve: number;
};

/** Tuning for short responses with few messages. */
export const defaultTuning: SchedulerTuning = {
	batchMs: 10,
	demandWaitMs: 20,
	reservedPart: 0.04,
	grantPart: 0.06,
	demandIntervalMs: 20,
	leaseIdleMs: 100,
	demandFanOut: 4,
	spillReserve: 0.25,
};
