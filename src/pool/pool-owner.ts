/**
 * Ownership of one pool by this entry VM: its fence, its links to the upstreams, and its scheduler.
 */
import {randomUUID} from 'node:crypto';
import {createImmediateProgress, type InputProgress, type SenderConfirmation} from '../connection/index.js';
import {type SchedulingOptions} from '../scheduling/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {CrashLedger} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {neverEvacuated, type PoolEvacuation} from './evacuations.js';
import {FenceIssuer, fencesPerGeneration} from './fence-issuer.js';
import {getHigherFence, isFence, maxFence} from './fence.js';
import {FormerLinks} from './former-links.js';
import {describeRuns, type InstanceSign, instanceSignMessages} from './instance-runs.js';
import {
	type LentTask, getLostRunTimeoutMs, type LendOutcome, noNeighbours, type PoolNeighbours,
} from './lending.js';
import {type OverdueCounts} from './overdue-counts.js';
import {type PoolJobOutcome, type SubmittedJob} from './pool-job.js';
import {type PoolLoad, PoolScheduler, type PoolSchedulerOptions} from './pool-scheduler.js';
import {ProofAges} from './proof-ages.js';
import {getConfirmedSince, getProofAge, type JobSender} from './sender-confirmation.js';
import {UpstreamLink} from './upstream-link.js';
import {type Run, type UpstreamDescription, type UpstreamOrders} from './upstream-orders.js';

/** Options of {@link PoolOwner}. */
export type PoolOwnerOptions = Pick<PoolSchedulerOptions, 'jobSizes' | 'overdueCounts' | 'resendMs' | 'scheduling' | 'startCounts'> & {
	readonly pool: string;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Up to when this process has read its input; by default, it reads everything as it arrives. */
	readonly inputProgress?: InputProgress;
	readonly orders: UpstreamOrders;
	/** Gets a fence from the store that is higher than all earlier ones; `undefined` if the store does not answer in time. */
	readonly getStoredFence: () => Promise<number | undefined>;
	/** Gets whether all upstreams of the pool that may be alive were listed recently; an earlier owner may have runs on unlisted ones. */
	readonly isListComplete: () => boolean;
	/** Gets the instances of upstreams that were listed lately and are listed at other addresses now; none by default. */
	readonly getFormerUpstreams?: () => readonly UpstreamDescription[];
	/** Highest known fence of the pool. */
	readonly knownFence: number;
	/** Issues the fences that the store does not give; by default, as for a process with this owner only. */
	readonly fences?: FenceIssuer;
	/** Generations by which the fence was last raised; 1 if it was not. */
	readonly fenceStep?: number;
	/** Gets those of some jobs that no VM waits for; by default, none is known, so that their runs are stopped after a time limit only. */
	readonly getUnawaitedJobs?: (jobs: readonly string[]) => Promise<readonly string[]>;
	/** Called when an upstream refuses the fence; the pool may have another owner. */
	readonly onFenced: () => Promise<void>;
	/** Longest lease of a run, in milliseconds. */
	readonly maxLeaseMs: number;
	/** Silence after which a VM closes the connection to another one whose tasks it runs, in milliseconds. */
	readonly peerSilenceMs: number;
	/** Access to the owners of the other pools; none by default. */
	readonly neighbours?: PoolNeighbours;
	/** Runs that failed or were lost with their upstreams, known to all owners of this process; by default, only to this owner. */
	readonly ledger?: CrashLedger;
	/** Gets the monotonic time at which the last pause of this process was detected, `-Infinity` for none; by default, no pause is detected. */
	readonly getPausedAt?: () => number;
	/** Gets the time in which the monotonic clock of this process stood still so far, in milliseconds; by default 0. */
	readonly getStoppedMs?: () => number;
	/** Gets for how long the monotonic clock of this process stood still since a monotonic time, in milliseconds; by default 0. */
	readonly getStoppedMsSince?: (since: number) => number;
	/** Counts the ages of the proofs at starts and leases; by default, only those of this owner. */
	readonly proofAges?: ProofAges;
	/** Evacuation of the pool's data centre; none by default. */
	readonly evacuation?: PoolEvacuation;
};

/** Time limit of the polls of all upstreams, such as those before a new owner accepts jobs, in milliseconds. */
const pollAllTimeoutMs = 250;

/** First number of generations by which a refused fence is raised without the store; doubled until the upstream that refused it accepts one. */
const initialFenceStep = 1;

/**
 * Delay after a refused fence before a higher one is taken, in milliseconds: two heartbeats, in which those of a newer owner arrive if there
 * is one.
 */
