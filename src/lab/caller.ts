/**
 * A caller with safe resubmission: it keeps the id while the outcome is unknown, and increments the attempt only after an
 * answer that nothing ran.
 */
import {
	type Clock, type Random, sleep, systemClock, systemRandom,
} from '../seams/index.js';
import {
	type CallAnswer, type CallerJob, type CallerJobId, type CallerRequest, type CallResult,
} from './call.js';
import {EntryVmClient} from './entry-vm-client.js';

/** A call as reported to an observer. */
export type ObservedCall = {
	/** Key of the request; the same for every call that resubmits it. */
	readonly request: string;
	/** Number of the attempt; incremented after each `not_run`. */
	readonly attempt: number;
	readonly address: string;
	/** Coordinator token of the id. */
	readonly coordinator: string;
};

/** Receives every call that a caller makes. */
export type CallObserver = {
	/** Called before the call is sent. */
	readonly submitted: (call: ObservedCall) => void;
	/** Called when the call has ended. */
	readonly ended: (call: ObservedCall, result: CallResult) => void;
};

/** Options of a {@link Caller}. */
export type CallerOptions = {
	/** Caller addresses of the entry VMs, used in round robin. */
	readonly addresses: readonly string[];
	readonly clock?: Clock;
	readonly random?: Random;
	readonly observer?: CallObserver;
	/** Delay in milliseconds before a call is repeated when the answer contains none. */
	readonly retryDelayMs?: number;
	/** Maximum number of calls for one request, including those that reached no entry VM. */
	readonly maxCalls?: number;
};

/** Options of one request. */
export type SubmitOptions = {
	/** Id of the request; by default a new one. */
	readonly id?: CallerJobId;
	/** Maximum number of attempts; a refusal of the last one is final. */
	readonly maxAttempts?: number;
	/** Times in milliseconds after the first call at which the request is resubmitted through another entry VM. */
	readonly resubmitAfterMs?: readonly number[];
	/** Ends the request; running calls are abandoned. */
	readonly signal?: AbortSignal;
};

/** Result of a request. */
export type SubmitResult = {
	readonly key: string;
	/** Id of the last call; absent when no entry VM provided a coordinator. */
	readonly id?: CallerJobId;
	readonly calls: number;
	readonly attempts: number;
	/** The last answer; absent when no call was answered. */
	readonly answer?: CallAnswer;
};

/** State of a request that is not answered yet. @internal */
type Submission = {
	readonly key: string;
	readonly send: (address: string, id: CallerJobId, attempt: number) => Promise<CallResult>;
	readonly options: SubmitOptions;
	/** Number of the attempt as reported to observers; it continues when the id changes. */
	attempt: number;
	calls: number;
};

const keyBytes = 12;
const defaultRetryDelayMs = 50;
const defaultMaxCalls = 40;
const defaultMaxAttempts = 5;
const maxRetryDelayMs = 5000;

/** Problem types whose unknown outcome is transient. */
const transientProblems = ['coordinator-unreachable', 'too-many-requests'];

/** Submits requests to entry VMs until each is answered. */
export class Caller {
	readonly #client = new EntryVmClient();
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #observer: CallObserver | undefined;
	readonly #retryDelayMs: number;
	readonly #maxCalls: number;
	#addresses: readonly string[];
	#nextAddressIndex = 0;
	#calls = 0;
	#coordinator: string | undefined;

	constructor(options: CallerOptions) {
		this.#addresses = options.addresses;
		this.#clock = options.clock ?? systemClock;
		this.#random = options.random ?? systemRandom;
		this.#observer = options.observer;
		this.#retryDelayMs = options.retryDelayMs ?? defaultRetryDelayMs;
		this.#maxCalls = options.maxCalls ?? defaultMaxCalls;
	}

	/** Gets the coordinator token of the last answer, or requests one; `undefined` when no entry VM answers. */
	async getCoordinator(): Promise<string | undefined> {
		for (let tries = 0; this.#coordinator === undefined && tries < this.#addresses.length; tries++) {
			this.#coordinator = await this.#client.getCoordinator(this.getNextAddress());
		}

		return this.#coordinator;
	}

	/**
	 * Creates an id under the coordinator of the last answer; `undefined` when no entry VM answers.
	 * @param key - Key of the request; by default a random one.
	 */
	async createId(key: string = this.#random.getHex(keyBytes)): Promise<CallerJobId | undefined> {
		const coordinator = await this.getCoordinator();
		return coordinator === undefined ? undefined : {coordinator, key};
	}

	/** Gets the address of the next entry VM in round robin. */
	getNextAddress(): string {
		const address = this.#addresses[this.#nextAddressIndex % this.#addresses.length]!;
		this.#nextAddressIndex++;
		return address;
	}

	/**
	 * Sets the entry VMs that calls are sent to, as a load balancer does when one is replaced.
	 * @param addresses - Caller addresses, used in round robin.
	 */
	setAddresses(addresses: readonly string[]): void {
		this.#addresses = addresses;
	}

