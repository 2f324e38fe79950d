/**
 * Routes callers' jobs from an entry VM to the owners of pools, and to the next owner when the ownership of a pool changes.
 */
import {type InputProgress, type PeerNetwork, readInput} from '../connection/index.js';
import {
	choosePool, decidePool, defaultSchedulingOptions, getGroupName, minRetryAfterMs, type PoolDecision, type PoolView, type RankedDemand, RecentRefusals, type SchedulingOptions,
} from '../scheduling/index.js';
import {type Clock, type Random, sleep} from '../seams/index.js';
import {type AwaitedJobs} from './awaited-jobs.js';
import {type CrashLedger} from './crash-ledger.js';
import {type DecisionLog, type LogFields} from './decision-log.js';
import {Evacuations} from './evacuations.js';
import {isSinglePoolJob} from './lending.js';
import {getJobSize, JobSizeBudget} from './job-size.js';
import {type PauseDetector} from './pause-detector.js';
import {decodeSubmitAnswer} from './pool-decoding.js';
import {getInitialCpu, type PoolDirectory} from './pool-directory.js';
import {
	getCriticalPathMs, getStepWork, type PoolJobOutcome, type PoolJobRequest, type RefusalReason, type SubmittedJob,
} from './pool-job.js';
import {getDataCenter} from './pool-layout.js';
import {maxReportedFailedRuns, submitTopic} from './pool-messages.js';
import {type PoolOwner} from './pool-owner.js';
import {RoutingCounts} from './routing-counts.js';
import {createLocalSender, type JobSender, maxUnreadMs} from './sender-confirmation.js';

/** Options of {@link PoolRouter}. */
export type PoolRouterOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly selfId: string;
	/** Data centre of this VM. */
	readonly dataCenter: string;
	readonly peers: PeerNetwork;
	/** Up to when this process has read its input. */
	readonly inputProgress: InputProgress;
	readonly directory: PoolDirectory;
	/** Runs that failed or were lost with their upstreams. */
	readonly ledger: CrashLedger;
	/** Returns the owner of a pool; `undefined` when the pool is not owned by this VM. */
	readonly getOwner: (pool: string) => PoolOwner | undefined;
	/** Returns whether a VM of a pool's data centre is up. */
	readonly hasReachableVm: (pool: string) => boolean;
	/** Returns whether pools are ceded to owners that this VM cannot reach. */
	readonly hasCededPools: () => boolean;
	/** Detects pauses of this process. */
	readonly pauses: PauseDetector;
	/** Told of the jobs that callers of this VM wait for; by default, nobody asks for them. */
	readonly awaitedJobs?: AwaitedJobs;
	/** Limits the jobs of this process; by default, only those that this router submits. */
	readonly jobSizes?: JobSizeBudget;
	/** Parts of the scheduling that are on; all by default. */
	readonly scheduling?: SchedulingOptions;
	/** Evacuated data centres, whose pools get no jobs; none by default. */
	readonly evacuations?: Evacuations;
};

/** Time for which a job waits until any pool has an owner, in milliseconds: two heartbeats and an election. */
const firstOwnerTimeoutMs = 300;

/** Time for which a job waits for the next owner of its pool, in milliseconds: an unresponsive owner is detected after 500 ms. */
const ownerTimeoutMs = 800;
const ownerPollIntervalMs = 20;

/** Number of owners that may be lost with a job before it is given up: its tasks may be what ends them. */
const maxLostOwners = 2;

/**
 * Number of pools that a job is submitted to before it is refused, without counting those of evacuated data centres and those that refused it because of
 * their load if data centres are balanced.
 */
const maxPoolsTried = 3;

/** Share of the objective within which a caller is to be refused, so that it can go elsewhere. */
const earlyShare = 0.25;

/** Mean duration of a task until jobs are seen, in milliseconds, and the weight of a job in the mean. */
const initialTaskMs = 200;
const taskObservationWeight = 0.05;

/** Time after which a caller should retry while all data centres are evacuated, in milliseconds: nothing tells when the operator will end it. */
const evacuatedRetryAfterMs = 2000;

/**
 * Time for which a job is submitted to evacuated pools again, in milliseconds: two heartbeats, within which this VM and the owners hear of the same
 * begin or end of an evacuation. With a smaller value, jobs are refused in vain at its end; with a larger one, refusals are late.
 */
const evacuatedRetryMs = 200;

/** Time until a job is submitted again to an owner that lost the connection but is still up, in milliseconds. */
const sameOwnerRetryMs = 100;

