/**
 * How an entry VM brings callers' jobs to the owners of pools, and to the next owner where a pool changes hands meanwhile.
 */
import {type PeerNetwork} from '../connection/index.js';
import {type Clock, type Random, sleep} from '../seams/index.js';
import {minRetryAfterMs} from './admission.js';
import {type DecisionLog} from './decision-log.js';
import {isBoundJob} from './lending.js';
import {choosePool, type JobRoom, type PoolView} from './pool-choice.js';
import {decodeSubmitAnswer} from './pool-decoding.js';
import {getInitialCpu, type PoolDirectory} from './pool-directory.js';
import {
	type PoolJobOutcome, type PoolJobRequest, type RefusalReason, type SubmittedJob,
} from './pool-job.js';
import {getDataCenter} from './pool-layout.js';
import {submitTopic} from './pool-messages.js';
import {type PoolOwner} from './pool-owner.js';

/** Options of {@link PoolRouter}. */
export type PoolRouterOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly selfId: string;
	/** Data centre of this VM. */
	readonly dataCenter: string;
	readonly peers: PeerNetwork;
	readonly directory: PoolDirectory;
	/** Gets the owner of a pool, if it is this VM. */
	readonly getOwner: (pool: string) => PoolOwner | undefined;
	/** Gets whether a VM of a pool's data centre is seen. */
	readonly hasReachableVm: (pool: string) => boolean;
	/** Gets whether pools are left to owners that are not seen here. */
	readonly hasCededPools: () => boolean;
	/** Gets the time until what came during a pause of this process has been read, in milliseconds; 0 for none. */
	readonly getSettleMs: () => number;
};

/** Time for which a job waits for a first owner of any pool, in milliseconds: two heartbeats and an election. */
const firstOwnerMs = 300;

/** Time for which a job waits for the next owner of its pool, in milliseconds: silence is noticed after 500 ms. */
const ownerWaitMs = 800;
const ownerPollMs = 20;

/** Pools that are asked for room before a job is refused. */
const maxPoolsAsked = 3;

/** Time until a job is brought again to an owner whose connection was lost but who seems to live, in milliseconds. */
const sameOwnerRetryMs = 100;

type Ownership = {readonly ownerId: string; readonly fence: number; readonly askedAt: number};

/** What an owner made of a job, or whether the question left this VM. */
type AskResult =
	| {readonly kind: 'answered'; readonly outcome: PoolJobOutcome}
	| {readonly kind: 'not_sent' | 'lost'};

/** Brings jobs to pools. */
export class PoolRouter {
	readonly #options: PoolRouterOptions;

	constructor(options: PoolRouterOptions) {
		this.#options = options;
	}

