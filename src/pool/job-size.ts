/**
 * Sizes of jobs, which bound the memory that jobs take: a small body may describe millions of tasks.
 */
import {type JobStep, type RefusalReason} from './pool-job.js';

/** Largest size of one job: about as many starts as an owner can order before the deadline of a caller. */
export const maxJobSize = 10_000;

/** Largest sum of the sizes of all jobs in a process: a fifth of its heap, at about 500 bytes for a step or task. */
const maxTotalJobSize = 60_000;

/**
 * Gets the size of a job: the number of its steps and tasks.
 * @param steps - Steps of the job.
 */
export function getJobSize(steps: readonly JobStep[]): number {
	return steps.reduce((sum, {taskCount}) => sum + taskCount, steps.length);
}

/** Limits the sum of the sizes of the jobs that a process holds. */
export class JobSizeBudget {
	#total = 0;

	constructor(readonly max = maxTotalJobSize) {}

	/**
	 * Gets why a job must not be added: it is too large, or the budget is used up.
	 * @param steps - Steps of the job.
	 * @param added - What would be added; the size of the job by default.
	 * @returns Reason; `undefined` if the job may be added.
	 */
	getRefusalReason(steps: readonly JobStep[], added = getJobSize(steps)): RefusalReason | undefined {
		if (getJobSize(steps) > maxJobSize) {
			return 'does-not-fit';
		}

		return this.#total + added > this.max ? 'overloaded' : undefined;
	}

	/**
	 * Adds a job.
	 * @param size - Size of the job.
	 */
	add(size: number): void {
		this.#total += size;
	}

	/**
	 * Removes a job.
	 * @param size - Size with which it was added.
	 */
	remove(size: number): void {
		this.#total -= size;
	}

	/** Gets the sum of the sizes. */
	getTotal(): number {
		return this.#total;
	}
}
