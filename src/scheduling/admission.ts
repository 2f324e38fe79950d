/**
 * Admission control of a pool. In bursts of more work than the pool can run, a job that would miss its deadline or objective is
 * refused on arrival, with the time after which the queue will have shrunk, so that its caller does not wait in vain.
 */
import {type RefusalReason} from '../pool/pool-job.js';

/** State of a pool and properties of a job that determine its admission. */
export type AdmissionInput = {
	/** Number of upstreams that accept starts and that the largest task of the job would fit when they are empty. */
	readonly fittingUpstreams: number;
	/** Core-milliseconds of queued work that is started before the job. */
	readonly workAhead: number;
	/** Core-milliseconds of the job. */
	readonly work: number;
	/** Cores of the upstreams that accept starts. */
	readonly cores: number;
	/** Cores that future work of higher priorities is expected to take. */
	readonly higherPriorityCores: number;
	/** Core-milliseconds of the job's tasks that do not fit into the capacity that is free now; 0 if all of them can start immediately. */
	readonly unplacedWork: number;
	/** Expected duration of the job's longest chain of dependent steps, in milliseconds. */
	readonly criticalPathMs: number;
	/** Time until the objective, in milliseconds. */
	readonly objectiveMs: number;
	/** Time until the caller stops waiting, in milliseconds. */
	readonly deadlineMs: number;
	/** Expected time until the next running task ends and frees its capacity, in milliseconds. */
	readonly nextRunEndMs: number;
};

/** Admission or refusal of a job, with its expected wait in milliseconds. */
export type AdmissionDecision =
	| {readonly isAdmitted: true; readonly expectedWaitMs: number}
	| {readonly isAdmitted: false; readonly expectedWaitMs: number; readonly reason: RefusalReason; readonly retryAfterMs: number};

/** Limits of {@link decideAdmission}. */
export type AdmissionLimits = {
	/** Share of the cores that tasks can use; the rest is lost to fragmentation. */
	readonly usableShare: number;
	/** Longest wait in the queue with which a job is admitted, as a share of the time that its objective leaves for it; 1 by default. */
	readonly slackShare?: number;
	/** Minimum share of the usable cores that a low priority is assumed to get, however much work of higher priorities arrives. */
	readonly minShare: number;
};

/** Tasks of 6.8 cores on upstreams of 16 and 24 cores fill 0.8 of all cores at full load. */
export const defaultAdmissionLimits: AdmissionLimits = {usableShare: 0.8, minShare: 0.6};

/**
 * Limits where waiting jobs are committed: a quarter of the objective is the time within which a refusal is early, and the rest of
 * the slack covers jobs that pass the queue, and slow upstreams.
 */
export const earlyAdmissionLimits: AdmissionLimits = {...defaultAdmissionLimits, slackShare: 0.25};

/** Limits with which a waiting job is re-evaluated: a part of its slack has passed, and of what could pass it as well. */
export const waitingAdmissionLimits: AdmissionLimits = {...defaultAdmissionLimits, slackShare: 0.5};

/** Minimum time after which a refused caller should retry, in milliseconds: the HTTP header has a resolution of one second. */
export const minRetryAfterMs = 1000;

/**
 * Decides whether a job is admitted.
 * @param input - State of the pool and properties of the job.
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

	// A job of which some tasks can start now is admitted even if it will miss its objective: capacity is free.
	const startsNow = input.unplacedWork < input.work;
	const queueMs = Math.max(0, expectedWaitMs - input.nextRunEndMs);
	const queueSlackMs = input.objectiveMs - input.criticalPathMs - Math.min(expectedWaitMs, input.nextRunEndMs);
	if (!startsNow && queueMs > queueSlackMs * (limits.slackShare ?? 1)) {
		return refuse('overloaded');
	}

	return {isAdmitted: true, expectedWaitMs};
}

function getExpectedWaitMs({unplacedWork, workAhead, cores, higherPriorityCores, nextRunEndMs}: AdmissionInput, {usableShare, minShare}: AdmissionLimits): number {
	if (unplacedWork === 0 || cores === 0) {
		return 0;
	}

	const usableCores = cores * usableShare;
	const availableCores = Math.max(usableCores * minShare, usableCores - higherPriorityCores);
	// Half of the job's own work approximates the time until its last task starts.
	return nextRunEndMs + ((workAhead + (unplacedWork / 2)) / availableCores);
}
