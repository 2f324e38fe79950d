/**
 * The orders that the owner of a pool sends to an upstream, and their outcomes.
 */
import {type ColdLimits} from '../scheduling/index.js';
import {type TaskNeeds} from './pool-job.js';

/** Description that an upstream registers of itself. */
export type UpstreamDescription = {
	readonly id: string;
	/** Wall-clock time of the upstream's start, in milliseconds; another value under the same id is another instance. */
	readonly bornMs: number;
	readonly address: string;
	readonly dataCenter: string;
	readonly service: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly capacity: TaskNeeds;
	/** Whether it accepts no new tasks because it is about to leave. */
	readonly isLeaving: boolean;
	/** Ratio of durations there to those on an average upstream, as an earlier owner learnt it; `undefined` if it is not known. */
	readonly learntSlowness?: number;
	/** Monotonic time of this process until which the upstream is slow after its start, and how slow; absent if it is warm or that is unknown. */
	readonly cold?: ColdLimits & {readonly until: number};
};

/** One start of a task; the number increases with each start of the task. */
export type Run = {
	readonly task: string;
	readonly number: number;
};

/** Run that an upstream lists as running. */
export type ListedRun = Run & {
	/** Percent of it that is done, below 100; `undefined` if the upstream does not tell. */
	readonly percent?: number;
};

/** How a run ended. `lapsed`: its lease expired. `broken` and `alone` occur in gangs only. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** End of a run, which an upstream lists until it is acknowledged. */
export type ListedEnd = Run & {
	/** Position among the ends of the upstream's instance; increases by one with each. */
	readonly position: number;
	readonly end: RunEnd;
};

/** Why an upstream refused an order. */
export type OrderRefusal = 'fenced' | 'stale-run' | 'late' | 'no-room' | 'unhealthy' | 'wrong-instance' | 'invalid';

/** No answer to an order, which may still be carried out at any later time unless its connection was refused. */
export type UnansweredOrder = {
	readonly kind: 'unanswered';
	readonly detail: string;
	/** Whether the host refused the connection, so that no process listens at the address and the order was not delivered. */
	readonly isRefused?: boolean;
};

/** Outcome of a start or stop. */
export type OrderOutcome =
	| {readonly kind: 'done'; readonly upstreamTimeMs: number}
	| {readonly kind: 'refused'; readonly reason: OrderRefusal}
	| UnansweredOrder;

/** Outcome of a poll of an upstream. */
export type PollOutcome =
	| {
		readonly kind: 'seen';
		readonly bornMs: number | undefined;
		readonly upstreamTimeMs: number;
		readonly running: readonly ListedRun[];
		readonly ended: readonly ListedEnd[];
		/** Whether `ended` has all ends since the acknowledged one; otherwise, a run in neither list may have ended in any way. */
		readonly isEndListComplete: boolean;
	}
	| {readonly kind: 'refused'; readonly reason: OrderRefusal}
	| UnansweredOrder;

/** Options that all orders have in common. */
export type OrderOptions = {
	readonly upstream: UpstreamDescription;
	readonly fence: number;
	readonly timeoutMs: number;
};

/** Sends orders to upstreams. Failures are outcomes; the promises never reject. */
export type UpstreamOrders = {
	/**
	 * Starts a run. Idempotent: sent again for the same run, it starts nothing.
	 * @param options - Run, text of its job, and the end of the lease by the upstream's clock.
	 */
	startRun(options: OrderOptions & {readonly run: Run; readonly spec: string; readonly leaseUntilMs: number}): Promise<OrderOutcome>;

	/**
	 * Stops a run. A start of the run that arrives after the stop is refused.
	 * @param options - Run.
	 */
	stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome>;

	/**
	 * Lists the runs and the ends since the last acknowledged one, acknowledges ends, and extends the lease of all runs.
	 * @param options - Position of the last end that is acknowledged, end of the lease by the upstream's clock, and the longest time that the
	 * upstream may wait for an end before it answers.
	 */
	poll(options: OrderOptions & {readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): Promise<PollOutcome>;
};
