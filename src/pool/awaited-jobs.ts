/**
 * The jobs that entry VMs wait for. The next owner of a pool asks for them: nobody submits the other jobs of the earlier owner again, so that their runs need not go on.
 */
import {type PeerNetwork} from '../connection/index.js';
import {type Clock} from '../seams/index.js';
import {
	awaitedJobsAnswerSchema, awaitedJobsRequestSchema, awaitedJobsTopic, maxAskedJobs,
} from './pool-messages.js';

/** Options of {@link AwaitedJobs}. */
export type AwaitedJobsOptions = {
	readonly clock: Clock;
	readonly peers: Pick<PeerNetwork, 'getMembers' | 'request'>;
};

/** Time limit of the question, in milliseconds: a fraction of the time after which the runs are stopped in any case. */
const answerTimeoutMs = 150;

/** Knows the jobs that this VM waits for, and asks the other VMs for theirs. */
export class AwaitedJobs {
	readonly #options: AwaitedJobsOptions;
	/** Number of submissions in progress by pool and job. */
	readonly #counts = new Map<string, number>();

	constructor(options: AwaitedJobsOptions) {
		this.#options = options;
	}

	/**
	 * Adds a job that a caller of this VM waits for.
	 * @param pool - Pool that it is submitted to.
	 * @param job - Identifier of the job.
	 * @returns Removes the job.
	 */
	addJob(pool: string, job: string): () => void {
		const key = getKey(pool, job);
		this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
		return () => {
			const count = this.#counts.get(key)! - 1;
			if (count === 0) {
				this.#counts.delete(key);
			} else {
				this.#counts.set(key, count);
			}
		};
	}

	/**
	 * Handles the question of another VM.
	 * @param body - Body of the request.
	 * @returns Body of the answer.
	 */
	handleRequest(body: unknown): unknown {
		const {pool, jobs} = awaitedJobsRequestSchema.parse(body);
		return {awaited: jobs.filter(job => this.#counts.has(getKey(pool, job)))};
	}

	/**
	 * Gets those of some jobs that no VM waits for; none if a VM that may be alive does not answer.
	 * @param pool - Pool of the jobs.
	 * @param jobs - Identifiers of the jobs.
	 */
	async getUnawaitedJobs(pool: string, jobs: readonly string[]): Promise<readonly string[]> {
		const {clock, peers} = this.#options;
		const asked = jobs.filter(job => !this.#counts.has(getKey(pool, job))).slice(0, maxAskedJobs);
		if (asked.length === 0) {
			return [];
		}

		const members = peers.getMembers().filter(({state}) => state !== 'down');
		// A signal for each request: many listeners of one signal count as a leak.
		const questions = members.map(({incarnation: {id}}) => ({id, controller: new AbortController()}));
		const timer = clock.setTimer(() => {
			for (const {controller} of questions) {
				controller.abort();
			}
		}, answerTimeoutMs);
		const answers = await Promise.all(questions.map(async ({id, controller}) => {
			const result = await peers.request(id, {topic: awaitedJobsTopic, body: {pool, jobs: asked}}, controller.signal);
			return result.kind === 'answered' ? awaitedJobsAnswerSchema.safeParse(result.body).data?.awaited : undefined;
		}));
		timer.close();
		if (answers.includes(undefined)) {
			return [];
		}

		const awaited = new Set(answers.flatMap(jobsOfVm => jobsOfVm ?? []));
		return asked.filter(job => !awaited.has(job) && !this.#counts.has(getKey(pool, job)));
	}
}

function getKey(pool: string, job: string): string {
	return `${pool} ${job}`;
}
