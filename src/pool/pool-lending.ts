/**
 * How the owners of pools ask each other for room: messages between entry VMs, and the checks that only owners in office are heard.
 */
import {type PeerNetwork, type PeerRequest} from '../connection/index.js';
import {type Clock} from '../seams/index.js';
import {type DecisionLog} from './decision-log.js';
import {
	type BorrowingTask, type LendOutcome, type NeighbourRoom, type PoolNeighbours,
} from './lending.js';
import {LoadTeller} from './load-teller.js';
import {type PoolView} from './pool-choice.js';
import {decodeLendAnswer, decodeLendRequest, decodeLoadUpdate} from './pool-decoding.js';
import {type PoolDirectory} from './pool-directory.js';
import {getDataCenter, isNeighbourPool} from './pool-layout.js';
import {
	type LendAnswer, lendTopic, loadTopic, recallAnswerSchema, recallRequestSchema, recallTopic,
	stopLentRunRequestSchema, stopLentRunTopic,
} from './pool-messages.js';
import {type PoolOwner} from './pool-owner.js';
import {type Run} from './upstream-orders.js';

/** Options of {@link PoolLending}. */
export type PoolLendingOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly selfId: string;
	readonly peers: PeerNetwork;
	readonly directory: PoolDirectory;
	/** Gets the owner of a pool, if it is this VM. */
	readonly getOwner: (pool: string) => PoolOwner | undefined;
	/** Gets whether the pools of all data centres are known. */
	readonly isLayoutKnown: () => boolean;
};

/** Time limit of a recall, in milliseconds: a stop takes 50, and an answer a few more. */
const recallMs = 200;

const afterThisTurn = Promise.resolve();

/** Sends of one stop: the link may break at the first. */
const maxStopSends = 3;

/** Topics that {@link PoolLending.handleRequest} answers. */
const topics: ReadonlySet<string> = new Set([lendTopic, stopLentRunTopic, recallTopic, loadTopic]);

/** Takes and sends the requests by which owners share room. */
export class PoolLending {
	readonly #options: PoolLendingOptions;
	/** Neighbours of the pools owned here, and the list of pools that they were taken from. */
	readonly #neighbourNames = new Map<string, {readonly pools: readonly string[]; readonly names: readonly string[]}>();
	/** Number of the last task that came from each pool, and the fence of the owner that counts them. */
	readonly #seen = new Map<string, {readonly fence: number; readonly sequence: number}>();

	constructor(options: PoolLendingOptions) {
		this.#options = options;
	}

	/**
	 * Gets whether a topic belongs to lending.
	 * @param topic - Topic of a request.
	 */
	isTopic(topic: string): boolean {
		return topics.has(topic);
	}

	/**
	 * Creates what the owner of a pool sees of the others.
	 * @param pool - Pool that is owned here.
	 */
	createNeighbours(pool: string): PoolNeighbours {
		const {clock, directory, getOwner} = this.#options;
		const teller = new LoadTeller({
			clock,
			hasQueue: () => getOwner(pool)?.hasQueue() ?? false,
			getLoad: () => getOwner(pool)?.getLoad(),
			getOthers: () => this.#getNeighbours(pool),
			send: (other, load) => {
				this.#tell(other, {topic: loadTopic, body: {pool, load, seen: this.#getSeen(other)}});
			},
		});
		return {
			getRooms: () => this.#getRooms(pool),
			getCores: () => this.#getSharing(pool).reduce((sum, {cores}) => sum + cores, 0),
			run: async (lender, task, signal) => this.#run(pool, lender, task, signal),
			stop: async (lender, run, isOverdue) => this.#stop(lender, run, isOverdue),
			recall: async (job, fence) => this.#recall(pool, job, fence),
			tellLoad() {
				teller.tell();
			},
		};
	}

	/**
	 * Answers a request of another owner.
	 * @param request - Request with a topic of lending.
	 * @param signal - Aborts when the other owner does not wait any more or is gone.
	 */
	async handleRequest({topic, body}: PeerRequest, signal: AbortSignal): Promise<unknown> {
		switch (topic) {
			case lendTopic: {
				return this.#handleLend(body, signal);
			}

			case stopLentRunTopic: {
				const {pool, run, isOverdue} = stopLentRunRequestSchema.parse(body);
				this.#options.getOwner(pool)?.stopLent(run, isOverdue);
				return {};
			}

			case recallTopic: {
				const {pool, borrower, fence, job} = recallRequestSchema.parse(body);
				this.#options.directory.addFence(borrower, fence);
				const owner = this.#options.getOwner(pool);
				return {isClear: await owner?.recallLent(job, signal) ?? false};
			}

			default: {
				this.handleNews(body);
				return {};
			}
		}
	}

	/**
	 * Takes the news of the load of another pool.
	 * @param body - The news.
	 */
	handleNews(body: unknown): void {
		const {directory, getOwner, log} = this.#options;
		const news = decodeLoadUpdate(body);
		if (news === undefined) {
			log.warn({}, 'news of the load of a pool not understood');
			return;
		}

		directory.setLoad(news.pool, news.load, news.seen);
		for (const own of directory.getPools()) {
			getOwner(own)?.schedule();
		}
	}

	async #handleLend(body: unknown, signal: AbortSignal): Promise<LendAnswer> {
		const {directory, getOwner, log} = this.#options;
		const decoded = decodeLendRequest(body);
		if (decoded === undefined) {
			throw new Error('the task cannot be decoded');
		}

