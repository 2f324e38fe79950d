/**
 * The part of a job that cannot start at once, by which its wait is estimated.
 */
import {type JobStep, type TaskNeeds} from '../pool/pool-job.js';
import {countAllowed, type PlacementCandidate} from './placement.js';

/** Waiting tasks of one step of a job. */
export type WaitingStep = {
	readonly step: JobStep;
	/** Number of the tasks. */
	readonly count: number;
};

/**
 * Gets the core-milliseconds of a job that has no running tasks that could not start on the upstreams now.
 * @param steps - Waiting tasks by step.
 * @param upstreams - Upstreams that accept starts.
 */
export function getUnplacedWork(steps: readonly WaitingStep[], upstreams: ReadonlyArray<Pick<PlacementCandidate, 'id' | 'labels' | 'free'>>): number {
	const candidates = upstreams.map(({id, labels, free}) => ({id, labels, free}));
	let work = 0;
	for (const {step, count} of steps) {
		let unplacedCount = count;
		for (const candidate of candidates) {
			if (unplacedCount === 0) {
				break;
			}

			const placedCount = Math.min(unplacedCount, countAllowed(step, candidate));
			unplacedCount -= placedCount;
			candidate.free = reduce(candidate.free, step.needs, placedCount);
		}

		work += unplacedCount * step.needs.cpu / 1000 * step.estimateMs;
	}

	return work;
}

function reduce(free: TaskNeeds, {cpu, memoryMb, accelerators}: TaskNeeds, count: number): TaskNeeds {
	return {cpu: free.cpu - (cpu * count), memoryMb: free.memoryMb - (memoryMb * count), accelerators: free.accelerators - (accelerators * count)};
}
