/**
 * Routes callers' jobs from an entry VM to the owners of pools, and to the next owner when the ownership of a pool changes.
 */
import {type InputProgress, type PeerNetwork, readInput} from '../connection/index.js';
import {
	choosePool, type JobDemand, minRetryAfterMs, type PoolView,
} from '../scheduling/index.js';
import {type Clock, type Random, sleep} from '../seams/index.js';
import {type AwaitedJobs} from './awaited-jobs.js';
import {type CrashLedger} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {Evacuations} from './evacuations.js';
import {isSinglePoolJob} from './lending.js';
import {getJobSize, JobSizeBudget} from './job-size.js';
import {type PauseDetector} from './pause-detector.js';
import {decodeSubmitAnswer} from './pool-decoding.js';
import {getInitialCpu, type PoolDirectory} from './pool-directory.js';
import {
	type PoolJobOutcome, type PoolJobRequest, type RefusalReason, type SubmittedJob,
} from './pool-job.js';
import {getDataCenter} from './pool-layout.js';
import {maxReportedFailedRuns, submitTopic} from './pool-messages.js';
import {type PoolOwner} from './pool-owner.js';
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

/** Number of pools that a job is submitted to before it is refused, without those of evacuated data centres. */
const maxPoolsTried = 3;

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
type Submission = {readonly getSubmitted: (priorFence: number) => SubmittedJob; readonly sender: JobSender};

type Ownership = {readonly ownerId: string; readonly fence: number; readonly selectedAt: number};

/** Answer of an owner to a job, or whether the request was sent. */
type SendResult =
	| {readonly kind: 'answered'; readonly outcome: PoolJobOutcome}
	| {readonly kind: 'not_sent' | 'lost'};

/** Submits jobs to the owners of pools. */
export class PoolRouter {
	readonly #options: PoolRouterOptions;
	readonly #jobSizes: JobSizeBudget;
	readonly #evacuations: Evacuations;

	constructor(options: PoolRouterOptions) {
		this.#options = options;
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
			return await this.#submitToPools(job, {getSubmitted, sender}, controller.signal);
		} finally {
			unsubscribe();
			signal.removeEventListener('abort', abort);
		}
	}

	/** Submits a job to one pool after another until one accepts it. */
	async #submitToPools(job: PoolJobRequest, submission: Submission, signal: AbortSignal): Promise<PoolJobOutcome> {
		const {clock} = this.#options;
		const cpu = getInitialCpu(job);
		const triedPools = new Set<string>();
		let refusal: PoolJobOutcome = createRefusal('no-upstream');
		let current = submission;
		const evacuatedPools = new Set<string>();
		let retryUntil = Infinity;
		while (triedPools.size - evacuatedPools.size < maxPoolsTried && !signal.aborted) {
			if (this.#areAllEvacuated()) {
				return {kind: 'refused', reason: 'evacuated', retryAfterMs: evacuatedRetryAfterMs};
			}

			const isSpread = this.#evacuations.isEvacuated(this.#options.dataCenter);
			const target = await this.#choosePool({
				cpu, isSinglePool: isSinglePoolJob(job), triedPools, isSpread,
			}, signal);
			if (target === undefined && evacuatedPools.size > 0 && clock.getMonotonicTime() < retryUntil) {
				await sleep(clock, ownerPollIntervalMs, signal);
				for (const pool of evacuatedPools) {
					triedPools.delete(pool);
				}

				evacuatedPools.clear();
				continue;
			}

			if (target === undefined) {
				break;
			}

			triedPools.add(target.pool);
			this.#options.directory.addSentJob(target.pool, job);
			const outcome = await this.#submitAwaited(target.pool, job, current, signal);
			if (outcome.kind !== 'completed') {
				this.#options.log.debug({job: job.id, outcome: outcome.kind, ...target}, 'pool did not complete the job');
			}

			if (outcome.kind !== 'refused') {
				return outcome;
			}

			refusal = outcome;
			if (outcome.reason === 'evacuated') {
				evacuatedPools.add(target.pool);
				retryUntil = Math.min(retryUntil, clock.getMonotonicTime() + evacuatedRetryMs);
				current = {...submission, getSubmitted: priorFence => ({...submission.getSubmitted(priorFence), isMoved: true})};
				continue;
			}

			if (outcome.reason === 'deadline' || (outcome.reason === 'overloaded' && target.freeCpu < cpu)) {
				// Other pools without free capacity would not start the job earlier than the shared queue.
				break;
			}
		}

		return refusal;
	}

	/** Chooses the pool for a job; waits up to a limit while no pool has an owner. */
	async #choosePool(job: JobDemand, signal: AbortSignal): Promise<PoolView | undefined> {
		const {clock, random} = this.#options;
		const waitUntil = clock.getMonotonicTime() + (this.#options.hasCededPools() ? 0 : firstOwnerTimeoutMs);
		for (;;) {
			const view = choosePool(this.#options.directory.getViews().filter(({pool}) => !this.#evacuations.hasPool(pool)), job, random);
			if (view !== undefined || job.triedPools.size > 0) {
				return view;
			}

			if (signal.aborted || clock.getMonotonicTime() > waitUntil) {
				return undefined;
			}

			await sleep(clock, ownerPollIntervalMs, signal);
		}
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

/** Gets whether the owner may have started tasks of the job. */
function isPossiblyStarted(result: SendResult): boolean {
	return result.kind === 'answered' ? result.outcome.kind !== 'moved' || result.outcome.hasStarted : result.kind === 'lost';
}

function createRefusal(reason: RefusalReason): PoolJobOutcome {
	return {kind: 'refused', reason, retryAfterMs: minRetryAfterMs};
}