		const {
			pool, borrower, fence, load, sequence, task,
		} = decoded;
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
		this.#noteSeen(borrower, fence, sequence);
		const outcome = await owner.lendRoom(task, signal);
		return {outcome, load: owner.getLoad(), seen: this.#getSeen(borrower)};
	}

	#noteSeen(borrower: string, fence: number, sequence: number): void {
		const last = this.#seen.get(borrower);
		this.#seen.set(borrower, {fence, sequence: last?.fence === fence ? Math.max(sequence, last.sequence) : sequence});
	}

	#getSeen(borrower: string): number {
		return this.#seen.get(borrower)?.sequence ?? 0;
	}

	#getRooms(pool: string): readonly NeighbourRoom[] {
		return this.#getNeighbours(pool).flatMap(view => view.rooms.map(cpu => ({pool: view.pool, cpu})));
	}

	/** Gets the pools that have a common queue with this one; where data centres have several pools, each has a queue of its own. */
	#getSharing(pool: string): readonly PoolView[] {
		const neighbours = this.#getNeighbours(pool);
		const near = neighbours.filter(view => getDataCenter(view.pool) === getDataCenter(pool));
		return near.length > 0 ? near : neighbours;
	}

	#getNeighbours(pool: string): readonly PoolView[] {
		const {directory} = this.#options;
		const pools = directory.getPools();
		let known = this.#neighbourNames.get(pool);
		if (known?.pools !== pools) {
			known = {pools, names: pools.filter(other => isNeighbourPool(pool, other))};
			this.#neighbourNames.set(pool, known);
		}

		return directory.getViews(known.names);
	}

	async #run(borrower: string, lender: string, task: BorrowingTask, signal: AbortSignal): Promise<LendOutcome> {
		const {directory, getOwner, log} = this.#options;
		const owner = getOwner(borrower);
		if (owner === undefined) {
			return {kind: 'refused', reason: 'not-owner'};
		}

		const sequence = directory.addSentTask(lender, task.step);
		const body = {
			pool: lender, borrower, fence: owner.getFence(), load: owner.getLoad(), sequence, task,
		};
		const result = await this.#ask(lender, {topic: lendTopic, body}, signal);
		if (result.kind !== 'answered') {
			log.info({
				task: task.task, pool: lender, result: result.kind, detail: result.detail,
			}, 'other pool did not answer');
			return result.kind === 'lost' ? {kind: 'lost'} : {kind: 'refused', reason: 'not-sent'};
		}

		const answer = decodeLendAnswer(result.body);
		if (answer === undefined) {
			log.warn({task: task.task, pool: lender}, 'answer of another pool not understood');
			return {kind: 'lost'};
		}

		if (answer.load !== undefined) {
			directory.setLoad(lender, answer.load, answer.seen);
		}

		return answer.outcome;
	}

	/** A stop that cannot be brought is of no use: the owner there stops the run when it sees that this one is gone. */
	async #stop(lender: string, run: Run, isOverdue: boolean): Promise<void> {
		for (let sends = 0; sends < maxStopSends; sends++) {
			const result = await this.#ask(lender, {topic: stopLentRunTopic, body: {pool: lender, run, isOverdue}});
			if (result.kind === 'answered') {
				return;
			}
		}

		this.#options.log.info({task: run.task, run: run.number, pool: lender}, 'stop not brought to another pool');
	}

	async #recall(borrower: string, job: string, fence: number): Promise<boolean> {
		// An earlier owner may have had tasks in pools that are not known here.
		const isLayoutKnown = this.#options.isLayoutKnown();
		const others = this.#options.directory.getPools().filter(pool => isNeighbourPool(borrower, pool));
		const controller = new AbortController();
		const timer = this.#options.clock.setTimer(() => {
			controller.abort();
		}, recallMs);
		const answers = await Promise.all(others.map(async pool => {
			const body = {
				pool, borrower, fence, job,
			};
			const result = await this.#ask(pool, {topic: recallTopic, body}, controller.signal);
			return result.kind === 'answered' && recallAnswerSchema.safeParse(result.body).data?.isClear === true;
		}));
		timer.close();
		return isLayoutKnown && answers.every(Boolean);
	}

	/** Tells the owner of a pool something that needs no answer; as a request where there is no link for messages. */
	#tell(pool: string, message: PeerRequest): void {
		const {directory, peers, selfId} = this.#options;
		const ownerId = directory.getOwner(pool)?.id;
		if (ownerId === undefined || ownerId === selfId || !peers.sendControl(ownerId, message)) {
			void this.#ask(pool, message);
		}
	}

	/** Asks the owner of a pool, which may be this VM itself. */
	async #ask(pool: string, request: PeerRequest, signal?: AbortSignal): ReturnType<PeerNetwork['request']> {
		const {directory, peers, selfId} = this.#options;
		const owner = directory.getOwner(pool);
		if (owner === undefined) {
			return {kind: 'not_sent', detail: 'the pool has no owner'};
		}

		if (owner.id === selfId) {
			// As between VMs, the other owner acts only once this one is done with its turn.
			await afterThisTurn;
			return {kind: 'answered', body: await this.handleRequest(request, signal ?? new AbortController().signal)};
		}

		return peers.request(owner.id, request, signal);
	}
}
