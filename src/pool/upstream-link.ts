/**
 * An owner's link to one upstream: its reserved capacity, the lease of its runs, and whether it responds.
 */
import {setMaxListeners} from 'node:events';
import {
	type OverdueDecision, type RouteDurations, type RunProgress, type TaskExpectation, type UpstreamSpeed, createSpeed,
} from '../scheduling/index.js';
import {type Clock, sleep, type Timer} from '../seams/index.js';
import {getJob} from './crash-ledger.js';
import {type PoolEvacuation} from './evacuations.js';
import {InstanceRuns, type InstanceSign} from './instance-runs.js';
import {type TaskNeeds} from './pool-job.js';
import {type RecentRun, RecentRuns} from './recent-runs.js';
import {type RunHost} from './run-host.js';
import {
	type ListedEnd, type ListedRun, type PollOutcome, type OrderOutcome, type OrderRefusal, type Run, type RunEnd, type UpstreamDescription, type UpstreamOrders,
} from './upstream-orders.js';

/** Time limits of {@link UpstreamLink}, in milliseconds. */
export type UpstreamLinkTiming = {
	/** Lease of the runs; below the platform's maximum lease of 1 s, so that no clock error shortens it. */
	readonly leaseMs: number;
	/** Longest wait of a poll while tasks run: a third of the longest lease, so that no run lapses after one lost poll. */
	readonly busyPollWaitMs: number;
	/** Longest wait of a poll while nothing runs: about half a lease, since a start carries its own lease. */
	readonly idlePollWaitMs: number;
	/** Time limit of an order, and of a poll beyond its wait: well above the few milliseconds that an answer takes. */
	readonly answerTimeoutMs: number;
	/** Time from the discovery of unclaimed runs until they are stopped; the callers' VMs submit their jobs again within it. */
	readonly adoptionTimeoutMs: number;
	/**
	 * Time in which an upstream has to confirm a stop; after it, no lease there is extended. With a smaller value, a lost answer ends the other
	 * runs of the upstream; with a larger one, a run that has to end continues for longer.
	 */
	readonly stopConfirmTimeoutMs: number;
};

export const defaultUpstreamLinkTiming: UpstreamLinkTiming = {
	leaseMs: 900, busyPollWaitMs: 300, idlePollWaitMs: 500, answerTimeoutMs: 150, adoptionTimeoutMs: 400, stopConfirmTimeoutMs: 300,
};

/**
 * Gets the longest time from the first stop order of a run until the run has certainly ended, in milliseconds: the time limit of the
 * confirmation, and a lease that was granted at the end of it.
 * @param maxLeaseMs - Longest lease, in milliseconds.
 * @param timing - Time limits of the links.
 */
export function getMaxStopMs(maxLeaseMs: number, timing = defaultUpstreamLinkTiming): number {
	return timing.stopConfirmTimeoutMs + (maxLeaseMs * (1 + maxClockErrorRatio)) + timing.answerTimeoutMs;
}

/** Upstream clocks may be 2% slow; together with the time limit of an answer, this ratio bounds when a lease has certainly ended. */
const maxClockErrorRatio = 0.03;

/** Attempts to send one start or stop. An unanswered order is sent again, since it may have been lost; a start that stays unanswered is stopped. */
const maxSendAttempts = 3;

/** Time without starts on an upstream that refused one, in milliseconds: about one poll. */
const refusalSuspensionMs = 40;

/** Minimum delay of the timer that ends lapsed runs, in milliseconds. With a smaller value, a timer that fires a fraction early is set again and again without time passing. */
const minTimerMs = 1;

/**
 * Shortest lease that must be grantable for a start, in milliseconds. With a smaller value, tasks start beside runs that are being stopped and lapse with them;
 * with a larger one, upstreams are left out whose senders are confirmed a little late.
 */
const minStartLeaseMs = 250;

/** Interval at which the runs are examined for the lease of a start, in milliseconds: whether an upstream accepts starts is asked several times for each start. */
const leaseCheckIntervalMs = 20;

/** Share of a lease that a poll may wait while tasks run, and its minimum in milliseconds, which bounds the number of polls while no lease can be granted. */
const pollWaitShare = 1 / 3;
const minBusyPollWaitMs = 100;

/** Delay before the next poll of an upstream that did not answer or refused the last one, in milliseconds. */
const pollRetryDelayMs = 100;

type SeenOutcome = Extract<PollOutcome, {readonly kind: 'seen'}>;

/** Time for which an unanswered start is remembered, in milliseconds: an order may be carried out seconds after it was sent. */
const unansweredStartRetentionMs = 30_000;

/** Time for which the end of a run is remembered, in milliseconds: longer than the longest poll. */
const endedRunRetentionMs = 2000;

/** Result of a poll. `outdated`: a former instance answered. `fenced`: another owner has a higher fence. `refused`: nothing was done for another reason. */
type PollResult = 'seen' | 'outdated' | 'fenced' | 'refused' | 'unanswered';

/** Why a run counts as ended: its upstream listed the end or no longer lists the run, or its lease expired. */
export type EndGrounds = 'listed' | 'unlisted' | 'lease-expired';

/** Why a start was not carried out. `unreachable`: no process listens at the upstream's address. */
export type StartRefusal = OrderRefusal | 'unreachable';

