/**
 * Collects and formats the measurements of a load.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {type CallOutcome} from './call.js';

/** Distribution of a measured value. */
export type Distribution = {
	readonly count: number;
	readonly mean: number;
	readonly p50: number;
	readonly p99: number;
	readonly max: number;
};

/** Measurements of a load. */
export type LoadReport = {
	readonly seconds: number;
	readonly jobs: number;
	readonly singles: number;
	readonly tasks: number;
	readonly calls: number;
	readonly outcomes: Readonly<Partial<Record<CallOutcome | 'none', number>>>;
	/** Number of requests by problem type. */
	readonly problems: Readonly<Record<string, number>>;
	/** Response time divided by the longest task of the job, for complete jobs. */
	readonly ratio: Distribution;
	/** Response time minus the longest task of the job, for complete jobs, in milliseconds. */
	readonly overheadMs: Distribution;
	readonly resubmitted: number;
	/** Resubmissions that got the same complete answer as the first call. */
	readonly joined: number;
	readonly cancelled: number;
	/** Task starts counted by the upstreams during the load; absent when no upstream was queried. */
	readonly upstreamStarts?: number;
	/** Messages between entry VMs during the load; absent when no entry VM was queried. */
	readonly peerMessages?: number;
};

/** Fixed-point factor that keeps three decimals in a histogram of whole numbers. */
const fixedPointFactor = 1000;

/** Collects values for a {@link Distribution}. */
export class DistributionBuilder {
	readonly #histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1e12, numberOfSignificantValueDigits: 3});

	/**
	 * Adds a value.
	 * @param value - Value to add; negative values count as 0.
	 */
	addValue(value: number): void {
		this.#histogram.recordValue(Math.round(Math.max(value, 0) * fixedPointFactor));
	}

	/** Gets the distribution of the values added so far. */
	getDistribution(): Distribution {
		const histogram = this.#histogram;
		const count = histogram.totalCount;
		return {
			count,
			mean: count === 0 ? 0 : round(histogram.mean / fixedPointFactor),
			p50: round(histogram.getValueAtPercentile(50) / fixedPointFactor),
			p99: round(histogram.getValueAtPercentile(99) / fixedPointFactor),
			max: round(histogram.maxValue / fixedPointFactor),
		};
	}
}

/**
 * Formats a report as text.
 * @param report - Report to format.
 */
export function formatLoadReport(report: LoadReport): string {
	const lines = [
		`${report.jobs} jobs and ${report.singles} single requests with ${report.tasks} tasks in ${report.seconds} s, ${report.calls} calls`,
		`outcomes       ${formatCounts(report.outcomes)}`,
		`problems       ${formatCounts(report.problems)}`,
		`response/ideal ${formatDistribution(report.ratio)}`,
		`overhead ms    ${formatDistribution(report.overheadMs)}`,
		`resubmitted    ${report.resubmitted}, of which ${report.joined} got the first call's answer`,
		`cancelled      ${report.cancelled}`,
	];
	if (report.upstreamStarts !== undefined) {
		lines.push(`starts         ${report.upstreamStarts} counted by the upstreams`);
	}

	if (report.peerMessages !== undefined) {
		lines.push(`messages       ${report.peerMessages} between entry VMs, ${round(report.peerMessages / report.tasks)} per task`);
	}

	return `${lines.join('\n')}\n`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
	const entries = Object.entries(counts).filter(([, count]) => count > 0).map(([name, count]) => `${name} ${count}`);
	return entries.length === 0 ? 'none' : entries.join(', ');
}

function formatDistribution({max, mean, p50, p99}: Distribution): string {
	return `mean ${mean}, p50 ${p50}, p99 ${p99}, max ${max}`;
}

function round(value: number): number {
	return Math.round(value * fixedPointFactor) / fixedPointFactor;
}
