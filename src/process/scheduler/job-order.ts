/**
 * Orders of queued jobs. A rank doesn't depend on the time at which it is computed, so that waiting jobs need no
 * update: a job that ages is ranked by when it arrived.
 */
import {type Profile} from '../../version/index.js';

/** What an order sees of a job. */
export type RankedJob = {
	/** Monotonic time in milliseconds at which the job was admitted. */
	readonly arrivedAt: number;
	readonly queuedTasks: number;
	readonly runningTasks: number;
	/** Expected time of one of the job's tasks, by observation, in milliseconds. */
	readonly taskMs: number;
};

/** Decides which queued job is next. */
export type JobOrder = {
	/** Whether teams take turns by weight before ranks are compared. */
	readonly isFairAcrossTeams: boolean;
	/** Growth of a new job's rank for each millisecond that it arrives later. */
	readonly rankPerMs: number;
	/** Difference of rank that counts as twice as urgent when a slot may move to another entry VM. */
	readonly leaseMargin: number;
	/**
	 * Gets the rank of a job; the smallest runs first.
	 * @param job - Job to rank.
	 */
	getRank(job: RankedJob): number;
};

/** Creates the order of a profile. */
export type JobOrderFactory = (profile: Pick<Profile, 'order' | 'agingMs'>) => JobOrder;

/** Lead in arrival that counts as twice as urgent under the order of arrival, in milliseconds. */
const fifoLeaseMarginMs = 100;

/** Lead in running tasks that counts as twice as urgent under the fair order. */
const fairLeaseMargin = 4;

/** Lead in the binary logarithm of the remaining work that counts as twice as urgent. */
const remainingLeaseMargin = 1;

/** Least remaining work that ranks tell apart, in milliseconds. */
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
 * Creates the order that runs the job of the least remaining work first and halves a job's rank for each
 * `agingMs` that it waits. Compared by logarithm, that is the same as adding the arrival to the rank.
 *
 * Bound of the wait: a job of remaining work W is passed only by jobs that arrive within
 * `agingMs * log2(W / w)` after it, where w is the least work that a job can have. With 1,000 tasks of equal length
 * that is 10 times `agingMs`; what arrives later runs after it, so the job waits for a bounded amount of work.
 * @param agingMs - Time in which a waiting job's rank is halved.
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

/** Creates the order that a profile names. */
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
