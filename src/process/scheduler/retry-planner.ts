/**
 * Decides whether and when a task is retried.
 */
import {type Profile} from '../../version/index.js';
import {type TaskEnd} from '../task-scheduler.js';
import {type QueuedTask} from './queued-job.js';
import {RetryBudget} from './retry-budget.js';
import {type SchedulerContext} from './scheduler-context.js';

/** Options of a {@link RetryPlanner}. */
export type RetryPlannerOptions = {
	readonly context: SchedulerContext;
	readonly getProfile: () => Profile;
};

/** Minimum jitter factor of the back-off; a random number from 0 to 1 is added to it. */
const minJitter = 0.5;

/**
 * Decides which tasks of one service are retried, and after which delay.
 * @internal
 */
export class RetryPlanner {
	readonly #options: RetryPlannerOptions;
	readonly #budget = new RetryBudget();

	constructor(options: RetryPlannerOptions) {
		this.#options = options;
	}

	/** Counts a first attempt towards the retry budget. */
	addFirstAttempt(): void {
		this.#budget.addFirstAttempt(this.#options.getProfile().retryPercent);
	}

	/**
	 * Consumes a retry from the budget if the task may run again.
	 * @param queued - Task whose attempt ended without an answer.
	 * @param end - How the attempt ended.
	 * @returns The delay before the retry in milliseconds; `undefined` when the task is to be abandoned.
	 */
	planRetry(queued: QueuedTask, end: TaskEnd): number | undefined {
		const {context, getProfile} = this.#options;
		const {retryPercent, maxTries} = getProfile();
		const {task, job, attempts} = queued;
		const mayRunAgain = end.kind === 'not_started' || task.isIdempotent;
		if (!mayRunAgain || job.isRemoved || attempts >= maxTries) {
			return undefined;
		}

		const delayMs = this.#getBackoffMs(attempts);
		if (context.clock.getMonotonicTime() + delayMs >= job.source.deadline) {
			return undefined;
		}

		if (!this.#budget.takeRetry(retryPercent)) {
			context.counters.deniedRetries++;
			return undefined;
		}

		context.counters.retries++;
		return delayMs;
	}

	#getBackoffMs(attempts: number): number {
		const jitter = minJitter + this.#options.context.random.getFloat();
		return this.#options.getProfile().retryBackoffMs * (2 ** (attempts - 1)) * jitter;
	}
}
