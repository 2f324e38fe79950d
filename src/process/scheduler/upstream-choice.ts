/**
 * Choice among the upstreams that have a free slot for a task.
 */

/** What the choice sees of an upstream. */
export type UpstreamCandidate = {
	readonly name: string;
	readonly slots: number;
	/** Tasks outstanding there, as far as this entry VM knows. */
	readonly outstanding: number;
	readonly latencyMs: number;
	readonly failureRate: number;
	/** Whether the slot is of this data centre. */
	readonly isLocal: boolean;
	/** Whether this task ended there before without an answer. */
	readonly wasTried: boolean;
};

/** Gets the candidate to use; there is at least one. */
export type UpstreamChoice = <T extends UpstreamCandidate>(candidates: readonly T[]) => T;

/** Cost of a failure as a multiple of the latency, so that quick failures never attract work. */
const failureCost = 20;

/** Added cost of another data centre's upstream as a multiple of the latency. */
const remoteCost = 1;

/** Added cost of an upstream that did not answer this task before, as a multiple of the latency. */
const triedCost = 100;

/**
 * Gets the expected cost of running a task on an upstream.
 * @param candidate - Upstream to judge.
 */
export function getUpstreamCost(candidate: UpstreamCandidate): number {
	const load = candidate.outstanding / candidate.slots;
	const penalty = (candidate.failureRate * failureCost) + (candidate.isLocal ? 0 : remoteCost) + (candidate.wasTried ? triedCost : 0);
	return candidate.latencyMs * (1 + load + penalty);
}

/**
 * Chooses the upstream of the lowest cost; the first of equal ones.
 * @param candidates - Upstreams with a free slot that fit the task.
 */
export const chooseLeastLoaded: UpstreamChoice = candidates => {
	let best = candidates[0]!;
	let bestCost = getUpstreamCost(best);
	for (const candidate of candidates) {
		const cost = getUpstreamCost(candidate);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
};
