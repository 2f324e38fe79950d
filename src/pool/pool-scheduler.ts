/**
 * The queue of one pool: admits jobs, starts their tasks on upstreams of this pool or in other pools, and reports the outcomes.
 */
import {type InputProgress, readInput, type SenderConfirmation} from '../connection/index.js';
import {
	type AdmissionDecision, type AdmissionLimits, committingPolicy, decideAdmission, defaultAdmissionLimits, DurationEstimator, earlyAdmissionLimits, fits, getReevaluation, getUnplacedWork,
	minRetryAfterMs, OfferedLoad, type ReevaluationPolicy, RefusedWork, type SchedulingOptions, singleReevaluationPolicy, sortByUrgency, waitingAdmissionLimits,
} from '../scheduling/index.js';
import {type Clock, type Timer} from '../seams/index.js';
import {hasColdStart} from './cold-upstreams.js';
import {
	type CrashLedger, type FailedRunCause, getJob, isGivenUp, type FailedRun,
} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {type PoolEvacuation} from './evacuations.js';
import {getUsableCpu} from './free-capacities.js';
import {getJobSize, JobSizeBudget} from './job-size.js';
import {
	type LentTask, isSinglePoolJob, type LendOutcome, type LendRefusal, type NeighbourCapacity, type PoolNeighbours,
} from './lending.js';
import {LentRuns} from './lent-runs.js';
import {NeighbourPools} from './neighbour-pools.js';
import {type OverdueCounts} from './overdue-counts.js';
import {OverdueRuns} from './overdue-runs.js';
import {
	getStepWork, type JobStep, type PoolJobOutcome, type RefusalReason, type SubmittedJob,
} from './pool-job.js';
import {type ProofAges} from './proof-ages.js';
import {
	avoidHost, avoidTemporarily, getPosition, type JobTask, QueuedJob, servesJob, type TaskStart,
} from './queued-job.js';
import {describeGround, restartMessage, type RunEndGrounds} from './restart-ground.js';
import {type RunHost} from './run-host.js';
import {
	areRunsUnconfirmed, createLocalSender, getLeaseLimit, type JobSender, maxUnreadMs, renewalAgeMs,
} from './sender-confirmation.js';
import {type StartCounts} from './start-counts.js';
import {StartPass} from './start-pass.js';
import {SuspectPlacement, type WaitingSuspect} from './suspect-placement.js';
import {recordFailure, toCandidate} from './upstream-health.js';
import {type LinkedRun, type StartRefusal, UpstreamLink} from './upstream-link.js';
import {type Run, type RunEnd} from './upstream-orders.js';

/** Options of {@link PoolScheduler}. */
export type PoolSchedulerOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Up to when this process has read its input. */
	readonly inputProgress: InputProgress;
	/** Gets the links to the pool's upstreams. */
	readonly getLinks: () => readonly UpstreamLink[];
	/** Gets whether starts are suspended, because the pool may have another owner. */
	readonly areStartsSuspended: () => boolean;
	/** Gets the monotonic time since which a sender must have been confirmed for a start. */
	readonly getConfirmedSince: () => number;
	/** Gets the time in which the monotonic clock of this process stood still so far, in milliseconds. */
	readonly getStoppedMs: () => number;
	/** Gets for how long the monotonic clock of this process stood still since a monotonic time, in milliseconds. */
	readonly getStoppedMsSince: (since: number) => number;
	/** Gets the monotonic time until which runs of a job that an earlier owner started may go on without any upstream listing them. */
	readonly getUnobservedRunsUntil: (job: string) => number;
	/** The owners of the other pools. */
	readonly neighbours: PoolNeighbours;
	/** Runs that failed or were lost with their upstreams. */
	readonly ledger: CrashLedger;
	/** Time after which a run in a pool that has become unreachable has ended, in milliseconds. */
	readonly lostRunTimeoutMs: number;
	/** Counts the ages of the proofs at starts. */
	readonly proofAges: ProofAges;
	/** Time after which a caller whose submission has failed submits its job again, in milliseconds. */
	readonly resendMs?: number;
	/** Parts of the scheduling that are on; all by default. */
	readonly scheduling?: SchedulingOptions;
	/** Counts what the plans of starts decide. */
	readonly startCounts?: StartCounts;
	/** Limits the jobs of this process; by default, only those of this scheduler. */
	readonly jobSizes?: JobSizeBudget;
	/** Counts the decisions on runs that take long; by default, only those of this scheduler. */
	readonly overdueCounts?: OverdueCounts;
	/** Evacuation of the pool's data centre. */
	readonly evacuation: PoolEvacuation;
};

/** Load of a pool as its owner reports it. */
export type PoolLoad = {
	readonly cores: number;
	/** Thousandths of a core that are free for tasks of average size. */
	readonly freeCpu: number;
	/** Thousandths of a core that are free on each of the emptiest upstreams, in descending order. */
	readonly rooms: readonly number[];
	/** Core-milliseconds of queued work. */
	readonly queuedWork: number;
};

/** Interval between checks for overdue runs and jobs that will be late, in milliseconds: a fraction of the shortest task. */
const sweepIntervalMs = 20;

/** Thousandths of a core that a task is assumed to need before any is observed, and the weight of a new observation in the running mean. */
const initialTaskCpu = 1000;
const taskCpuObservationWeight = 0.05;

/** Smallest free capacity of an upstream that is reported to other pools, in tasks of average size: few tasks are smaller. */
const minReportedTasks = 0.6;

