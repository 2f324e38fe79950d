/**
 * On which upstream a task starts. Answers the load of tasks that take a third to two thirds of an upstream: the fullest
 * upstream that still fits keeps the emptier ones whole for wide tasks, and faster upstreams are used before slower ones
 * while there is a choice.
 */
import {type JobStep, type TaskNeeds} from './pool-job.js';

/** An upstream as placement sees it. */
export type PlacementCandidate = {
	readonly id: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly free: TaskNeeds;
	/** Measured duration of tasks against the expected one; 1 is usual, larger is slower. */
	readonly slowness: number;
	/** Whether recent failures or silence make it a last resort. */
	readonly isSuspect: boolean;
};

/** Slowness in steps of this size counts as equal, so that noise does not decide over packing. */
const slownessStep = 0.15;

/** Gets whether a task fits into what is free. */
export function fits(needs: TaskNeeds, free: TaskNeeds): boolean {
	return needs.cpu <= free.cpu && needs.memoryMb <= free.memoryMb && needs.accelerators <= free.accelerators;
}

/**
 * Chooses the upstream for a task; `undefined` where it fits on none.
 * @param step - Step of the task.
 * @param candidates - Upstreams that take new tasks.
 * @param placedCounts - Running tasks of the same step by upstream.
 */
export function chooseUpstream(step: JobStep, candidates: readonly PlacementCandidate[], placedCounts?: ReadonlyMap<string, number>): PlacementCandidate | undefined {
	let best: PlacementCandidate | undefined;
	let bestCost: readonly number[] = [];
	for (const candidate of candidates) {
		if (!isAllowed(step, candidate, placedCounts)) {
			continue;
		}

		const cost = getCost(step, candidate);
		if (best === undefined || isLower(cost, bestCost)) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function isAllowed(step: JobStep, candidate: PlacementCandidate, placedCounts: ReadonlyMap<string, number> | undefined): boolean {
	return fits(step.needs, candidate.free)
		&& (step.requiredLabel === undefined || candidate.labels.includes(step.requiredLabel))
		&& (step.maxPerUpstream === undefined || (placedCounts?.get(candidate.id) ?? 0) < step.maxPerUpstream);
}

function getCost(step: JobStep, {isSuspect: isDoubtful, rack, slowness, free}: PlacementCandidate): readonly number[] {
	return [
		Number(isDoubtful),
		Number(step.dataRack !== undefined && step.dataRack !== rack),
		Math.round(slowness / slownessStep),
		free.cpu - step.needs.cpu,
	];
}

function isLower(a: readonly number[], b: readonly number[]): boolean {
	for (const [position, value] of a.entries()) {
		if (value !== b[position]) {
			return value < b[position]!;
		}
	}

	return false;
}
