/**
 * How the runs of an upstream's tasks count for it: slow, failing and stalling upstreams are a last resort or get nothing for a while.
 */
import {type DecisionLog} from './decision-log.js';
import {type PlacementCandidate} from './placement.js';
import {type UpstreamLink} from './upstream-link.js';

/** Failed runs in a row after which an upstream is a last resort, and after which it gets no tasks for a while. */
const doubtfulFailures = 1;
const ejectingFailures = 2;

/** Time for which an upstream that fails or stalls gets no tasks, in milliseconds; doubled with each further failure. */
const ejectionMs = 500;
const maxEjectionMs = 4000;

/** Slowness from which an upstream is a last resort; usual upstreams are between 0.8 and 1.3. */
const doubtfulSlowness = 2;

/** Largest slowness that one task is taken for, so that one that stood still does not count for ever. */
const maxSlowness = 5;

/** Weight of a new observation in an upstream's slowness. */
const slownessWeight = 0.2;

/**
 * Counts a failed or overdue run.
 * @param link - Upstream.
 * @param now - Monotonic time.
 * @param log - Log.
 */
export function addFailure(link: UpstreamLink, now: number, log: DecisionLog): void {
	link.consecutiveFailures++;
	if (link.consecutiveFailures >= ejectingFailures) {
		const pauseMs = Math.min(maxEjectionMs, ejectionMs * (2 ** (link.consecutiveFailures - ejectingFailures)));
		link.suspendedUntil = now + pauseMs;
		log.info({upstream: link.name, failures: link.consecutiveFailures, pauseMs}, 'upstream ejected');
	}
}

/**
 * Counts a run that was done.
 * @param link - Upstream.
 * @param measuredMs - Time that it took.
 * @param expectedMs - Time that it should have taken.
 */
export function addSuccess(link: UpstreamLink, measuredMs: number, expectedMs: number): void {
	link.slowness += ((Math.min(maxSlowness, measuredMs / Math.max(1, expectedMs)) - link.slowness) * slownessWeight);
	link.consecutiveFailures = 0;
}

/**
 * Gets an upstream as placement sees it.
 * @param link - Upstream.
 */
export function toCandidate(link: UpstreamLink): PlacementCandidate {
	const {id, rack, labels} = link.description;
	return {
		id, rack, labels, free: link.getFreeCapacity(), slowness: link.slowness,
		isDoubtful: link.consecutiveFailures >= doubtfulFailures || link.slowness >= doubtfulSlowness,
	};
}