	/**
	 * Brings a job to a pool and waits for its outcome.
	 * @param job - Job.
	 * @param remainingMs - Time until the caller stops waiting.
	 * @param signal - Aborts when the caller has gone.
	 */
	async submit(job: PoolJobRequest, remainingMs: number, signal: AbortSignal): Promise<PoolJobOutcome> {
		const arrivedAt = this.#options.clock.getMonotonicTime();
		const settleMs = this.#options.getSettleMs();
		if (settleMs > 0) {
			// The caller may have gone during a pause of this process; the end of its connection is read only after its request.
			await sleep(this.#options.clock, settleMs, signal);
		}

		const getSubmitted = (priorFence: number): SubmittedJob => {
			const ageMs = this.#options.clock.getMonotonicTime() - arrivedAt;
			return {
				...job, ageMs, remainingMs: remainingMs - ageMs, priorFence,
			};
		};

		const cpu = getInitialCpu(job);
		const asked = new Set<string>();
		let refusal: PoolJobOutcome = createRefusal('no-upstream');
		while (asked.size < maxPoolsAsked && !signal.aborted) {
			const view = await this.#choosePool({cpu, isBound: isBoundJob(job), asked}, signal);
			if (view === undefined) {
				break;
			}

			asked.add(view.pool);
			this.#options.directory.addSentJob(view.pool, job);
			this.#options.log.debug({job: job.id, ...view}, 'pool chosen');
			const outcome = await this.#submitToPool(view.pool, getSubmitted, signal);
			if (outcome.kind !== 'refused') {
				return outcome;
			}

			refusal = outcome;
			if (outcome.reason === 'deadline' || (outcome.reason === 'overloaded' && view.freeCpu < cpu)) {
				// Pools without room have nothing to offer that the common queue has not.
				break;
			}
		}

		return refusal;
	}

	/** Chooses the pool for a job; waits a little where no pool has an owner yet. */
	async #choosePool(job: JobRoom, signal: AbortSignal): Promise<PoolView | undefined> {
		const {clock, random} = this.#options;
		const giveUpAt = clock.getMonotonicTime() + (this.#options.hasCededPools() ? 0 : firstOwnerMs);
		for (;;) {
			const view = choosePool(this.#options.directory.getViews(), job, random);
			if (view !== undefined || job.asked.size > 0) {
				return view;
			}

			if (signal.aborted || clock.getMonotonicTime() > giveUpAt) {
				return undefined;
			}

			await sleep(clock, ownerPollMs, signal);
		}
	}

	/** Brings a job to whoever owns a pool, and again to the next owner where the pool moves meanwhile. */
	async #submitToPool(pool: string, getSubmitted: (priorFence: number) => SubmittedJob, signal: AbortSignal): Promise<PoolJobOutcome> {
		let priorFence = 0;
		let last: Ownership | undefined;
		const {clock} = this.#options;
		let giveUpAt = Infinity;
		for (;;) {
			const owner = clock.getMonotonicTime() > giveUpAt ? undefined : await this.#waitForOwner(pool, last, signal);
			if (owner === undefined) {
				return priorFence > 0 ? {kind: 'interrupted', reason: 'the owner of the pool is gone'} : createRefusal('not-owner');
			}

			last = owner;
			const result = await this.#ask(pool, owner, getSubmitted(priorFence), signal);
			if (result.kind === 'answered' && result.outcome.kind !== 'moved') {
				return priorFence > 0 && result.outcome.kind === 'refused'
					// An earlier owner may have started tasks, so that the job cannot be said not to have run.
					? {kind: 'interrupted', reason: `not continued: ${result.outcome.reason}`}
					: result.outcome;
			}

			if (signal.aborted) {
				return {kind: 'interrupted', reason: 'the caller has gone'};
			}

			if (result.kind === 'not_sent' && priorFence === 0) {
				return createRefusal('not-owner');
			}

			priorFence = mayHaveStarted(result) ? Math.max(priorFence, owner.fence) : priorFence;
			giveUpAt = Math.min(giveUpAt, clock.getMonotonicTime() + ownerWaitMs);
		}
	}

	async #ask(pool: string, {ownerId}: Ownership, job: SubmittedJob, signal: AbortSignal): Promise<AskResult> {
		const own = this.#options.getOwner(pool);
		if (ownerId === this.#options.selfId && own !== undefined) {
			return {kind: 'answered', outcome: await own.submit(job, signal)};
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
			this.#options.log.warn({job: job.id, owner: ownerId}, 'answer of the owner not understood');
			return {kind: 'lost'};
		}

		if (answer.load !== undefined) {
			this.#options.directory.setLoad(pool, answer.load);
		}

		return {kind: 'answered', outcome: answer.outcome};
	}

	/** Gets the owner of a pool; after a failed try, one that took the pool later or that can be reached again. */
	async #waitForOwner(pool: string, last: Ownership | undefined, signal: AbortSignal): Promise<Ownership | undefined> {
		const {clock} = this.#options;
		const giveUpAt = clock.getMonotonicTime() + ownerWaitMs;
		while (!signal.aborted) {
			const owner = this.#options.directory.getOwner(pool);
			const fence = owner?.claims[pool];
			const now = clock.getMonotonicTime();
			const isSame = owner?.id === last?.ownerId && fence === last?.fence;
			if (owner !== undefined && fence !== undefined && (last === undefined || !isSame || now - last.askedAt >= sameOwnerRetryMs)) {
				return {ownerId: owner.id, fence, askedAt: now};
			}

			if (now > giveUpAt || (owner === undefined && (last === undefined || !this.#mayHaveSuccessor(pool)))) {
				return undefined;
			}

			await sleep(clock, ownerPollMs, signal);
		}

		return undefined;
	}

	/** Gets whether a VM that is seen here may soon own a pool: one of its data centre. */
	#mayHaveSuccessor(pool: string): boolean {
		return getDataCenter(pool) === this.#options.dataCenter || this.#options.hasReachableVm(pool);
	}
}

/** Gets whether the owner that was asked may have started tasks of the job. */
function mayHaveStarted(result: AskResult): boolean {
	return result.kind === 'answered' ? result.outcome.kind !== 'moved' || result.outcome.hasStarted : result.kind === 'lost';
}

function createRefusal(reason: RefusalReason): PoolJobOutcome {
	return {kind: 'refused', reason, retryAfterMs: minRetryAfterMs};
}
