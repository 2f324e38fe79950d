/**
 * How much work comes in, by priority. Answers sustained overload: jobs of a lower priority wait not only for the work that
 * is queued before them, but also for what will still come in before they get room.
 */

/** Time in which an observation loses most of its weight, in milliseconds: long against a job, short against a burst of 4 s. */
const windowMs = 1500;

type Rate = {cores: number; at: number};

/** Keeps the decayed rate of work of each priority, in cores. */
export class OfferedLoad {
	readonly #rates = new Map<number, Rate>();

	/**
	 * Adds the work of a job that was admitted.
	 * @param priority - Priority.
	 * @param work - Core-milliseconds.
	 * @param now - Monotonic time.
	 */
	addWork(priority: number, work: number, now: number): void {
		this.#rates.set(priority, {cores: this.#getRate(priority, now) + (work / windowMs), at: now});
	}

	/**
	 * Gets the cores that work of higher priorities takes.
	 * @param priority - Priority; lower numbers are higher.
	 * @param now - Monotonic time.
	 */
	getHigherPriorityCores(priority: number, now: number): number {
		return [...this.#rates.keys()].filter(other => other < priority).reduce((sum, other) => sum + this.#getRate(other, now), 0);
	}

	#getRate(priority: number, now: number): number {
		const rate = this.#rates.get(priority);
		return rate === undefined ? 0 : rate.cores * Math.exp((rate.at - now) / windowMs);
	}
}
