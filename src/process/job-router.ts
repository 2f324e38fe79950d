/**
 * Takes what callers ask to the process that answers for the job's coordinator.
 */
import {type Incarnation, type Member, type PeerNetwork} from '../connection/index.js';
import {
	type CallerAnswer, type CoordinatorToken, createProblemAnswer, formatJobId,
} from '../request/index.js';
import {type Clock, sleep} from '../seams/index.js';
import {type CallerContext, type Coordinator} from './coordinator.js';
import {type CoordinatorDirectory, type CoordinatorLocation} from './coordinator-directory.js';
import {type EventLog} from './events.js';
import {getSuccessors} from './hand-over.js';
import {
	type ForwardedOperation, type ForwardReply, type JobOperation, type NewOperation, parseForwardedOperation, parseForwardReply,
} from './job-operation.js';

/** Topic of the requests that carry operations. */
export const jobTopic = 'job';

/** Options of a {@link JobRouter}. */
export type JobRouterOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly self: Incarnation;
	readonly coordinator: Coordinator;
	readonly directory: CoordinatorDirectory;
	readonly peers: Pick<PeerNetwork, 'getMembers' | 'request'>;
	/** Whether this process is stopping, so that new work goes to a peer. */
	readonly isStopping: () => boolean;
	/** Time for which a link that broke is tried again, in milliseconds. */
	readonly retryWindowMs?: number;
	/** Time for which an entry VM that nobody knows may still turn up, in milliseconds. */
	readonly joinWindowMs?: number;
};

/** How a caller wants to be served. */
export type RouteOptions = CallerContext & {
	/** Time for which the caller waits for a coordinator that cannot be reached, in milliseconds. */
	readonly unreachableTimeoutMs?: number;
};

/** Counts of forwarded operations. */
export type JobRouterCounters = {
	readonly forwarded: number;
	readonly retried: number;
	readonly received: number;
	readonly invalid: number;
};

type RouteResult = {readonly isFinal: true; readonly answer: CallerAnswer} | {readonly isFinal: false; readonly wasSent: boolean};

const defaultRetryWindowMs = 3000;
const defaultJoinWindowMs = 1000;
const retryDelayMs = 50;

