/**
 * Decides when an upstream is put aside, by comparison with the others of its service.
 */
import {type UpstreamHealth} from './upstream-health.js';

/** Failures in a row that put an upstream aside while its fellows mostly answer. */
const maxFailuresInRow = 3;

/** Failure rate of the fellows from which on failures are no longer the upstream's own fault. */
const commonFailureRate = 0.5;

/** Lead of an upstream's failure rate over its fellows' that puts it aside. */
const failureRateLead = 0.3;

/** Failures in the decayed rate before it counts. */
const minFailuresInRow = 2;

/** Latency as a multiple of the fellows' median that puts an upstream aside. */
const latencyFactor = 2.5;

/** Answers before the latency counts. */
const minLatencySamples = 4;

/** What the fellows of an upstream show. */
export type Baseline = {
	readonly medianLatencyMs: number;
	readonly meanFailureRate: number;
};

/** Why an upstream is put aside. */
export type OutlierReason = 'failures' | 'latency';

/**
 * Gets why an upstream is an outlier, or `undefined` when it is none.
 * @param health - What was observed of the upstream.
 * @param fellows - What was observed of the others.
 */
export function getOutlierReason(health: UpstreamHealth, fellows: Baseline): OutlierReason | undefined {
	if (isFailing(health, fellows)) {
		return 'failures';
	}

	return isSlow(health.getLatencyMs(), fellows) && health.getLatencyWeight() >= minLatencySamples ? 'latency' : undefined;
}

/**
 * Tells whether a latency is far above the fellows'.
 * @param latencyMs - Latency to judge.
 * @param fellows - What was observed of the others.
 */
export function isSlow(latencyMs: number, fellows: Baseline): boolean {
	return fellows.medianLatencyMs > 0 && latencyMs > fellows.medianLatencyMs * latencyFactor;
}

/**
 * Summarizes the fellows of an upstream.
 * @param healths - What was observed of the other upstreams of the service.
 */
export function computeBaseline(healths: readonly UpstreamHealth[]): Baseline {
	const latencies = healths
		.filter(health => health.getLatencyWeight() > 0)
		.map(health => health.getLatencyMs())
		.toSorted((a, b) => a - b);
	const rates = healths.map(health => health.getFailureRate());
	return {
		medianLatencyMs: latencies[Math.floor(latencies.length / 2)] ?? 0,
		meanFailureRate: rates.length === 0 ? 1 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
	};
}

function isFailing(health: UpstreamHealth, fellows: Baseline): boolean {
	if (fellows.meanFailureRate >= commonFailureRate) {
		return false;
	}

	const hasLead = health.getFailureRate() > fellows.meanFailureRate + failureRateLead;
	return hasLead && health.getConsecutiveFailures() >= (health.getFailureRate() > commonFailureRate ? minFailuresInRow : maxFailuresInRow);
}
