/**
 * Orders of queued jobs. A rank does not depend on the time at which it is computed: ageing is expressed by the
 * arrival time, so waiting jobs need no re-ranking.
 */
import {type Profile} from '../../version/index.js';

/** Properties of a job that determine its rank. */
export type RankedJob = {
	/** Monotonic time in milliseconds at which the job was admitted. */
	readonly arrivedAt: number;
	readonly queuedTasks: number;
	readonly runningTasks: number;
	/** Expected duration of one of the job's tasks, estimated from observed durations, in milliseconds. */
	readonly taskMs: number;
};

/** Determines which queued job runs next. */
export type JobOrder = {
	/** Whether a weighted round robin chooses the team before ranks are compared. */
	readonly isFairAcrossTeams: boolean;
	/** Increase of a new job's rank per millisecond of later arrival. */
	readonly rankPerMs: number;
	/** Difference of rank that counts as twice as urgent when entry VMs compete for a slot. */
	readonly leaseMargin: number;
	/**
	 * Gets the rank of a job; the lowest rank runs first.
	 * @param job - Job to rank.
	 */
	getRank(job: RankedJob): number;
};

/** Creates the order that a profile specifies. */
export type JobOrderFactory = (profile: Pick<Profile, 'order' | 'agingMs'>) => JobOrder;

/** Difference of arrival times that counts as twice as urgent in the `fifo` order, in milliseconds. */
const fifoLeaseMarginMs = 100;

/** Difference in running tasks that counts as twice as urgent in the `fair` order. */
const fairLeaseMargin = 4;

/** Difference in the binary logarithm of the remaining work that counts as twice as urgent. */
const remainingLeaseMargin = 1;

/** Lower bound of the remaining work in a rank, in milliseconds; keeps the logarithm finite. */
const minRemainingMs = 1;

const fifoOrder: JobOrder = {
	isFairAcrossTeams: false,
	rankPerMs: 1,
	leaseMargin: fifoLeaseMarginMs,
	getRank: job => job.arrivedAt,
};

const fairOrder: JobOrder = {
	isFairAcrossTeams: true,
	rankPerMs: 0,
	leaseMargin: fairLeaseMargin,
	getRank: job => job.runningTasks,
};

/**
 * Creates the order that runs the job with the least remaining work first and halves a job's effective work for each
 * `agingMs` that it waits. On a logarithmic scale this equals adding the arrival time to the rank.
 *
 * The wait is bounded: a job with remaining work W is overtaken only by jobs that arrive within
 * `agingMs * log2(W / w)` after it, where w is the least work that a job can have. With 1,000 tasks of equal length
 * that is 10 times `agingMs`; jobs that arrive later run after it.
 * @param agingMs - Waiting time that halves a job's effective work, in milliseconds.
 */
export function createShortestRemainingOrder(agingMs: number): JobOrder {
	const rankPerMs = 1 / Math.max(agingMs, 1);
	return {
		isFairAcrossTeams: false,
		rankPerMs,
		leaseMargin: remainingLeaseMargin,
		getRank(job) {
			const remainingMs = Math.max(job.queuedTasks * job.taskMs, minRemainingMs);
			return Math.log2(remainingMs) + (job.arrivedAt * rankPerMs);
		},
	};
}

/** Creates the built-in order that a profile specifies. */
export const createJobOrder: JobOrderFactory = profile => {
	switch (profile.order) {
		case 'fifo': {
			return fifoOrder;
		}

		case 'fair': {
			return fairOrder;
		}

		case 'shortest-remaining': {
			return createShortestRemainingOrder(profile.agingMs);
		}
	}
};
