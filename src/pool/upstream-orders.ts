/**
 * What the owner of a pool tells an upstream, and what comes back.
 */
import {type TaskNeeds} from './pool-job.js';

/** An upstream as it describes itself. */
export type UpstreamDescription = {
	readonly id: string;
	/** Wall-clock milliseconds of the upstream's start; another value under the same id is another life. */
	readonly bornMs: number;
	readonly address: string;
	readonly dataCenter: string;
	readonly service: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly capacity: TaskNeeds;
	/** Whether it takes no new tasks because it is about to leave. */
	readonly isLeaving: boolean;
};

/** One start of a task; the number rises with each start of the task. */
export type Run = {
	readonly task: string;
	readonly number: number;
};

/** How a run ended. `lapsed`: its lease ran out. `broken` and `alone` belong to gangs. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** An end that an upstream lists until it is acknowledged. */
export type ListedEnd = Run & {
	/** Rises by one with each end of an upstream's life. */
	readonly position: number;
	readonly end: RunEnd;
};

/** Why an upstream did not carry out an order. */
export type OrderRefusal = 'fenced' | 'stale-run' | 'late' | 'no-room' | 'unhealthy' | 'wrong-instance' | 'invalid';

/** What an order without lists came to. `unanswered`: it may be carried out at any later time. */
export type OrderOutcome =
	| {readonly kind: 'done'; readonly upstreamTimeMs: number}
	| {readonly kind: 'refused'; readonly reason: OrderRefusal}
	| {readonly kind: 'unanswered'; readonly detail: string};

/** What a look at an upstream came to. */
export type PollOutcome =
	| {readonly kind: 'seen'; readonly bornMs: number | undefined; readonly upstreamTimeMs: number; readonly running: readonly Run[]; readonly ended: readonly ListedEnd[]}
	| {readonly kind: 'refused'; readonly reason: OrderRefusal}
	| {readonly kind: 'unanswered'; readonly detail: string};

/** What all orders carry. */
export type OrderOptions = {
	readonly upstream: UpstreamDescription;
	readonly fence: number;
	readonly timeoutMs: number;
};

/** Orders to upstreams; outcomes are values, nothing rejects. */
export type UpstreamOrders = {
	/**
	 * Starts a run. Sent again with the same run, it starts nothing twice.
	 * @param options - Run, its text, and the end of the lease by the upstream's clock.
	 */
	startRun(options: OrderOptions & {readonly run: Run; readonly spec: string; readonly leaseUntilMs: number}): Promise<OrderOutcome>;

	/**
	 * Stops a run; a run that has not come yet is refused when it comes.
	 * @param options - Run.
	 */
	stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome>;

	/**
	 * Looks at what runs and what ended, acknowledges ends and extends the lease of all that runs.
	 * @param options - Last end acknowledged, lease and the time that the upstream may wait for an end.
	 */
	poll(options: OrderOptions & {readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): Promise<PollOutcome>;
};