const fenceRefusalDelayMs = 250;

/** Interval of the checks whether the runs of a recalled job have ended, in milliseconds: a fraction of the time that a stop takes. */
const recallPollMs = 10;

/**
 * Time for which recalls are collected before the polls that confirm them, in milliseconds. With a smaller value, each of many transferred jobs
 * has polls of its own; with a larger one, the jobs wait for longer.
 */
const recallBatchMs = 20;

/** Time for which unclaimed runs are collected before the VMs are asked who waits for them, in milliseconds: all upstreams answer the polls of a takeover within it. */
const unclaimedBatchMs = 10;

/** Time for which an upstream is kept after it is no longer listed, in milliseconds: entries are registered again 2 s after the store is back. */
const unlistedRetentionMs = 2500;

/**
 * Time for which tasks are started on a known instance although its upstream is listed at another address, in milliseconds: an upstream writes its
 * entry every 1.5 s, and changes are read within 0.5 s. With a smaller value, another writer's entry takes a live upstream out of use; with a larger
 * one, owners that start later know less of the runs there.
 */
const relocationGraceMs = 2000;

/** An upstream that is listed at another address than that of its link, and the monotonic time since which it is. */
type Relocation = {readonly upstream: UpstreamDescription; readonly since: number};

/** Owner of one pool: manages its fence, its upstreams and its scheduler for as long as this entry VM owns the pool. */
export class PoolOwner {
	readonly #options: PoolOwnerOptions;
	readonly #scheduler: PoolScheduler;
	readonly #links = new Map<string, UpstreamLink>();
	readonly #unlistedSince = new Map<string, number>();
	/** Listed upstreams at other addresses than those of their links, by identifier. */
	readonly #relocated = new Map<string, Relocation>();
	/** Links to former instances, on which earlier owners may have runs. */
	readonly #formerLinks: FormerLinks;
	readonly #fences: FenceIssuer;
	#fence: number;
	#fenceStep: number;
	readonly #ready: Promise<void>;
	/** Upstreams to add once the first fence is known. */
	#pendingUpstreams: readonly UpstreamDescription[];
	#hasFence = false;
	#isReady = false;
	/** Whether the takeover is complete and the runs that earlier owners started in other pools were recalled. */
	#mayAcceptJobs = false;
	/** Monotonic time at which the takeover was complete. */
	#readyAt = Infinity;
	#isClosed = false;
	#isHandlingFenceRefusal = false;
	/** Monotonic time at which the last polls of all upstreams were sent. */
	#allPolledAt = -Infinity;
	#pollingAll: Promise<void> | undefined;
	readonly #neighbours: PoolNeighbours;
	readonly #proofAges: ProofAges;
	readonly #inputProgress: InputProgress;
	readonly #ledger: CrashLedger;
	/** Time after which borrowed and lent runs have ended if their lender or borrower cannot be reached, in milliseconds. */
	readonly #lostRunTimeoutMs: number;
	/** Monotonic time of the last pause after which an upstream accepted this owner's fence. */
	#pauseConfirmedAt = -Infinity;
	#isConfirmingOwnership = false;
	#isCollectingUnclaimed = false;
	/** Monotonic times until which an earlier owner's tasks may run in other pools, by job; kept until the job is accepted. */
	readonly #unrecalledUntil = new Map<string, number>();
	/** Result of the last check whether the upstreams accept this owner's fence, and the time at which it was started. */
	#ownershipCheck = {checkedAt: -Infinity, isConfirmed: false};
	#checkingOwnership: Promise<void> | undefined;
	/** Monotonic time at which the fence was last set. */
	#fenceSetAt = -Infinity;
	/** Highest fence under which an earlier owner may have started tasks of a job that was submitted here. */
	#priorFence = 0;
	/** Raise of the fence above those of earlier owners; starts are deferred meanwhile. */
	#raisingFence: Promise<void> | undefined;

