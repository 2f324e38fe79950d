/**
 * One owner's link to one upstream: the room that is taken, the lease of what runs, and whether the upstream is alive.
 */
import {type Clock, sleep, type Timer} from '../seams/index.js';
import {type TaskNeeds} from './pool-job.js';
import {type RunHost} from './run-host.js';
import {
	type ListedEnd, type PollOutcome, type OrderOutcome, type OrderRefusal, type Run, type RunEnd, type UpstreamDescription, type UpstreamOrders,
} from './upstream-orders.js';

/** Time limits of {@link UpstreamLink}, in milliseconds. */
export type UpstreamLinkTiming = {
	/** Lease of what runs; below the platform's longest lease of 1 s, so that no clock error shortens it. */
	readonly leaseMs: number;
	/** Longest wait of a look while tasks run: a third of the lease, so that a lost look costs no run. */
	readonly busyPollWaitMs: number;
	/** Longest wait of a look while nothing runs: half a lease, since a start brings a lease of its own. */
	readonly idlePollWaitMs: number;
	/** Time limit of an order, and of a look beyond its wait: far above the few milliseconds of an answer. */
	readonly answerTimeoutMs: number;
	/** Time from the discovery of unknown runs until they are stopped; callers' VMs claim theirs again within it. */
	readonly adoptionTimeoutMs: number;
	/**
	 * Time in which an upstream has to confirm a stop; then nothing there gets a further lease. Smaller, a lost answer costs the other runs their
	 * lease; larger, a run that has to end goes on for longer.
	 */
	readonly stopConfirmTimeoutMs: number;
};

export const defaultUpstreamLinkTiming: UpstreamLinkTiming = {
	leaseMs: 900, busyPollWaitMs: 300, idlePollWaitMs: 500, answerTimeoutMs: 150, adoptionTimeoutMs: 400, stopConfirmTimeoutMs: 300,
};

/**
 * Gets the longest time from the first stop of a run until it has surely ended, in milliseconds: the time for its confirmation, and a lease that was
 * given at the end of it.
 * @param maxLeaseMs - Longest lease, in milliseconds.
 * @param timing - Time limits of the links.
 */
export function getMaxStopMs(maxLeaseMs: number, timing = defaultUpstreamLinkTiming): number {
	return timing.stopConfirmTimeoutMs + (maxLeaseMs * (1 + maxClockErrorRatio)) + timing.answerTimeoutMs;
}

/** Upstream clocks may be 2% slow; with the time of one answer this bounds when a lease has surely ended. */
const maxClockErrorRatio = 0.03;

/** Sends of one start before the run is stopped: an unanswered order is sent again, since it may have been lost. */
const maxSendAttempts = 3;

/** Time for which a refused upstream gets no starts, in milliseconds: about one look. */
const refusalSuspensionMs = 40;

/** Least delay of the timer that ends lapsed runs, in milliseconds. Smaller, a timer that fires a fraction early is set again and again without time passing. */
const minTimerMs = 1;

/** Delay between looks at an upstream that does not answer or refuses them, in milliseconds. */
const pollRetryDelayMs = 100;

/** What a look came to. */
type PollResult = 'seen' | 'refused' | 'unanswered';

/** What the link tells the scheduler. */
export type UpstreamLinkEvents = {
	/** A run of this link ended, for good. */
	readonly onRunEnded: (link: UpstreamLink, run: LinkedRun, end: RunEnd) => void;
	/** A run was refused and has not started. */
	readonly onRunRefused: (link: UpstreamLink, run: LinkedRun, reason: OrderRefusal) => void;
	/** Room or state changed. */
	readonly onChange: (link: UpstreamLink) => void;
	/** Another owner has a higher fence. */
	readonly onFenced: (link: UpstreamLink) => void;
	/** The upstream went silent, or answers again. */
	readonly onSilenceChanged: (link: UpstreamLink, isSilent: boolean) => void;
	/** A run that nobody claimed is stopped. */
	readonly onUnclaimedRun: (link: UpstreamLink, run: Run) => void;
};

/** Options of {@link UpstreamLink}. */
export type UpstreamLinkOptions = {
	readonly clock: Clock;
	readonly orders: UpstreamOrders;
	readonly events: UpstreamLinkEvents;
	readonly getFence: () => number;
	/** Longest lease that any owner can give, in milliseconds. */
	readonly maxLeaseMs: number;
	readonly timing?: UpstreamLinkTiming;
};

