/**
 * The time during which this entry VM owns one pool: its fence, its links to the upstreams, and its queue.
 */
import {type Clock, sleep} from '../seams/index.js';
import {type DecisionLog} from './decision-log.js';
import {
	type LentTask, getLostRunTimeoutMs, type LendOutcome, noNeighbours, type PoolNeighbours,
} from './lending.js';
import {type PoolJobOutcome, type SubmittedJob} from './pool-job.js';
import {type PoolLoad, PoolScheduler} from './pool-scheduler.js';
import {UpstreamLink} from './upstream-link.js';
import {type Run, type UpstreamDescription, type UpstreamOrders} from './upstream-orders.js';

/** Options of {@link PoolOwner}. */
export type PoolOwnerOptions = {
	readonly pool: string;
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly orders: UpstreamOrders;
	/** Gets a fence from the store that is higher than all before; `undefined` where the store does not answer in time. */
	readonly getStoredFence: () => Promise<number | undefined>;
	/** Gets whether all upstreams of the pool that may be alive were listed lately; an earlier owner may have tasks on those that are not listed. */
	readonly isListComplete: () => boolean;
	/** Highest fence that was heard of the pool. */
	readonly knownFence: number;
	/** Distance by which the last raise without the store went up; 1 for none. */
	readonly fenceStep?: number;
	/** Called when an upstream refuses the fence; the pool may have another owner. */
	readonly onFenced: () => Promise<void>;
	/** Longest lease of a run, in milliseconds. */
	readonly maxLeaseMs: number;
	/** Silence after which a VM gives up the connection of another one whose tasks it runs, in milliseconds. */
	readonly peerSilenceMs: number;
	/** The owners of the other pools. */
	readonly neighbours?: PoolNeighbours;
	/** Gets the monotonic time at which the last pause of this process was noticed. */
	readonly getPausedAt?: () => number;
};

/** Time in which the upstreams of a pool are looked at before its new owner takes jobs, in milliseconds. */
const takeoverPollMs = 250;

/** Distance between the fences of two owners that could not ask the store, doubled with each refusal. */
const initialFenceStep = 1;

/**
 * Time after a refused fence before a higher one is taken, in milliseconds: two heartbeats, in which this VM hears of a newer
 * owner if there is one.
 */
const fenceRefusalDelayMs = 250;

/** Time between looks whether the runs of a recalled job have ended, in milliseconds: a fraction of the time that a stop takes. */
const recallPollMs = 10;

/**
 * Time from the looks that follow a pause until tasks start again, in milliseconds: the ends of connections that came meanwhile are read in it. Smaller, tasks
 * start for callers that have gone; larger, those that wait do so for longer.
 */
const pauseSettleMs = 10;

/**
 * Time for which recalls are gathered before the looks that answer them, in milliseconds. Smaller, each of many jobs that move has looks of its own; larger,
 * the jobs wait for longer.
 */
const recallBatchMs = 20;

/** Time for which an upstream that its list no longer names is kept, in milliseconds: entries are back 2 s after the store. */
const unlistedRetentionMs = 2500;

/** Runs one pool for as long as this entry VM owns it. */
export class PoolOwner {
	readonly #options: PoolOwnerOptions;
	readonly #scheduler: PoolScheduler;
	readonly #links = new Map<string, UpstreamLink>();
	readonly #unlistedSince = new Map<string, number>();
	#fence: number;
	#fenceStep: number;
	readonly #ready: Promise<void>;
	/** Upstreams to begin with once the fence is settled. */
	#pendingUpstreams: readonly UpstreamDescription[];
	#hasFence = false;
	#isReady = false;
	/** Monotonic time at which the pool was taken over. */
	#readyAt = Infinity;
	#isClosed = false;
	#isSettlingFence = false;
	/** Monotonic time at which the last looks at all upstreams were sent. */
	#allPolledAt = -Infinity;
	#pollingAll: Promise<void> | undefined;
	readonly #neighbours: PoolNeighbours;
	/** Time after which runs of or for other pools have ended where nobody can be asked, in milliseconds. */
	readonly #lostRunTimeoutMs: number;
	/** Monotonic time of the last pause after which the upstreams took this owner's orders again. */
	#pauseConfirmedAt = -Infinity;
	#isConfirmingOwnership = false;
	/** Monotonic times until which tasks of jobs that an earlier owner had may run in other pools, by job; kept until the job is taken. */
	readonly #unrecalledUntil = new Map<string, number>();
	/** What the last looks after a recall came to. */
	#ownershipCheck = {checkedAt: -Infinity, isConfirmed: false};
	#checkingOwnership: Promise<void> | undefined;
	/** Whether another owner's fence is being passed; nothing is started meanwhile. */
	#isPassingFence = false;

