/** How eagerly slots move between entry VMs; fewer messages against shorter waits. */
export type SchedulerTuning = {
	/** Time for which changes are gathered into one message, in milliseconds. */
	readonly batchMs: number;
	/** Expected wait for the own slots from which on others are asked for idle ones, in milliseconds. */
	readonly demandWaitMs: number;
	/** Expected wait of the most urgent jobs from which on others are asked before less urgent work, in milliseconds. */
	readonly urgentWaitMs: number;
	/** Lead in urgency that moves a slot, as a multiple of the order's. */
	readonly leaseMarginFactor: number;
	/** Owned slots that are kept free of leases for jobs that arrive. */
	readonly reservedSlots: number;
	/** Least number of idle slots leased out at a time. */
	readonly minGrant: number;
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
	urgentWaitMs: 40,
	leaseMarginFactor: 1,
	reservedSlots: 2,
	minGrant: 3,
	demandIntervalMs: 20,
	leaseIdleMs: 200,
	demandFanOut: 3,
	spillReserve: 0.25,
};