/** A run that this link started or took over. `lost`: whether it runs is not known until the lease has ended. */
export type LinkedRun = Run & {
	readonly needs: TaskNeeds;
	readonly spec: string;
	readonly startedAt: number;
	state: 'starting' | 'running' | 'stopping' | 'lost';
	/** Monotonic time of the last answer that proves the run's fate to a later look. */
	confirmedAt: number;
	/** Whether the scheduler wants it to end. */
	isStopRequested: boolean;
};

/** Follows one life of one upstream. */
export class UpstreamLink implements RunHost {
	/** Share by which tasks here take longer than expected; 1 is usual. */
	slowness = 1;
	/** Failed runs since the last that was done. */
	consecutiveFailures = 0;
	/** Monotonic time until which no task starts here. */
	suspendedUntil = 0;
	readonly #options: UpstreamLinkOptions;
	readonly #timing: UpstreamLinkTiming;
	readonly #runs = new Map<string, LinkedRun>();
	/** What all runs take together. */
	readonly #reserved = {cpu: 0, memoryMb: 0, accelerators: 0};
	/** Runs listed by the upstream that no job here knows, with the time they were first seen. */
	readonly #unclaimed = new Map<string, Run & {readonly seenAt: number}>();
	/** Monotonic times of the first stop of runs that are still listed, by task. */
	readonly #stopRequestedAt = new Map<string, number>();
	readonly #recentEnds = new Map<string, ListedEnd>();
	readonly #closeController = new AbortController();
	#acknowledgedPosition = 0;
	#lastPollAt = -Infinity;
	#clockOffsetMs: number | undefined;
	#clockObservedAt = 0;
	#leaseEndsAt = 0;
	#isSilent = true;
	#silentSince: number;
	#lapseTimer: Timer | undefined;

	constructor(public description: UpstreamDescription, options: UpstreamLinkOptions) {
		this.#options = options;
		this.#timing = options.timing ?? defaultUpstreamLinkTiming;
		this.#silentSince = options.clock.getMonotonicTime();
	}

	get name(): string {
		return this.description.id;
	}

	/** Gets what is free, by the runs known here. */
	getFreeCapacity(): TaskNeeds {
		const {capacity} = this.description;
		const {cpu, memoryMb, accelerators} = this.#reserved;
		return {cpu: capacity.cpu - cpu, memoryMb: capacity.memoryMb - memoryMb, accelerators: capacity.accelerators - accelerators};
	}

	/** Gets whether new tasks may start here. */
	isAcceptingStarts(): boolean {
		return !this.#isSilent && !this.description.isLeaving && this.#clockOffsetMs !== undefined && this.#unclaimed.size === 0
			&& this.#options.clock.getMonotonicTime() >= this.suspendedUntil && !this.#isStopOverdue();
	}

	/** Gets whether the upstream does not answer. */
	isSilent(): boolean {
		return this.#isSilent;
	}

	/** Gets the monotonic time at which the last look that was answered was sent. */
	getLastPollAt(): number {
		return this.#lastPollAt;
	}

	/** Gets the time without an answer in milliseconds. */
	getSilentMs(): number {
		return this.#isSilent ? this.#options.clock.getMonotonicTime() - this.#silentSince : 0;
	}

	/** Gets the runs that take room here. */
	getRuns(): Iterable<LinkedRun> {
		return this.#runs.values();
	}

	/** Gets whether the upstream runs nothing, as far as it is known here. */
	isIdle(): boolean {
		return this.#runs.size === 0 && this.#unclaimed.size === 0;
	}

