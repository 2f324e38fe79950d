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

/** Slowness from which an upstream is a last resort; typical upstreams are between 0.8 and 1.3. */
const minSuspectSlowness = 2;

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
 * @param measuredMs - Duration of the run in milliseconds.
 * @param expectedMs - Expected duration of the run in milliseconds; `undefined` if it says nothing about the speed, since the upstream was cold.
 */
export function recordSuccess(link: UpstreamLink, measuredMs: number, expectedMs: number | undefined): void {
	if (expectedMs !== undefined) {
		link.slowness += ((Math.min(maxObservedSlowness, measuredMs / Math.max(1, expectedMs)) - link.slowness) * slownessObservationWeight);
	}

	link.consecutiveFailures = 0;
}

/**
 * Gets an upstream as a candidate for placement.
 * @param link - Upstream.
 */
export function toCandidate(link: UpstreamLink): PlacementCandidate {
	const {id, rack, cold} = link.description;
	return {
		id, rack, labels: link.getLabels(), free: link.getFreeCapacity(), slowness: cold !== undefined && link.isCold() ? link.slowness * cold.overage : link.slowness,
		isSuspect: link.consecutiveFailures >= minSuspectFailures || link.slowness >= minSuspectSlowness,
	};
}
