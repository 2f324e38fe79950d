/**
 * Rules for the ejection of an upstream, by comparison with the healthy upstreams of its service.
 */
import {type UpstreamHealth} from './upstream-health.js';

/** Minimum number of consecutive failures before an upstream is ejected for failures. */
const failureThreshold = 3;

/** Baseline failure rate from which failures are attributed to a common cause and eject no upstream. */
const commonFailureRate = 0.5;

/** Minimum difference between the failure rate of an upstream ejected for failures and that of the baseline. */
const failureRateMargin = 0.3;

/** Minimum number of consecutive failures before an upstream is ejected that fails more than half of its tasks. */
const highRateFailureThreshold = 2;

/** Multiple of the baseline's median latency above which an upstream is slow. */
const latencyFactor = 2.5;

/** Minimum number of latency observations before a slow upstream is ejected. */
const minLatencySamples = 4;

/** Statistics of the healthy upstreams of a service. */
export type Baseline = {
	readonly medianLatencyMs: number;
	readonly meanFailureRate: number;
};

/** Reason for which an upstream is ejected. */
export type OutlierReason = 'failures' | 'latency';

/**
 * Gets the reason why an upstream is an outlier; `undefined` when it is none.
 * @param health - Health of the upstream.
 * @param baseline - Statistics to compare with.
 */
export function getOutlierReason(health: UpstreamHealth, baseline: Baseline): OutlierReason | undefined {
	if (isFailing(health, baseline)) {
		return 'failures';
	}

	return isSlow(health.getLatencyMs(), baseline) && health.getLatencyWeight() >= minLatencySamples ? 'latency' : undefined;
}

/**
 * Gets whether a latency is far above the baseline; false when the baseline has no latency.
 * @param latencyMs - Latency in milliseconds.
 * @param baseline - Statistics to compare with.
 */
export function isSlow(latencyMs: number, baseline: Baseline): boolean {
	return baseline.medianLatencyMs > 0 && latencyMs > baseline.medianLatencyMs * latencyFactor;
}

/**
 * Computes the baseline. Without upstreams, its failure rate is 1, so that failures eject none.
 * @param healths - Health of each healthy upstream of the service.
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

function isFailing(health: UpstreamHealth, baseline: Baseline): boolean {
	if (baseline.meanFailureRate >= commonFailureRate) {
		return false;
	}

	const isAboveBaseline = health.getFailureRate() > baseline.meanFailureRate + failureRateMargin;
	return isAboveBaseline && health.getConsecutiveFailures() >= (health.getFailureRate() > commonFailureRate ? highRateFailureThreshold : failureThreshold);
}
