/**
 * Cancelling of jobs: the requests of a job may wait at any entry VM, and those that submit it again may still come.
 */
import * as z from 'zod';
import {type PeerNetwork} from '../connection/index.js';
import {type Clock, sleep} from '../seams/index.js';

/** Topic of requests to cancel a job. */
export const cancelTopic = 'platform-cancel';

/**
 * Outcome of a cancelling. `cancelled`: requests of the job waited and do so no longer. `unknown`: no VM knows the job. `unanswered`: no request of the job was
 * found, and a VM that may have one did not answer.
 */
export type CancelOutcome = 'cancelled' | 'unknown' | 'unanswered';

/** Options of {@link CancelledJobs}. */
export type CancelledJobsOptions = {
	readonly clock: Clock;
	/** Gets the links to the other entry VMs. */
	readonly getPeers: () => Pick<PeerNetwork, 'getMembers' | 'request'>;
};

const cancelSchema = z.object({job: z.string()});
const cancelAnswerSchema = z.object({isFound: z.boolean()});

/** Time limit of a request to another VM, in milliseconds: longer than it takes to notice that the VM is silent. */
const answerTimeoutMs = 600;

/** Interval at which VMs that did not answer are asked again, in milliseconds. */
const retryIntervalMs = 300;

/** Time for which a cancelled job is remembered, in milliseconds: longer than its caller submits it again, and than VMs freeze or are cut off. */
const retentionMs = 30_000;

/** Maximum number of remembered jobs. */
const maxJobs = 10_000;

/** Knows the requests that wait for jobs at this VM, and the jobs that were cancelled lately. */
export class CancelledJobs {
	readonly #options: CancelledJobsOptions;
	/** Functions that end the waiting requests, by job. */
	readonly #waiting = new Map<string, Set<() => void>>();
	/** Monotonic times of the cancelling by job, the earliest first. */
	readonly #cancelledAt = new Map<string, number>();
	readonly #closing = new AbortController();

	constructor(options: CancelledJobsOptions) {
		this.#options = options;
	}

	/**
	 * Adds a request that waits for a job.
	 * @param job - Identifier of the job.
	 * @param onCancelled - Ends the request.
	 * @returns Removes the request.
	 */
	addRequest(job: string, onCancelled: () => void): () => void {
		const requests = this.#waiting.get(job) ?? new Set();
		this.#waiting.set(job, requests.add(onCancelled));
		return () => {
			requests.delete(onCancelled);
			if (requests.size === 0 && this.#waiting.get(job) === requests) {
				this.#waiting.delete(job);
			}
		};
	}

	/**
	 * Gets whether a job was cancelled lately.
	 * @param job - Identifier of the job.
	 */
	isCancelled(job: string): boolean {
		return this.#options.clock.getMonotonicTime() - (this.#cancelledAt.get(job) ?? -Infinity) < retentionMs;
	}

	/**
	 * Cancels a job at all entry VMs. VMs that do not answer are asked again while the job is remembered.
	 * @param job - Identifier of the job.
	 */
	async cancel(job: string): Promise<CancelOutcome> {
		const isFoundHere = this.#cancelHere(job);
		const ids = this.#options.getPeers().getMembers().map(({incarnation: {id}}) => id);
		const answers = await this.#askAll(job, ids);
		const unansweredIds = ids.filter(id => answers.get(id) === undefined);
		if (unansweredIds.length > 0) {
			void this.#askAgain(job, unansweredIds);
		}

		if (isFoundHere || [...answers.values()].includes(true)) {
			return 'cancelled';
		}

		const isDown = (id: string): boolean => this.#options.getPeers().getMembers().every(({incarnation, state}) => incarnation.id !== id || state === 'down');
		return unansweredIds.every(id => isDown(id)) ? 'unknown' : 'unanswered';
	}

	/**
	 * Handles the request of another VM.
	 * @param body - Body of the request.
	 * @returns Body of the answer.
	 */
	handleRequest(body: unknown): unknown {
		return {isFound: this.#cancelHere(cancelSchema.parse(body).job)};
	}

	/** Stops asking other VMs. */
	close(): void {
		this.#closing.abort();
	}

	/** Ends the requests that wait for a job here; returns whether there were any. */
	#cancelHere(job: string): boolean {
		this.#cancelledAt.delete(job);
		this.#cancelledAt.set(job, this.#options.clock.getMonotonicTime());
		const [oldest] = this.#cancelledAt.keys();
		if (this.#cancelledAt.size > maxJobs || !this.isCancelled(oldest!)) {
			this.#cancelledAt.delete(oldest!);
		}

		const requests = [...this.#waiting.get(job) ?? []];
		for (const cancel of requests) {
			cancel();
		}

		return requests.length > 0;
	}

	/** Asks VMs to cancel a job; gets whether requests of it waited there, for those that answered. */
	async #askAll(job: string, ids: readonly string[]): Promise<ReadonlyMap<string, boolean>> {
		const {clock, getPeers} = this.#options;
		const answers = new Map<string, boolean>();
		await Promise.all(ids.map(async id => {
			const controller = new AbortController();
			const timer = clock.setTimer(() => {
				controller.abort();
			}, answerTimeoutMs);
			const result = await getPeers().request(id, {topic: cancelTopic, body: {job}}, controller.signal);
			timer.close();
			const answer = result.kind === 'answered' ? cancelAnswerSchema.safeParse(result.body).data : undefined;
			if (answer !== undefined) {
				answers.set(id, answer.isFound);
			}
		}));
		return answers;
	}

	async #askAgain(job: string, ids: readonly string[]): Promise<void> {
		let unansweredIds = ids;
		while (unansweredIds.length > 0 && this.isCancelled(job) && !this.#closing.signal.aborted) {
			await sleep(this.#options.clock, retryIntervalMs, this.#closing.signal);
			const known = new Set(this.#options.getPeers().getMembers().map(({incarnation: {id}}) => id));
			const askedIds = unansweredIds.filter(id => known.has(id));
			const answers = await this.#askAll(job, askedIds);
			unansweredIds = askedIds.filter(id => !answers.has(id));
		}
	}
}
