/**
 * Choice among the upstreams that have a free slot for a task.
 */

/** An upstream with a free slot, and the values that the choice depends on. */
export type UpstreamCandidate = {
	readonly name: string;
	readonly slots: number;
	/** Number of outstanding tasks on the upstream that this entry VM has a record of. */
	readonly outstanding: number;
	/** Decayed mean latency in milliseconds. */
	readonly latencyMs: number;
	/** Decayed fraction of failed tasks, from 0 to 1. */
	readonly failureRate: number;
	/** Whether the upstream is in this data centre. */
	readonly isLocal: boolean;
	/** Whether an earlier attempt of this task on the upstream ended without an answer. */
	readonly wasTried: boolean;
};

/** Chooses one of the candidates, of which there is at least one. */
export type UpstreamChoice = <T extends UpstreamCandidate>(candidates: readonly T[]) => T;

/** Cost of a failure as a multiple of the latency, so that an upstream that fails quickly never attracts work. */
const failureCost = 20;

/** Additional cost of an upstream in another data centre, as a multiple of the latency. */
const remoteCost = 1;

/** Additional cost of an upstream that did not answer an earlier attempt of the task, as a multiple of the latency. */
const triedCost = 100;

/**
 * Gets the expected cost of running a task on an upstream, in milliseconds.
 * @param candidate - Upstream to evaluate.
 */
export function getUpstreamCost(candidate: UpstreamCandidate): number {
	const load = candidate.outstanding / candidate.slots;
	const penalty = (candidate.failureRate * failureCost) + (candidate.isLocal ? 0 : remoteCost) + (candidate.wasTried ? triedCost : 0);
	return candidate.latencyMs * (1 + load + penalty);
}

/**
 * Chooses the upstream with the lowest cost; the first one among equals.
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