/** Maximum number of upstreams whose free capacity is reported, which bounds their part of a heartbeat to about 50 bytes. */
const maxReportedUpstreams = 16;

/** Time after a request for a confirmation until a job without a confirmed sender is stopped at the latest, in milliseconds. */
const maxUnconfirmedMs = 400;

const resolvedPromise = Promise.resolve();

/** Upper bound of the expected time until a run ends, also used where nothing runs, in milliseconds. */
const maxNextRunEndMs = 200;

/** Schedules the jobs of one pool. */
export class PoolScheduler {
	readonly #options: PoolSchedulerOptions;
	readonly #estimator = new DurationEstimator();
	readonly #offeredLoad = new OfferedLoad();
	readonly #refusedWork = new RefusedWork();
	readonly #reevaluationPolicy: ReevaluationPolicy;
	readonly #jobs = new Map<string, QueuedJob>();
	readonly #jobSizes: JobSizeBudget;
	readonly #tasksByName = new Map<string, {readonly job: QueuedJob; readonly task: JobTask}>();
	readonly #neighbourPools: NeighbourPools;
	readonly #overdueRuns: OverdueRuns;
	/** Runs of other pools' tasks on upstreams of this pool. */
	readonly #lentRuns: LentRuns;
	/** Keeps tasks under which an upstream has crashed apart from others. */
	readonly #suspectPlacement: SuspectPlacement;
	readonly #startPass: StartPass;
	readonly #sweepTimer: Timer;
	readonly #subscriptions: ReadonlyArray<() => void>;
	/** Senders that were asked for a confirmation and have not answered. */
	readonly #askedSenders = new Set<JobSender>();
	/** Thousandths of a core that a task takes on average. */
	#averageTaskCpu = initialTaskCpu;
	/** Time in which the monotonic clock stood still, as far as it is added to the jobs. */
	#stoppedMs: number;
	#isScheduled = false;
	/** Whether tasks are being started. Guards against re-entry: a call to another owner may call back before all starts are recorded. */
	#isStarting = false;
	#isClosed = false;

