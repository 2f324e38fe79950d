/**
 * Corrects callers' estimates of task durations by the measured durations of each route.
 */

import {RouteDurations} from './route-durations.js';

/** Weight of a new observation in the running mean, which covers about the last 20 tasks. */
const observationWeight = 0.05;

/** Bounds of one observed ratio, so that a single stuck task hardly changes the mean. */
const minRatio = 0.2;
const maxRatio = 5;

/** Keeps the mean ratio of measured to estimated durations of each route. */
export class DurationEstimator {
	readonly #ratios = new Map<string, number>();
	readonly #durations = new Map<string, RouteDurations>();

	/**
	 * Gets the expected duration of a task in milliseconds.
	 * @param route - Route of the job.
	 * @param estimateMs - The caller's estimate in milliseconds.
	 */
	getExpectedMs(route: string, estimateMs: number): number {
		return estimateMs * (this.#ratios.get(route) ?? 1);
	}

	/**
	 * Gets the distribution of a route's durations relative to the speeds of the upstreams.
	 * @param route - Route of the job.
	 */
	getDurations(route: string): RouteDurations {
		let durations = this.#durations.get(route);
		if (durations === undefined) {
			durations = new RouteDurations();
			this.#durations.set(route, durations);
		}

		return durations;
	}

	/**
	 * Adds the duration of a task that was done.
	 * @param route - Route of the job.
	 * @param estimateMs - The caller's estimate in milliseconds.
	 * @param measuredMs - Time from the acknowledgement of the start to the end of the run, in milliseconds.
	 */
	addDuration(route: string, estimateMs: number, measuredMs: number): void {
		if (estimateMs <= 0) {
			return;
		}

		const ratio = Math.min(maxRatio, Math.max(minRatio, measuredMs / estimateMs));
		const mean = this.#ratios.get(route) ?? 1;
		this.#ratios.set(route, mean + ((ratio - mean) * observationWeight));
	}
}