	constructor(options: PoolOwnerOptions, upstreams: readonly UpstreamDescription[]) {
		this.#options = options;
		this.#fences = options.fences ?? new FenceIssuer(randomUUID());
		// Announced until the takeover has a fence for orders, which is never lower.
		this.#fence = getHigherFence(options.knownFence);
		this.#fenceStep = options.fenceStep ?? initialFenceStep;
		this.#neighbours = options.neighbours ?? noNeighbours;
		this.#proofAges = options.proofAges ?? new ProofAges();
		this.#inputProgress = options.inputProgress ?? createImmediateProgress(options.clock);
		this.#ledger = options.ledger ?? new CrashLedger(options.clock);
		this.#lostRunTimeoutMs = getLostRunTimeoutMs(options);
		this.#formerLinks = new FormerLinks({
			clock: options.clock,
			retentionMs: unlistedRetentionMs,
			createLink: upstream => this.#createLink(upstream),
			getListedLink: id => this.#links.get(id),
			onRemoved: link => {
				this.#logRemoved(link);
			},
		});
		this.#scheduler = new PoolScheduler({
			clock: options.clock, log: options.log, inputProgress: this.#inputProgress,
			getLinks: () => this.#getAllLinks(),
			areStartsSuspended: () => this.#isHandlingFenceRefusal || this.#raisingFence !== undefined || this.#isOwnershipUnconfirmed(),
			getConfirmedSince: () => getConfirmedSince(options.clock.getMonotonicTime(), options.getPausedAt?.() ?? -Infinity),
			getStoppedMs: options.getStoppedMs ?? (() => 0),
			getStoppedMsSince: options.getStoppedMsSince ?? (() => 0),
			getUnobservedRunsUntil: job => Math.max(this.#removeUnrecalledUntil(job), this.#getUnobservedRunsUntil()),
			neighbours: this.#neighbours, ledger: this.#ledger, proofAges: this.#proofAges, lostRunTimeoutMs: this.#lostRunTimeoutMs,
			jobSizes: options.jobSizes, resendMs: options.resendMs, scheduling: options.scheduling, overdueCounts: options.overdueCounts,
			startCounts: options.startCounts,
			evacuation: options.evacuation ?? neverEvacuated,
		});
		this.#pendingUpstreams = upstreams;
		this.#ready = this.#takeOver();
	}

	/** Gets whether the takeover is complete: the fence is known and the upstreams were polled. Jobs are accepted a little later. */
	isReady(): boolean {
		return this.#isReady;
	}

	/** Gets the fence that this owner's orders carry; before the first order, a lower bound. */
	getFence(): number {
		return this.#fence;
	}

	/** Gets the number of generations by which the fence was last raised. */
	getFenceStep(): number {
		return this.#fenceStep;
	}

	/** Gets the name of the pool. */
	getPool(): string {
		return this.#options.pool;
	}

	/** Gets the load of the pool. */
	getLoad(): PoolLoad {
		return this.#scheduler.getLoad();
	}

	/** Gets whether tasks wait for free capacity. */
	hasQueuedTasks(): boolean {
		return this.#scheduler.hasQueuedTasks();
	}

	/** Gets the number of jobs in progress. */
	getJobCount(): number {
		return this.#scheduler.getJobCount();
	}

	/** Gets whether upstreams list runs that an earlier owner started and no job here has claimed. */
	hasUnclaimedRuns(): boolean {
		return this.#getAllLinks().some(link => link.getUnclaimedCount() > 0);
	}

	/** Gets the state of each upstream for the status page and metrics. */
	getUpstreams(): ReadonlyArray<{readonly id: string; readonly isSilent: boolean; readonly isLeaving: boolean; readonly freeCpu: number; readonly slowness: number; readonly runs: number}> {
		return [...this.#links.values()].map(link => ({
			id: link.description.id, isSilent: link.isSilent(), isLeaving: link.description.isLeaving, freeCpu: link.getFreeCapacity().cpu, slowness: link.slowness, runs: [...link.getRuns()].length + link.getUnclaimedCount(),
		}));
	}

	/**
	 * Runs a job.
	 * @param submitted - Job.
	 * @param signal - Aborts when the caller stops waiting.
	 * @param sender - Sender that the caller waits at; by default one in this process.
	 * @returns Outcome of the job; `moved` if the pool is no longer owned here.
	 */
	async submit(submitted: SubmittedJob, signal?: AbortSignal, sender?: JobSender): Promise<PoolJobOutcome> {
		this.#ledger.mergeFailedRuns(submitted.failedRuns ?? []);
		const givenUp = this.#ledger.getGivenUpOutcome(submitted);
		if (givenUp !== undefined) {
			return givenUp;
		}

		const receivedAt = this.#options.clock.getMonotonicTime();
		if (!this.#mayAcceptJobs) {
			await this.#ready;
		}

		if ((submitted.priorFence > 0 || this.#scheduler.hasUnclaimedRuns(submitted.id)) && !this.#isClosed) {
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
			sender,
		);
	}

	/**
	 * Runs a task of another pool's job if there is free capacity now.
	 * @param task - Task.
	 * @param signal - Aborts when the borrower disconnects.
	 * @param confirmation - Proof that a sender of the job waits; by default, one in this process.
	 */
	async runLent(task: LentTask, signal: AbortSignal, confirmation?: SenderConfirmation): Promise<LendOutcome> {
		return this.#isReady && !this.#isClosed ? this.#scheduler.runLent(task, signal, confirmation) : {kind: 'refused', reason: 'not-owner'};
	}

	/**
	 * Stops a lent run.
	 * @param run - Run.
	 * @param isOverdue - Whether it has exceeded its time limit.
	 */
	stopLent(run: Run, isOverdue: boolean): void {
		this.#scheduler.stopLent(run, isOverdue);
	}

	/**
	 * Stops all lent runs of another pool's job, including those that an earlier owner of this pool started.
	 * @param job - Identifier of the job.
	 * @param signal - Aborts when the borrower stops waiting.
	 * @returns Whether no run of the job is left; `false` if that is unknown.
	 */
	async recallLent(job: string, signal: AbortSignal): Promise<boolean> {
		if (!this.#isReady || this.#isClosed) {
			return false;
		}

		const receivedAt = this.#options.clock.getMonotonicTime();
		await this.#stopRunsOf(job, signal);
		const isInOffice = await this.#isActiveOwner(receivedAt);
		// The polls that confirm the ownership may have listed further runs.
		await this.#stopRunsOf(job, signal);
		const hasSeenEarlierRuns = this.#hasSeenEarlierRuns();
		const isClear = isInOffice && hasSeenEarlierRuns && !signal.aborted && !this.#isClosed && !this.#scheduler.hasJob(job);
		this.#options.log.info({
			job, pool: this.#options.pool, isClear, isInOffice, hasSeenEarlierRuns, isLate: signal.aborted, tookMs: Math.round(this.#options.clock.getMonotonicTime() - receivedAt),
		}, 'recall answered');
		return isClear;
	}

	/** Starts the queued tasks for which there is free capacity; called when other pools reported theirs. */
	schedule(): void {
		this.#scheduler.schedule();
	}

	/** Raises the fence after an upstream refused it. Only the elected owner may call this. */
	async raiseFence(): Promise<void> {
		const refused = this.#fence;
		const stored = await this.#getStoredFence();
		if (this.#isClosed) {
			return;
		}

		this.#fenceStep = Math.min(maxFence, this.#fenceStep * 2);
		this.#setFence(this.#chooseFence(stored, this.#fence, this.#fenceStep - 1));
		this.#options.log.warn({
			pool: this.#options.pool, refused, fence: this.#fence, step: this.#fenceStep, isStored: stored !== undefined,
		}, 'fence raised');
	}

	/**
	 * Sets the upstreams of the pool.
	 * @param upstreams - Upstreams that are listed now.
	 */
	setUpstreams(upstreams: readonly UpstreamDescription[]): void {
		if (!this.#hasFence) {
			// An order sent before the first fence is known would be refused as one of an earlier owner. Upstreams that are missing in the list are still polled.
			const listed = new Set(upstreams.map(({id}) => id));
			this.#pendingUpstreams = [...upstreams, ...this.#pendingUpstreams.filter(({id}) => !listed.has(id))];
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

			this.#relocated.delete(id);
			const since = this.#unlistedSince.get(id) ?? now;
			this.#unlistedSince.set(id, since);
			if (now - since > unlistedRetentionMs) {
				this.#retireLink(id, link);
			}
		}

		this.#setFormerUpstreams();
		this.#scheduler.schedule();
	}

	/** Releases the pool. Its runs are left to the next owner or to their leases. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#options.log.warn({pool: this.#options.pool, fence: this.#fence, jobs: this.#scheduler.getJobCount()}, 'pool released');
		this.#scheduler.close();
		this.#formerLinks.close();
		for (const link of this.#links.values()) {
			link.close();
		}
	}

	async #takeOver(): Promise<void> {
		const {log, pool, knownFence} = this.#options;
		const stored = await this.#getStoredFence();
		if (this.#isClosed) {
			return;
		}

		this.#setFence(this.#chooseFence(stored, knownFence));
		log.warn({
			pool, fence: this.#fence, isStored: stored !== undefined, upstreams: this.#pendingUpstreams.length,
		}, 'pool taken over');
		this.#hasFence = true;
		for (const upstream of this.#pendingUpstreams) {
			this.#setUpstream(upstream);
		}

		this.#setFormerUpstreams();
		const recalling = this.#recallEarlierOwners();
		await this.#pollAll();
		this.#isReady = true;
		this.#readyAt = this.#options.clock.getMonotonicTime();
		const links = this.#getAllLinks();
		log.info({
			pool, fence: this.#fence, answering: links.filter(link => !link.isSilent()).length, unclaimed: links.reduce((sum, link) => sum + link.getUnclaimedCount(), 0),
			isListComplete: this.#options.isListComplete(), former: this.#formerLinks.getLinks().length,
		}, 'upstreams of the pool polled');
		await recalling;
		this.#mayAcceptJobs = true;
	}

	/** Ends the runs that earlier owners started in other pools: a copy of a job may arrive without the fence of the owner that started it. */
	async #recallEarlierOwners(): Promise<void> {
		if (!this.#isClosed && !await this.#neighbours.recall(undefined, this.#fence)) {
			this.#options.log.info({pool: this.#options.pool, fence: this.#fence}, 'not all pools answered the recall of earlier owners');
		}
	}

	/** Stops all lent and unclaimed runs of a job and waits for their ends. */
	async #stopRunsOf(job: string, signal: AbortSignal): Promise<void> {
		await this.#scheduler.recallLent(job);
		const links = this.#getAllLinks();
		for (const link of links) {
			link.stopUnclaimed(job);
		}

		while (!signal.aborted && !this.#isClosed && links.some(link => link.hasUnclaimed(job))) {
			await sleep(this.#options.clock, recallPollMs);
		}
	}

	/** Stops the unclaimed runs that nobody will claim: while an upstream lists some, no lease there is extended. */
	async #stopUnawaitedRuns(): Promise<void> {
		const {clock, getUnawaitedJobs, log, pool} = this.#options;
		if (getUnawaitedJobs === undefined || this.#isCollectingUnclaimed) {
			return;
		}

		this.#isCollectingUnclaimed = true;
		await sleep(clock, unclaimedBatchMs);
		this.#isCollectingUnclaimed = false;
		const links = this.#getAllLinks();
		const jobs = [...new Set(links.flatMap(link => link.getUnclaimedJobs()))];
		const unawaitedJobs = jobs.length === 0 || this.#isClosed ? [] : await getUnawaitedJobs(jobs);
		if (unawaitedJobs.length === 0 || this.#isClosed) {
			return;
		}

		log.info({pool, jobs: jobs.length, unawaited: unawaitedJobs.length}, 'runs stopped that no VM waits for');
		for (const job of unawaitedJobs) {
			for (const link of links) {
				link.stopUnclaimed(job);
			}
		}
	}

	/**
	 * Checks whether the responsive upstreams still accept this owner's fence: a newer owner raises it before it starts anything, and its runs are
	 * not known here.
	 */
	async #isActiveOwner(since: number): Promise<boolean> {
		while (this.#ownershipCheck.checkedAt < since && !this.#isClosed) {
			this.#checkingOwnership ??= this.#checkOwnership();
			await this.#checkingOwnership;
		}

		return this.#ownershipCheck.isConfirmed && !this.#isHandlingFenceRefusal;
	}

	async #checkOwnership(): Promise<void> {
		const {clock} = this.#options;
		await sleep(clock, recallBatchMs);
		const checkedAt = clock.getMonotonicTime();
		const answering = this.#getAllLinks().filter(link => !link.isSilent());
		await Promise.all(answering.map(async link => {
			await link.pollImmediately();
			if (link.getLastPollAt() < checkedAt) {
				// One poll may be lost.
				await link.pollImmediately();
			}
		}));
		const hasAnswer = this.#links.size === 0 || this.#getConfirmingLinks().some(link => answering.includes(link));
		const isConfirmed = hasAnswer && answering.every(link => link.isSilent() || link.getLastPollAt() >= checkedAt);
		this.#ownershipCheck = {checkedAt, isConfirmed};
		this.#checkingOwnership = undefined;
	}

	/** Gets whether all runs of earlier owners of the pool are known here or have ended. */
	#hasSeenEarlierRuns(): boolean {
		const areEarlierRunsEnded = this.#options.clock.getMonotonicTime() - this.#readyAt >= this.#lostRunTimeoutMs;
		return areEarlierRunsEnded || (this.#options.isListComplete() && this.#getAllLinks().every(link => link.getLastPollAt() > -Infinity));
	}

	#removeUnrecalledUntil(job: string): number {
		const until = this.#unrecalledUntil.get(job) ?? 0;
		this.#unrecalledUntil.delete(job);
		return until;
	}

	/** Gets the monotonic time until which an earlier owner's runs may continue on upstreams that did not answer the last polls; 0 if all answered. */
	#getUnobservedRunsUntil(): number {
		const {clock, maxLeaseMs} = this.#options;
		// If the list is incomplete, there may be upstreams that were not polled.
		const areAllPolled = this.#options.isListComplete() && this.#getAllLinks().every(link => link.getLastPollAt() >= this.#allPolledAt);
		// The time limit of the polls covers the earlier owner's last order and a slow clock.
		return areAllPolled ? 0 : clock.getMonotonicTime() + maxLeaseMs + pollAllTimeoutMs;
	}

	#setUpstream(upstream: UpstreamDescription): void {
		const existing = this.#links.get(upstream.id);
		if (existing === undefined) {
			this.#addLink(upstream);
			return;
		}

		if (existing.description.address === upstream.address) {
			this.#relocated.delete(upstream.id);
			const wasLeaving = existing.description.isLeaving;
			// The upstream's own answers are the best source for its start time.
			existing.description = {...upstream, bornMs: existing.description.bornMs};
			existing.describedBornMs = upstream.bornMs;
			if (upstream.isLeaving && !wasLeaving) {
				this.#options.log.info({upstream: upstream.id, pool: this.#options.pool}, 'upstream leaving');
			}

			return;
		}

		const formerLink = this.#formerLinks.take(upstream);
		if (formerLink !== undefined) {
			this.#relocated.delete(upstream.id);
			this.#formerLinks.add(existing);
			formerLink.description = {...upstream, bornMs: formerLink.description.bornMs};
			formerLink.describedBornMs = upstream.bornMs;
			this.#links.set(upstream.id, formerLink);
			return;
		}

		this.#setRelocated(existing, upstream);
		this.#endStartsAtFormerAddress(upstream.id);
		this.#replaceEndedLink(existing);
	}

	#setRelocated(link: UpstreamLink, upstream: UpstreamDescription): void {
		const {clock, log, pool} = this.#options;
		const previous = this.#relocated.get(upstream.id);
		if (previous?.upstream.address !== upstream.address) {
			const {address, bornMs} = link.description;
			log.info({
				upstream: upstream.id, pool, address: upstream.address, bornMs: upstream.bornMs, known: {address, bornMs},
			}, 'upstream listed at another address');
		}

		this.#relocated.set(upstream.id, {upstream, since: previous?.since ?? clock.getMonotonicTime()});
		if (previous === undefined) {
			clock.setTimer(() => {
				this.#endStartsAtFormerAddress(upstream.id);
			}, relocationGraceMs);
		}
	}

	/** Starts no more tasks on the known instance of an upstream that stays listed at another address, so that later owners need not know of it for long. */
	#endStartsAtFormerAddress(id: string): void {
		const link = this.#links.get(id);
		if (link !== undefined && this.#isRelocationSettled(id) && !this.#isClosed) {
			link.description = {...link.description, isLeaving: true};
			this.#replaceEndedLink(link);
		}
	}

	#isRelocationSettled(id: string): boolean {
		const relocation = this.#relocated.get(id);
		return relocation !== undefined && this.#options.clock.getMonotonicTime() - relocation.since >= relocationGraceMs;
	}

	/**
	 * Replaces the link of an upstream that is listed at another address, once nothing can run on the known instance and it is silent or has been listed
	 * elsewhere for long. The entry alone does not prove that the known instance has ended: another writer may have left it, or the instance may be
	 * partitioned from the store.
	 */
	#replaceEndedLink(link: UpstreamLink): void {
		const relocation = this.#relocated.get(link.name);
		if (relocation !== undefined && !this.#isClosed && link.isIdle() && (link.isSilent() || this.#isRelocationSettled(link.name))) {
			this.#removeLink(link.name, link);
			this.#formerLinks.setCleared(link.description);
			this.#addLink(relocation.upstream);
			this.#scheduler.schedule();
		}
	}

	#addLink(upstream: UpstreamDescription): void {
		this.#links.set(upstream.id, this.#createLink(upstream));
	}

	/** Gets the links to the listed upstreams and those to former instances. */
	#getAllLinks(): readonly UpstreamLink[] {
		return [...this.#links.values(), ...this.#formerLinks.getLinks()];
	}

	/** Gets the links whose answers show that there is no newer owner, which need not know an instance whose upstream is listed at another address. */
	#getConfirmingLinks(): readonly UpstreamLink[] {
		const links = [...this.#links.values()];
		const listedLinks = links.filter(link => !this.#relocated.has(link.name));
		return listedLinks.length > 0 ? listedLinks : links;
	}

	#setFormerUpstreams(): void {
		this.#formerLinks.setUpstreams(this.#options.getFormerUpstreams?.() ?? []);
	}

	#createLink(upstream: UpstreamDescription): UpstreamLink {
		const {clock, orders, log, pool, maxLeaseMs} = this.#options;
		const link = new UpstreamLink(upstream, {
			clock,
			orders,
			getFence: () => this.#fence,
			maxLeaseMs,
			getPausedAt: this.#options.getPausedAt,
			evacuation: this.#options.evacuation,
			events: {
				onRunEnded: (from, run, end, grounds) => {
					if (grounds !== 'listed') {
						log.info({
							task: run.task, run: run.number, upstream: from.name, pool, state: run.state, end, grounds,
						}, 'run counts as ended');
					}

					this.#scheduler.handleRunEnded(from, run, end, grounds);
					if (end === 'lapsed' && from.isSilent()) {
						this.#ledger.addFailedRuns([{
							task: run.task, number: run.number, upstream: from.name, bornMs: from.description.bornMs, cause: 'lost',
						}]);
					}
				},
				onRunRefused: (from, run, reason) => {
					this.#scheduler.handleRunRefused(from, run, reason);
				},
				onLeaseGranted: limitMs => {
					if (limitMs < Infinity) {
						this.#proofAges.add('lease', getProofAge(limitMs, this.#options.resendMs));
					}
				},
				onChange: from => {
					if (this.#links.get(from.name) === from) {
						this.#replaceEndedLink(from);
					} else {
						this.#formerLinks.prune();
					}

					this.#scheduler.schedule();
				},
				onFenced: (from, fence) => {
					void this.#handleFenced(from, fence);
				},
				onInstanceChanged(from, earlierBornMs) {
					const {id, address, bornMs} = from.description;
					log.info({
						upstream: id, address, pool, bornMs, earlierBornMs, runs: [...from.getRuns()].length,
					}, 'upstream restarted');
				},
				onInstanceSign: (from, sign, runs, isAlone) => {
					this.#handleInstanceSign(from, sign, runs.map(run => ({...run, isAlone})));
				},
				onUnclaimedListed: () => {
					void this.#stopUnawaitedRuns();
				},
				onUnclaimedRun(from, {task, number}) {
					log.info({
						task, run: number, upstream: from.description.id, pool,
					}, 'unclaimed run stopped');
				},
				onSilenceChanged: (from, isSilent) => {
					log.info({upstream: from.description.id, pool, silentMs: Math.round(from.getSilentMs())}, isSilent ? 'upstream silent' : 'upstream answers');
					if (!isSilent) {
						this.#ledger.resolveRefusals(from.name, from.description.bornMs, 'alive');
					}
				},
			},
		});
		log.info({
			upstream: upstream.id, address: upstream.address, bornMs: upstream.bornMs, pool,
		}, 'upstream added');
		void link.pollUntilClosed();
		return link;
	}

	/** Records what a sign means for the runs on an instance. Only the end of an instance proves a crash: a network partition may refuse connections too. */
	#handleInstanceSign({name, description: {bornMs}}: UpstreamLink, sign: InstanceSign, runs: ReadonlyArray<Run & {readonly isAlone: boolean}>): void {
		this.#options.log.info({
			upstream: name, bornMs, pool: this.#options.pool, ...describeRuns(runs),
		}, instanceSignMessages[sign]);
		this.#ledger.addFailedRuns(runs.map(({task, number, isAlone}) => ({
			task, number, upstream: name, bornMs, cause: sign, isAlone,
		})));
		if (sign !== 'refused') {
			this.#ledger.resolveRefusals(name, bornMs, sign);
		}
	}

	/** Removes an upstream that is no longer listed; while it has runs, it is only marked as leaving. */
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
		this.#relocated.delete(id);
		this.#logRemoved(link);
		link.close();
	}

	#logRemoved({description: {id, address, bornMs}}: UpstreamLink): void {
		this.#options.log.info({
			upstream: id, address, bornMs, pool: this.#options.pool,
		}, 'upstream removed');
	}

	/**
	 * Gets whether ownership is unconfirmed since a pause of this process, and starts the confirmation then. During the pause another VM may have
	 * taken the pool over and callers may have disconnected: polls reveal the former, and closed connections are read while the polls run.
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
		const hasAnswer = (): boolean => this.#links.size === 0 || this.#getConfirmingLinks().some(link => link.getLastPollAt() >= pausedAt);
		do {
			await this.#pollAll();
			await this.#inputProgress.waitUntilRead();
		} while (!hasAnswer() && !this.#isClosed);

		this.#isConfirmingOwnership = false;
		this.#pauseConfirmedAt = pausedAt;
		this.#scheduler.schedule();
	}

	/** Waits for the heartbeats that would announce a newer owner before the refusal is handled. */
	async #handleFenced(link: UpstreamLink, fence: number): Promise<void> {
		// An order that was sent before the fence was raised says nothing about the present one.
		if (this.#isHandlingFenceRefusal || this.#isClosed || fence < this.#fence) {
			return;
		}

		if (link.getLastPollAt() > this.#fenceSetAt) {
			this.#fenceStep = initialFenceStep;
		}

		this.#isHandlingFenceRefusal = true;
		this.#options.log.info({pool: this.#options.pool, upstream: link.description.id, fence: this.#fence}, 'fence refused');
		await sleep(this.#options.clock, fenceRefusalDelayMs);
		if (!this.#isClosed) {
			await this.#options.onFenced();
		}

		this.#isHandlingFenceRefusal = false;
		this.#scheduler.schedule();
	}

	/**
	 * Polls all upstreams with a fence above an earlier owner's, so that all of its runs are listed and none of its orders is
	 * carried out afterwards. Jobs that arrive at the same time share the polls.
	 */
	async #pollAboveFence(priorFence: number, since: number): Promise<void> {
		this.#priorFence = Math.max(this.#priorFence, priorFence);
		if (this.#fence <= priorFence && this.#fence < maxFence) {
			this.#raisingFence ??= this.#raiseFenceAbovePrior();
			await this.#raisingFence;
		}

		await this.#pollAllSince(since);
	}

	/** Raises the fence above those of earlier owners; jobs that arrive at the same time share one raise. */
	async #raiseFenceAbovePrior(): Promise<void> {
		do {
			await this.#raiseFenceAbove(this.#priorFence);
		} while (this.#fence <= this.#priorFence && this.#fence < maxFence && !this.#isClosed);

		this.#raisingFence = undefined;
		this.#scheduler.schedule();
	}

	/** Raises the fence just above another owner's, which may have started tasks of the jobs in progress. */
	async #raiseFenceAbove(priorFence: number): Promise<void> {
		const ownFence = this.#fence;
		const stored = await this.#getStoredFence();
		if (this.#isClosed) {
			return;
		}

		this.#setFence(this.#fence > priorFence ? Math.max(this.#fence, stored ?? 0) : this.#chooseFence(stored, priorFence));
		this.#options.log.warn({
			pool: this.#options.pool, priorFence, fence: this.#fence, isStored: stored !== undefined,
		}, 'fence raised above another owner\'s');
		if (ownFence < priorFence) {
			for (const link of this.#getAllLinks()) {
				link.deferStarts();
			}
		}

		await this.#pollAll();
		if (ownFence < priorFence) {
			await Promise.all(this.#scheduler.getJobIds().map(async job => this.#recallFromNeighbours(job)));
			this.#scheduler.adoptRuns();
		}
	}

	/** Gets a fence of this owner above a floor and a number of generations: the store's if it is, and else one of this process. */
	#chooseFence(stored: number | undefined, floor: number, generations = 0): number {
		const ownFence = this.#fences.getFenceAbove(floor, generations);
		return stored !== undefined && stored > floor + (generations * fencesPerGeneration) ? stored : ownFence;
	}

	#setFence(fence: number): void {
		this.#fence = fence;
		this.#fenceSetAt = this.#options.clock.getMonotonicTime();
	}

	/** Gets a fence from the store; `undefined` if it does not answer in time, or with a number that is none. */
	async #getStoredFence(): Promise<number | undefined> {
		const {getStoredFence, log, pool} = this.#options;
		const stored = await getStoredFence();
		if (stored === undefined || isFence(stored)) {
			return stored;
		}

		log.warn({pool, stored}, 'the store\'s revision cannot serve as a fence');
		return undefined;
	}

	/** Polls all upstreams unless that was done since a monotonic time. */
	async #pollAllSince(since: number): Promise<void> {
		while (this.#allPolledAt < since && !this.#isClosed) {
			await this.#pollAll();
		}
	}

	/** Recalls the tasks that an earlier owner sent to other pools, so that no task runs twice at the same time. */
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
			const polls = this.#getAllLinks().map(async link => link.pollImmediately());
			await Promise.race([Promise.allSettled(polls), sleep(this.#options.clock, pollAllTimeoutMs)]);
			this.#allPolledAt = startedAt;
			this.#pollingAll = undefined;
		})();
		await this.#pollingAll;
	}
}