/** A caller's job, and this VM as its sender. */
type Submission = {readonly getSubmitted: (priorFence: number) => SubmittedJob; readonly sender: JobSender; readonly getAgeMs: () => number; readonly remainingMs: number};

type Ownership = {readonly ownerId: string; readonly fence: number; readonly selectedAt: number};

/** Answer of an owner to a job, or whether the request was sent. */
type SendResult =
	| {readonly kind: 'answered'; readonly outcome: PoolJobOutcome}
	| {readonly kind: 'not_sent' | 'lost'};

/** Submits jobs to the owners of pools. */
export class PoolRouter {
	/** Decisions on the way of jobs to pools. */
	readonly counts: RoutingCounts;
	readonly #options: PoolRouterOptions;
	readonly #jobSizes: JobSizeBudget;
	readonly #refusals = new RecentRefusals();
	/** Work and CPU of the latest jobs, decayed, in core-milliseconds and thousandths of a core. */
	#recentWork = initialTaskMs / 1000;
	#recentCpu = 1;
	readonly #evacuations: Evacuations;

	constructor(options: PoolRouterOptions) {
		this.#options = options;
		this.counts = new RoutingCounts(options.clock, options.log);
		this.#jobSizes = options.jobSizes ?? new JobSizeBudget();
		this.#evacuations = options.evacuations ?? new Evacuations();
	}

	/**
	 * Submits a job to a pool and waits for its outcome.
	 * @param job - Job.
	 * @param remainingMs - Time until the caller stops waiting, in milliseconds.
	 * @param signal - Aborts when the caller disconnects.
	 */
	async submit(job: PoolJobRequest, remainingMs: number, signal: AbortSignal): Promise<PoolJobOutcome> {
		const jobSizes = this.#jobSizes;
		// Here a job takes the memory of its steps only.
		const size = job.steps.length;
		const refusalReason = jobSizes.getRefusalReason(job.steps, size);
		if (refusalReason !== undefined) {
			this.#options.log.info({job: job.id, size: getJobSize(job.steps), total: jobSizes.getTotal()}, 'job refused for its size');
			return createRefusal(refusalReason);
		}

		jobSizes.add(size);
		try {
			return await this.#submitWithinBudget(job, remainingMs, signal);
		} finally {
			jobSizes.remove(size);
		}
	}

	async #submitWithinBudget(job: PoolJobRequest, remainingMs: number, signal: AbortSignal): Promise<PoolJobOutcome> {
		const {clock, inputProgress, pauses} = this.#options;
		const arrivedAt = clock.getMonotonicTime();
		const stoppedMs = pauses.getStoppedMs();
		// The caller may have left since; the end of its connection is read only after its request.
		await inputProgress.waitUntilRead();
		await readInput(inputProgress, clock, maxUnreadMs);

		// The caller's time goes on while the clock of this process stands still.
		const getAgeMs = (): number => clock.getMonotonicTime() - arrivedAt + pauses.getStoppedMs() - stoppedMs;
		const getSubmitted = (priorFence: number): SubmittedJob => {
			const ageMs = getAgeMs();
			const failedRuns = this.#options.ledger.getFailedRuns(job.id).slice(0, maxReportedFailedRuns);
			return {
				...job, ageMs, remainingMs: remainingMs - ageMs, priorFence, ...(failedRuns.length > 0 && {failedRuns}),
			};
		};

		const hasLapsed = (): boolean => pauses.getStoppedMs() > stoppedMs && getAgeMs() > remainingMs;
		// The end of the caller's connection may be hidden by a network partition.
		const sender = createLocalSender(inputProgress, {deadlineAt: arrivedAt + remainingMs, isDisconnected: hasLapsed});
		// Costs less than a signal that Node.js composes, which is tracked by weak references.
		const controller = new AbortController();
		const abort = (): void => {
			controller.abort();
		};

		if (signal.aborted) {
			abort();
		}