	constructor(options: PoolOwnerOptions, upstreams: readonly UpstreamDescription[]) {
		this.#options = options;
		this.#fence = options.knownFence + initialFenceStep;
		this.#fenceStep = options.fenceStep ?? initialFenceStep;
		this.#neighbours = options.neighbours ?? noNeighbours;
		this.#lostRunTimeoutMs = getLostRunTimeoutMs(options);
		this.#scheduler = new PoolScheduler({
			clock: options.clock,
			log: options.log,
			getLinks: () => [...this.#links.values()],
			isHeldBack: () => this.#isSettlingFence || this.#isPassingFence || this.#isOwnershipUnconfirmed(),
			getUnseenUntil: job => Math.max(this.#removeUnrecalledUntil(job), this.#getUnpolledUntil()),
			neighbours: this.#neighbours,
			lostRunMs: this.#lostRunTimeoutMs,
		});
		this.#pendingUpstreams = upstreams;
		this.#ready = this.#takeOver();
	}

	/** Gets whether the pool is taken over: the fence is settled and the upstreams were looked at. */
	isReady(): boolean {
		return this.#isReady;
	}

	/** Gets the fence of this owner's orders. */
	getFence(): number {
		return this.#fence;
	}

	/** Gets the distance by which the next raise without the store goes up. */
	getFenceStep(): number {
		return this.#fenceStep;
	}

	/** Gets the pool. */
	getPool(): string {
		return this.#options.pool;
	}

	/** Gets the load. */
	getLoad(): PoolLoad {
		return this.#scheduler.getLoad();
	}

	/** Gets whether work waits for room. */
	hasQueue(): boolean {
		return this.#scheduler.hasQueue();
	}

	/** Gets the number of jobs in hand. */
	getJobCount(): number {
		return this.#scheduler.getJobCount();
	}

	/** Gets whether jobs are in hand or tasks run for other pools. */
	hasWork(): boolean {
		return this.#scheduler.hasWork();
	}

