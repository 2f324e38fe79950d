/** How eagerly slots move between entry VMs; fewer messages against shorter waits. */
export type SchedulerTuning = {
	/** Time for which changes are gathered into one message, in milliseconds. */
	readonly batchMs: number;
	/** Expected wait for the own slots from which on others are asked, in milliseconds. */
	readonly demandWaitMs: number;
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
	batchMs: 1,
	demandWaitMs: 20,
	demandIntervalMs: 20,
	leaseIdleMs: 50,
	demandFanOut: 3,
	spillReserve: 0.25,
};
