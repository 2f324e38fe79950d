/**
 * Memory of the data centres that refused jobs of a route, so that under total overload a VM asks them only now and then. Each further refusal
 * doubles the time, up to that after which refused callers return.
 */
import {minRetryAfterMs} from './admission.js';

type Closure = {readonly until: number; readonly durationMs: number};

/** Share of a job's objective for which its data centre is not asked again after a first refusal: the queue there hardly changes within it. */
const firstClosureShare = 0.1;

/** Keeps until when a data centre is not asked again for jobs of a route. */
export class RecentRefusals {
	readonly #closures = new Map<string, Closure>();

	/**
	 * Gets whether a data centre refused a job of the route a short time ago.
	 * @param dataCenter - Data centre.
	 * @param route - Route of the job.
	 * @param now - Monotonic time.
	 */
	isClosed(dataCenter: string, route: string, now: number): boolean {
		return now < (this.#closures.get(getKey(dataCenter, route))?.until ?? -Infinity);
	}

	/**
	 * Records a refusal.
	 * @param dataCenter - Data centre.
	 * @param route - Route of the job.
	 * @param objectiveMs - Objective of the job, in milliseconds.
	 * @param now - Monotonic time.
	 */
	addRefusal(dataCenter: string, route: string, objectiveMs: number, now: number): void {
		const key = getKey(dataCenter, route);
		const previous = this.#closures.get(key);
		if (previous !== undefined && now < previous.until) {
			// The answer to a job that was sent before the data centre was closed.
			return;
		}

		const isRepeated = previous !== undefined && now - previous.until < minRetryAfterMs;
		const durationMs = Math.min(minRetryAfterMs, isRepeated ? previous.durationMs * 2 : objectiveMs * firstClosureShare);
		this.#closures.set(key, {until: now + durationMs, durationMs});
	}

	/**
	 * Forgets the refusals of a route after a data centre accepted a job.
	 * @param dataCenter - Data centre.
	 * @param route - Route of the job.
	 */
	removeRefusals(dataCenter: string, route: string): void {
		this.#closures.delete(getKey(dataCenter, route));
	}
}

function getKey(dataCenter: string, route: string): string {
	return `${dataCenter} ${route}`;
}