	/** Looks at the upstream again and again until the link is closed. */
	async pollUntilClosed(): Promise<void> {
		const {clock} = this.#options;
		while (!this.#closeController.signal.aborted) {
			let result = await this.#poll(this.#getPollWaitMs());
			if (result === 'unanswered') {
				// One look may be lost, or its connection may have gone silent; a second one goes over another connection.
				result = await this.#poll(0);
			}

			if (result === 'unanswered') {
				this.#setSilent();
			}

			if (result !== 'seen') {
				await sleep(clock, pollRetryDelayMs, this.#closeController.signal);
			}
		}
	}

	/** Looks once at once, beside the look that waits. */
	async pollImmediately(): Promise<void> {
		await this.#poll(0);
	}

	/**
	 * Starts a run; its end or refusal comes as an event.
	 * @param run - Run, with what it takes.
	 */
	start(run: Run & {readonly needs: TaskNeeds; readonly spec: string}): LinkedRun {
		const now = this.#options.clock.getMonotonicTime();
		const linked: LinkedRun = {
			...run, startedAt: now, state: 'starting', confirmedAt: Infinity, isStopRequested: false,
		};
		this.#addRun(linked);
		void this.#sendStart(linked);
		return linked;
	}

	/**
	 * Stops a run; its end comes as an event.
	 * @param run - Run of this link.
	 */
	stop(run: LinkedRun): void {
		if (run.isStopRequested) {
			return;
		}

		run.isStopRequested = true;
		this.#recordStopRequest(run.task);
		if (run.state === 'running') {
			void this.#sendStop(run);
		}
	}

	/**
	 * Takes over a run that an earlier owner started.
	 * @param task - Task.
	 * @param needs - What the task takes.
	 * @param spec - Text of the job.
	 */
	adopt(task: string, needs: TaskNeeds, spec: string): LinkedRun | undefined {
		const run = this.#unclaimed.get(task);
		if (run === undefined) {
			return undefined;
		}

		this.#removeUnclaimed(task);
		const linked: LinkedRun = {
			task, number: run.number, needs, spec, startedAt: run.seenAt, state: 'running', confirmedAt: run.seenAt, isStopRequested: false,
		};
		this.#addRun(linked);
		return linked;
	}

	/** Gets the number of runs listed that nobody here has claimed. */
	getUnclaimedCount(): number {
		return this.#unclaimed.size;
	}

	/**
	 * Gets whether the upstream lists runs of a job that nobody here has claimed.
	 * @param job - Identifier of the job.
	 */
	hasUnclaimed(job: string): boolean {
		// Asked for with each job.
		return this.#unclaimed.size > 0 && this.#getUnclaimed(job).length > 0;
	}

	/**
	 * Stops the runs of a job that nobody here has claimed, because nobody will.
	 * @param job - Identifier of the job.
	 */
	stopUnclaimed(job: string): void {
		for (const run of this.#getUnclaimed(job)) {
			void this.#stopUnclaimed(run);
		}
	}

	/**
	 * Gets how a run of an earlier owner ended, if the upstream listed it lately.
	 * @param task - Task.
	 */
	getRecentEnd(task: string): ListedEnd | undefined {
		return this.#recentEnds.get(task);
	}

	/** Ends all runs, because the upstream is gone. */
	endRuns(): void {
		for (const run of this.#runs.values()) {
			this.#finish(run, 'lapsed');
		}
	}

	/** Ends the link; runs are left to their leases or to the next owner. */
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

	/** Gets the lease end by the upstream's clock, and notes until when something may run by it. */
	#extendLease(): number | undefined {
		if (this.#clockOffsetMs === undefined || this.#isStopOverdue()) {
			return undefined;
		}

		const {leaseMs} = this.#timing;
		this.#recordLease(leaseMs);
		return Math.floor(this.#options.clock.getMonotonicTime() + this.#clockOffsetMs + leaseMs);
	}

	/** Notes until when something may run by a lease that was given just now at the latest. */
	#recordLease(leaseMs: number): void {
		const now = this.#options.clock.getMonotonicTime();
		this.#leaseEndsAt = Math.max(this.#leaseEndsAt, now + (leaseMs * (1 + maxClockErrorRatio)) + this.#timing.answerTimeoutMs);
	}