/** Routes operations to this process, to records adopted here, or to a peer. */
export class JobRouter {
	readonly #options: JobRouterOptions;
	readonly #counters = {
		forwarded: 0, retried: 0, received: 0, invalid: 0,
	};

	constructor(options: JobRouterOptions) {
		this.#options = options;
	}

	/** Gets the counts so far. */
	getCounters(): JobRouterCounters {
		return {...this.#counters};
	}

	/**
	 * Does what a caller asks of a job; never rejects.
	 * Sending an operation again is harmless, since the coordinator recognises the id.
	 * @param token - Coordinator of the job.
	 * @param operation - What the caller asks.
	 * @param options - How the caller wants to be served.
	 */
	async performOperation(token: CoordinatorToken, operation: JobOperation, options: RouteOptions = {}): Promise<CallerAnswer> {
		const {clock} = this.#options;
		const startedAtMs = clock.getMonotonicTime();
		const unreachableTimeoutMs = options.unreachableTimeoutMs ?? 0;
		for (;;) {
			const location = await this.#options.directory.findLocation(token);
			const result = await this.#performAtLocation(location, token, operation, options);
			if (result.isFinal) {
				return result.answer;
			}

			const timeoutMs = Math.max(unreachableTimeoutMs, this.#getMinRetryMs(location));
			const isTimedOut = clock.getMonotonicTime() - startedAtMs >= timeoutMs;
			if (isTimedOut || options.signal?.aborted) {
				return createUnreachableAnswer(location, token, operation);
			}

			this.#counters.retried++;
			await sleep(clock, retryDelayMs, options.signal);
		}
	}

	/**
	 * Runs something that no coordinator has yet, here or, when this process is stopping, at a peer; never rejects.
	 * @param operation - What the caller asks.
	 * @param caller - Tells when the caller is gone.
	 */
	async performNewOperation(operation: NewOperation, caller: CallerContext = {}): Promise<CallerAnswer> {
		if (!this.#options.isStopping()) {
			return this.#performNewLocally(operation, caller);
		}

		for (const member of getSuccessors(this.#options.peers.getMembers(), this.#options.self)) {
			const result = await this.#forward(member, {kind: 'new', operation}, caller.signal);
			if (result.isFinal) {
				return result.answer;
			}

			if (result.wasSent) {
				return createProblemAnswer('coordinator-lost', {detail: `the connection to ${member.incarnation.id} broke before the answer`});
			}
		}

		return this.#performNewLocally(operation, caller);
	}

	/**
	 * Answers an operation that a peer passed on.
	 * @param body - Body of the peer's request.
	 * @param signal - Tells that the caller is gone.
	 */
	async handleForwarded(body: unknown, signal: AbortSignal): Promise<ForwardReply> {
		const forwarded = parseForwardedOperation(body);
		if (forwarded === undefined) {
			this.#counters.invalid++;
			return {kind: 'not-here'};
		}

		this.#counters.received++;
		if (forwarded.kind === 'new') {
			return createReply(await this.#performNewLocally(forwarded.operation, {signal}));
		}

		const location = this.#options.directory.getLocalLocation(forwarded.incarnationId);
		if (location === undefined) {
			return {kind: 'not-here'};
		}

		return createReply(await this.#performLocally(location, forwarded.operation, {signal}));
	}

	async #performAtLocation(location: CoordinatorLocation, token: CoordinatorToken, operation: JobOperation, options: RouteOptions): Promise<RouteResult> {
		switch (location.kind) {
			case 'self':
			case 'adopted': {
				return {isFinal: true, answer: await this.#performLocally(location, operation, options)};
			}

			case 'member': {
				this.#options.events.addEvent('job-forwarded', formatJobId({coordinator: token, key: operation.key}), `to ${location.member.incarnation.id}`);
				return this.#forward(location.member, {kind: 'job', incarnationId: token.incarnationId, operation}, options.signal);
			}

			case 'unreachable':
			case 'lost': {
				return {isFinal: false, wasSent: false};
			}
		}
	}

	/** Gets the time for which a place is tried again whatever the caller asks. */
	#getMinRetryMs(location: CoordinatorLocation): number {
		if (location.kind === 'member') {
			return this.#options.retryWindowMs ?? defaultRetryWindowMs;
		}

		// An entry VM that has just joined, here or there, may not be known yet.
		const isUnknown = location.kind === 'lost' || (location.kind === 'unreachable' && !location.isKnown);
		return isUnknown ? this.#options.joinWindowMs ?? defaultJoinWindowMs : 0;
	}

	async #performLocally(location: CoordinatorLocation, operation: JobOperation, caller: CallerContext): Promise<CallerAnswer> {
		if (location.kind === 'adopted') {
			return location.records.performOperation(operation);
		}

		return this.#options.coordinator.performOperation(operation, caller);
	}

	async #performNewLocally(operation: NewOperation, caller: CallerContext): Promise<CallerAnswer> {
		const {coordinator} = this.#options;
		return operation.kind === 'run-once' ? coordinator.runOnce(operation.content, caller) : coordinator.createJob(operation, caller);
	}

	async #forward(member: Member, forwarded: ForwardedOperation, signal: AbortSignal | undefined): Promise<RouteResult> {
		this.#counters.forwarded++;
		const outcome = await this.#options.peers.request(member.incarnation.id, {topic: jobTopic, body: forwarded}, signal);
		if (outcome.kind !== 'answered') {
			return {isFinal: false, wasSent: outcome.kind === 'lost'};
		}

		const reply = parseForwardReply(outcome.body);
		return reply?.kind === 'answer' ? {isFinal: true, answer: reply.answer} : {isFinal: false, wasSent: false};
	}
}

function createReply(answer: CallerAnswer): ForwardReply {
	return {kind: 'answer', answer};
}

function createUnreachableAnswer(location: CoordinatorLocation, token: CoordinatorToken, operation: JobOperation): CallerAnswer {
	const problem = location.kind === 'lost' ? 'coordinator-lost' : 'coordinator-unreachable';
	const id = formatJobId({coordinator: token, key: operation.key});
	const detail = location.kind === 'lost'
		? `no entry VM has the records of ${token.incarnationId}`
		: `${token.incarnationId} in data centre ${token.dataCenter} cannot be reached; submitting the same id again is safe`;
	return createProblemAnswer(problem, {id, detail});
}