/** Events of an {@link UpstreamLink}. */
export type UpstreamLinkEvents = {
	/** A run of this link ended. */
	readonly onRunEnded: (link: UpstreamLink, run: LinkedRun, end: RunEnd, grounds: EndGrounds) => void;
	/** A run was refused and has not started. */
	readonly onRunRefused: (link: UpstreamLink, run: LinkedRun, reason: StartRefusal) => void;
	/** A lease was granted; the smallest time that a run there may go on without a further confirmation is given in milliseconds, `Infinity` without a limit. */
	readonly onLeaseGranted?: (limitMs: number) => void;
	/** The free capacity or the state of the upstream changed. */
	readonly onChange: (link: UpstreamLink) => void;
	/** An order was refused for its fence, since the upstream knows a higher one. */
	readonly onFenced: (link: UpstreamLink, fence: number) => void;
	/** The upstream became silent, or answers again. */
	readonly onSilenceChanged: (link: UpstreamLink, isSilent: boolean) => void;
	/** An answer showed another instance of the upstream. */
	readonly onInstanceChanged: (link: UpstreamLink, earlierBornMs: number) => void;
	/** An instance of the upstream, on which runs may be, refuses connections, has ended, or has answered again. */
	readonly onInstanceSign: (link: UpstreamLink, sign: InstanceSign, runs: readonly Run[], isAlone: boolean) => void;
	/** The upstream lists a run that no job here has claimed. */
	readonly onUnclaimedListed?: () => void;
	/** An unclaimed run is about to be stopped. */
	readonly onUnclaimedRun: (link: UpstreamLink, run: Run) => void;
};

/** Options of {@link UpstreamLink}. */
export type UpstreamLinkOptions = {
	readonly clock: Clock;
	readonly orders: UpstreamOrders;
	readonly events: UpstreamLinkEvents;
	readonly getFence: () => number;
	/** Longest lease that any owner can grant, in milliseconds. */
	readonly maxLeaseMs: number;
	/** Gets the monotonic time at which the last pause of this process was detected, `-Infinity` for none; by default, no pause is detected. */
	readonly getPausedAt?: () => number;
	/** Evacuation of the upstream's data centre; none by default. */
	readonly evacuation?: PoolEvacuation;
	readonly timing?: UpstreamLinkTiming;
};

/** What is known of a run's duration beforehand. */
export type RunExpectation = {
	/** Durations of the route's tasks. */
	readonly durations: RouteDurations;
	/** Gets what is known of the task, which changes when other tasks of its job are done. */
	readonly getExpectation: () => TaskExpectation;
};

/** A run that this link started or adopted. `lost`: whether it runs is unknown until the lease has ended. */
export type LinkedRun = Run & {
	readonly needs: TaskNeeds;
	readonly spec: string;
	readonly startedAt: number;
	/** Gets the monotonic time until which a lease of the run may last; without a limit by default. */
	readonly getLeaseLimit?: () => number;
	/** What is known of its duration beforehand; its lateness tells nothing of the upstream without it. */
	expectation?: RunExpectation;
	/** What the upstream last reported of its progress; `undefined` if it reports none. */
	progress?: RunProgress;
	/** Monotonic time before which the run is not late; 0 if that is to be determined. */
	lateAt: number;
	/** Last decision on the run if it took long. */
	verdict?: OverdueDecision['verdict'];
	state: 'starting' | 'running' | 'stopping' | 'lost';
	/** Monotonic time from which a poll shows whether the run goes on: when its start or stop was confirmed; `Infinity` before. */
	confirmedAt: number;
	/** Whether its stop was requested. */
	isStopRequested: boolean;
};

/** One send of a start. */
type SentStart = {
	readonly sentAt: number;
	readonly fence: number;
	/** Whether the start was not sent before. */
	readonly isFirst: boolean;
};

/** Starts, stops and polls the runs of one upstream. */
export class UpstreamLink implements RunHost {
	/** Ratio of the duration of tasks here to the expected one, as learnt; 1 for an average upstream. */
	slowness = 1;
	/** What is known of the speed. */
	speed: UpstreamSpeed;
	/** Whether the slowness is a mean that makes the upstream a last resort. */
	isSlow = false;
	/** Evidence of runs that ended late here, or were stopped, since one last ended after a normal time; in nats. */
	lateNats = 0;
	/** Monotonic time at which a run last ended here after a normal time. */
	normalEndAt = -Infinity;
	/** Probability that the upstream is stuck or slowed down, as it was when one of its runs was last found late; 0 since one ended after a normal time. */
	faultProbability = 0;
	/** Number of failed runs since the last successful one. */
	consecutiveFailures = 0;
	/** Monotonic time until which no tasks are started here. */
	suspendedUntil = 0;
	/** Start time of the instance that the upstream's entry describes; 0 if the entry does not tell. */
	describedBornMs: number;
	/** Number that changes whenever a run is added or removed. */
	runsRevision = 0;
	readonly #options: UpstreamLinkOptions;
	readonly #timing: UpstreamLinkTiming;
	readonly #runs = new Map<string, LinkedRun>();
	/** Tasks of the runs whose leases are limited, by the function that limits them: the runs of a job share one. */
	readonly #tasksByLimit = new Map<() => number, Set<string>>();
	/** Sum of the needs of all runs. */
	readonly #reserved = {cpu: 0, memoryMb: 0, accelerators: 0};
	/** Runs that the upstream lists and no job here has claimed, by task, with the time at which they were first listed. */
	readonly #unclaimed = new Map<string, Run & {readonly seenAt: number}>();
	/** Monotonic times of the first stop request of runs that have not ended, by task. */
	readonly #stopRequestedAt = new Map<string, number>();
	readonly #recentEnds = new Map<string, ListedEnd>();
	/** Runs of this link that have ended; a poll that was sent before may still list them. */
	readonly #endedRuns = new RecentRuns(endedRunRetentionMs);
	/** Monotonic time from which a poll must have been sent and answered before tasks are started. */
	#startsDeferredAt = -Infinity;
	/** Runs with a start that was left unanswered, with the time at which it was sent; the next instance of the upstream may carry it out. */
	readonly #unansweredStarts = new RecentRuns(unansweredStartRetentionMs);
	readonly #closeController = new AbortController();
	readonly #instanceRuns: InstanceRuns;
	#acknowledgedPosition = 0;
	/** Monotonic time at which an answer first showed the current instance; `-Infinity` if no other one is known. */
	#instanceSeenAt = -Infinity;
	/** Monotonic time at which the leases of former instances have ended. */
	#formerLeasesEndAt = -Infinity;
	#lastPollAt = -Infinity;
	/** Monotonic time at which an order or a poll was last left unanswered, or refused by another upstream. */
	#unansweredAt = -Infinity;
	#clockOffsetMs: number | undefined;
	#clockObservedAt = 0;
	#leaseEndsAt = 0;
	/** Whether a start would get a lease that is long enough, and the monotonic time at which this was last examined. */
	#leaseCheck = {isLongEnough: true, checkedAt: -Infinity};
	/** Lease that was last found grantable, in milliseconds, and the task of the run that limited it. */
	#lastLeaseMs: number;
	#limitingTask: string | undefined;
	/** Smallest time that a run was last found to be allowed without a further confirmation, in milliseconds. */
	#lastLimitMs = Infinity;
	/** Number of leases that were recorded. */
	#leaseCount = 0;
	#isSilent = true;
	#silentSince: number;
	#lapseTimer: Timer | undefined;
	#aliveCheck: Promise<void> | undefined;
	#refusalPoll: Promise<void> | undefined;

