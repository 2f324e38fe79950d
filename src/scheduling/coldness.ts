/**
 * Durations on cold upstreams: an upstream that has just started works more slowly for a while.
 */

/** How much slower cold upstreams are. */
export type ColdLimits = {
	/** Ratio of the expected duration of a task on a cold upstream to that on a warm one. */
	readonly overage: number;
	/** Factor by which a run that began on a cold upstream may take longer than another one until it counts as overdue. */
	readonly slack: number;
};

/** The platform's defaults. */
export const defaultColdLimits: ColdLimits = {overage: 1.5, slack: 5};

/**
 * Gets the expected duration of a task on an upstream that is cold at first, in milliseconds.
 * @param warmMs - Expected duration on a warm upstream, in milliseconds.
 * @param coldMs - Time for which the upstream stays cold, in milliseconds.
 * @param overage - Ratio of the duration on a cold upstream to that on a warm one.
 */
export function getColdDurationMs(warmMs: number, coldMs: number, overage: number): number {
	const fullyColdMs = warmMs * overage;
	// What is done while the upstream is cold is less by the ratio; the rest is done at the usual speed.
	return fullyColdMs <= coldMs ? fullyColdMs : coldMs + (warmMs - (coldMs / overage));
}

/** Times of a task that decide whether it may start on a cold upstream. */
export type ColdStart = {
	readonly now: number;
	/** Expected duration on a warm upstream, in milliseconds. */
	readonly warmMs: number;
	/** Monotonic times of the objective, and until which an answer has value. */
	readonly objectiveAt: number;
	readonly lastUsefulAt: number;
};

/**
 * Gets whether a task should wait for a warm upstream: it would be in time there and late on the cold one.
 * @param start - Times of the task.
 * @param coldMs - Time for which the cold upstream stays cold, in milliseconds.
 * @param overage - Ratio of the duration on a cold upstream to that on a warm one.
 */
export function needsWarmUpstream({now, warmMs, objectiveAt, lastUsefulAt}: ColdStart, coldMs: number, overage: number): boolean {
	const coldEndAt = now + getColdDurationMs(warmMs, coldMs, overage);
	return [objectiveAt, lastUsefulAt].some(limit => now + warmMs <= limit && coldEndAt > limit);
}
