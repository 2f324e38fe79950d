/**
 * Why a task may be started again, for the log.
 */
import {type LogFields} from './decision-log.js';
import {type LendRefusal} from './lending.js';
import {type EndGrounds, type StartRefusal} from './upstream-link.js';
import {type RunEnd} from './upstream-orders.js';

/** Message of the line that tells why a task is started that may have been started before. */
export const restartMessage = 'task starts again';

/** Why a run counts as ended: the grounds of an upstream of this pool, the answer of a lender, or the time limit of a lender that was lost. */
export type RunEndGrounds = EndGrounds | 'lender' | 'lender-lost';

/** What became of the starts of a task so far. */
export type RestartGround = {
	/** Number of the latest run that may have started; 0 if all starts were refused. */
	readonly after: number;
	/** Upstream of that run; absent if another pool started it. */
	readonly on?: string;
	/** How that run ended, why it counts as ended, and the monotonic time at which that was known; absent if all starts were refused. */
	readonly end?: RunEnd;
	readonly grounds?: RunEndGrounds;
	readonly at?: number;
	/** Why the latest start since then was refused; absent if none was. */
	readonly refused?: StartRefusal | LendRefusal;
	/** Whether another pool refused it. */
	readonly isRefusedElsewhere?: boolean;
};

/**
 * Describes a ground for the log.
 * @param ground - Ground.
 * @param now - Monotonic time.
 */
export function describeGround({after, on, end, grounds, at, refused}: RestartGround, now: number): LogFields {
	return {
		after,
		...(on !== undefined && {on}),
		...(grounds !== undefined && {end, grounds}),
		...(at !== undefined && {sinceMs: Math.round(now - at)}),
		...(refused !== undefined && {refused}),
	};
}