	#recordStopRequest(task: string): void {
		if (!this.#stopRequestedAt.has(task)) {
			this.#stopRequestedAt.set(task, this.#options.clock.getMonotonicTime());
		}
	}

	/** Gets whether a run goes on although it was stopped a while ago. Leases hold for all of an upstream's runs, so that none is given then. */
	#isStopOverdue(): boolean {
		const now = this.#options.clock.getMonotonicTime();
		for (const requestedAt of this.#stopRequestedAt.values()) {
			if (now - requestedAt > this.#timing.stopConfirmTimeoutMs) {
				return true;
			}
		}

		return false;
	}

	async #poll(waitMs: number): Promise<PollResult> {
		const {clock, orders, getFence} = this.#options;
		const sentAt = clock.getMonotonicTime();
		const outcome = await orders.poll({
			upstream: this.description,
			fence: getFence(),
			timeoutMs: waitMs + this.#timing.answerTimeoutMs,
			acknowledged: this.#acknowledgedPosition,
			// A silent upstream gets no more lease, so that its runs end at a known time.
			leaseUntilMs: this.#runs.size > 0 && !this.#isSilent ? this.#extendLease() : undefined,
			waitMs,
		});
		if (this.#closeController.signal.aborted) {
			return 'seen';
		}

		const result = this.#handlePollOutcome(outcome, sentAt);
		this.#lastPollAt = result === 'seen' ? Math.max(this.#lastPollAt, sentAt) : this.#lastPollAt;
		return result;
	}

	#handlePollOutcome(outcome: PollOutcome, sentAt: number): PollResult {
		if (outcome.kind === 'unanswered') {
			return 'unanswered';
		}

		if (outcome.kind === 'refused') {
			if (outcome.reason === 'fenced') {
				this.#options.events.onFenced(this);
			}

			// Another life of the upstream, or another upstream, answers at the address.
			return outcome.reason === 'wrong-instance' ? 'unanswered' : 'refused';
		}

		if (outcome.bornMs !== undefined && outcome.bornMs !== this.description.bornMs) {
			this.#resetForNewInstance(outcome.bornMs);
		}

		this.#observeClock(outcome.upstreamTimeMs);
		this.#setResponsive();
		for (const end of outcome.ended) {
			this.#handleListedEnd(end);
		}

		this.#handleRunningList(outcome.running, sentAt);
		this.#options.events.onChange(this);
		return 'seen';
	}

	/** The upstream came back under its id and holds nothing of its earlier life; it may have taken orders before that is known here, so that its list decides. */
	#resetForNewInstance(bornMs: number): void {
		this.description = {...this.description, bornMs};
		this.#acknowledgedPosition = 0;
		this.#clockOffsetMs = undefined;
		this.#clearUnclaimed();
		this.#recentEnds.clear();
	}

	/** The quickest answer is nearest to the truth; it ages, since the upstream's clock may be slow. */
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
			this.#finish(run, end.end);
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

	#handleRunningList(running: readonly Run[], sentAt: number): void {
		const listed = new Set<string>();
		for (const run of running) {
			listed.add(run.task);
			this.#handleListedRun(run);
		}

		for (const task of this.#unclaimed.keys()) {
			if (!listed.has(task)) {
				this.#removeUnclaimed(task);
			}
		}

		for (const run of this.#runs.values()) {
			if (!listed.has(run.task) && run.confirmedAt < sentAt) {
				// Neither running nor listed as ended although its order was settled before the look.
				this.#finish(run, run.isStopRequested ? 'stopped' : 'lapsed');
			}
		}
	}

	#handleListedRun({task, number}: Run): void {
		const now = this.#options.clock.getMonotonicTime();
		const knownRun = this.#runs.get(task);
		if (knownRun?.number === number) {
			if (knownRun.state === 'lost' || knownRun.state === 'starting') {
				knownRun.state = 'running';
				knownRun.confirmedAt = Math.min(knownRun.confirmedAt, now);
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
		// The earlier owner may have extended the lease until its fence was passed.
		this.#recordLease(this.#options.maxLeaseMs);
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

	/** Stops a run until it is gone. */
	async #stopUnclaimed(run: Run): Promise<void> {
		const isListed = (): boolean => this.#unclaimed.get(run.task)?.number === run.number;
		if (!isListed() || this.#stopRequestedAt.has(run.task) || this.#closeController.signal.aborted) {
			return;
		}

		this.#options.events.onUnclaimedRun(this, run);
		this.#recordStopRequest(run.task);
		while (isListed() && !this.#closeController.signal.aborted) {
			await this.#confirmStop(run, isListed);
			await sleep(this.#options.clock, this.#timing.busyPollWaitMs, this.#closeController.signal);
		}
	}

	async #sendStart(run: LinkedRun): Promise<void> {
		const {orders} = this.#options;
		for (let attempts = 0; attempts < maxSendAttempts && run.state === 'starting' && !run.isStopRequested; attempts++) {
			const leaseUntilMs = this.#extendLease();
			if (leaseUntilMs === undefined) {
				break;
			}

			const outcome = await orders.startRun({
				...this.#getOrderOptions(), run: {task: run.task, number: run.number}, spec: run.spec, leaseUntilMs,
			});
			if (this.#closeController.signal.aborted || this.#runs.get(run.task) !== run) {
				return;
			}

			if (outcome.kind !== 'unanswered') {
				this.#handleStartAnswer(run, outcome, attempts);
				return;
			}

			void this.#checkAlive();
		}

		if (run.state === 'starting') {
			run.state = 'lost';
			await this.#sendStop(run);
		}
	}

	#handleStartAnswer(run: LinkedRun, outcome: Exclude<OrderOutcome, {readonly kind: 'unanswered'}>, earlierAttempts: number): void {
		const now = this.#options.clock.getMonotonicTime();
		if (outcome.kind === 'done') {
			this.#observeClock(outcome.upstreamTimeMs);
			run.confirmedAt = now;
			if (run.state === 'starting') {
				run.state = 'running';
			}

			if (run.isStopRequested) {
				void this.#sendStop(run);
			}

			return;
		}

		if (outcome.reason === 'fenced') {
			this.#options.events.onFenced(this);
		}

		if (earlierAttempts > 0 && outcome.reason !== 'wrong-instance') {
			// An earlier send may have been carried out; a look tells, or the lease ends it.
			run.state = 'lost';
			run.confirmedAt = outcome.reason === 'stale-run' ? now : Infinity;
			void (outcome.reason === 'stale-run' ? this.pollImmediately() : this.#sendStop(run));
			return;
		}

		this.#removeRun(run);
		if (outcome.reason !== 'stale-run') {
			this.suspendedUntil = now + refusalSuspensionMs;
			void this.pollImmediately();
		}

		this.#options.events.onRunRefused(this, run, outcome.reason);
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
			run.confirmedAt = Math.min(run.confirmedAt, this.#options.clock.getMonotonicTime());
		});

		// The lease decides; it is extended while other tasks run here, so the stop is tried again with each look's end.
		if (!isConfirmed && isListed() && !this.#closeController.signal.aborted) {
			this.#options.clock.setTimer(() => {
				void this.#sendStop(run);
			}, this.#timing.busyPollWaitMs);
		}
	}

	/**
	 * Sends a stop a few times until it is answered, and looks at what it came to.
	 * @returns Whether the upstream confirmed it.
	 */
	async #confirmStop({task, number}: Run, isListed: () => boolean, onConfirmed?: () => void): Promise<boolean> {
		for (let attempts = 0; attempts < maxSendAttempts && isListed() && !this.#closeController.signal.aborted; attempts++) {
			const outcome = await this.#options.orders.stopRun({...this.#getOrderOptions(), run: {task, number}});
			if (outcome.kind === 'done') {
				onConfirmed?.();
				await this.pollImmediately();
				return true;
			}

			if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
				this.#options.events.onFenced(this);
				return false;
			}
		}

		return false;
	}

	async #checkAlive(): Promise<void> {
		if (!this.#isSilent && await this.#poll(0) === 'unanswered') {
			this.#setSilent();
		}
	}

	#setSilent(): void {
		const {clock, events} = this.#options;
		if (!this.#isSilent) {
			this.#isSilent = true;
			this.#silentSince = clock.getMonotonicTime();
			events.onSilenceChanged(this, true);
			events.onChange(this);
		}

		this.#lapseTimer ??= clock.setTimer(() => {
			this.#lapseTimer = undefined;
			this.#endLapsedRuns();
		}, Math.max(minTimerMs, this.#leaseEndsAt - clock.getMonotonicTime()));
	}

	/** Ends the runs of an upstream that has been silent until all leases ended. */
	#endLapsedRuns(): void {
		if (!this.#isSilent || this.#closeController.signal.aborted) {
			return;
		}

		if (this.#options.clock.getMonotonicTime() < this.#leaseEndsAt) {
			this.#setSilent();
			return;
		}

		for (const run of this.#runs.values()) {
			this.#finish(run, 'lapsed');
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
		this.#runs.set(run.task, run);
		this.#adjustReserved(run.needs, 1);
	}

	#removeRun(run: LinkedRun): void {
		this.#runs.delete(run.task);
		this.#stopRequestedAt.delete(run.task);
		this.#adjustReserved(run.needs, -1);
	}

	#adjustReserved({cpu, memoryMb, accelerators}: TaskNeeds, sign: number): void {
		this.#reserved.cpu += cpu * sign;
		this.#reserved.memoryMb += memoryMb * sign;
		this.#reserved.accelerators += accelerators * sign;
	}

	#finish(run: LinkedRun, end: RunEnd): void {
		if (this.#runs.get(run.task) === run) {
			this.#removeRun(run);
			this.#options.events.onRunEnded(this, run, end);
		}
	}

	#getOrderOptions(): {readonly upstream: UpstreamDescription; readonly fence: number; readonly timeoutMs: number} {
		return {upstream: this.description, fence: this.#options.getFence(), timeoutMs: this.#timing.answerTimeoutMs};
	}
}
