/**
 * Choice of the upstream for a task. Typical tasks take a third to two thirds of an upstream: best-fit placement keeps the
 * emptier upstreams free for large tasks. Tasks with little slack go to fast upstreams; those that end in time on any are packed.
 */
import {type JobStep, type TaskNeeds} from '../pool/pool-job.js';

/** An upstream that a task may be placed on. */
export type PlacementCandidate = {
	readonly id: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly free: TaskNeeds;
	/** Ratio of measured to expected task durations; 1 is average, larger is slower. */
	readonly slowness: number;
	/** Whether recent failures or slow runs make the upstream a last resort. */
	readonly isSuspect: boolean;
};

/** Properties of an upstream by which candidates are compared. */
export type PlacementCosts = Pick<PlacementCandidate, 'rack' | 'free' | 'slowness' | 'isSuspect'>;

/** Slowness is rounded to multiples of this value, so that noise does not take precedence over packing. */
const slownessTolerance = 0.15;

/**
 * Gets whether a task fits into a free capacity.
 * @param needs - Needs of the task.
 * @param free - Free capacity.
 */
export function fits(needs: TaskNeeds, free: TaskNeeds): boolean {
	return needs.cpu <= free.cpu && needs.memoryMb <= free.memoryMb && needs.accelerators <= free.accelerators;
}

/**
 * Chooses the upstream for a task; `undefined` if the task fits none.
 * @param step - Step of the task.
 * @param candidates - Upstreams that accept starts.
 * @param placedCounts - Number of running tasks of the same step by upstream.
 * @param maxSlowness - Slowness up to which the task is expected to end in time; any such upstream will do. By default, the fastest is chosen.
 */
export function chooseUpstream<T extends PlacementCandidate>(step: JobStep, candidates: Iterable<T>, placedCounts?: ReadonlyMap<string, number>, maxSlowness?: number): T | undefined {
	let best: T | undefined;
	for (const candidate of candidates) {
		if (fits(step.needs, candidate.free) && isAllowedOn(step, candidate, placedCounts) && (best === undefined || compareCosts(step, candidate, best, maxSlowness) < 0)) {
			best = candidate;
		}
	}

	return best;
}

/**
 * Gets whether tasks of a step may run on an upstream, however much of it is free.
 * @param step - Step of the task.
 * @param candidate - Upstream.
 * @param placedCounts - Number of running tasks of the same step by upstream.
 */
export function isAllowedOn(step: JobStep, candidate: Pick<PlacementCandidate, 'id' | 'labels'>, placedCounts?: ReadonlyMap<string, number>): boolean {
	return (step.requiredLabel === undefined || candidate.labels.includes(step.requiredLabel)) && getRemainingLimit(step, candidate, placedCounts) > 0;
}

/**
 * Gets how many more tasks of a step may start on an upstream at the same time, by its free capacity, its labels and the step's limit.
 * @param step - Step of the tasks.
 * @param candidate - Upstream.
 * @param placedCounts - Number of running tasks of the same step by upstream; none by default.
 * @returns The number; `Infinity` if the tasks need nothing and have no limit.
 */
export function countAllowed(step: JobStep, candidate: Pick<PlacementCandidate, 'id' | 'labels' | 'free'>, placedCounts?: ReadonlyMap<string, number>): number {
	return isAllowedOn(step, candidate, placedCounts) ? Math.min(getRemainingLimit(step, candidate, placedCounts), countFitting(step.needs, candidate.free)) : 0;
}

/**
 * Gets how many tasks fit into a free capacity.
 * @param needs - Needs of one task.
 * @param free - Free capacity.
 */
export function countFitting(needs: TaskNeeds, free: TaskNeeds): number {
	const count = (need: number, available: number): number => need === 0 ? (available < 0 ? 0 : Infinity) : Math.max(0, Math.floor(available / need));
	return Math.min(count(needs.cpu, free.cpu), count(needs.memoryMb, free.memoryMb), count(needs.accelerators, free.accelerators));
}

/**
 * Gets how many more tasks of a step may run on an upstream by the step's limit, however much of it is free; `Infinity` without a limit.
 * @param step - Step of the tasks.
 * @param candidate - Upstream.
 * @param placedCounts - Number of running tasks of the same step by upstream; none by default.
 */
export function getRemainingLimit({maxPerUpstream}: JobStep, {id}: Pick<PlacementCandidate, 'id'>, placedCounts?: ReadonlyMap<string, number>): number {
	return maxPerUpstream === undefined ? Infinity : Math.max(0, maxPerUpstream - (placedCounts?.get(id) ?? 0));
}

/**
 * Compares two candidates that a task fits; the result is negative if the first one is better.
 * @param step - Step of the task.
 * @param a - Candidate.
 * @param b - Candidate.
 * @param maxSlowness - Slowness up to which the task is expected to end in time.
 */
export function compareCosts({dataRack}: JobStep, a: PlacementCosts, b: PlacementCosts, maxSlowness?: number): number {
	return (Number(a.isSuspect) - Number(b.isSuspect))
		|| (dataRack === undefined ? 0 : Number(dataRack !== a.rack) - Number(dataRack !== b.rack))
		|| compareSlowness(a.slowness, b.slowness, maxSlowness)
		|| (a.free.cpu - b.free.cpu);
}

/**
 * Compares two speeds: in time before late, and the faster of two on which the task is late. Two on which it is in time are equal, so that the task is
 * packed: it leaves the faster ones to tasks with less slack without keeping them idle.
 */
function compareSlowness(a: number, b: number, maxSlowness: number | undefined): number {
	if (maxSlowness === undefined) {
		return Math.round(a / slownessTolerance) - Math.round(b / slownessTolerance);
	}

	const isLate = a > maxSlowness;
	return (Number(isLate) - Number(b > maxSlowness)) || (isLate ? Math.round(Math.log(a) / slownessTolerance) - Math.round(Math.log(b) / slownessTolerance) : 0);
}