	constructor(public description: UpstreamDescription, options: UpstreamLinkOptions) {
		this.#options = options;
		this.describedBornMs = description.bornMs;
		this.speed = createSpeed(description.learntSlowness);
		this.slowness = this.speed.slowness;
		this.#timing = options.timing ?? defaultUpstreamLinkTiming;
		this.#lastLeaseMs = this.#timing.leaseMs;
		this.#silentSince = options.clock.getMonotonicTime();
		this.#instanceRuns = new InstanceRuns({
			getTime: () => options.clock.getMonotonicTime(),
			onSign: (sign, runs, isAlone) => {
				// One that was leaving has shut down.
				if (!this.description.isLeaving) {
					options.events.onInstanceSign(this, sign, runs, isAlone);
				}
			},
		});
		// As many orders and stops as there are runs may wait for it.
		setMaxListeners(0, this.#closeController.signal);
		// An earlier owner may have extended the lease until now.
		this.#recordLease();
	}

	get name(): string {
		return this.description.id;
	}

	/** Gets the free capacity: the capacity less the needs of the runs of this link. */
	getFreeCapacity(): TaskNeeds {
		const {capacity} = this.description;
		const {cpu, memoryMb, accelerators} = this.#reserved;
		return {cpu: capacity.cpu - cpu, memoryMb: capacity.memoryMb - memoryMb, accelerators: capacity.accelerators - accelerators};
	}

	/**
	 * Gets whether the upstream is or was cold at a time.
	 * @param at - Monotonic time.
	 */
	isColdAt(at: number): boolean {
		const {cold} = this.description;
		return cold !== undefined && at < cold.until;
	}

	/** Gets whether the upstream is cold now. */
	isCold(): boolean {
		return this.description.cold !== undefined && this.isColdAt(this.#options.clock.getMonotonicTime());
	}

	/** Gets the labels of the upstream; none while its entry describes another instance, which may be of another kind. */
	getLabels(): readonly string[] {
		const {bornMs, labels} = this.description;
		return this.describedBornMs === bornMs || this.describedBornMs === 0 ? labels : [];
	}

	/** Starts no more tasks until a poll that is sent from now on is answered: another owner may have started some. */
	deferStarts(): void {
		this.#startsDeferredAt = this.#options.clock.getMonotonicTime();
	}

	/** Gets whether new tasks may be started here. */
	isAcceptingStarts(): boolean {
		const isUnknown = this.#isSilent || this.#clockOffsetMs === undefined || this.#lastPollAt < this.#startsDeferredAt;
		if (isUnknown || this.description.isLeaving || this.#unclaimed.size > 0 || this.#options.evacuation?.isEvacuated() === true) {
			return false;
		}

		const now = this.#options.clock.getMonotonicTime();
		return now >= this.suspendedUntil && !this.#isStopOverdue() && this.#isLeaseLongEnough(now);
	}

	/** Gets whether the upstream does not answer. */
	isSilent(): boolean {
		return this.#isSilent;
	}

	/** Gets the monotonic time at which the last answered poll was sent; `-Infinity` before the first. */
	getLastPollAt(): number {
		return this.#lastPollAt;
	}

	/** Gets the time since the upstream became silent, in milliseconds; 0 if it answers. */
	getSilentMs(): number {
		return this.#isSilent ? this.#options.clock.getMonotonicTime() - this.#silentSince : 0;
	}

	/** Gets the runs of this link. */
	getRuns(): Iterable<LinkedRun> {
		return this.#runs.values();
	}

	/** Gets whether nothing runs on the upstream: no run is known there and, if it is silent, all leases have ended. */
	isIdle(): boolean {
		return this.#runs.size === 0 && this.#unclaimed.size === 0 && (!this.#isSilent || this.#options.clock.getMonotonicTime() >= this.#leaseEndsAt);
	}

	/** Polls the upstream repeatedly until the link is closed. */
	async pollUntilClosed(): Promise<void> {
		const {clock} = this.#options;
		while (!this.#closeController.signal.aborted) {
			let result = await this.#poll(this.#getPollWaitMs());
			if (result === 'unanswered') {
				// One poll may be lost, or its connection may be broken; the second one uses another connection.
				result = await this.#poll(0);
			}

			if (result === 'unanswered' || (result === 'refused' && this.#runs.size > 0 && clock.getMonotonicTime() >= this.#leaseEndsAt)) {
				this.#setSilent();
			}

			if (result !== 'seen') {
				await sleep(clock, pollRetryDelayMs, this.#closeController.signal);
			}
		}
	}

	/** Polls the upstream once without waiting for an end, in parallel with the long poll. */
	async pollImmediately(): Promise<void> {
		await this.#poll(0);
	}

	/**
	 * Starts a run; its end or refusal is reported as an event.
	 * @param run - Run, with its needs and the text of its job.
	 */
	start({task, number, needs, spec, getLeaseLimit, expectation}: Run & Pick<LinkedRun, 'needs' | 'spec' | 'getLeaseLimit' | 'expectation'>): LinkedRun {
		// All fields at once: objects of one shape are faster to create and to read than copies that grow.
		const linked: LinkedRun = {
			task,
			number,
			needs,
			spec,
			getLeaseLimit,
			expectation,
			startedAt: this.#options.clock.getMonotonicTime(),
			state: 'starting',
			confirmedAt: Infinity,
			isStopRequested: false,
			lateAt: 0,
			progress: undefined,
			verdict: undefined,
		};
		this.#addRun(linked);
		void this.#sendStart(linked);
		return linked;
	}

	/**
	 * Stops a run; its end is reported as an event.
	 * @param run - Run of this link.
	 */
	stop(run: LinkedRun): void {
		if (run.isStopRequested || this.#runs.get(run.task) !== run) {
			return;
		}

		run.isStopRequested = true;
		this.#recordStopRequest(run.task);
		if (run.state === 'running') {
			void this.#sendStop(run);
		}
	}

	/**
	 * Adopts a run that an earlier owner started.
	 * @param task - Task.
	 * @param needs - Needs of the task.
	 * @param spec - Text of the job.
	 * @param getLeaseLimit - Gets the monotonic time until which a lease of the run may last.
	 * @returns The run; `undefined` if the upstream lists no unclaimed run of the task.
	 */
	adopt(task: string, needs: TaskNeeds, spec: string, getLeaseLimit?: () => number): LinkedRun | undefined {
		const run = this.#unclaimed.get(task);
		if (run === undefined) {
			return undefined;
		}

		this.#removeUnclaimed(task);
		const linked: LinkedRun = {
			task, number: run.number, needs, spec, getLeaseLimit, startedAt: run.seenAt, state: 'running', confirmedAt: this.#getDecisiveAt(run.seenAt), isStopRequested: false, lateAt: 0,
		};
		this.#addRun(linked);
		return linked;
	}

	/** Gets the identifiers of the jobs of unclaimed runs. */
	getUnclaimedJobs(): readonly string[] {
		return [...this.#unclaimed.keys()].map(task => getJob(task));
	}

	/** Gets the number of unclaimed runs that the upstream lists. */
	getUnclaimedCount(): number {
		return this.#unclaimed.size;
	}

	/**
	 * Gets whether the upstream lists unclaimed runs of a job.
	 * @param job - Identifier of the job.
	 */
	hasUnclaimed(job: string): boolean {
		// Called for each submitted job; the size check keeps the common case cheap.
		return this.#unclaimed.size > 0 && this.#getUnclaimed(job).length > 0;
	}

	/**
	 * Stops the unclaimed runs of a job without waiting for a claim.
	 * @param job - Identifier of the job.
	 */
	stopUnclaimed(job: string): void {
		for (const run of this.#getUnclaimed(job)) {
			void this.#stopUnclaimed(run);
		}
	}

	/**
	 * Gets the end of a run of an earlier owner.
	 * @param task - Task.
	 * @returns The end; `undefined` if the upstream has not listed it recently.
	 */
	getRecentEnd(task: string): ListedEnd | undefined {
		return this.#recentEnds.get(task);
	}

	/**
	 * Describes for the log why a run may have lapsed.
	 * @param run - Run of this link, or one that has ended.
	 * @returns The lease that was last found grantable here, and the one that the run itself would allow now, both in milliseconds; and the task of the run
	 * that limited the former, if any.
	 */
	describeLease({getLeaseLimit}: LinkedRun): {readonly leaseMs: number; readonly ownLeaseMs: number; readonly limitedBy?: string} {
		const ownLimitMs = (getLeaseLimit?.() ?? Infinity) - this.#options.clock.getMonotonicTime();
		return {
			leaseMs: Math.round(this.#lastLeaseMs), ownLeaseMs: Math.round(Math.min(this.#timing.leaseMs, ownLimitMs)), limitedBy: this.#limitingTask,
		};
	}

	/** Closes the link. Its runs are left to their leases or to the next owner. */
	close(): void {
		this.#closeController.abort();
		this.#lapseTimer?.close();
	}

	#getPollWaitMs(): number {
		if (this.#clockOffsetMs === undefined) {
			return 0;
		}

		return this.#runs.size > 0 ? this.#timing.busyPollWaitMs : this.#timing.idlePollWaitMs;
	}

	/** Gets the end of a new lease by the upstream's clock and records it; `undefined` if no lease may be granted. */
	#extendLease(): number | undefined {
		const leaseMs = this.#getGrantableLeaseMs();
		if (this.#clockOffsetMs === undefined || this.#isStopOverdue() || leaseMs <= 0) {
			return undefined;
		}

		this.#recordLease();
		this.#options.events.onLeaseGranted?.(this.#lastLimitMs);
		return Math.floor(this.#options.clock.getMonotonicTime() + this.#clockOffsetMs + leaseMs);
	}

	/** Gets whether a start would get a lease that outlasts the end of the runs beside it whose senders have gone. */
	#isLeaseLongEnough(now: number): boolean {
		if (now - this.#leaseCheck.checkedAt >= leaseCheckIntervalMs) {
			this.#leaseCheck = {isLongEnough: this.#getGrantableLeaseMs() >= minStartLeaseMs, checkedAt: now};
		}

		return this.#leaseCheck.isLongEnough;
	}

	/** Gets the longest lease that may be granted now, in milliseconds: it applies to all runs of the upstream, so that the smallest of their limits counts. */
	#getGrantableLeaseMs(): number {
		const now = this.#options.clock.getMonotonicTime();
		let {leaseMs} = this.#timing;
		this.#limitingTask = undefined;
		this.#lastLimitMs = Infinity;
		if (this.#unclaimed.size > 0) {
			// Nobody here knows until when the caller of an unclaimed run was known to wait.
			this.#lastLeaseMs = 0;
			return 0;
		}

		for (const [getLeaseLimit, [task]] of this.#tasksByLimit) {
			const limitMs = getLeaseLimit() - now;
			this.#lastLimitMs = Math.min(this.#lastLimitMs, limitMs);
			if (limitMs < leaseMs) {
				leaseMs = limitMs;
				this.#limitingTask = task;
			}
		}

		this.#lastLeaseMs = leaseMs;
		return leaseMs;
	}

	/**
	 * Records until when runs may continue under a lease that was granted now at the latest. It may be the longest one, whatever was requested: after a
	 * restart that was not seen yet, the end of the lease is far in the future of the upstream's clock.
	 */
	#recordLease(): void {
		const {clock, maxLeaseMs} = this.#options;
		this.#leaseCount++;
		this.#leaseEndsAt = Math.max(this.#leaseEndsAt, clock.getMonotonicTime() + (maxLeaseMs * (1 + maxClockErrorRatio)) + this.#timing.answerTimeoutMs);
	}

	#recordStopRequest(task: string): void {
		if (!this.#stopRequestedAt.has(task)) {
			this.#stopRequestedAt.set(task, this.#options.clock.getMonotonicTime());
		}
	}

	/** Gets whether a run has not ended within the time limit of its stop. A lease covers all runs of an upstream, so that none is granted then. */
	#isStopOverdue(): boolean {
		// Called for each upstream in each pass; most have no stop.
		if (this.#stopRequestedAt.size === 0) {
			return false;
		}

		const now = this.#options.clock.getMonotonicTime();
		for (const requestedAt of this.#stopRequestedAt.values()) {
			if (now - requestedAt > this.#timing.stopConfirmTimeoutMs) {
				return true;
			}
		}

		return false;
	}

	async #poll(maxWaitMs: number): Promise<PollResult> {
		const {clock, orders, getFence} = this.#options;
		if (this.#closeController.signal.aborted) {
			return 'seen';
		}

		const sentAt = clock.getMonotonicTime();
		const earlierLeaseEndsAt = this.#leaseEndsAt;
		// The lease of a silent upstream is not extended, so that its runs end at a known time.
		const isExtending = this.#runs.size > 0 && !this.#isSilent;
		const leaseUntilMs = isExtending ? this.#extendLease() : undefined;
		const waitMs = isExtending ? Math.min(maxWaitMs, Math.max(minBusyPollWaitMs, Math.floor(this.#lastLeaseMs * pollWaitShare))) : maxWaitMs;
		const leaseCount = this.#leaseCount;
		const fence = getFence();
		const outcome = await orders.poll({
			upstream: this.description,
			fence,
			timeoutMs: waitMs + this.#timing.answerTimeoutMs,
			// An upstream that left an order unanswered may have restarted, and would forget ends of the new instance that nobody has seen.
			acknowledged: this.#lastPollAt >= this.#unansweredAt ? this.#acknowledgedPosition : 0,
			leaseUntilMs,
			waitMs,
		});
		if (this.#closeController.signal.aborted) {
			return 'seen';
		}

		const result = this.#handlePollOutcome(outcome, {sentAt, fence});
		if (result === 'seen') {
			this.#lastPollAt = Math.max(this.#lastPollAt, sentAt);
		} else if (result === 'unanswered') {
			this.#unansweredAt = clock.getMonotonicTime();
		} else if (result === 'refused' && this.#leaseCount === leaseCount) {
			// Nothing was done, and no other order has extended the lease since.
			this.#leaseEndsAt = earlierLeaseEndsAt;
		}

		return result;
	}

	#handlePollOutcome(outcome: PollOutcome, {sentAt, fence}: {readonly sentAt: number; readonly fence: number}): PollResult {
		this.#checkInstance(outcome, sentAt);
		if (outcome.kind === 'unanswered') {
			return 'unanswered';
		}

		if (outcome.kind === 'refused') {
			if (outcome.reason === 'fenced') {
				this.#options.events.onFenced(this, fence);
				return 'fenced';
			}

			// Another instance of the upstream, or another upstream, answers at the address.
			return outcome.reason === 'wrong-instance' ? 'unanswered' : 'refused';
		}

		const isNewInstance = outcome.bornMs !== undefined && outcome.bornMs !== this.description.bornMs;
		if (isNewInstance) {
			// Answers on different connections may overtake each other.
			if (sentAt < this.#instanceSeenAt) {
				return 'outdated';
			}

			this.#resetForNewInstance(outcome.bornMs, outcome);
		}

		this.#observeClock(outcome.upstreamTimeMs);
		this.#setResponsive();
		for (const end of outcome.ended) {
			this.#handleListedEnd(end);
		}

		this.#handleRunningList(outcome, sentAt);
		this.#instanceRuns.confirmAlive(sentAt, task => this.#runs.has(task) || this.#unclaimed.has(task));
		if (isNewInstance) {
			this.#stopFormerRuns(outcome.running);
		}

		this.#options.events.onChange(this);
		return 'seen';
	}

	/**
	 * Resets what is known of the upstream after it restarted under the same id, also its failures. Runs are kept: the new instance may have accepted their starts before
	 * its first poll, and may yet carry out orders that were sent to the former one.
	 */
	#resetForNewInstance(bornMs: number, {running, ended}: SeenOutcome): void {
		const earlierBornMs = this.description.bornMs;
		const listed = new Map([...running, ...ended].map(({task, number}) => [task, number]));
		// Another attempt of a listed run's start may have reached the former instance.
		this.#instanceRuns.replaceInstance(({task, number}) => listed.get(task) === number && this.#unansweredStarts.getRun(task)?.number !== number);
		this.description = {...this.description, bornMs};
		this.#instanceSeenAt = this.#options.clock.getMonotonicTime();
		this.#formerLeasesEndAt = this.#leaseEndsAt;
		this.#acknowledgedPosition = 0;
		this.#clockOffsetMs = undefined;
		this.consecutiveFailures = 0;
		this.lateNats = 0;
		this.faultProbability = 0;
		this.suspendedUntil = 0;
		for (const run of this.#runs.values()) {
			run.confirmedAt = Infinity;
		}

		this.#options.events.onInstanceChanged(this, earlierBornMs);
	}

	/** Checks whether the outcome of an order shows that the instance may have ended, or has: nothing or another one listens at its address. */
	#checkInstance(outcome: OrderOutcome | PollOutcome, sentAt: number): void {
		if (sentAt < this.#instanceSeenAt) {
			return;
		}

		if (outcome.kind === 'unanswered' && outcome.isRefused === true) {
			this.#instanceRuns.reportRefusal();
		} else if (outcome.kind === 'refused' && outcome.reason === 'wrong-instance') {
			this.#instanceRuns.reportEnd();
		}
	}

	/** Stops the runs that a new instance does not list, since it may carry out late orders, and those whose stop it has forgotten. */
	#stopFormerRuns(running: readonly Run[]): void {
		const {clock} = this.#options;
		for (const start of this.#unansweredStarts.getRuns()) {
			if (this.#runs.get(start.task)?.number !== start.number) {
				void this.#stopUnansweredStart(start);
			}
		}

		const listed = new Set(running.map(({task, number}) => `${task} ${number}`));
		for (const run of this.#runs.values()) {
			const isListed = listed.has(`${run.task} ${run.number}`);
			// A start that is still in progress is stopped if it stays unanswered.
			if (run.state === 'starting' || (isListed && !run.isStopRequested)) {
				continue;
			}

			run.state = isListed ? run.state : 'lost';
			void this.#sendStop(run);
		}

		clock.setTimer(() => {
			if (!this.#closeController.signal.aborted) {
				void this.pollImmediately();
			}
		}, Math.max(0, this.#formerLeasesEndAt - clock.getMonotonicTime()) + minTimerMs);
	}

	/** Sends stops for a run that has ended as far as is known, so that a new instance does not start it late. */
	async #stopUnansweredStart(start: RecentRun): Promise<void> {
		const {clock} = this.#options;
		const isPending = (): boolean => clock.getMonotonicTime() - start.at < unansweredStartRetentionMs && !this.#closeController.signal.aborted;
		while (isPending() && !await this.#confirmStop(start, isPending)) {
			await sleep(clock, this.#timing.busyPollWaitMs, this.#closeController.signal);
		}
	}

	/** Gets the monotonic time from which a poll shows whether a run goes on that was known at a time: a new instance does not list those of former ones. */
	#getDecisiveAt(knownAt: number): number {
		return knownAt < this.#instanceSeenAt ? Math.max(knownAt, this.#formerLeasesEndAt) : knownAt;
	}

	/** Estimates the offset of the upstream's clock. The fastest answer gives the best estimate, which ages since the upstream's clock may be slow. */
	#observeClock(upstreamTimeMs: number): void {
		const now = this.#options.clock.getMonotonicTime();
		const agedMs = (now - this.#clockObservedAt) * maxClockErrorRatio;
		const offsetMs = Math.max(upstreamTimeMs - now, (this.#clockOffsetMs ?? -Infinity) - agedMs);
		this.#clockOffsetMs = offsetMs;
		this.#clockObservedAt = now;
	}

	#handleListedEnd(end: ListedEnd): void {
		if (end.position <= this.#acknowledgedPosition) {
			return;
		}

		this.#acknowledgedPosition = Math.max(this.#acknowledgedPosition, end.position);
		const run = this.#runs.get(end.task);
		if (run !== undefined && run.number <= end.number) {
			this.#finish(run, end.end, 'listed');
			return;
		}

		this.#removeUnclaimed(end.task);
		this.#recentEnds.set(end.task, end);
		this.#options.clock.setTimer(() => {
			if (this.#recentEnds.get(end.task) === end) {
				this.#recentEnds.delete(end.task);
			}
		}, this.#timing.adoptionTimeoutMs * 2);
	}

	#handleRunningList({running, isEndListComplete}: SeenOutcome, sentAt: number): void {
		const listed = new Set<string>();
		for (const run of running) {
			listed.add(run.task);
			this.#handleListedRun(run, sentAt);
		}

		if (!isEndListComplete) {
			return;
		}

		for (const {task, seenAt} of this.#unclaimed.values()) {
			if (!listed.has(task) && this.#getDecisiveAt(seenAt) < sentAt) {
				this.#removeUnclaimed(task);
			}
		}

		for (const run of this.#runs.values()) {
			// Listed neither as running nor as ended although its order was confirmed, or its lease had ended, before the poll was sent.
			const isConfirmed = run.confirmedAt < sentAt;
			const isLapsed = run.startedAt >= this.#instanceSeenAt && this.#leaseEndsAt < sentAt;
			if (!listed.has(run.task) && (isConfirmed || isLapsed)) {
				this.#finish(run, run.isStopRequested ? 'stopped' : 'lapsed', isConfirmed ? 'unlisted' : 'lease-expired');
			}
		}
	}

	#handleListedRun({task, number, percent}: ListedRun, sentAt: number): void {
		const now = this.#options.clock.getMonotonicTime();
		const endedRun = this.#endedRuns.getRun(task);
		if (endedRun !== undefined && number <= endedRun.number && sentAt <= endedRun.at) {
			return;
		}

		this.#instanceRuns.addRun({task, number}, true);
		const knownRun = this.#runs.get(task);
		if (knownRun?.number === number) {
			knownRun.confirmedAt = Math.min(knownRun.confirmedAt, now);
			if (percent !== undefined) {
				const {progress} = knownRun;
				knownRun.progress = {percent, hasChanged: progress !== undefined && (progress.hasChanged || progress.percent !== percent)};
			}

			if (knownRun.state === 'lost' || knownRun.state === 'starting') {
				knownRun.state = 'running';
				if (knownRun.isStopRequested) {
					void this.#sendStop(knownRun);
				}
			}

			return;
		}

		if (number > (this.#unclaimed.get(task)?.number ?? 0)) {
			this.#addUnclaimed({task, number, seenAt: now});
		}
	}

	#addUnclaimed(run: Run & {readonly seenAt: number}): void {
		this.#removeUnclaimed(run.task);
		this.#unclaimed.set(run.task, run);
		// The earlier owner may have extended the lease until its fence was superseded.
		this.#recordLease();
		this.#options.events.onUnclaimedListed?.();
		this.#options.clock.setTimer(() => {
			void this.#stopUnclaimed(run);
		}, this.#timing.adoptionTimeoutMs);
	}

	#removeUnclaimed(task: string): void {
		if (this.#unclaimed.delete(task)) {
			this.#stopRequestedAt.delete(task);
		}
	}

	#clearUnclaimed(): void {
		for (const task of this.#unclaimed.keys()) {
			this.#removeUnclaimed(task);
		}
	}

	#getUnclaimed(job: string): readonly Run[] {
		return [...this.#unclaimed.values()].filter(({task}) => task.startsWith(`${job}.`));
	}

	/** Sends stops for an unclaimed run until it is no longer listed. */
	async #stopUnclaimed(run: Run): Promise<void> {
		const isListed = (): boolean => this.#unclaimed.get(run.task)?.number === run.number;
		if (!isListed() || this.#stopRequestedAt.has(run.task) || this.#closeController.signal.aborted) {
			return;
		}

		this.#options.events.onUnclaimedRun(this, run);
		this.#recordStopRequest(run.task);
		while (isListed() && !this.#closeController.signal.aborted) {
			await this.#confirmStop(run, isListed);
			if (isListed()) {
				await sleep(this.#options.clock, this.#timing.busyPollWaitMs, this.#closeController.signal);
			}
		}
	}

	async #sendStart(run: LinkedRun): Promise<void> {
		const {clock, orders, getFence, getPausedAt, evacuation} = this.#options;
		const {bornMs} = this.description;
		const fence = getFence();
		// What allowed the start may have changed during a pause.
		const wasPaused = (): boolean => (getPausedAt?.() ?? -Infinity) > run.startedAt;
		// With a higher fence, the upstream would accept a start that was decided before another owner's runs were known.
		const isSendable = (): boolean => run.state === 'starting' && !run.isStopRequested && this.description.bornMs === bornMs && getFence() === fence && !wasPaused();
		for (let attempts = 0; attempts < maxSendAttempts && isSendable(); attempts++) {
			if (attempts > 0 && evacuation?.withholdStart() === true) {
				// An unanswered start is withdrawn instead of sent again.
				break;
			}

			const sentAt = clock.getMonotonicTime();
			const leaseUntilMs = this.#extendLease();
			if (leaseUntilMs === undefined) {
				break;
			}

			const orderOptions = this.#getOrderOptions();
			const outcome = await orders.startRun({
				...orderOptions, run: {task: run.task, number: run.number}, spec: run.spec, leaseUntilMs,
			});
			if (this.#closeController.signal.aborted || this.#runs.get(run.task) !== run) {
				return;
			}

			this.#checkInstance(outcome, sentAt);
			if (outcome.kind === 'unanswered' && outcome.isRefused && attempts === 0) {
				this.#unansweredAt = clock.getMonotonicTime();
				this.#refuseRun(run, 'unreachable');
				void this.#checkAlive();
				return;
			}

			if (outcome.kind !== 'refused') {
				this.#instanceRuns.addRun(run, outcome.kind === 'done');
			}

			if (outcome.kind !== 'unanswered') {
				this.#handleStartAnswer(run, outcome, {sentAt, fence: orderOptions.fence, isFirst: attempts === 0});
				return;
			}

			this.#unansweredAt = clock.getMonotonicTime();
			this.#unansweredStarts.addRun(run, sentAt);
			void this.#checkAlive();
		}

		if (run.state === 'starting') {
			run.state = 'lost';
			await this.#sendStop(run);
		}
	}

	#handleStartAnswer(run: LinkedRun, outcome: Exclude<OrderOutcome, {readonly kind: 'unanswered'}>, {sentAt, fence, isFirst}: SentStart): void {
		const now = this.#options.clock.getMonotonicTime();
		if (sentAt < this.#instanceSeenAt && !isFirst) {
			// The new instance may yet carry out an earlier attempt.
			run.state = 'lost';
			void this.#sendStop(run);
			return;
		}

		if (outcome.kind === 'done') {
			if (sentAt >= this.#instanceSeenAt) {
				this.#observeClock(outcome.upstreamTimeMs);
			}

			run.confirmedAt = Math.max(now, this.#getDecisiveAt(sentAt));
			if (run.state === 'starting') {
				run.state = 'running';
			}

			if (run.isStopRequested) {
				void this.#sendStop(run);
			}

			return;
		}

		if (outcome.reason === 'fenced') {
			this.#options.events.onFenced(this, fence);
		}

		if (!isFirst) {
			// An earlier attempt may have been carried out; a poll shows whether it was, or the run ends with its lease.
			run.state = 'lost';
			run.confirmedAt = outcome.reason === 'stale-run' ? now : Infinity;
			void (outcome.reason === 'stale-run' ? this.pollImmediately() : this.#sendStop(run));
			return;
		}

		this.#refuseRun(run, outcome.reason);
		if (outcome.reason !== 'stale-run') {
			this.#refusalPoll ??= this.#pollAfterRefusal();
		}
	}

	/** Polls the upstream after a refused start; starts that are refused together share a poll. */
	async #pollAfterRefusal(): Promise<void> {
		await this.#poll(0);
		this.#refusalPoll = undefined;
	}

	/** Removes a run that has not started. */
	#refuseRun(run: LinkedRun, reason: StartRefusal): void {
		this.#removeRun(run);
		if (reason !== 'stale-run') {
			this.suspendedUntil = this.#options.clock.getMonotonicTime() + refusalSuspensionMs;
		}

		this.#options.events.onRunRefused(this, run, reason);
	}

	async #sendStop(run: LinkedRun): Promise<void> {
		run.isStopRequested = true;
		if (run.state === 'running') {
			run.state = 'stopping';
		}

		const isListed = (): boolean => this.#runs.get(run.task) === run;
		if (isListed()) {
			this.#recordStopRequest(run.task);
		}

		const isConfirmed = await this.#confirmStop(run, isListed, () => {
			run.confirmedAt = Math.min(run.confirmedAt, Math.max(this.#options.clock.getMonotonicTime(), this.#getDecisiveAt(run.startedAt)));
			if (run.startedAt < this.#instanceSeenAt) {
				// What is left of the run is not under the lease of this instance.
				this.#stopRequestedAt.delete(run.task);
			}
		});

		// The lease alone does not end the run while it is extended for other runs here, so that the stop is repeated.
		if (!isConfirmed && isListed() && !this.#closeController.signal.aborted) {
			this.#options.clock.setTimer(() => {
				void this.#sendStop(run);
			}, this.#timing.busyPollWaitMs);
		}
	}

	/**
	 * Sends a stop until it is answered, {@link maxSendAttempts} times at most, and polls the upstream once it is confirmed.
	 * @returns Whether the upstream confirmed the stop.
	 */
	async #confirmStop({task, number}: Run, isListed: () => boolean, onConfirmed?: () => void): Promise<boolean> {
		for (let attempts = 0; attempts < maxSendAttempts && isListed() && !this.#closeController.signal.aborted; attempts++) {
			const sentAt = this.#options.clock.getMonotonicTime();
			const orderOptions = this.#getOrderOptions();
			const outcome = await this.#options.orders.stopRun({...orderOptions, run: {task, number}});
			this.#checkInstance(outcome, sentAt);
			if (outcome.kind === 'done' || (outcome.kind === 'unanswered' && outcome.isRefused !== true)) {
				this.#instanceRuns.setStopped(task, sentAt);
			}

			if (outcome.kind === 'done') {
				if (sentAt < this.#instanceSeenAt) {
					// The former instance may have confirmed it.
					continue;
				}

				onConfirmed?.();
				await this.pollImmediately();
				return true;
			}

			if (outcome.kind === 'unanswered') {
				this.#unansweredAt = this.#options.clock.getMonotonicTime();
			} else if (outcome.reason === 'fenced') {
				this.#options.events.onFenced(this, orderOptions.fence);
				return false;
			}
		}

		return false;
	}

	/** Polls the upstream after an order without an answer; orders that are left unanswered together share a poll. */
	async #checkAlive(): Promise<void> {
		if (!this.#isSilent) {
			this.#aliveCheck ??= this.#pollIfAlive();
			await this.#aliveCheck;
		}
	}

	async #pollIfAlive(): Promise<void> {
		if (await this.#poll(0) === 'unanswered') {
			this.#setSilent();
		}

		this.#aliveCheck = undefined;
	}

	#setSilent(): void {
		const {clock, events} = this.#options;
		this.#lapseTimer ??= clock.setTimer(() => {
			this.#lapseTimer = undefined;
			this.#endLapsedRuns();
		}, Math.max(minTimerMs, this.#leaseEndsAt - clock.getMonotonicTime()));
		if (!this.#isSilent) {
			this.#isSilent = true;
			this.#silentSince = clock.getMonotonicTime();
			events.onSilenceChanged(this, true);
			events.onChange(this);
		}
	}

	/** Ends the runs of a silent upstream once all of its leases have ended. */
	#endLapsedRuns(): void {
		if (!this.#isSilent || this.#closeController.signal.aborted) {
			return;
		}

		if (this.#options.clock.getMonotonicTime() < this.#leaseEndsAt) {
			this.#setSilent();
			return;
		}

		for (const run of this.#runs.values()) {
			this.#finish(run, 'lapsed', 'lease-expired');
		}

		this.#clearUnclaimed();
		this.#options.events.onChange(this);
	}

	#setResponsive(): void {
		if (this.#isSilent) {
			this.#options.events.onSilenceChanged(this, false);
		}

		this.#isSilent = false;
		this.#lapseTimer?.close();
		this.#lapseTimer = undefined;
	}

	#addRun(run: LinkedRun): void {
		const {task, getLeaseLimit} = run;
		this.#removeLimit(this.#runs.get(task));
		this.runsRevision++;
		this.#runs.set(task, run);
		if (getLeaseLimit !== undefined) {
			this.#tasksByLimit.set(getLeaseLimit, (this.#tasksByLimit.get(getLeaseLimit) ?? new Set()).add(task));
		}

		this.#adjustReserved(run.needs, 1);
	}

	#removeRun(run: LinkedRun): void {
		this.#removeLimit(run);
		this.runsRevision++;
		this.#runs.delete(run.task);
		this.#stopRequestedAt.delete(run.task);
		this.#adjustReserved(run.needs, -1);
	}

	#removeLimit(run: LinkedRun | undefined): void {
		const tasks = run?.getLeaseLimit && this.#tasksByLimit.get(run.getLeaseLimit);
		tasks?.delete(run!.task);
		if (tasks?.size === 0) {
			this.#tasksByLimit.delete(run!.getLeaseLimit!);
		}
	}

	#adjustReserved({cpu, memoryMb, accelerators}: TaskNeeds, sign: number): void {
		this.#reserved.cpu += cpu * sign;
		this.#reserved.memoryMb += memoryMb * sign;
		this.#reserved.accelerators += accelerators * sign;
	}

	#finish(run: LinkedRun, end: RunEnd, grounds: EndGrounds): void {
		if (this.#runs.get(run.task) === run) {
			this.#removeRun(run);
			this.#endedRuns.addRun(run, this.#options.clock.getMonotonicTime());
			this.#options.events.onRunEnded(this, run, end, grounds);
		}
	}

	#getOrderOptions(): {readonly upstream: UpstreamDescription; readonly fence: number; readonly timeoutMs: number} {
		return {upstream: this.description, fence: this.#options.getFence(), timeoutMs: this.#timing.answerTimeoutMs};
	}
}
