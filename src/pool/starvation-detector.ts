/**
 * Detection of a lasting shortage of processor time in this process, on VMs that become slow or whose share of the load is too large.
 * An owner whose orders are late keeps its upstreams idle and its callers waiting, while other VMs of the data centre could send the
 * same orders.
 */

/** Limits of {@link StarvationDetector}. */
export type StarvationLimits = {
	/** Delay of a timer from which a check counts as late, in milliseconds: more than the slack of most jobs. */
	readonly lateMs: number;
	/** Number of consecutive late checks from which the process is starved; a single long turn of the event loop or a freeze of the VM causes fewer. */
	readonly minLateChecks: number;
	/** Time without a late check after which the process is no longer starved, in milliseconds. */
	readonly recoveryMs: number;
};

export const defaultStarvationLimits: StarvationLimits = {lateMs: 150, minLateChecks: 4, recoveryMs: 3000};

/** Detects starvation by the delay of the process's own timers. */
export class StarvationDetector {
	readonly #limits: StarvationLimits;
	#consecutiveLateChecks = 0;
	#lastLateAt = -Infinity;
	#isStarved = false;

	constructor(limits: StarvationLimits = defaultStarvationLimits) {
		this.#limits = limits;
	}

	/** Gets whether the process is short of processor time. */
	isStarved(): boolean {
		return this.#isStarved;
	}

	/**
	 * Adds the delay of a timer.
	 * @param lateMs - Delay in milliseconds.
	 * @param now - Monotonic time.
	 * @returns Whether the result of `isStarved` changed.
	 */
	addDelay(lateMs: number, now: number): boolean {
		const isLate = lateMs >= this.#limits.lateMs;
		this.#consecutiveLateChecks = isLate ? this.#consecutiveLateChecks + 1 : 0;
		this.#lastLateAt = isLate ? now : this.#lastLateAt;
		const wasStarved = this.#isStarved;
		this.#isStarved = wasStarved ? now - this.#lastLateAt < this.#limits.recoveryMs : this.#consecutiveLateChecks >= this.#limits.minLateChecks;
		return this.#isStarved !== wasStarved;
	}
}