		signal.addEventListener('abort', abort, {once: true});
		const unsubscribe = pauses.subscribe(() => {
			if (hasLapsed()) {
				abort();
			}
		});
		try {
			return await this.#submitToPools(job, {
				getSubmitted, sender, getAgeMs, remainingMs,
			}, controller.signal);
		} finally {
			unsubscribe();
			signal.removeEventListener('abort', abort);
		}
	}

	/** Submits a job to one pool after another until one accepts it or none can serve it in time. */
	async #submitToPools(job: PoolJobRequest, submission: Submission, signal: AbortSignal): Promise<PoolJobOutcome> {
		const {clock} = this.#options;
		const balancesDataCentres = this.#options.scheduling?.balancesDataCentres ?? defaultSchedulingOptions.balancesDataCentres;
		this.#addDuration(job);
		const getDemand = createDemand(job, submission, () => this.#evacuations.isEvacuated(this.#options.dataCenter));
		const triedPools = new Set<string>();
		const refusedBy = new Set<string>();
		let loadRefusals = 0;
		let refusal: PoolJobOutcome = createRefusal('no-upstream');
		let current = submission;
		const evacuatedPools = new Set<string>();
		let retryUntil = Infinity;
		while (triedPools.size - loadRefusals - evacuatedPools.size < maxPoolsTried && !signal.aborted) {
			if (this.#areAllEvacuated()) {
				return {kind: 'refused', reason: 'evacuated', retryAfterMs: evacuatedRetryAfterMs};
			}

			const decision = await this.#decide(job, () => getDemand(triedPools, refusedBy), signal);
			if (decision.kind !== 'submit' && evacuatedPools.size > 0 && clock.getMonotonicTime() < retryUntil) {
				await sleep(clock, ownerPollIntervalMs, signal);
				for (const pool of evacuatedPools) {
					triedPools.delete(pool);
				}

				evacuatedPools.clear();
				continue;
			}

			if (decision.kind !== 'submit') {
				if (refusedBy.size > 0) {
					this.counts.addRefusal({kind: 'refuse', by: 'ranking', reason: 'overloaded'}, () => this.#describe(job, getDemand(triedPools, refusedBy)));
				}

				break;
			}

			const target = decision.view;
			this.counts.add({
				kind: 'submit', by: target.isNear ? 'local' : 'remote', reason: '', ageMs: decision.reportAgeMs,
			});
			triedPools.add(target.pool);
			this.#options.directory.addSentJob(target.pool, job);
			const outcome = await this.#submitAwaited(target.pool, job, current, signal);
			if (outcome.kind !== 'completed') {
				this.#options.log.debug({
					job: job.id, outcome: outcome.kind, ...target, ageMs: decision.reportAgeMs, expectedEndMs: Math.round(decision.expectedEndMs),
				}, 'pool did not complete the job');
			}

			const dataCenter = getGroupName(target);
			if (outcome.kind !== 'refused') {
				this.#refusals.removeRefusals(dataCenter, job.rules.route);
				return outcome;
			}

			refusal = outcome;
			const isLoadRefusal = outcome.reason === 'deadline' || (outcome.reason === 'overloaded' && target.freeCpu < getInitialCpu(job));
			this.counts.add({
				kind: 'refuse', by: 'owner', reason: outcome.reason, ageMs: decision.reportAgeMs,
			});
			if (outcome.reason === 'evacuated') {
				evacuatedPools.add(target.pool);
				retryUntil = Math.min(retryUntil, clock.getMonotonicTime() + evacuatedRetryMs);
				current = {...submission, getSubmitted: priorFence => ({...submission.getSubmitted(priorFence), isMoved: true})};
				continue;
			}

			if (!isLoadRefusal) {
				continue;
			}

			if (!balancesDataCentres) {
				// Other pools without free capacity would not start the job earlier than the shared queue.
				break;
			}

			loadRefusals++;
			refusedBy.add(dataCenter);
			this.#refusals.addRefusal(dataCenter, job.rules.route, getObjectiveMs(job), this.#options.clock.getMonotonicTime());
		}

		return refusal;
	}

	/** Decides where a job goes next; waits up to a limit while no pool has an owner, and while ownerless pools may soon serve it in time. */
	async #decide(job: PoolJobRequest, getDemand: () => RankedDemand, signal: AbortSignal): Promise<PoolDecision> {
		const {clock} = this.#options;
		const waitUntil = clock.getMonotonicTime() + (this.#options.hasCededPools() ? 0 : firstOwnerTimeoutMs);
		for (;;) {
			const demand = getDemand();
			const decision = this.#rank(job, demand);
			const mayFindOwner = decision.kind === 'refuse' && demand.triedPools.size === 0 && clock.getMonotonicTime() <= waitUntil;
			if (signal.aborted || (decision.kind !== 'wait' && !mayFindOwner)) {
				return decision;
			}

			this.counts.add({kind: 'wait', by: 'local', reason: ''});
			await sleep(clock, decision.kind === 'wait' ? decision.waitMs : ownerPollIntervalMs, signal);
		}
	}

	#rank({rules: {route}}: PoolJobRequest, demand: RankedDemand): PoolDecision {
		const {
			clock, random, dataCenter, directory, scheduling,
		} = this.#options;
		const views = directory.getViews().filter(({pool}) => !this.#evacuations.hasPool(pool));
		const now = clock.getMonotonicTime();
		if (scheduling?.balancesDataCentres ?? defaultSchedulingOptions.balancesDataCentres) {
			return decidePool(views, demand, {
				now,
				random,
				meanTaskMs: this.#recentWork * 1000 / this.#recentCpu,
				hasOwnerlessPools: () => !this.#evacuations.isEvacuated(dataCenter) && directory.getPools().filter(pool => getDataCenter(pool) === dataCenter).length > views.filter(({isNear}) => isNear).length,
				isClosed: other => this.#refusals.isClosed(other, route, now),
			});
		}

		const view = choosePool(views, demand, random);
		return view === undefined
			? {kind: 'refuse', retryAfterMs: minRetryAfterMs}
			: {
				kind: 'submit', view, expectedEndMs: demand.criticalPathMs, reportAgeMs: view.reportedAt === undefined ? Infinity : now - view.reportedAt,
			};
	}

	#addDuration({steps}: PoolJobRequest): void {
		for (const step of steps) {
			const cpu = step.taskCount * step.needs.cpu;
			this.#recentWork += (getStepWork(step) - this.#recentWork) * taskObservationWeight;
			this.#recentCpu += (cpu - this.#recentCpu) * taskObservationWeight;
		}
	}

	/** Gets the inputs of a refusal for the log. */
	#describe({id, rules: {route}}: PoolJobRequest, {limitMs, criticalPathMs, cpu, refusedBy}: RankedDemand): LogFields {
		const now = this.#options.clock.getMonotonicTime();
		return {
			job: id, route, cpu, limitMs: Math.round(limitMs), criticalPathMs, refusedBy: [...refusedBy],
			pools: this.#options.directory.getViews().map(({pool, freeCpu, queuedWork, cores, reportedAt}) => ({
				pool, cores, freeCpu: Math.round(freeCpu), queuedWork: Math.round(queuedWork), ageMs: reportedAt === undefined ? undefined : Math.round(now - reportedAt),
			})),
		};
	}

	#areAllEvacuated(): boolean {
		if (this.#evacuations.getState().dataCenters.length === 0) {
			return false;
		}

		const pools = this.#options.directory.getPools();
		return pools.length > 0 && pools.every(pool => this.#evacuations.hasPool(pool));
	}

	/** Submits a job to a pool while other VMs are told that it is awaited there. */
	async #submitAwaited(pool: string, {id}: PoolJobRequest, submission: Submission, signal: AbortSignal): Promise<PoolJobOutcome> {
		const removeJob = this.#options.awaitedJobs?.addJob(pool, id);
		try {
			return await this.#submitToPool(pool, submission, signal);
		} finally {
			removeJob?.();
		}
	}

	/** Submits a job to the owner of a pool, and again to the next owner when the ownership changes. */
	async #submitToPool(pool: string, {getSubmitted, sender}: Submission, signal: AbortSignal): Promise<PoolJobOutcome> {
		let priorFence = 0;
		let previous: Ownership | undefined;
		const {clock, log} = this.#options;
		let retryUntil = Infinity;
		const lostOwners = new Set<string>();
		for (;;) {
			const owner = clock.getMonotonicTime() > retryUntil ? undefined : await this.#waitForOwner(pool, previous, signal);
			if (owner === undefined) {
				return priorFence > 0 ? {kind: 'interrupted', reason: 'the owner of the pool is gone'} : createRefusal('not-owner');
			}

			const submitted = getSubmitted(priorFence);
			if (submitted.remainingMs <= 0) {
				// The caller may have submitted the job elsewhere.
				return priorFence > 0 ? {kind: 'interrupted', reason: 'the deadline of the caller has passed'} : createRefusal('deadline');
			}

			if (lostOwners.size >= maxLostOwners && !lostOwners.has(owner.ownerId)) {
				log.warn({job: submitted.id, pool, owners: [...lostOwners]}, 'job given up whose owners were lost');
				return {kind: 'interrupted', reason: 'the owners of the pool were lost with the job'};
			}

			previous = owner;
			const result = await this.#sendToOwner(pool, owner, {submitted, sender}, signal);
			if (result.kind === 'answered' && result.outcome.kind !== 'moved') {
				return priorFence > 0 && result.outcome.kind === 'refused'
					// An earlier owner may have started tasks, so the job must not be reported as not run.
					? {kind: 'interrupted', reason: `not continued: ${result.outcome.reason}`}
					: result.outcome;
			}

			if (signal.aborted) {
				return {kind: 'interrupted', reason: 'the caller has gone'};
			}

			if (result.kind === 'lost') {
				lostOwners.add(owner.ownerId);
			}

			if (result.kind === 'not_sent' && priorFence === 0) {
				return createRefusal('not-owner');
			}

			priorFence = isPossiblyStarted(result) ? Math.max(priorFence, owner.fence) : priorFence;
			retryUntil = Math.min(retryUntil, clock.getMonotonicTime() + ownerTimeoutMs);
		}
	}

	async #sendToOwner(pool: string, {ownerId}: Ownership, {submitted: job, sender}: {readonly submitted: SubmittedJob; readonly sender: JobSender}, signal: AbortSignal): Promise<SendResult> {
		const localOwner = this.#options.getOwner(pool);
		if (ownerId === this.#options.selfId && localOwner !== undefined) {
			return {kind: 'answered', outcome: await localOwner.submit(job, signal, sender)};
		}

		const result = await this.#options.peers.request(ownerId, {topic: submitTopic, body: {pool, job}}, signal);
		if (result.kind !== 'answered') {
			this.#options.log.info({
				job: job.id, pool, owner: ownerId, result: result.kind, detail: result.detail,
			}, 'owner did not answer');
			return {kind: result.kind};
		}

		const answer = decodeSubmitAnswer(result.body);
		if (answer === undefined) {
			this.#options.log.warn({job: job.id, owner: ownerId}, 'answer of the owner cannot be decoded');
			return {kind: 'lost'};
		}

		if (answer.load !== undefined) {
			this.#options.directory.setLoad(pool, answer.load);
		}

		return {kind: 'answered', outcome: answer.outcome};
	}

	/** Waits for the owner of a pool; after a failed attempt, for a new owner, or for the same one after a delay. */
	async #waitForOwner(pool: string, previous: Ownership | undefined, signal: AbortSignal): Promise<Ownership | undefined> {
		const {clock} = this.#options;
		const waitUntil = clock.getMonotonicTime() + ownerTimeoutMs;
		while (!signal.aborted) {
			const owner = this.#options.directory.getOwner(pool);
			const fence = owner?.claims[pool];
			const now = clock.getMonotonicTime();
			const isSame = owner?.id === previous?.ownerId && fence === previous?.fence;
			if (owner !== undefined && fence !== undefined && (previous === undefined || !isSame || now - previous.selectedAt >= sameOwnerRetryMs)) {
				return {ownerId: owner.id, fence, selectedAt: now};
			}

			if (now > waitUntil || (owner === undefined && (previous === undefined || !this.#mayHaveSuccessor(pool)))) {
				return undefined;
			}

			await sleep(clock, ownerPollIntervalMs, signal);
		}

		return undefined;
	}

	/** Gets whether another VM may soon own a pool: its data centre is the local one or has a VM that is up. */
	#mayHaveSuccessor(pool: string): boolean {
		return getDataCenter(pool) === this.#options.dataCenter || this.#options.hasReachableVm(pool);
	}
}

