/**
 * Knowledge of when this process was held, so that what it noticed late does not count against others.
 */

/** Time for which a hold is remembered, in milliseconds: longer than the runs of most tasks. */
const retentionMs = 10_000;

/** Times in which this process was held between two calls of a timer. */
export class OwnLateness {
	readonly #intervalMs: number;
	#holds: Array<{readonly endedAt: number; readonly heldMs: number}> = [];
	#checkedAt: number;

	/**
	 * @param intervalMs - Interval of the timer, in milliseconds.
	 * @param now - Monotonic time.
	 */
	constructor(intervalMs: number, now: number) {
		this.#intervalMs = intervalMs;
		this.#checkedAt = now;
	}

	/**
	 * Records a call of the timer.
	 * @param now - Monotonic time.
	 */
	check(now: number): void {
		const heldMs = now - this.#checkedAt - this.#intervalMs;
		this.#checkedAt = now;
		// Timers are late by up to an interval in normal operation.
		if (heldMs > this.#intervalMs) {
			this.#holds.push({endedAt: now, heldMs});
		}

		if (this.#holds.length > 0 && now - this.#holds[0]!.endedAt > retentionMs) {
			this.#holds = this.#holds.filter(({endedAt}) => now - endedAt <= retentionMs);
		}
	}

	/**
	 * Gets for how long this process was held since a time, in milliseconds, up to now.
	 * @param since - Monotonic time.
	 * @param now - Monotonic time.
	 */
	getHeldMsSince(since: number, now: number): number {
		const pendingMs = now - this.#checkedAt - this.#intervalMs;
		let heldMs = pendingMs > this.#intervalMs ? Math.min(pendingMs, now - since) : 0;
		for (const hold of this.#holds) {
			heldMs += Math.max(0, Math.min(hold.heldMs, hold.endedAt - since));
		}

		return heldMs;
	}
}
