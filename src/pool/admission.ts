/**
 * Whether a pool takes a job. Answers bursts of more work than the pool can run: a job that could only be given up later is
 * refused when it comes, with the time after which the queue will have shrunk, so that its caller does not wait in vain.
 */
import {type RefusalReason} from './pool-job.js';

/** What admission knows of a pool and a job. */
export type AdmissionInput = {
	/** Upstreams that take new tasks and on which the largest task of the job would fit when empty. */
	readonly fittingUpstreams: number;
	/** Core-milliseconds of queued work that would get room before the job, or in the middle of it. */
	readonly workAhead: number;
	/** Core-milliseconds of the job. */
	readonly work: number;
	/** Cores of the pool's upstreams that take new tasks. */
	readonly cores: number;
	/** Cores that later work of higher priorities is expected to take. */
	readonly higherPriorityCores: number;
	/** Core-milliseconds of the job's tasks that find no room now; 0 where all of them start at once. */
	readonly unplacedWork: number;
	/** Expected time of the job's longest chain, in milliseconds. */
	readonly criticalPathMs: number;
	/** Time until the objective, in milliseconds. */
	readonly objectiveMs: number;
	/** Time until the caller stops waiting, in milliseconds. */
	readonly deadlineMs: number;
	/** Mean time in which a running task ends and leaves room, in milliseconds. */
	readonly nextRunEndMs: number;
};

/** Admits the job with the expected wait, or refuses it. */
export type AdmissionDecision =
	| {readonly isAdmitted: true; readonly expectedWaitMs: number}
	| {readonly isAdmitted: false; readonly expectedWaitMs: number; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Limits of {@link decideAdmission}. */
export type AdmissionLimits = {
	/** Share of the cores that tasks of odd sizes can fill; the rest stays over beside them. */
	readonly usableShare: number;
	/** Longest expected answer that is admitted, in objectives. */
	readonly maxObjectives: number;
	/** Least share of the usable cores that a low priority is taken to get, however much comes in above it. */
	readonly minShare: number;
};

/** Cores filled at full load were 0.8 of all in the policy simulation with tasks of 6.8 cores on 16 and 24. */
export const defaultAdmissionLimits: AdmissionLimits = {usableShare: 0.8, maxObjectives: 1, minShare: 0.6};

/** Shortest time that a refused caller is told, in milliseconds: an HTTP header names whole seconds. */
export const minRetryAfterMs = 1000;

/**
 * Decides on a job.
 * @param input - What is known.
 * @param limits - Limits.
 */
export function decideAdmission(input: AdmissionInput, limits: AdmissionLimits = defaultAdmissionLimits): AdmissionDecision {
	const expectedWaitMs = getExpectedWaitMs(input, limits);
	const refuse = (reason: RefusalReason): AdmissionDecision => ({
		isAdmitted: false, expectedWaitMs, reason, retryAfterMs: Math.max(minRetryAfterMs, expectedWaitMs),
	});
	if (input.cores === 0) {
		return refuse('no-upstream');
	}

	if (input.fittingUpstreams === 0) {
		return refuse('does-not-fit');
	}

	const expectedMs = expectedWaitMs + input.criticalPathMs;
	if (expectedMs > input.deadlineMs) {
		return refuse('deadline');
	}

	// A job of which some tasks can start now is not refused while upstreams are free.
	const startsNow = input.unplacedWork < input.work;
	if (!startsNow && expectedMs > input.objectiveMs * limits.maxObjectives) {
		return refuse('overloaded');
	}

	return {isAdmitted: true, expectedWaitMs};
}

function getExpectedWaitMs({unplacedWork, workAhead, cores, higherPriorityCores: coresAbove, nextRunEndMs: nextEndMs}: AdmissionInput, {usableShare, minShare}: AdmissionLimits): number {
	if (unplacedWork === 0 || cores === 0) {
		return 0;
	}

	const usable = cores * usableShare;
	const left = Math.max(usable * minShare, usable - coresAbove);
	// Half of the job's own work stands for the time until its last task has room.
	return nextEndMs + ((workAhead + (unplacedWork / 2)) / left);
}
