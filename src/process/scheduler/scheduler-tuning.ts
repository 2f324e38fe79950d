/**
 * Tuning parameters of slot sharing between entry VMs.
 */

/** Parameters that balance the number of messages between entry VMs against waiting times. */
export type SchedulerTuning = {
	/** Time over which changes are batched into one message, in milliseconds. */
	readonly batchMs: number;
	/** Expected wait for a usable slot above which idle slots of other members are requested, in milliseconds. */
	readonly demandWaitMs: number;
	/** Fraction of the owned slots that is reserved for newly arriving jobs and not leased out. */
	readonly reservedPart: number;
	/** Fraction of the owned slots that is leased out at a time while they are idle; at least one slot. */
	readonly grantPart: number;
	/** Minimum time between two demands sent to the same member, in milliseconds. */
	readonly demandIntervalMs: number;
	/** Time after which an unused lease is returned, in milliseconds. */
	readonly leaseIdleMs: number;
	/** Maximum number of members that receive a demand at the same time. */
	readonly demandFanOut: number;
	/** Fraction of the owned slots that is not leased to other data centres. */
	readonly spillReserve: number;
};

/** Default tuning: short response times with few messages. */
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
