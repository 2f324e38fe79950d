/**
 * The durations of one route's tasks, relative to the speeds of the upstreams: against the callers' estimates, and against other tasks of the same job.
 */
import {DurationDistribution} from './duration-distribution.js';
import {type SpeedObservation} from './upstream-speed.js';

/** What is known of a task's duration, on an upstream of average speed. */
export type TaskExpectation = {
	/** The caller's estimate in milliseconds. */
	readonly estimateMs: number;
	/** Duration of another task of the same job that is done, in milliseconds; 0 for none. */
	readonly siblingMs: number;
};

/** Until some tasks are done, estimates are taken to be off by a factor of 4, and tasks of a job to differ by one of 2; some tens of tasks outweigh this. */
const initialEstimateRatios: readonly number[] = [0.5, 1, 2, 4];
const initialSiblingRatios: readonly number[] = [0.5, 1, 2];

/** Minimum reference duration, in milliseconds. */
const minReferenceMs = 1;

/** Durations of one route's tasks. */
export class RouteDurations {
	readonly #byEstimate = new DurationDistribution(initialEstimateRatios);
	readonly #bySibling = new DurationDistribution(initialSiblingRatios);

	/**
	 * Adds the duration of a task that is done.
	 * @param expectation - What was known of it.
	 * @param workMs - Its duration on an upstream of average speed, in milliseconds.
	 */
	add({estimateMs, siblingMs}: TaskExpectation, workMs: number): void {
		if (estimateMs > 0) {
			this.#byEstimate.add(workMs / Math.max(minReferenceMs, estimateMs));
		}

		if (siblingMs > 0) {
			this.#bySibling.add(workMs / Math.max(minReferenceMs, siblingMs));
		}
	}

	/** Gets the number of tasks that are remembered. */
	getCount(): number {
		return this.#byEstimate.getCount();
	}

	/**
	 * Gets the duration above which a task is late, on an upstream of average speed, in milliseconds.
	 * @param expectation - What is known of the task.
	 */
	getLateMs(expectation: TaskExpectation): number {
		const {distribution, referenceMs} = this.#getReference(expectation);
		return distribution.getSummary().lateRatio * referenceMs;
	}

	/**
	 * Gets the duration that most tasks do not exceed, on an upstream of average speed, in milliseconds.
	 * @param expectation - What is known of the task.
	 */
	getLikelyMs(expectation: TaskExpectation): number {
		const {distribution, referenceMs} = this.#getReference(expectation);
		return distribution.getSummary().likelyRatio * referenceMs;
	}

	/**
	 * Compares a duration with the typical one.
	 * @param expectation - What was known of the task.
	 * @param measuredMs - Duration in milliseconds.
	 */
	compare(expectation: TaskExpectation, measuredMs: number): SpeedObservation {
		const {distribution, referenceMs} = this.#getReference(expectation);
		const {median, spread} = distribution.getSummary();
		return {logRatio: Math.log(Math.max(minReferenceMs, measuredMs) / (referenceMs * median)), spread};
	}

	/**
	 * Gets the probability that a task takes longer than a duration, on an upstream of average speed.
	 * @param expectation - What is known of the task.
	 * @param workMs - Duration in milliseconds.
	 */
	getSurvival(expectation: TaskExpectation, workMs: number): number {
		const {distribution, referenceMs} = this.#getReference(expectation);
		return distribution.getSurvival(workMs / referenceMs);
	}

	/**
	 * Gets how long a task takes, on an upstream of average speed, in milliseconds.
	 * @param expectation - What is known of the task.
	 * @param quantile - Share of the tasks that take no longer, from 0 to 1.
	 * @param reachedMs - Time that it has run, in milliseconds.
	 */
	getDurationMs(expectation: TaskExpectation, quantile: number, reachedMs = 0): number {
		const {distribution, referenceMs} = this.#getReference(expectation);
		return distribution.getConditionalQuantile(reachedMs / referenceMs, quantile) * referenceMs;
	}

	/** Tasks of one job differ less than the callers' estimates are off. */
	#getReference({estimateMs, siblingMs}: TaskExpectation): {readonly distribution: DurationDistribution; readonly referenceMs: number} {
		return siblingMs > 0
			? {distribution: this.#bySibling, referenceMs: Math.max(minReferenceMs, siblingMs)}
			: {distribution: this.#byEstimate, referenceMs: Math.max(minReferenceMs, estimateMs)};
	}
}

/** A run that goes on, as far as its remaining time depends on it. */
export type ContinuingRun = {
	readonly durations: RouteDurations;
	readonly expectation: TaskExpectation;
	/** Time that it has run, in milliseconds. */
	readonly ageMs: number;
	/** Ratio of durations on its upstream to those on an average one. */
	readonly slowness: number;
};

/**
 * Gets for how much longer a run goes on, in milliseconds.
 * @param run - Run.
 * @param quantile - Share of such runs that take no longer, from 0 to 1.
 */
export function getRemainingMs({durations, expectation, ageMs, slowness}: ContinuingRun, quantile: number): number {
	return Math.max(0, (durations.getDurationMs(expectation, quantile, ageMs / slowness) * slowness) - ageMs);
}
