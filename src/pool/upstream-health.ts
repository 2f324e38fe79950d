/**
 * Passive health checks of upstreams: slow upstreams become a last resort, and failing or stalling ones are ejected for a while.
 */
import {type PlacementCandidate} from '../scheduling/index.js';
import {type DecisionLog} from './decision-log.js';
import {type UpstreamLink} from './upstream-link.js';

/** Consecutive failed runs from which an upstream is a last resort, and from which it is ejected. */
const minSuspectFailures = 1;
const minEjectionFailures = 2;

/** Time for which an ejected upstream gets no tasks, in milliseconds; doubled with each further failure up to the maximum. */
const initialEjectionMs = 500;
const maxEjectionMs = 4000;

/** Slowness from which an upstream is a last resort if speeds are not learnt; otherwise placement compares it with the slack of the task. */
const minSuspectSlowness = 2;

/** Probability of a fault from which an upstream is a last resort: that costs little if it is wrong, as other upstreams are used first. */
const minSuspectProbability = 0.1;

/** Upper bound of the slowness observed from one task, so that the effect of a stalled one wears off. */
const maxObservedSlowness = 5;

/** Weight of a new observation in the running mean of an upstream's slowness. */
const slownessObservationWeight = 0.2;

/**
 * Records a failed or overdue run.
 * @param link - Upstream.
 * @param now - Monotonic time.
 * @param log - Log.
 */
export function recordFailure(link: UpstreamLink, now: number, log: DecisionLog): void {
	link.consecutiveFailures++;
	if (link.consecutiveFailures >= minEjectionFailures) {
		const pauseMs = Math.min(maxEjectionMs, initialEjectionMs * (2 ** (link.consecutiveFailures - minEjectionFailures)));
		link.suspendedUntil = now + pauseMs;
		log.info({upstream: link.name, failures: link.consecutiveFailures, pauseMs}, 'upstream ejected');
	}
}

/**
 * Records a run that was done.
 * @param link - Upstream.
 * @param ratio - Ratio of its duration to the expected one, if the slowness is a running mean of it.
 */
export function recordSuccess(link: UpstreamLink, ratio?: number): void {
	link.consecutiveFailures = 0;
	if (ratio !== undefined) {
		link.slowness += (Math.min(maxObservedSlowness, ratio) - link.slowness) * slownessObservationWeight;
		link.isSlow = link.slowness >= minSuspectSlowness;
	}
}

/**
 * Gets whether an upstream is more probably at fault than is to be neglected.
 * @param faultProbability - Probability that it is.
 */
export function isSuspicious(faultProbability: number): boolean {
	return faultProbability >= minSuspectProbability;
}

/**
 * Gets an upstream as a candidate for placement.
 * @param link - Upstream.
 */
export function toCandidate(link: UpstreamLink): PlacementCandidate {
	const {id, rack, cold} = link.description;
	return {
		id, rack, labels: link.getLabels(), free: link.getFreeCapacity(), slowness: cold !== undefined && link.isCold() ? link.slowness * cold.overage : link.slowness,
		isSuspect: link.consecutiveFailures >= minSuspectFailures || link.isSlow || isSuspicious(link.faultProbability),
	};
}