	constructor(options: PoolSchedulerOptions) {
		this.#options = options;
		this.#jobSizes = options.jobSizes ?? new JobSizeBudget();
		this.#stoppedMs = options.getStoppedMs();
		this.#reevaluationPolicy = options.scheduling?.commitsWaitingJobs === false ? singleReevaluationPolicy : committingPolicy;
		this.#overdueRuns = new OverdueRuns({
			...options, estimator: this.#estimator, intervalMs: sweepIntervalMs, stopsByEvidence: options.scheduling?.stopsByEvidence ?? true,
			learnsDurations: options.scheduling?.learnsDurations ?? true,
		});
		this.#lentRuns = new LentRuns({...options, overdueRuns: this.#overdueRuns});
		this.#suspectPlacement = new SuspectPlacement(options);
		this.#neighbourPools = new NeighbourPools({
			clock: options.clock,
			neighbours: options.neighbours,
			lostRunTimeoutMs: options.lostRunTimeoutMs,
			events: {
				onRunEnded: (host, run, end) => {
					this.handleRunEnded(host, run, end, run.state === 'lost' ? 'lender-lost' : 'lender');
				},
				onRunRefused: (host, run, reason) => {
					this.handleRunRefused(host, run, reason);
				},
			},
		});
		this.#startPass = new StartPass({
			overdueRuns: this.#overdueRuns,
			...options,
			neighbourPools: this.#neighbourPools,
			suspectPlacement: this.#suspectPlacement,
			getOpenLinks: () => this.#getOpenLinks(),
			getExpectedMs: run => this.#getExpectedRunMs(run),
		});
		this.#subscriptions = [options.ledger.subscribe(failedRuns => {
			this.#handleFailedRuns(failedRuns);
		}), options.evacuation.subscribe(() => {
			this.#releaseWaitingJobs();
		})];
		this.#sweepTimer = options.clock.setRepeatingTimer(() => {
			this.#sweepJobs();
		}, sweepIntervalMs);
	}

	/** Gets the load of the pool. */
	getLoad(): PoolLoad {
		let cores = 0;
		let freeCpu = 0;
		const freeCpus: number[] = [];
		const minReportedCpu = this.#averageTaskCpu * minReportedTasks;
		for (const link of this.#options.getLinks()) {
			if (link.isAcceptingStarts()) {
				cores += link.description.capacity.cpu / 1000;
				// Counts only whole tasks of average size, since the remainder is too small for another one.
				const usable = this.#suspectPlacement.isOpen(link) ? getUsableCpu(link.getFreeCapacity()) : 0;
				// Reservations are asked for only where they make a difference.
				const free = usable < minReportedCpu ? 0 : this.#startPass.getUnreservedCpu(link, usable);
				freeCpu += Math.floor(free / this.#averageTaskCpu) * this.#averageTaskCpu;
				freeCpus.push(free);
			}
		}

		let queuedWork = 0;
		for (const job of this.#jobs.values()) {
			queuedWork += job.isAbandoned ? 0 : job.remainingWork;
		}

		return {
			cores, freeCpu, rooms: freeCpus.filter(cpu => cpu >= minReportedCpu).sort((a, b) => b - a).slice(0, maxReportedUpstreams), queuedWork,
		};
	}

	/** Gets whether any job has tasks that are not started. */
	hasQueuedTasks(): boolean {
		for (const job of this.#jobs.values()) {
			if (!job.isAbandoned && job.hasWaitingTasks()) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Gets whether a job is queued or running here.
	 * @param id - Identifier of the job.
	 */
	hasJob(id: string): boolean {
		return this.#jobs.has(id);
	}

	/**
	 * Gets whether upstreams list runs of a job that is not known here; an earlier owner started them.
	 * @param id - Identifier of the job.
	 */
	hasUnclaimedRuns(id: string): boolean {
		return !this.#jobs.has(id) && this.#options.getLinks().some(link => link.hasUnclaimed(id));
	}

	/** Gets the identifiers of the queued and running jobs. */
	getJobIds(): readonly string[] {
		return [...this.#jobs.keys()];
	}

	/** Adopts the runs that another owner started for the jobs known here. */
	adoptRuns(): void {
		for (const job of this.#jobs.values()) {
			if (!job.isAbandoned) {
				this.#adoptRuns(job);
				this.#advance(job);
				this.#endIfGivenUp(job, job.tasks);
			}
		}
	}

	/** Gets the number of queued and running jobs. */
	getJobCount(): number {
		return this.#jobs.size;
	}

	/**
	 * Admits a job or refuses it; a duplicate submission joins the job that is already queued or running.
	 * @param submitted - Job.
	 * @param signal - Aborts when the caller stops waiting; a job without waiting callers is abandoned.
	 * @param sender - Sender that the caller waits at; no task is started while none of the job's senders is known to wait.
	 * @returns The outcome of the job.
	 */
	async submit(submitted: SubmittedJob, signal?: AbortSignal, sender = createLocalSender(this.#options.inputProgress)): Promise<PoolJobOutcome> {
		const givenUp = this.#options.ledger.getGivenUpOutcome(submitted);
		if (givenUp !== undefined) {
			this.#options.log.info({job: submitted.id, outcome: givenUp.kind}, 'job was given up before');
			return givenUp;
		}

		const existing = this.#jobs.get(submitted.id);
		if (existing !== undefined) {
			return this.#waitForOutcome(existing, signal, sender);
		}

		if (submitted.remainingMs <= 0 && submitted.priorFence > 0) {
			return {kind: 'interrupted', reason: 'the deadline of the caller has passed'};
		}

		if (this.#lentRuns.hasJob(submitted.id)) {
			return {kind: 'interrupted', reason: 'an earlier copy of the job runs here for another pool'};
		}

		const refusalReason = this.#jobSizes.getRefusalReason(submitted.steps);
		if (refusalReason !== undefined) {
			this.#options.log.info({job: submitted.id, size: getJobSize(submitted.steps), total: this.#jobSizes.getTotal()}, 'job refused for its size');
			return {kind: 'refused', reason: refusalReason, retryAfterMs: minRetryAfterMs};
		}

		const job = new QueuedJob(submitted, this.#options.clock.getMonotonicTime(), this.#estimator, queued => this.#getLeaseLimit(queued));
		if (submitted.priorFence > 0 || this.hasUnclaimedRuns(submitted.id)) {
			this.#adoptRuns(job);
		}

		if (!job.hasStarted && this.#options.evacuation.withholdStart()) {
			return {kind: 'refused', reason: 'evacuated', retryAfterMs: minRetryAfterMs};
		}

		const decision = this.#checkAdmission(job, earlyAdmissionLimits);
		job.admission = {
			tasks: job.taskCount,
			ageMs: Math.round(submitted.ageMs),
			...(submitted.priorFence > 0 && {priorFence: submitted.priorFence}),
			...(job.hasStarted && {adopted: job.getRunCount()}),
			...this.#describeConfirmation(sender),
			expectedWaitMs: Math.round(decision.expectedWaitMs * 10) / 10,
		};
		if (!decision.isAdmitted) {
			this.#options.log.info({...job.getLogFields(), ...decision}, 'job refused');
			return {kind: 'refused', reason: decision.reason, retryAfterMs: this.#getRetryAfterMs(job, this.getLoad())};
		}

		if (job.hasStarted) {
			// Runs of an earlier owner go on; the other jobs are logged at their end.
			this.#options.log.info(job.getLogFields(), 'job admitted');
		}

		this.#addStoppedTime();
		this.#jobSizes.add(job.size);
		this.#jobs.set(job.request.id, job);
		this.#updateAverageTaskCpu(job.request.steps[0]!);
		this.#offeredLoad.addWork(job.priority, submitted.isMoved ? 0 : job.remainingWork, this.#options.clock.getMonotonicTime());
		for (const task of job.tasks) {
			this.#tasksByName.set(task.name, {job, task});
		}

		if (job.isDone()) {
			this.#settle(job, {kind: 'completed'});
			return {kind: 'completed'};
		}

		const outcome = this.#waitForOutcome(job, signal, sender);
		if (job.hasStarted) {
			// The ends of adopted runs may have failed it.
			this.#endIfGivenUp(job, job.tasks);
		}

		this.schedule();
		return outcome;
	}

	/** Schedules the start of waiting tasks for the end of the current turn of the event loop. */
	schedule(): void {
		if (this.#isScheduled || this.#isClosed) {
			return;
		}

		this.#isScheduled = true;
		void this.#startAfterCurrentTurn();
	}

	/**
	 * Starts a task of another pool's job if there is free capacity now, and waits for its end.
	 * @param task - Task.
	 * @param signal - Aborts when the borrower has departed; the task is then stopped.
	 * @param confirmation - Proof that a sender of the job waits; by default, one in this process.
	 * @returns How the run ended, or why it was refused.
	 */
	async runLent(task: LentTask, signal: AbortSignal, confirmation: SenderConfirmation = createLocalSender(this.#options.inputProgress)): Promise<LendOutcome> {
		if (this.#isClosed || this.#isStarting || this.#options.areStartsSuspended() || this.#options.evacuation.withholdStart()) {
			return {kind: 'refused', reason: 'no-room'};
		}

		this.#options.ledger.mergeFailedRuns(task.failedRuns ?? []);
		const verdict = this.#options.ledger.getVerdict(task.task);
		if (verdict === 'held' || isGivenUp(verdict)) {
			return {kind: 'refused', reason: 'no-room'};
		}

		const job = getJob(task.task);
		if (this.#jobs.has(job) || this.hasUnclaimedRuns(job)) {
			// The job is a duplicate of one known here, or an earlier owner left runs of it.
			return {kind: 'refused', reason: 'no-room'};
		}

		if (this.#isScheduled && !this.#isInputUnread()) {
			// Tasks of this pool's jobs that arrived earlier in this turn are started first.
			this.#startTasks();
		}

		const links = verdict === 'suspect' ? this.#suspectPlacement.getIdleLinks(task) : this.#getOpenLinks();
		if (links.length === 0 && this.#getAcceptingLinks().length > 0) {
			return {kind: 'refused', reason: 'no-room'};
		}

		this.#updateAverageTaskCpu(task.step);
		return this.#lentRuns.start(task, {
			links, signal, confirmation, isUnreserved: link => this.#startPass.isUnreserved(link, task.step.needs, task.expectedMs),
		});
	}

	/**
	 * Stops a lent run; its end is the outcome of `runLent`.
	 * @param run - Run.
	 * @param isOverdue - Whether the run has taken too long.
	 */
	stopLent(run: Run, isOverdue: boolean): void {
		this.#lentRuns.stop(run, isOverdue);
	}

	/**
	 * Stops all lent runs of another pool's job; resolves when none is left.
	 * @param job - Identifier of the job.
	 */
	async recallLent(job: string): Promise<void> {
		await this.#lentRuns.recall(job);
	}

	/**
	 * Handles the end of a run.
	 * @param host - Upstream or pool that ran it.
	 * @param run - Run.
	 * @param end - How it ended.
	 * @param grounds - Why it counts as ended.
	 */
	handleRunEnded(host: RunHost, run: LinkedRun, end: RunEnd, grounds: RunEndGrounds): void {
		if (this.#lentRuns.handleRunEnded(run, end)) {
			if (end === 'failed') {
				this.#addFailedRun(host, run, 'failed');
			}

			this.schedule();
			return;
		}

		const entry = this.#tasksByName.get(run.task);
		if (entry?.task.run !== run) {
			this.schedule();
			return;
		}

		const {job, task} = entry;
		task.run = undefined;
		task.host = undefined;
		if (end === 'done') {
			this.#recordSuccess(host, job, task, run);
			job.setStatus(task, 'done');
		} else {
			job.setStatus(task, 'waiting');
			task.restartGround = {
				after: run.number, ...(host instanceof UpstreamLink && {on: host.name}), end, grounds, at: this.#options.clock.getMonotonicTime(),
			};
			this.#handleUnsuccessfulRun(entry, host, run, end);
			this.#endIfGivenUp(job, [task]);
		}

		this.#advance(job);
		this.schedule();
	}

	/**
	 * Handles the refusal of a start.
	 * @param host - Upstream or pool that refused it.
	 * @param run - Run.
	 * @param reason - Why it was refused.
	 */
	handleRunRefused(host: RunHost, run: LinkedRun, reason: StartRefusal | LendRefusal): void {
		const entry = this.#tasksByName.get(run.task);
		const fields = {
			task: run.task, run: run.number, upstream: host.name, reason,
		};
		if (host instanceof UpstreamLink) {
			this.#options.log.info(fields, 'start refused');
		} else {
			// Capacity reported by another pool is often taken when the task arrives; this may occur hundreds of times a second.
			this.#options.log.debug(fields, 'start refused by another pool');
		}

		if (reason === 'unhealthy') {
			this.#recordFailure(host);
		}

		if (this.#lentRuns.handleRunRefused(run)) {
			this.schedule();
			return;
		}

		if (entry?.task.run === run) {
			const {task} = entry;
			task.run = undefined;
			task.host = undefined;
			task.restartGround = {
				after: 0, ...task.restartGround, refused: reason, isRefusedElsewhere: !(host instanceof UpstreamLink),
			};
			if (reason === 'does-not-fit') {
				avoidTemporarily(this.#options.clock, task, host);
			}

			entry.job.setStatus(task, 'waiting');
			this.#advance(entry.job);
		}

		this.schedule();
	}

	/** Releases all jobs with the outcome `moved`, because another entry VM owns the pool now or this one stops. */
	close(): void {
		this.#isClosed = true;
		for (const unsubscribe of this.#subscriptions) {
			unsubscribe();
		}

		this.#sweepTimer.close();
		for (const job of this.#jobs.values()) {
			this.#jobSizes.remove(job.size);
			this.#options.log.info(job.getLogFields(), 'job released');
			job.settle({kind: 'moved', hasStarted: job.hasStarted});
		}

		this.#jobs.clear();
		this.#tasksByName.clear();
		this.#lentRuns.close();
		this.#neighbourPools.close();
	}

	/** Releases the jobs that have not run, the most urgent first, when the data centre is evacuated: their senders submit them to other pools. */
	#releaseWaitingJobs(): void {
		if (this.#options.evacuation.isEvacuated()) {
			const waiting = [...this.#jobs.values()].filter(job => !job.isAbandoned && job.hasNeverRun());
			this.#options.evacuation.addMovedJobs(waiting.length);
			this.#options.log.warn({released: waiting.length, kept: this.#jobs.size - waiting.length}, 'queued jobs of an evacuated pool released');
			for (const job of sortByUrgency(waiting, this.#options.clock.getMonotonicTime())) {
				this.#remove(job);
				job.settle({kind: 'refused', reason: 'evacuated', retryAfterMs: minRetryAfterMs});
			}
		}

		this.schedule();
	}

	/** Starts waiting tasks after this turn; a promise costs less than `queueMicrotask`, which keeps an asynchronous context for each call. */
	async #startAfterCurrentTurn(): Promise<void> {
		await resolvedPromise;
		// Cancelled requests and ended connections may be among what arrived while this process was held.
		await readInput(this.#options.inputProgress, this.#options.clock, maxUnreadMs);
		this.#isScheduled = false;
		if (!this.#isClosed && !this.#options.areStartsSuspended()) {
			this.#startTasks();
			this.#options.neighbours.publishLoad();
		}
	}

	#updateAverageTaskCpu({needs}: JobStep): void {
		this.#averageTaskCpu += (Math.max(1, needs.cpu) - this.#averageTaskCpu) * taskCpuObservationWeight;
	}

	async #waitForOutcome(job: QueuedJob, signal: AbortSignal | undefined, sender: JobSender): Promise<PoolJobOutcome> {
		if (job.isAbandoned) {
			return {kind: 'interrupted', reason: 'the job is being stopped'};
		}

		return new Promise(resolve => {
			const listener = (outcome: PoolJobOutcome): void => {
				signal?.removeEventListener('abort', removeCaller);
				resolve(outcome);
			};

			const removeCaller = (): void => {
				job.listeners.delete(listener);
				resolve({kind: 'interrupted', reason: 'nobody waits for the job'});
				if (job.listeners.size === 0) {
					this.#abandon(job, 'nobody waits for the job');
				}
			};

			job.listeners.set(listener, sender);
			if (signal?.aborted) {
				removeCaller();
			} else {
				signal?.addEventListener('abort', removeCaller, {once: true});
			}
		});
	}

	/** Adds the time in which the monotonic clock stood still since the last call to the ages of the jobs. */
	#addStoppedTime(): void {
		const stoppedMs = this.#options.getStoppedMs();
		if (stoppedMs > this.#stoppedMs) {
			for (const job of this.#jobs.values()) {
				job.addStoppedTime(stoppedMs - this.#stoppedMs);
			}

			this.#stoppedMs = stoppedMs;
		}
	}

	/** Gets the monotonic time until which runs of a job may go on without a further confirmation of its senders. */
	#getLeaseLimit(job: QueuedJob): number {
		const {clock, getStoppedMsSince, resendMs} = this.#options;
		const confirmedAt = job.getConfirmedAt(clock.getMonotonicTime());
		return getLeaseLimit(confirmedAt, resendMs) - getStoppedMsSince(confirmedAt);
	}

	/** Gets the age of a sender's confirmation for the log. */
	#describeConfirmation(sender: JobSender): {readonly confirmedMsAgo: number} {
		return {confirmedMsAgo: Math.round(this.#options.clock.getMonotonicTime() - sender.getConfirmedAt())};
	}

	/** Gets whether what arrived lately may not have been read. */
	#isInputUnread(): boolean {
		const {clock, inputProgress} = this.#options;
		return clock.getMonotonicTime() - inputProgress.getReadUntil() > maxUnreadMs;
	}

	/**
	 * Gets whether a sender of a job is known to wait for it; otherwise asks the connected ones for a confirmation.
	 * @param job - Job.
	 * @param since - Monotonic time since which it must have been confirmed.
	 */
	#isConfirmed(job: QueuedJob, since: number): boolean {
		if (job.hasConfirmedSender(since)) {
			job.unconfirmedSince = undefined;
			return true;
		}

		const senders = [...job.listeners.values()];
		if (job.unconfirmedSince === undefined) {
			job.unconfirmedSince = this.#options.clock.getMonotonicTime();
			this.#options.log.info({
				job: job.request.id,
				hasStarted: job.hasStarted,
				disconnected: senders.filter(sender => sender.isDisconnected()).length,
				senders: senders.map(sender => this.#describeConfirmation(sender)),
			}, 'starts wait for a confirmation of the sender');
		}

		this.#requestConfirmations(job);
		return false;
	}

	#requestConfirmations(job: QueuedJob): void {
		for (const sender of job.listeners.values()) {
			if (!sender.isDisconnected()) {
				void this.#requestConfirmation(sender);
			}
		}
	}

	async #requestConfirmation(sender: JobSender): Promise<void> {
		if (!this.#askedSenders.has(sender)) {
			this.#askedSenders.add(sender);
			const confirmedAt = sender.getConfirmedAt();
			await sender.requestConfirmation();
			this.#askedSenders.delete(sender);
			if (sender.getConfirmedAt() > confirmedAt) {
				this.schedule();
			}
		}
	}

	#isConfirmationOverdue(job: QueuedJob, now: number): boolean {
		const unconfirmedMs = now - job.unconfirmedSince!;
		return unconfirmedMs > maxUnconfirmedMs || (job.hasStarted && areRunsUnconfirmed(now - job.getConfirmedAt(now), unconfirmedMs));
	}

	/** Stops a job none of whose senders confirms that it waits. */
	#dropUnconfirmed(job: QueuedJob): void {
		this.#options.log.info({...job.getLogFields(), hasStarted: job.hasStarted}, 'no sender of the job confirms that it waits');
		if (job.hasStarted) {
			job.settle({kind: 'interrupted', reason: 'the sender did not confirm that it waits'});
			this.#abandon(job, 'no sender confirms that it waits');
		} else {
			this.#remove(job);
			job.settle({kind: 'moved', hasStarted: false});
		}
	}

	/** Adopts a job's runs that an earlier owner started, and their recorded ends. */
	#adoptRuns(job: QueuedJob): void {
		for (const task of job.tasks.filter(({status}) => status === 'waiting')) {
			for (const link of this.#options.getLinks()) {
				const end = link.getRecentEnd(task.name);
				if (end !== undefined) {
					task.lastRunNumber = Math.max(task.lastRunNumber, end.number);
					task.restartGround = {
						after: end.number, on: link.name, end: end.end, grounds: 'listed',
					};
					if (end.end === 'done') {
						job.setStatus(task, 'done');
					} else if (end.end === 'failed') {
						this.#addFailedRun(link, end, 'failed');
					}
				}

				const run = link.adopt(task.name, job.getStep(task).needs, job.request.spec, job.getLeaseLimit);
				if (run !== undefined) {
					task.lastRunNumber = Math.max(task.lastRunNumber, run.number);
					job.setStatus(task, 'placed');
					run.expectation = this.#overdueRuns.createExpectation(job, task);
					task.run = run;
					task.host = link;
				}
			}
		}

		// The earlier owner may have started tasks, so the job must not be refused as not started.
		job.hasStarted = true;

		job.startsDeferredUntil = this.#options.getUnobservedRunsUntil(job.request.id);
	}

	#checkAdmission(job: QueuedJob, limits: AdmissionLimits): AdmissionDecision {
		const now = this.#options.clock.getMonotonicTime();
		if (job.hasStarted) {
			return {isAdmitted: true, expectedWaitMs: 0};
		}

		if (this.#isScheduled && !this.#options.areStartsSuspended() && !this.#isInputUnread()) {
			// Jobs that arrived earlier in this turn start first; when its admission is re-evaluated, this job may be one of them.
			this.#startTasks();
			if (job.hasStarted) {
				return {isAdmitted: true, expectedWaitMs: 0};
			}
		}

		const acceptingLinks = this.#getAcceptingLinks().filter(link => servesJob(link, job));
		const ownCores = acceptingLinks.reduce((sum, {description}) => sum + (description.capacity.cpu / 1000), 0);
		const otherCores = isSinglePoolJob(job.request) ? 0 : this.#options.neighbours.getCores();
		const fittingUpstreams = Math.min(...job.request.steps.map(({needs}) => acceptingLinks.filter(({description}) => fits(needs, description.capacity)).length));
		return decideAdmission({
			// Without upstreams of its own, a pool relies on those of other pools.
			fittingUpstreams: acceptingLinks.length === 0 && otherCores > 0 ? 1 : fittingUpstreams,
			workAhead: this.#getWorkAhead(job, now),
			work: job.request.steps.reduce((sum, step) => sum + getStepWork(step), 0),
			cores: ownCores + otherCores,
			higherPriorityCores: this.#offeredLoad.getHigherPriorityCores(job.priority, now),
			unplacedWork: this.#getUnplacedWork(job, acceptingLinks.filter(link => this.#suspectPlacement.isOpen(link))),
			criticalPathMs: job.criticalPathMs,
			objectiveMs: job.objectiveAt - now,
			deadlineMs: job.lastUsefulAt - now,
			nextRunEndMs: this.#getNextRunEndMs(now),
		}, this.#reevaluationPolicy.isCommitting ? limits : defaultAdmissionLimits);
	}

	/** Gets the core-milliseconds of queued work that is started before a job. */
	#getWorkAhead(job: QueuedJob, now: number): number {
		const others = [...this.#jobs.values()].filter(other => !other.isAbandoned && other.remainingWork > 0);
		let work = 0;
		for (const other of sortByUrgency([...others, job], now)) {
			if (other === job) {
				break;
			}

			work += other.remainingWork;
		}

		return work;
	}

	/** Gets the core-milliseconds of a job that has not started whose tasks could not start now. */
	#getUnplacedWork(job: QueuedJob, openLinks: readonly UpstreamLink[]): number {
		// Pools do not publish the labels of their upstreams.
		const labels = job.request.steps.flatMap(({requiredLabel}) => requiredLabel ?? []);
		const borrowable = this.#getBorrowableCapacities(job).map(({pool, cpu}) => ({id: pool, labels, free: {cpu, memoryMb: Infinity, accelerators: 0}}));
		return getUnplacedWork(job.getWaitingSteps(), [...openLinks.map(link => toCandidate(link)), ...borrowable]);
	}

	/** Gets the expected time until the next running task ends, in milliseconds. */
	#getNextRunEndMs(now: number): number {
		let nextRunEndMs = maxNextRunEndMs;
		for (const {job, task} of this.#tasksByName.values()) {
			if (task.run !== undefined) {
				nextRunEndMs = Math.min(nextRunEndMs, Math.max(0, task.run.startedAt + job.getExpectedMs(task) - now));
			}
		}

		return nextRunEndMs;
	}

	#startTasks(): void {
		if (this.#isStarting) {
			return;
		}

		this.#isStarting = true;
		try {
			this.#startWaitingTasks();
		} finally {
			this.#isStarting = false;
		}
	}

	#startWaitingTasks(): void {
		const now = this.#options.clock.getMonotonicTime();
		const confirmedSince = this.#options.getConfirmedSince();
		this.#addStoppedTime();
		const waiting: QueuedJob[] = [];
		for (const job of this.#jobs.values()) {
			const mayStart = job.hasWaitingTasks() && !job.isAbandoned && job.startsDeferredUntil <= now && !job.hasLapsed(now, confirmedSince);
			if (mayStart && this.#isConfirmed(job, confirmedSince)) {
				waiting.push(job);
			}
		}

		this.#startPass.start(waiting);
	}

	/** Gets the number of failed runs of a task, also under earlier owners. */
	#getFailureCount({name, failures}: JobTask): number {
		return Math.max(failures, this.#options.ledger.getFailureCount(name));
	}

	/** Gets the free capacity of other pools that the tasks of a job may use. */
	#getBorrowableCapacities(job: QueuedJob): readonly NeighbourCapacity[] {
		return isSinglePoolJob(job.request) ? [] : this.#options.neighbours.getFreeCapacities();
	}

	/** Gets the expected duration of a run on an average upstream, in milliseconds; `undefined` if its job is not known. */
	#getExpectedRunMs(run: LinkedRun): number | undefined {
		const entry = this.#tasksByName.get(run.task);
		return entry === undefined ? this.#lentRuns.getExpectedMs(run) : entry.job.getReferenceMs(entry.task);
	}

	#getAcceptingLinks(): readonly UpstreamLink[] {
		return this.#options.getLinks().filter(link => link.isAcceptingStarts());
	}

	#getOpenLinks(): readonly UpstreamLink[] {
		return this.#getAcceptingLinks().filter(link => this.#suspectPlacement.isOpen(link));
	}

	#recordSuccess(host: RunHost, job: QueuedJob, task: JobTask, run: LinkedRun): void {
		const measuredMs = this.#options.clock.getMonotonicTime() - run.startedAt;
		const {estimateMs} = job.getStep(task);
		// Computed before the estimator includes this run.
		const referenceMs = job.getReferenceMs(task);
		if (!hasColdStart(host, run)) {
			this.#estimator.addDuration(job.request.rules.route, estimateMs, measuredMs);
		}

		let workMs = measuredMs;
		if (host instanceof UpstreamLink) {
			workMs = this.#overdueRuns.recordDone(host, run, referenceMs);
		}

		job.addDuration(task, measuredMs, workMs);
	}

	#handleUnsuccessfulRun({job, task}: {readonly job: QueuedJob; readonly task: JobTask}, host: RunHost, run: LinkedRun, end: RunEnd): void {
		if (end === 'failed' || host instanceof UpstreamLink) {
			avoidHost(task, host);
		}

		if (end === 'failed') {
			task.failures++;
			if (!this.#options.ledger.hasFailedElsewhere(task.name, host.name)) {
				this.#recordFailure(host);
			}
		}

		if (!job.isAbandoned) {
			this.#options.log.info({
				job: job.request.id, task: task.name, run: run.number, upstream: host.name, end, failures: this.#getFailureCount(task),
				...(end === 'lapsed' && host instanceof UpstreamLink && host.describeLease(run)),
			}, 'run ended without success');
		}

		// What this adds may end the job.
		if (end === 'failed') {
			this.#addFailedRun(host, run, 'failed');
		} else if (end === 'lapsed' && !(host instanceof UpstreamLink)) {
			this.#addFailedRun(host, run, 'lost');
		}
	}

	#addFailedRun(host: RunHost, {task, number}: Run, cause: FailedRunCause): void {
		const {name: upstream, description: {bornMs}} = host instanceof UpstreamLink ? host : {name: '', description: {bornMs: 0}};
		this.#options.ledger.addFailedRuns([{
			task, number, upstream, bornMs, cause,
		}]);
	}

	/** Records a failure of an upstream of this pool; owners of other pools record those of their upstreams. */
	#recordFailure(host: RunHost): void {
		if (host instanceof UpstreamLink) {
			recordFailure(host, this.#options.clock.getMonotonicTime(), this.#options.log);
		}
	}

	/** Ends a job that is done, and removes an abandoned one that has no runs left. */
	#advance(job: QueuedJob): void {
		if (job.isAbandoned) {
			if (!job.hasRuns()) {
				this.#remove(job);
			}

			return;
		}

		if (job.isDone()) {
			this.#settle(job, {kind: 'completed'});
		}
	}

	/**
	 * Ends a job if one of its tasks has failed or was lost too often.
	 * @param job - Job.
	 * @param tasks - Tasks of the job of which failed runs may have become known since the last call.
	 */
	#endIfGivenUp(job: QueuedJob, tasks: readonly JobTask[]): void {
		if (job.isAbandoned || job.isDone()) {
			return;
		}

		const {maxAttempts, route} = job.request.rules;
		if (tasks.some(task => this.#getFailureCount(task) >= maxAttempts)) {
			this.#options.log.info({job: job.request.id, route}, 'job failed');
			job.settle({kind: 'failed'});
			this.#abandon(job, 'a task failed too often');
			return;
		}

		if (tasks.some(({name}) => isGivenUp(this.#options.ledger.getVerdict(name)))) {
			this.#giveUp(job, this.#options.ledger.getGivenUpOutcome(job.request)!);
		}
	}

	/** Ends a job at once; a lost run of it may still wait for the end of its lease. */
	#giveUp(job: QueuedJob, outcome: PoolJobOutcome): void {
		const {ledger, log} = this.#options;
		const task = job.tasks.find(({name}) => isGivenUp(ledger.getVerdict(name)))?.name;
		const reason = outcome.kind === 'failed' ? 'upstreams crashed under a task' : 'a task was lost too often';
		log.info({
			job: job.request.id, route: job.request.rules.route, task, reason,
		}, outcome.kind === 'failed' ? 'job failed' : 'job given up');
		job.settle(outcome);
		this.#abandon(job, reason);
	}

	#handleFailedRuns(failedRuns: readonly FailedRun[]): void {
		for (const {task, cause} of failedRuns) {
			const entry = this.#tasksByName.get(task);
			if (entry === undefined || entry.job.isAbandoned) {
				continue;
			}

			if ((cause === 'refused' || cause === 'crash') && this.#options.ledger.getVerdict(task) === 'suspect') {
				this.#options.log.info({job: entry.job.request.id, task}, 'task suspected');
			}

			this.#endIfGivenUp(entry.job, [entry.task]);
		}

		this.schedule();
	}

	#settle(job: QueuedJob, outcome: PoolJobOutcome): void {
		this.#remove(job);
		this.#options.log.info({
			...job.getLogFields(), outcome: outcome.kind, totalMs: Math.round(this.#options.clock.getMonotonicTime() - job.arrivedAt),
		}, 'job ended');
		job.settle(outcome);
	}

	#remove(job: QueuedJob): void {
		if (this.#jobs.delete(job.request.id)) {
			this.#jobSizes.remove(job.size);
		}

		for (const {name} of job.tasks) {
			this.#tasksByName.delete(name);
		}
	}

	#abandon(job: QueuedJob, reason: string): void {
		if (job.isAbandoned || this.#isClosed) {
			return;
		}

		job.isAbandoned = true;
		this.#options.log.info({...job.getLogFields(), reason}, 'job abandoned');
		for (const {host, run} of job.tasks) {
			if (host !== undefined && run !== undefined) {
				host.stop(run);
			}
		}

		this.#advance(job);
		this.schedule();
	}

	/** Stops jobs whose senders have gone and overdue runs, and refuses jobs that have not started and can no longer be in time. */
	#sweepJobs(): void {
		this.#overdueRuns.recordSweep();
		if (this.#jobs.size === 0) {
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		const confirmedSince = this.#options.getConfirmedSince();
		this.#addStoppedTime();
		for (const job of this.#jobs.values()) {
			if (job.isAbandoned) {
				continue;
			}

			if (!this.#isConfirmed(job, confirmedSince) && this.#isConfirmationOverdue(job, now)) {
				this.#dropUnconfirmed(job);
				continue;
			}

			if (job.hasStarted && !job.hasConfirmedSender(now - renewalAgeMs)) {
				this.#requestConfirmations(job);
			}

			if (!job.hasStarted && this.#refuseIfInadmissible(job, now)) {
				continue;
			}

			this.#overdueRuns.examineJob(job, now);
		}

		this.schedule();
	}

	/**
	 * Refuses a job that cannot be in time. Its admission is re-evaluated against the current queue; once that is final, the job keeps its place as long as
	 * its deadline can be met.
	 * @returns Whether the job was refused.
	 */
	#refuseIfInadmissible(job: QueuedJob, now: number): boolean {
		if (now + job.criticalPathMs > job.lastUsefulAt) {
			this.#refuse(job, 'deadline');
			return true;
		}

		const reevaluation = job.isReevaluated ? 'none' : getReevaluation({ageMs: now - job.arrivedAt, objectiveMs: job.objectiveAt - job.arrivedAt}, this.#reevaluationPolicy);
		if (reevaluation === 'none') {
			return false;
		}

		const decision = this.#checkAdmission(job, waitingAdmissionLimits);
		job.isReevaluated = reevaluation === 'final';
		job.isCommitted = job.isReevaluated && this.#reevaluationPolicy.isCommitting;
		if (decision.isAdmitted && !this.#startPass.isHeld(job)) {
			return false;
		}

		this.#refuse(job, decision.isAdmitted ? 'overloaded' : decision.reason);
		return true;
	}

	#getRetryAfterMs(job: QueuedJob, load: PoolLoad): number {
		return Math.max(minRetryAfterMs, this.#refusedWork.addJob(job.remainingWork, load, this.#options.clock.getMonotonicTime()));
	}

	#refuse(job: QueuedJob, reason: RefusalReason): void {
		const load = this.getLoad();
		const {queuedWork, cores} = load;
		this.#options.log.info({
			...job.getLogFields(), reason, queuedWork: Math.round(queuedWork), cores,
		}, 'queued job refused');
		this.#remove(job);
		job.settle({kind: 'refused', reason, retryAfterMs: this.#getRetryAfterMs(job, load)});
	}
}
