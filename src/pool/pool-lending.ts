/**
 * Requests between the owners of pools for lending free capacity, with the checks that reject owners that have been superseded.
 */
import {
	type InputProgress, type PeerNetwork, type PeerRequest, type PeerRequestOptions, type SenderConfirmation,
} from '../connection/index.js';
import {type PoolView} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {type CrashLedger, getJob} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {Evacuations} from './evacuations.js';
import {
	type LentTask, type LendOutcome, type NeighbourCapacity, type PoolNeighbours,
} from './lending.js';
import {LoadPublisher} from './load-publisher.js';
import {PendingLends} from './pending-lends.js';
import {decodeLendAnswer, decodeLendRequest, decodeLoadUpdate} from './pool-decoding.js';
import {type PoolDirectory} from './pool-directory.js';
import {getDataCenter, isNeighbourPool} from './pool-layout.js';
import {
	type LendAnswer, type LendRequest, lendTopic, loadTopic, recallAnswerSchema, recallRequestSchema, recallTopic,
	stopLentRunRequestSchema, stopLentRunTopic,
} from './pool-messages.js';
import {type PoolOwner} from './pool-owner.js';
import {createLocalSender} from './sender-confirmation.js';
import {type Run} from './upstream-orders.js';

/** Options of {@link PoolLending}. */
export type PoolLendingOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly selfId: string;
	readonly peers: PeerNetwork;
	/** Up to when this process has read its input. */
	readonly inputProgress: InputProgress;
	readonly directory: PoolDirectory;
	/** Runs that failed or were lost with their upstreams, known to all owners of this process. */
	readonly ledger: CrashLedger;
	/** Gets the owner of a pool, if it is this VM. */
	readonly getOwner: (pool: string) => PoolOwner | undefined;
	/** Gets whether the pools of all data centres are known. */
	readonly isLayoutKnown: () => boolean;
	/** Gets the monotonic time since which a borrower must have been confirmed for a start. */
	readonly getConfirmedSince: () => number;
	/** Evacuated data centres, whose pools may borrow from all pools of the others; none by default. */
	readonly evacuations?: Evacuations;
};

/** Task of another owner, and its outcome in the lender's pool. */
type LentTaskEntry = Pick<LendRequest, 'pool' | 'borrower' | 'fence' | 'task'> & {readonly outcome: Promise<LendOutcome>};

/** Time limit of a recall, in milliseconds: a stop takes 50 ms, and an answer a few more. */
const recallTimeoutMs = 200;

const nextMicrotask = Promise.resolve();

/** Attempts to send one stop: the connection may break during the first. */
const maxStopAttempts = 3;

/** Topics that {@link PoolLending.handleRequest} answers. */
const lendingTopics: ReadonlySet<string> = new Set([lendTopic, stopLentRunTopic, recallTopic, loadTopic]);

/** Sends and handles the requests by which owners lend free capacity to each other. */
export class PoolLending {
	readonly #options: PoolLendingOptions;
	/** Neighbour pools of each pool owned here, with the list of pools and the evacuation by which they were selected. */
	readonly #neighboursByPool = new Map<string, {readonly pools: readonly string[]; readonly isEvacuated: boolean; readonly names: readonly string[]}>();
	readonly #evacuations: Evacuations;
	/** Sequence number of the last task received from each pool, and the fence of the owner that counts them. */
	readonly #receivedSequences = new Map<string, {readonly fence: number; readonly sequence: number}>();
	/** Tasks of other owners that run in the pools owned here. */
	readonly #lentTasks = new Set<LentTaskEntry>();
	/** Tasks whose borrowers are not known to wait. */
	readonly #pendingLends: PendingLends;

	constructor(options: PoolLendingOptions) {
		this.#options = options;
		this.#evacuations = options.evacuations ?? new Evacuations();
		this.#pendingLends = new PendingLends(options);
	}

	/**
	 * Gets whether a topic belongs to lending.
	 * @param topic - Topic of a request.
	 */
	handlesTopic(topic: string): boolean {
		return lendingTopics.has(topic);
	}