/** Gets the time from the arrival of a job within which its answer meets the objective, in milliseconds. */
function getObjectiveMs({steps, rules: {stretch, slackMs}}: PoolJobRequest): number {
	return (stretch * getCriticalPathMs(steps)) + slackMs;
}

/** Creates a function that gets what determines the choice of a pool now. */
function createDemand(job: PoolJobRequest, {getAgeMs, remainingMs}: Submission, isSpread: () => boolean): (triedPools: ReadonlySet<string>, refusedBy: ReadonlySet<string>) => RankedDemand {
	const objectiveMs = getObjectiveMs(job);
	const constant = {cpu: getInitialCpu(job), isSinglePool: isSinglePoolJob(job), criticalPathMs: getCriticalPathMs(job.steps)};
	return (triedPools, refusedBy) => {
		const ageMs = getAgeMs();
		return {
			...constant, isSpread: isSpread(), triedPools, refusedBy, limitMs: Math.min(objectiveMs, remainingMs) - ageMs, isEarly: ageMs <= objectiveMs * earlyShare,
		};
	};
}

/** Gets whether the owner may have started tasks of the job. */
function isPossiblyStarted(result: SendResult): boolean {
	return result.kind === 'answered' ? result.outcome.kind !== 'moved' || result.outcome.hasStarted : result.kind === 'lost';
}

function createRefusal(reason: RefusalReason): PoolJobOutcome {
	return {kind: 'refused', reason, retryAfterMs: minRetryAfterMs};
}