	/** Gets the number of calls made. */
	getCallCount(): number {
		return this.#calls;
	}

	/**
	 * Submits a job and gets its answer.
	 * @param job - Job to run.
	 * @param options - Id, resubmissions and limits.
	 */
	async submitJob(job: CallerJob, options: SubmitOptions = {}): Promise<SubmitResult> {
		return this.#submit(options, async (address, id, attempt) =>
			this.#client.submitJob(address, id, job, {attempt, signal: options.signal}));
	}

	/**
	 * Sends one plain request under an idempotency key and gets its answer.
	 * @param req - Request to send.
	 * @param options - Id, resubmissions and limits.
	 */
	async sendRequest(req: CallerRequest, options: SubmitOptions = {}): Promise<SubmitResult> {
		return this.#submit(options, async (address, id, attempt) =>
			this.#client.sendRequest(address, req, id, {attempt, signal: options.signal}));
	}

	/**
	 * Cancels a job through the next entry VM; resolves to whether the cancellation was accepted.
	 * @param id - Id of the job.
	 */
	async cancelJob(id: CallerJobId): Promise<boolean> {
		return this.#client.cancelJob(this.getNextAddress(), id);
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#client.close();
	}

	async #submit(options: SubmitOptions, send: Submission['send']): Promise<SubmitResult> {
		const key = options.id?.key ?? this.#random.getHex(keyBytes);
		const submission: Submission = {
			key, send, options, attempt: 1, calls: 0,
		};
		let {id} = options;
		let idAttempt = 1;
		let answer: CallAnswer | undefined;
		while (submission.calls < this.#maxCalls && !options.signal?.aborted) {
			id ??= await this.createId(key);
			if (id === undefined) {
				submission.calls++;
				await this.#wait(this.#retryDelayMs, options);
				continue;
			}

			const results = await this.#callAll(submission, id, idAttempt);
			answer = getBestAnswer(results);
			if (answer !== undefined && !shouldCallAgain(answer, submission)) {
				break;
			}

			if (answer?.outcome === 'not_run') {
				submission.attempt++;
				// Nothing ran under the previous id, so a new id under another coordinator is as safe as a higher attempt.
				const hasNewCoordinator = this.#coordinator !== undefined && this.#coordinator !== id.coordinator;
				idAttempt = hasNewCoordinator ? 1 : idAttempt + 1;
				id = hasNewCoordinator ? undefined : id;
			}

			await this.#wait(answer?.retryAfterMs ?? this.#retryDelayMs, options);
		}

		return {
			key, id, calls: submission.calls, attempts: submission.attempt, answer,
		};
	}

	/** Makes the first call and the scheduled resubmissions, and waits for all of them. */
	async #callAll(submission: Submission, id: CallerJobId, idAttempt: number): Promise<readonly CallResult[]> {
		const firstCall = this.#callOnce(submission, id, idAttempt);
		const resubmitAfterMs = submission.attempt === 1 && submission.calls === 1 ? submission.options.resubmitAfterMs ?? [] : [];
		const resubmissions = resubmitAfterMs.map(async delayMs => {
			await sleep(this.#clock, delayMs, submission.options.signal);
			return this.#callOnce(submission, id, idAttempt);
		});
		return Promise.all([firstCall, ...resubmissions]);
	}

	async #callOnce(submission: Submission, id: CallerJobId, idAttempt: number): Promise<CallResult> {
		const call: ObservedCall = {
			request: submission.key, attempt: submission.attempt, address: this.getNextAddress(), coordinator: id.coordinator,
		};
		this.#calls++;
		submission.calls++;
		this.#observer?.submitted(call);
		const result = await submission.send(call.address, id, idAttempt);
		this.#coordinator = result.kind === 'answered' ? result.coordinator ?? this.#coordinator : undefined;
		this.#observer?.ended(call, result);
		return result;
	}

	async #wait(delayMs: number, options: SubmitOptions): Promise<void> {
		await sleep(this.#clock, Math.min(delayMs, maxRetryDelayMs), options.signal);
	}
}

/** Retries transient refusals with another attempt and an unreachable coordinator with another call; errors of the caller are final. */
function shouldCallAgain({outcome, problemType, retryAfterMs, status}: CallAnswer, {attempt, options}: Submission): boolean {
	if (outcome === 'unknown') {
		return transientProblems.some(problem => problemType.endsWith(problem));
	}

	const isTransient = retryAfterMs !== undefined || status >= 500;
	return outcome === 'not_run' && isTransient && attempt < (options.maxAttempts ?? defaultMaxAttempts);
}

const outcomePrecedence: ReadonlyArray<CallAnswer['outcome']> = ['complete', 'failed', 'not_run', 'unknown'];

/** Gets the most informative answer. */
function getBestAnswer(results: readonly CallResult[]): CallAnswer | undefined {
	const answers = results.filter(result => result.kind === 'answered');
	return answers.toSorted((left, right) => outcomePrecedence.indexOf(left.outcome) - outcomePrecedence.indexOf(right.outcome))[0];
}