	/**
	 * Creates the access of a pool's owner to the other owners.
	 * @param pool - Pool that is owned here.
	 */
	createNeighbours(pool: string): PoolNeighbours {
		const {clock, directory, getOwner} = this.#options;
		const publisher = new LoadPublisher({
			clock,
			hasQueuedTasks: () => getOwner(pool)?.hasQueuedTasks() ?? false,
			getLoad: () => getOwner(pool)?.getLoad(),
			getOtherPools: () => this.#getNeighbours(pool),
			send: (other, load) => {
				this.#notifyOwner(other, {topic: loadTopic, body: {pool, load, seen: this.#getReceivedSequence(other)}});
			},
		});
		return {
			getFreeCapacities: () => this.#getFreeCapacities(pool),
			getCores: () => this.#getCommonQueuePools(pool).reduce((sum, {cores}) => sum + cores, 0),
			run: async (lender, task, signal, getConfirmedAt) => this.#run(pool, {lender, task}, signal, getConfirmedAt),
			stop: async (lender, run, isOverdue) => this.#stop(lender, run, isOverdue),
			recall: async (job, fence) => this.#recall(pool, job, fence),
			publishLoad() {
				publisher.publish();
			},
		};
	}

	/**
	 * Handles a request of another owner.
	 * @param request - Request with a topic of lending.
	 * @param signal - Aborts when the other owner stops waiting or has disconnected.
	 * @param confirmation - Proof that the other owner still waits.
	 * @returns Body of the answer.
	 */
	async handleRequest({topic, body}: PeerRequest, signal: AbortSignal, confirmation: SenderConfirmation): Promise<unknown> {
		switch (topic) {
			case lendTopic: {
				return this.#handleLend(body, signal, confirmation);
			}

			case stopLentRunTopic: {
				const {pool, run, isOverdue} = stopLentRunRequestSchema.parse(body);
				this.#pendingLends.cancel(pool, ({task, number}) => task === run.task && number === run.number);
				this.#options.getOwner(pool)?.stopLent(run, isOverdue);
				return {};
			}

			case recallTopic: {
				const {pool, borrower, fence, job} = recallRequestSchema.parse(body);
				this.#options.directory.addFence(borrower, fence);
				this.#pendingLends.cancel(pool, ({task}) => job !== undefined && task.startsWith(`${job}.`));
				const isClear = job === undefined ? this.#stopSuperseded(pool, borrower, fence) : this.#options.getOwner(pool)?.recallLent(job, signal);
				return {isClear: await isClear ?? false};
			}

			default: {
				this.handleLoadUpdate(body);
				return {};
			}
		}
	}

	/**
	 * Handles an update of the load of another pool.
	 * @param body - Body of the message.
	 */
	handleLoadUpdate(body: unknown): void {
		const {directory, getOwner, log} = this.#options;
		const update = decodeLoadUpdate(body);
		if (update === undefined) {
			log.warn({}, 'load update of a pool cannot be decoded');
			return;
		}

		directory.setLoad(update.pool, update.load, update.seen);
		for (const ownPool of directory.getPools()) {
			getOwner(ownPool)?.schedule();
		}
	}

	async #handleLend(body: unknown, signal: AbortSignal, confirmation: SenderConfirmation): Promise<LendAnswer> {
		const {clock, directory, getOwner, log} = this.#options;
		const decoded = decodeLendRequest(body);
		if (decoded === undefined) {
			throw new Error('the task cannot be decoded');
		}

