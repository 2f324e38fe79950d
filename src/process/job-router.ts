/**
 * Routes callers' operations to the process that serves the job's coordinator.
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

/** Topic of requests that forward an operation to a peer. */
export const jobTopic = 'job';

/** Options of a {@link JobRouter}. */
export type JobRouterOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly self: Incarnation;
	readonly coordinator: Coordinator;
	readonly directory: CoordinatorDirectory;
	readonly peers: Pick<PeerNetwork, 'getMembers' | 'request'>;
	/** Whether this process is stopping; new work is then forwarded to a peer. */
	readonly isStopping: () => boolean;
	/** Time for which an operation on a reachable coordinator is retried after a broken connection, in milliseconds. */
	readonly retryWindowMs?: number;
	/** Time for which an unknown coordinator may still join, in milliseconds. */
	readonly joinWindowMs?: number;
};

/** Options of one routed operation. */
export type RouteOptions = CallerContext & {
	/** Time for which the operation is retried while its coordinator cannot be reached, in milliseconds. */
	readonly unreachableTimeoutMs?: number;
};

/** Counters of forwarded operations. */
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

/** Routes operations to the coordinator of this process, to records adopted here, or to a peer. */
export class JobRouter {
	readonly #options: JobRouterOptions;
	readonly #counters = {
		forwarded: 0, retried: 0, received: 0, invalid: 0,
	};

	constructor(options: JobRouterOptions) {
		this.#options = options;
	}

	/** Gets a copy of the counters. */
	getCounters(): JobRouterCounters {
		return {...this.#counters};
	}

	/**
	 * Performs an operation on a job, wherever its coordinator is served. The promise never rejects.
	 * Retries are safe: the coordinator deduplicates operations by the job id.
	 * @param token - Token of the job's coordinator.
	 * @param operation - Operation that the caller requested.
	 * @param options - Timeout for an unreachable coordinator, and the caller's abort signal.
	 * @returns The answer for the caller.
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
	 * Performs an operation that has no coordinator yet: here, or at a peer when this process is stopping. The promise never
	 * rejects. An operation that a peer possibly received is not sent to another one.
	 * @param operation - Operation that the caller requested.
	 * @param caller - The caller, whose disconnection may cancel the job.
	 * @returns The answer for the caller.
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
	 * Handles an operation that a peer forwarded.
	 * @param body - Body of the peer's request.
	 * @param signal - Aborts when the caller disconnects.
	 * @returns The reply for the peer; `not-here` when this process does not serve the coordinator or the body is invalid.
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

	/** Gets the time in milliseconds for which a location is retried at least, whatever timeout the caller set. */
	#getMinRetryMs(location: CoordinatorLocation): number {
		if (location.kind === 'member') {
			return this.#options.retryWindowMs ?? defaultRetryWindowMs;
		}

		// A coordinator that has just joined may not be known yet, here or at the peers.
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
