/**
 * Whether this process is short of processor time for longer than a moment. Answers VMs that turn slow, or whose part of the load
 * has outgrown them: an owner that is late with everything keeps its upstreams idle and its callers waiting, while other VMs of the data
 * centre could give the same orders.
 */

/** Limits of {@link StarvationDetector}. */
export type StarvationLimits = {
	/** Delay of a timer from which a check counts as late, in milliseconds: more than the time that most jobs have to spare. */
	readonly lateMs: number;
	/** Checks in a row that must be late: a single long turn of the event loop, or a frozen VM, is over by then. */
	readonly minLateChecks: number;
	/** Time without a late check after which the process counts as sound again, in milliseconds. */
	readonly recoveryMs: number;
};

export const defaultStarvationLimits: StarvationLimits = {lateMs: 150, minLateChecks: 4, recoveryMs: 3000};

/** Judges by how late the process's own timers are. */
export class StarvationDetector {
	readonly #limits: StarvationLimits;
	#lateCount = 0;
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
	 * Notes how late a timer was.
	 * @param lateMs - Delay in milliseconds.
	 * @param now - Monotonic time.
	 * @returns Whether the judgement changed.
	 */
	addDelay(lateMs: number, now: number): boolean {
		const isLate = lateMs >= this.#limits.lateMs;
		this.#lateCount = isLate ? this.#lateCount + 1 : 0;
		this.#lastLateAt = isLate ? now : this.#lastLateAt;
		const before = this.#isStarved;
		this.#isStarved = before ? now - this.#lastLateAt < this.#limits.recoveryMs : this.#lateCount >= this.#limits.minLateChecks;
		return this.#isStarved !== before;
	}
}
