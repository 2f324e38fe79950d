/**
 * Measures the offered load by priority. Under sustained overload, jobs of a lower priority wait not only for the work that
 * is queued ahead of them, but also for work of higher priorities that arrives before they start.
 */

/** Time constant of the exponential decay, in milliseconds: long compared to a job, short compared to a burst of 4 s. */
const decayTimeMs = 1500;

type Rate = {cores: number; at: number};

/** Keeps the decayed rate of work of each priority, in cores. */
export class OfferedLoad {
	readonly #rates = new Map<number, Rate>();

	/**
	 * Adds the work of an admitted job.
	 * @param priority - Priority of the job.
	 * @param work - Core-milliseconds.
	 * @param now - Monotonic time.
	 */
	addWork(priority: number, work: number, now: number): void {
		this.#rates.set(priority, {cores: this.#getRate(priority, now) + (work / decayTimeMs), at: now});
	}

	/**
	 * Gets the cores that work of higher priorities takes at its current rate.
	 * @param priority - Priority; a lower number is a higher priority.
	 * @param now - Monotonic time.
	 */
	getHigherPriorityCores(priority: number, now: number): number {
		return [...this.#rates.keys()].filter(other => other < priority).reduce((sum, other) => sum + this.#getRate(other, now), 0);
	}

	#getRate(priority: number, now: number): number {
		const rate = this.#rates.get(priority);
		return rate === undefined ? 0 : rate.cores * Math.exp((rate.at - now) / decayTimeMs);
	}
}