	/** Gets the state of each upstream for the status page and metrics. */
	getUpstreams(): ReadonlyArray<{readonly id: string; readonly isSilent: boolean; readonly isLeaving: boolean; readonly freeCpu: number; readonly slowness: number}> {
		return [...this.#links.values()].map(link => ({
			id: link.description.id, isSilent: link.isSilent(), isLeaving: link.description.isLeaving, freeCpu: link.getFreeCapacity().cpu, slowness: link.slowness,
		}));
	}

	/**
	 * Takes a job.
	 * @param submitted - Job.
	 * @param signal - Aborts when nobody waits any more.
	 * @param isConnectionLost - Gets whether the connection of who waits was lost.
	 */
	async submit(submitted: SubmittedJob, signal?: AbortSignal, isConnectionLost?: () => boolean): Promise<PoolJobOutcome> {
		const receivedAt = this.#options.clock.getMonotonicTime();
		if (!this.#isReady) {
			await this.#ready;
		}

		if ((submitted.priorFence > 0 || this.#scheduler.hasStrayRuns(submitted.id)) && !this.#isClosed) {
			await this.#pollAboveFence(submitted.priorFence, receivedAt);
			await this.#recallBeforeSubmit(submitted.id);
		}

		if (this.#isClosed) {
			return {kind: 'moved', hasStarted: false};
		}

		const waitedMs = this.#options.clock.getMonotonicTime() - receivedAt;
		return this.#scheduler.submit(
			waitedMs > 0 ? {...submitted, ageMs: submitted.ageMs + waitedMs, remainingMs: submitted.remainingMs - waitedMs} : submitted,
			signal,
			isConnectionLost,
		);
	}

	/**
	 * Runs a task of another pool's job if there is room now.
	 * @param task - Task.
	 * @param signal - Aborts when the borrower is gone.
	 */
	async runLent(task: LentTask, signal: AbortSignal): Promise<LendOutcome> {
		return this.#isReady && !this.#isClosed ? this.#scheduler.lendRoom(task, signal) : {kind: 'refused', reason: 'not-owner'};
	}

	/**
	 * Stops a run for another pool.
	 * @param run - Run.
	 * @param isOverdue - Whether it has taken too long.
	 */
	stopLent(run: Run, isOverdue: boolean): void {
		this.#scheduler.stopLent(run, isOverdue);
	}

	/**
	 * Stops all runs of another pool's job, also those that an earlier owner of this pool started for it.
	 * @param job - Identifier of the job.
	 * @param signal - Aborts when nobody waits for it.
	 * @returns Whether none is left; false where that is not known.
	 */
	async recallLent(job: string, signal: AbortSignal): Promise<boolean> {
		if (!this.#isReady || this.#isClosed) {
			return false;
		}

		const receivedAt = this.#options.clock.getMonotonicTime();
		await this.#scheduler.recallLent(job);
		const links = [...this.#links.values()];
		for (const link of links) {
			link.stopUnclaimed(job);
		}

		while (!signal.aborted && !this.#isClosed && links.some(link => link.hasUnclaimed(job))) {
			await sleep(this.#options.clock, recallPollMs);
		}

		const isInOffice = await this.#isActiveOwner(receivedAt);
		const hasSeenEarlierRuns = this.#hasSeenEarlierRuns();
		const isClear = isInOffice && hasSeenEarlierRuns && !signal.aborted && !this.#isClosed && !this.#scheduler.hasJob(job);
		this.#options.log.info({
			job, pool: this.#options.pool, isClear, isInOffice, hasSeenEarlierRuns, isLate: signal.aborted, tookMs: Math.round(this.#options.clock.getMonotonicTime() - receivedAt),
		}, 'recall answered');
		return isClear;
	}

	/** Starts what has room; for when other pools told of theirs. */
	schedule(): void {
		this.#scheduler.schedule();
	}

	/** Gets above the fence that an upstream has seen; for the elected owner only. */
	async raiseFence(atLeast = 0): Promise<void> {
		const refused = this.#fence;
		const stored = await this.#options.getStoredFence();
		this.#fenceStep *= 2;
		this.#fence = Math.max(stored ?? 0, atLeast, this.#fence + this.#fenceStep);
		this.#options.log.warn({
			pool: this.#options.pool, refused, fence: this.#fence, isStored: stored !== undefined,
		}, 'fence raised');
	}

	/**
	 * Sets the upstreams of the pool.
	 * @param upstreams - Upstreams that the list names now.
	 */
	setUpstreams(upstreams: readonly UpstreamDescription[]): void {
		if (!this.#hasFence) {
			// An order before the fence is settled would be refused as one of an earlier owner.
			this.#pendingUpstreams = upstreams;
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		for (const upstream of upstreams) {
			this.#setUpstream(upstream);
		}

		const listed = new Set(upstreams.map(({id}) => id));
		for (const [id, link] of this.#links) {
			if (listed.has(id)) {
				this.#unlistedSince.delete(id);
				continue;
			}

			const since = this.#unlistedSince.get(id) ?? now;
			this.#unlistedSince.set(id, since);
			if (now - since > unlistedRetentionMs) {
				this.#retireLink(id, link);
			}
		}

		this.#scheduler.schedule();
	}

	/** Ends the ownership; what runs is left to the next owner or to its lease. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#options.log.warn({pool: this.#options.pool, fence: this.#fence, jobs: this.#scheduler.getJobCount()}, 'pool given up');
		this.#scheduler.close();
		for (const link of this.#links.values()) {
			link.close();
		}
	}

	async #takeOver(): Promise<void> {
		const {clock, log, pool, getStoredFence, knownFence} = this.#options;
		const stored = await getStoredFence();
		this.#fence = Math.max(stored ?? 0, knownFence + initialFenceStep);
		log.warn({
			pool, fence: this.#fence, isStored: stored !== undefined, upstreams: this.#pendingUpstreams.length,
		}, 'pool taken over');
		this.#hasFence = true;
		for (const upstream of this.#pendingUpstreams) {
			this.#setUpstream(upstream);
		}

		await this.#pollAll();
		this.#isReady = true;
		this.#readyAt = this.#options.clock.getMonotonicTime();
		const links = [...this.#links.values()];
		log.info({
			pool, fence: this.#fence, answering: links.filter(link => !link.isSilent()).length, unclaimed: links.reduce((sum, link) => sum + link.getUnclaimedCount(), 0),
			isListComplete: this.#options.isListComplete(),
		}, 'upstreams of the pool looked at');
	}

	/**
	 * Gets whether the upstreams that answer still take this owner's orders: a newer one raises their fence before it starts anything. What this
	 * owner knows of its runs says nothing of those that a newer one started.
	 */
	async #isActiveOwner(since: number): Promise<boolean> {
		while (this.#ownershipCheck.checkedAt < since && !this.#isClosed) {
			this.#checkingOwnership ??= this.#checkOwnership();
			await this.#checkingOwnership;
		}

		return this.#ownershipCheck.isConfirmed && !this.#isSettlingFence;
	}

	async #checkOwnership(): Promise<void> {
		const {clock} = this.#options;
		await sleep(clock, recallBatchMs);
		const checkedAt = clock.getMonotonicTime();
		const answering = [...this.#links.values()].filter(link => !link.isSilent());
		await Promise.all(answering.map(async link => {
			await link.pollImmediately();
			if (link.getLastPollAt() < checkedAt) {
				// One look may be lost.
				await link.pollImmediately();
			}
		}));
		const isConfirmed = (answering.length > 0 || this.#links.size === 0) && answering.every(link => link.isSilent() || link.getLastPollAt() >= checkedAt);
		this.#ownershipCheck = {checkedAt, isConfirmed};
		this.#checkingOwnership = undefined;
	}

	/** Gets whether the runs of earlier owners of the pool are known here, or have ended. */
	#hasSeenEarlierRuns(): boolean {
		const areEarlierRunsEnded = this.#options.clock.getMonotonicTime() - this.#readyAt >= this.#lostRunTimeoutMs;
		return areEarlierRunsEnded || (this.#options.isListComplete() && [...this.#links.values()].every(link => link.getLastPollAt() > -Infinity));
	}

	#removeUnrecalledUntil(job: string): number {
		const until = this.#unrecalledUntil.get(job) ?? 0;
		this.#unrecalledUntil.delete(job);
		return until;
	}

	/** Gets until when runs of an earlier owner may go on where the last looks were not answered. */
	#getUnpolledUntil(): number {
		const {clock, maxLeaseMs} = this.#options;
		// Where the list is not complete there may be some that were not looked at.
		const areAllPolled = this.#options.isListComplete() && [...this.#links.values()].every(link => link.getLastPollAt() >= this.#allPolledAt);
		// The takeover's time covers the earlier owner's last order and a slow clock.
		return areAllPolled ? 0 : clock.getMonotonicTime() + maxLeaseMs + takeoverPollMs;
	}

	#setUpstream(upstream: UpstreamDescription): void {
		const existing = this.#links.get(upstream.id);
		if (existing?.description.address === upstream.address) {
			const wasLeaving = existing.description.isLeaving;
			// The life is known best from the upstream's own answers.
			existing.description = {...upstream, bornMs: existing.description.bornMs};
			if (upstream.isLeaving && !wasLeaving) {
				this.#options.log.info({upstream: upstream.id, pool: this.#options.pool}, 'upstream leaving');
			}

			return;
		}

		if (existing !== undefined) {
			// The wall clock of its VM may have gone back; an earlier life that answers no more is over once nothing can run there.
			if (upstream.bornMs <= existing.description.bornMs && !(existing.isSilent() && existing.isIdle())) {
				this.#options.log.info({upstream: upstream.id, address: upstream.address, known: existing.description.address}, 'address of the same or an earlier life ignored');
				return;
			}

			this.#removeLink(upstream.id, existing);
		}

		this.#addLink(upstream);
	}

	#addLink(upstream: UpstreamDescription): void {
		const {clock, orders, log, pool, maxLeaseMs} = this.#options;
		const link = new UpstreamLink(upstream, {
			clock,
			orders,
			getFence: () => this.#fence,
			maxLeaseMs,
			events: {
				onRunEnded: (from, run, end) => {
					this.#scheduler.handleRunEnded(from, run, end);
				},
				onRunRefused: (from, run, reason) => {
					this.#scheduler.handleRunRefused(from, run, reason);
				},
				onChange: () => {
					this.#scheduler.schedule();
				},
				onFenced: from => {
					void this.#handleFenced(from);
				},
				onUnclaimedRun(from, {task, number}) {
					log.info({
						task, run: number, upstream: from.description.id, pool,
					}, 'unclaimed run stopped');
				},
				onSilenceChanged(from, isSilent) {
					log.info({upstream: from.description.id, pool, silentMs: Math.round(from.getSilentMs())}, isSilent ? 'upstream silent' : 'upstream answers');
				},
			},
		});
		this.#links.set(upstream.id, link);
		log.info({upstream: upstream.id, address: upstream.address, pool}, 'upstream added');
		void link.pollUntilClosed();
	}

	/** Takes an upstream that its list no longer names for gone; what runs there ends first. */
	#retireLink(id: string, link: UpstreamLink): void {
		if (link.isIdle()) {
			this.#removeLink(id, link);
		} else if (!link.description.isLeaving) {
			link.description = {...link.description, isLeaving: true};
		}
	}

	#removeLink(id: string, link: UpstreamLink): void {
		this.#links.delete(id);
		this.#unlistedSince.delete(id);
		this.#options.log.info({upstream: id, pool: this.#options.pool}, 'upstream removed');
		link.endRuns();
		link.close();
	}

	/**
	 * Gets whether this process was paused and does not know yet whether it still owns the pool; asks the upstreams then. Another VM may have taken it meanwhile, and
	 * callers may have gone; looks that come back tell of the one, and the time that they take lets the other be read.
	 */
	#isOwnershipUnconfirmed(): boolean {
		const pausedAt = this.#options.getPausedAt?.() ?? -Infinity;
		if (pausedAt <= this.#pauseConfirmedAt) {
			return false;
		}

		void this.#confirmOwnership(pausedAt);
		return true;
	}

	async #confirmOwnership(pausedAt: number): Promise<void> {
		if (this.#isConfirmingOwnership || this.#isClosed) {
			return;
		}

		this.#isConfirmingOwnership = true;
		const hasAnswer = (): boolean => this.#links.size === 0 || [...this.#links.values()].some(link => link.getLastPollAt() >= pausedAt);
		do {
			await this.#pollAll();
			await sleep(this.#options.clock, pauseSettleMs);
		} while (!hasAnswer() && !this.#isClosed);

		this.#isConfirmingOwnership = false;
		this.#pauseConfirmedAt = pausedAt;
		this.#scheduler.schedule();
	}

	/** Waits for the heartbeats that tell of a newer owner before it lets the refusal be settled. */
	async #handleFenced(link: UpstreamLink): Promise<void> {
		if (this.#isSettlingFence || this.#isClosed) {
			return;
		}

		this.#isSettlingFence = true;
		this.#options.log.info({pool: this.#options.pool, upstream: link.description.id, fence: this.#fence}, 'fence refused');
		await sleep(this.#options.clock, fenceRefusalDelayMs);
		if (!this.#isClosed) {
			await this.#options.onFenced();
		}

		this.#isSettlingFence = false;
		this.#scheduler.schedule();
	}

	/**
	 * Looks at all upstreams with a fence above an earlier owner's, so that all of its runs are listed and none of its orders is
	 * carried out afterwards. Jobs that come at the same time share the looks.
	 */
	async #pollAboveFence(priorFence: number, since: number): Promise<void> {
		if (this.#fence <= priorFence) {
			await this.#raiseFenceAbove(priorFence);
		}

		await this.#pollAllSince(since);
	}

	/** Goes above the fence of another owner, which may have started tasks of the jobs in hand. */
	async #raiseFenceAbove(priorFence: number): Promise<void> {
		const isOther = this.#fence < priorFence;
		this.#isPassingFence = true;
		await this.raiseFence(priorFence + initialFenceStep);
		await this.#pollAll();
		if (isOther) {
			await Promise.all(this.#scheduler.getJobs().map(async job => this.#recallFromNeighbours(job)));
			this.#scheduler.adoptRuns();
		}

		this.#isPassingFence = false;
		this.#scheduler.schedule();
	}

	/** Looks at all upstreams unless that was done since a time. */
	async #pollAllSince(since: number): Promise<void> {
		while (this.#allPolledAt < since && !this.#isClosed) {
			await this.#pollAll();
		}
	}

	/** Ends what an earlier owner sent to other pools, so that no task runs twice at the same time. */
	async #recallBeforeSubmit(job: string): Promise<void> {
		if (!this.#scheduler.hasJob(job) && !this.#isClosed) {
			await this.#recallFromNeighbours(job);
		}
	}

	async #recallFromNeighbours(job: string): Promise<void> {
		if (!await this.#neighbours.recall(job, this.#fence)) {
			this.#unrecalledUntil.set(job, this.#options.clock.getMonotonicTime() + this.#lostRunTimeoutMs);
			this.#options.log.info({job, pool: this.#options.pool, heldMs: this.#lostRunTimeoutMs}, 'not all pools answered a recall');
		}
	}

	async #pollAll(): Promise<void> {
		this.#pollingAll ??= (async () => {
			const startedAt = this.#options.clock.getMonotonicTime();
			const polls = [...this.#links.values()].map(async link => link.pollImmediately());
			await Promise.race([Promise.allSettled(polls), sleep(this.#options.clock, takeoverPollMs)]);
			this.#allPolledAt = startedAt;
			this.#pollingAll = undefined;
		})();
		await this.#pollingAll;
	}
}
