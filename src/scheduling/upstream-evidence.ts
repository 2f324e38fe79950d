/**
 * Decision on runs that take long, by the evidence against their upstream. A task's work is its own: a new run of a long task takes as long, so that a run is
 * stopped only if its upstream is more probably stuck or slowed down than not, and if a new run is in time.
 */
import {type RouteDurations, type TaskExpectation} from './route-durations.js';

/** What the upstream last reported of a run's progress. */
export type RunProgress = {
	/** Percent of the run that is done. */
	readonly percent: number;
	/** Whether it was seen to change: some upstreams report a constant. */
	readonly hasChanged: boolean;
};

/** A run, and what is known of its duration. */
export type ObservedRun = {
	readonly durations: RouteDurations;
	readonly expectation: TaskExpectation;
	/** Time that it has run, in milliseconds, as far as its end would be known here. */
	readonly ageMs: number;
	/** Age that it had when a run of the upstream last ended after a normal time, in milliseconds; at most 0 if it began later. */
	readonly earlierAgeMs: number;
	readonly progress?: RunProgress;
	/** Job of the run: the tasks of one job are compared with the same estimate. */
	readonly job: string;
};

/** What is known of an upstream. */
export type ObservedUpstream = {
	/** Ratio of durations here to those on an average upstream, the larger the less of it is known. */
	readonly slowness: number;
	/** Evidence of runs that ended late, or were stopped, since a run last ended after a normal time; in nats. */
	readonly endedNats: number;
	/** Runs that go on. */
	readonly runs: readonly ObservedRun[];
};

/** Decision on a run. `not-late`, `long-task`: there is no evidence against the upstream. `proceeds`, `too-late`: a new run would end later, or too late. */
export type OverdueDecision = {
	readonly verdict: 'not-late' | 'long-task' | 'proceeds' | 'too-late' | 'stop';
	/** Probability that the upstream is stuck or slowed down. */
	readonly faultProbability: number;
	/** Expected duration of a new run, in milliseconds. */
	readonly newRunMs: number;
};

/** Runs that are taken to have ended well before any is observed; with each that does, a fault becomes less probable beforehand. */
const initialRuns = 10;

/** Weight of the evidence of each further run of a job that is compared with tasks of the job that are done: their median is half of the deviation. */
const sameJobWeight = 0.5;

/** The same without such tasks: a short estimate makes all tasks of the job late, so that a further one tells hardly more. */
const sameEstimateWeight = 0.1;

/** Probability from which the upstream is more probably at fault than not. */
const minFaultProbability = 0.5;

/**
 * Gets whether a run takes longer than nine of ten on its upstream; only such runs need a decision.
 * @param run - Run.
 * @param slowness - Ratio of durations on its upstream to those on an average one.
 */
export function isLate({durations, expectation, ageMs}: Pick<ObservedRun, 'durations' | 'expectation' | 'ageMs'>, slowness: number): boolean {
	return ageMs > durations.getLateMs(expectation) * slowness;
}

/**
 * Gets the evidence of a run against its upstream, in nats: how improbable its duration is for what it has run since a run last ended normally there. What it
 * ran before cannot be due to a fault that began later.
 * @param run - Run.
 * @param slowness - Ratio of durations on its upstream to those on an average one.
 */
export function getRunNats({durations, expectation, ageMs, earlierAgeMs}: ObservedRun, slowness: number): number {
	const survival = durations.getSurvival(expectation, ageMs / slowness);
	const earlierSurvival = earlierAgeMs > 0 ? durations.getSurvival(expectation, earlierAgeMs / slowness) : 1;
	return Math.max(0, Math.log(earlierSurvival / survival));
}

/**
 * Gets the probability that an upstream is stuck or slowed down.
 * @param upstream - What is known of it.
 * @param knownRuns - Number of runs that are remembered; a fault is taken to be as rare as one among them.
 */
export function getFaultProbability({slowness, endedNats, runs}: ObservedUpstream, knownRuns: number): number {
	let nats = endedNats - Math.log(initialRuns + knownRuns);
	for (const [position, run] of runs.entries()) {
		const isOfKnownJob = runs.some(({job}, earlier) => earlier < position && job === run.job);
		const sharedWeight = run.expectation.siblingMs > 0 ? sameJobWeight : sameEstimateWeight;
		nats += getRunNats(run, slowness) * (isOfKnownJob ? sharedWeight : 1);
	}

	return 1 / (1 + Math.exp(-nats));
}

/**
 * Decides whether a run is stopped and started elsewhere.
 * @param run - Run, which is one of the upstream's.
 * @param upstream - What is known of its upstream.
 * @param remainingMs - Time until the caller stops waiting, in milliseconds.
 */
export function decideOverdue(run: ObservedRun, upstream: ObservedUpstream, remainingMs: number): OverdueDecision {
	const {durations, expectation, ageMs, progress} = run;
	if (!isLate(run, upstream.slowness)) {
		return {verdict: 'not-late', faultProbability: 0, newRunMs: 0};
	}

	const faultProbability = getFaultProbability(upstream, durations.getCount());
	const newRunMs = durations.getDurationMs(expectation, 0.5);
	const decide = (verdict: OverdueDecision['verdict']): OverdueDecision => ({verdict, faultProbability, newRunMs});
	if (faultProbability < minFaultProbability) {
		return decide('long-task');
	}

	if (progress?.hasChanged === true && ageMs * (100 - progress.percent) <= newRunMs * progress.percent) {
		return decide('proceeds');
	}

	return decide(newRunMs > remainingMs ? 'too-late' : 'stop');
}