		const {
			pool, borrower, fence, load, sequence, task,
		} = decoded;
		const confirmedAt = confirmation.getConfirmedAt();
		const isConfirmed = this.#pendingLends.isConfirmed(confirmation) || await this.#pendingLends.waitForConfirmation({
			pool, run: task, confirmation, signal,
		});
		if (!isConfirmed) {
			log.info({
				task: task.task, borrower, fence, confirmedMsAgo: Math.round(clock.getMonotonicTime() - confirmedAt),
			}, 'task refused whose borrower did not confirm that it waits');
			return {outcome: {kind: 'refused', reason: 'no-room'}};
		}

		const owner = getOwner(pool);
		if (owner === undefined) {
			return {outcome: {kind: 'refused', reason: 'not-owner'}};
		}

		if (fence < directory.getKnownFence(borrower)) {
			log.info({
				task: task.task, borrower, fence, known: directory.getKnownFence(borrower),
			}, 'task of an earlier owner refused');
			return {outcome: {kind: 'refused', reason: 'stale-owner'}};
		}

		directory.addClaims({[borrower]: {fence, load}});
		this.#recordSequence(borrower, fence, sequence);
		const entry = {
			pool, borrower, fence, task, outcome: owner.runLent(task, signal, confirmation),
		};
		this.#lentTasks.add(entry);
		try {
			const outcome = await entry.outcome;
			const failedRuns = this.#options.ledger.getFailedRuns(getJob(task.task), task.task);
			return {
				outcome, load: owner.getLoad(), seen: this.#getReceivedSequence(borrower), ...(failedRuns.length > 0 && {failedRuns}),
			};
		} finally {
			this.#lentTasks.delete(entry);
		}
	}

	/**
	 * Stops the runs that earlier owners of the borrower's pool started in a pool, and waits for their ends.
	 * @returns Whether none is left; `false` if the pool has runs whose borrower is unknown here.
	 */
	async #stopSuperseded(pool: string, borrower: string, fence: number): Promise<boolean> {
		const {getOwner, log} = this.#options;
		const owner = getOwner(pool);
		if (owner === undefined) {
			return false;
		}

		const superseded = [...this.#lentTasks].filter(entry => entry.pool === pool && entry.borrower === borrower && entry.fence < fence);
		for (const {task} of superseded) {
			owner.stopLent(task, false);
		}

		const outcomes = await Promise.all(superseded.map(async ({outcome}) => outcome));
		const isClear = owner.isReady() && !owner.hasUnclaimedRuns() && outcomes.every(({kind}) => kind !== 'lost');
		if (superseded.length > 0 || !isClear) {
			log.info({
				pool, borrower, fence, stopped: superseded.length, isClear,
			}, 'runs of superseded owners recalled');
		}

		return isClear;
	}

	#recordSequence(borrower: string, fence: number, sequence: number): void {
		const lastReceived = this.#receivedSequences.get(borrower);
		this.#receivedSequences.set(borrower, {fence, sequence: lastReceived?.fence === fence ? Math.max(sequence, lastReceived.sequence) : sequence});
	}

	#getReceivedSequence(borrower: string): number {
		return this.#receivedSequences.get(borrower)?.sequence ?? 0;
	}

	#getFreeCapacities(pool: string): readonly NeighbourCapacity[] {
		return this.#getNeighbours(pool).flatMap(view => view.rooms.map(cpu => ({pool: view.pool, cpu})));
	}

	/** Gets the pools with which this one has a common queue: those of its data centre, or all others if the data centre has no further pool. */
	#getCommonQueuePools(pool: string): readonly PoolView[] {
		const neighbours = this.#getNeighbours(pool);
		const localPools = neighbours.filter(view => getDataCenter(view.pool) === getDataCenter(pool));
		return localPools.length > 0 ? localPools : neighbours;
	}

	#getNeighbours(pool: string): readonly PoolView[] {
		const {directory} = this.#options;
		const pools = directory.getPools();
		const isEvacuated = this.#evacuations.hasPool(pool);
		let neighbours = this.#neighboursByPool.get(pool);
		if (neighbours?.pools !== pools || neighbours.isEvacuated !== isEvacuated) {
			// Other data centres may have fewer pools, so that there is none at the same position.
			neighbours = {pools, isEvacuated, names: pools.filter(other => isNeighbourPool(pool, other) || (isEvacuated && other !== pool))};
			this.#neighboursByPool.set(pool, neighbours);
		}

		return directory.getReceivedViews(neighbours.names);
	}

	async #run(borrower: string, {lender, task}: {readonly lender: string; readonly task: LentTask}, signal: AbortSignal, getConfirmedAt?: () => number): Promise<LendOutcome> {
		const {directory, getOwner, log} = this.#options;
		const owner = getOwner(borrower);
		if (owner === undefined) {
			return {kind: 'refused', reason: 'not-owner'};
		}

		const sequence = directory.addSentTask(lender, task.step);
		const body = {
			pool: lender, borrower, fence: owner.getFence(), load: owner.getLoad(), sequence, task,
		};
		const result = await this.#requestOwner(lender, {topic: lendTopic, body}, signal, {getConfirmedAt});
		if (result.kind !== 'answered') {
			log.info({
				task: task.task, pool: lender, result: result.kind, detail: result.detail,
			}, 'other pool did not answer');
			return result.kind === 'lost' ? {kind: 'lost'} : {kind: 'refused', reason: 'not-sent'};
		}

		const answer = decodeLendAnswer(result.body);
		if (answer === undefined) {
			log.warn({task: task.task, pool: lender}, 'answer of another pool cannot be decoded');
			return {kind: 'lost'};
		}

		this.#options.ledger.mergeFailedRuns(answer.failedRuns ?? []);
		if (answer.load !== undefined) {
			directory.setLoad(lender, answer.load, answer.seen);
		}

		return answer.outcome;
	}

	/** Sends a stop a few times. If it cannot be delivered, the lender stops the run once it detects that this VM has disconnected. */
	async #stop(lender: string, run: Run, isOverdue: boolean): Promise<void> {
		for (let attempts = 0; attempts < maxStopAttempts; attempts++) {
			const result = await this.#requestOwner(lender, {topic: stopLentRunTopic, body: {pool: lender, run, isOverdue}});
			if (result.kind === 'answered') {
				return;
			}
		}

		this.#options.log.info({task: run.task, run: run.number, pool: lender}, 'stop could not be sent to another pool');
	}

	async #recall(borrower: string, job: string | undefined, fence: number): Promise<boolean> {
		// An earlier owner may have lent runs in pools that are not known here.
		const isLayoutKnown = this.#options.isLayoutKnown();
		const hasBorrowedAnywhere = this.#evacuations.hasBeenSet();
		const neighbours = this.#options.directory.getPools().filter(pool => isNeighbourPool(borrower, pool) || (hasBorrowedAnywhere && pool !== borrower));
		const controller = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			controller.abort();
		}, recallTimeoutMs);
		const answers = await Promise.all(neighbours.map(async pool => {
			const body = {
				pool, borrower, fence, job,
			};
			const result = await this.#requestOwner(pool, {topic: recallTopic, body}, controller.signal);
			return result.kind === 'answered' && recallAnswerSchema.safeParse(result.body).data?.isClear === true;
		}));
		timer.close();
		return isLayoutKnown && answers.every(Boolean);
	}

	/** Sends the owner of a pool a message that needs no answer; as a request if there is no link for messages. */
	#notifyOwner(pool: string, message: PeerRequest): void {
		const {directory, peers, selfId} = this.#options;
		const ownerId = directory.getOwner(pool)?.id;
		if (ownerId === undefined || ownerId === selfId || !peers.sendControl(ownerId, message)) {
			void this.#requestOwner(pool, message);
		}
	}

	/** Sends a request to the owner of a pool, which may be this VM itself. */
	async #requestOwner(pool: string, request: PeerRequest, signal?: AbortSignal, options?: PeerRequestOptions): ReturnType<PeerNetwork['request']> {
		const {directory, peers, selfId} = this.#options;
		const owner = directory.getOwner(pool);
		if (owner === undefined) {
			return {kind: 'not_sent', detail: 'the pool has no owner'};
		}

		return owner.id === selfId ? this.#requestSelf(request, signal, options) : peers.request(owner.id, request, signal, options);
	}

	/** Handles a request of this VM to itself. As between VMs, the other owner handles it only after the current call has returned, and a failure is an outcome. */
	async #requestSelf(request: PeerRequest, signal = new AbortController().signal, {getConfirmedAt}: PeerRequestOptions = {}): ReturnType<PeerNetwork['request']> {
		const sender = createLocalSender(this.#options.inputProgress);
		await nextMicrotask;
		try {
			return {kind: 'answered', body: await this.handleRequest(request, signal, {...sender, ...(getConfirmedAt && {getConfirmedAt})})};
		} catch (err) {
			const detail = err instanceof Error ? err.message : String(err);
			this.#options.log.info({topic: request.topic, detail}, 'request between pools on this VM failed');
			return {kind: 'lost', detail};
		}
	}
}
