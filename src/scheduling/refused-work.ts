/**
 * The work of refused jobs whose callers will come back. If all callers that are refused in a burst came back when the present queue is done, they
 * would overload the pool again; each is told to come back when there is room after those refused before it.
 */

/** Longest time after which a caller is told to come back, in milliseconds; a burst rarely lasts longer, and callers wait for an answer no longer. */
const maxRetryAfterMs = 10_000;

/** Keeps the refused work as a queue that is served once the present one is done. */
export class RefusedWork {
	/** Monotonic time at which there is room for the next refused job. */
	#roomAt = -Infinity;

	/**
	 * Adds a refused job.
	 * @param work - Core-milliseconds of the job.
	 * @param queue - Core-milliseconds of queued work, and cores that serve it.
	 * @param now - Monotonic time.
	 * @returns Time after which there will be room for the job, in milliseconds.
	 */
	addJob(work: number, {queuedWork, cores}: {readonly queuedWork: number; readonly cores: number}, now: number): number {
		if (cores <= 0) {
			return 0;
		}

		const queueDoneAt = now + (queuedWork / cores);
		this.#roomAt = Math.min(now + maxRetryAfterMs, Math.max(this.#roomAt, queueDoneAt) + (work / cores));
		return this.#roomAt - now;
	}
}
