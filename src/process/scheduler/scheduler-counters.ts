/**
 * Counters of a task scheduler.
 */
import {type RefusalReason} from '../task-scheduler.js';

/** Counts since the creation of the scheduler, for metrics. */
export type SchedulerCounters = {
	/** Slot messages sent to other entry VMs; the next six fields count their contents. */
	messages: number;
	demands: number;
	grants: number;
	returns: number;
	revocations: number;
	claims: number;
	teamUpdates: number;
	/** Received messages that were duplicates, out of order or malformed. */
	ignoredMessages: number;
	/** Attempts started on an upstream, including retries. */
	starts: number;
	leasedStarts: number;
	retries: number;
	/** Tasks abandoned because the retry budget was exhausted. */
	deniedRetries: number;
	expiredJobs: number;
	admittedJobs: number;
	readonly refusedJobs: Record<RefusalReason, number>;
};

/** Creates counters at zero. */
export function createSchedulerCounters(): SchedulerCounters {
	return {
		messages: 0,
		demands: 0,
		grants: 0,
		returns: 0,
		revocations: 0,
		claims: 0,
		teamUpdates: 0,
		ignoredMessages: 0,
		starts: 0,
		leasedStarts: 0,
		retries: 0,
		deniedRetries: 0,
		expiredJobs: 0,
		admittedJobs: 0,
		refusedJobs: {
			'unknown-service': 0,
			'unknown-team': 0,
			'never-runnable': 0,
			'queue-full': 0,
			'deadline-too-short': 0,
			'team-quota': 0,
			'no-upstream': 0,
			stopping: 0,
		},
	};
}
