/**
 * Cold upstreams: slow for some time after their start, which says nothing about their health.
 */
import {
	type ColdStart, isOverdue, needsWarmUpstream, type RunAge,
} from '../scheduling/index.js';
import {type UpstreamCandidate} from './free-capacities.js';
import {type RunHost} from './run-host.js';
import {type LinkedRun, UpstreamLink} from './upstream-link.js';

/**
 * Leaves out the cold upstreams on which a task would be late although it would be in time on a warm one; all are kept if none is warm.
 * @param candidates - Upstreams that accept starts.
 * @param getStart - Gets the times of the task; not called if no upstream is cold.
 */
export function excludeTooCold(candidates: readonly UpstreamCandidate[], getStart: () => ColdStart): readonly UpstreamCandidate[] {
	if (candidates.every(({link}) => link.description.cold === undefined)) {
		return candidates;
	}

	const start = getStart();
	const isCold = ({link}: UpstreamCandidate): boolean => link.isColdAt(start.now);
	if (candidates.every(candidate => isCold(candidate))) {
		return candidates;
	}

	return candidates.filter(candidate => {
		const {cold} = candidate.link.description;
		return cold === undefined || !isCold(candidate) || !needsWarmUpstream(start, cold.until - start.now, cold.overage);
	});
}

/**
 * Gets the cold upstreams that {@link excludeTooCold} leaves out; `undefined` for none.
 * @param candidates - Upstreams that accept starts.
 * @param getStart - Gets the times of the task; not called if no upstream is cold.
 */
export function getTooCold(candidates: readonly UpstreamCandidate[], getStart: () => ColdStart): ReadonlySet<string> | undefined {
	const kept = excludeTooCold(candidates, getStart);
	if (kept.length === candidates.length) {
		return undefined;
	}

	const keptIds = new Set(kept.map(({id}) => id));
	return new Set(candidates.filter(({id}) => !keptIds.has(id)).map(({id}) => id));
}

/**
 * Gets whether a run began on a cold upstream.
 * @param host - Upstream or pool that runs it.
 * @param run - Run.
 */
export function hasColdStart(host: RunHost, run: Pick<LinkedRun, 'startedAt'>): boolean {
	return host instanceof UpstreamLink && host.isColdAt(run.startedAt);
}

/**
 * Gets whether a run that looks overdue may take so long because it began on a cold upstream.
 * @param host - Upstream or pool that runs it.
 * @param run - Run.
 * @param age - Its age and reference durations.
 */
export function isWithinColdSlack(host: RunHost, run: Pick<LinkedRun, 'startedAt'>, age: RunAge): boolean {
	return host instanceof UpstreamLink && host.isColdAt(run.startedAt) && !isOverdue({...age, ageMs: age.ageMs / host.description.cold!.slack});
}
