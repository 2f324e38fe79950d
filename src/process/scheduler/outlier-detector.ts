/**
 * Detection of upstreams that are slower or fail more often than the others.
 */
import {type Profile} from '../../version/index.js';
import {type TaskEnd} from '../task-scheduler.js';
import {
	type Baseline, getOutlierReason, isSlow, computeBaseline,
} from './outlier-policy.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** Options of an {@link OutlierDetector}. */
export type OutlierDetectorOptions = {
	readonly context: SchedulerContext;
	readonly getProfile: () => Profile;
	readonly getEntries: () => readonly UpstreamEntry[];
	/** Called when an upstream was ejected, probed or restored. */
	readonly onChange: () => void;
};

/** Time for which the baseline is cached, in milliseconds. */
const baselineCacheMs = 50;

/**
 * Ejects upstreams of one service that perform worse than its healthy ones, and restores them after a successful probe.
 * @internal
 */
export class OutlierDetector {
	readonly #options: OutlierDetectorOptions;
	/** Monotonic time at which the next ejection ends; `undefined` when no upstream is ejected. */
	#nextProbeTime: number | undefined;
	#baseline: Baseline = {medianLatencyMs: 0, meanFailureRate: 1};
	#baselineComputedAt = Number.NEGATIVE_INFINITY;

	constructor(options: OutlierDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Records the end of a task, and ejects or restores the upstream if needed.
	 * @param entry - Upstream that the task ran on.
	 * @param end - Result of the task.
	 * @param durationMs - Time since the start of the task, in milliseconds.
	 */
	addTaskEnd(entry: UpstreamEntry, end: TaskEnd, durationMs: number): void {
		if (end.kind === 'answered') {
			entry.health.addAnswer(durationMs);
		} else {
			entry.health.addFailure(durationMs);
		}

		if (entry.health.getState() === 'probing') {
			this.#endProbe(entry, end, durationMs);
			return;
		}

		if (entry.health.getState() === 'healthy') {
			this.#checkEntry(entry, end);
		}
	}

	/** Starts probing the upstreams whose ejection has ended; returns the monotonic end of the next ejection, if any. */
	startProbes(): number | undefined {
		const now = this.#options.context.clock.getMonotonicTime();
		if (this.#nextProbeTime === undefined || now < this.#nextProbeTime) {
			return this.#nextProbeTime;
		}

		let nextProbeTime: number | undefined;
		for (const entry of this.#options.getEntries()) {
			if (entry.health.startProbing(now)) {
				this.#options.onChange();
				this.#options.context.events.addEvent('upstream-probed', entry.listed.name);
			} else if (entry.health.getState() === 'ejected') {
				nextProbeTime = Math.min(nextProbeTime ?? Number.POSITIVE_INFINITY, entry.health.getEjectedUntil());
			}
		}

		this.#nextProbeTime = nextProbeTime;
		return nextProbeTime;
	}

	#checkEntry(entry: UpstreamEntry, end: TaskEnd): void {
		const isRefused = end.kind === 'not_started' && end.isUnreachable;
		const reason = isRefused ? 'unreachable' : getOutlierReason(entry.health, this.#getBaseline());
		if (reason && this.#mayEject(entry)) {
			this.#eject(entry, reason);
		}
	}

	#endProbe(entry: UpstreamEntry, end: TaskEnd, durationMs: number): void {
		if (end.kind !== 'answered' || isSlow(durationMs, this.#getBaseline())) {
			this.#eject(entry, 'probe');
			return;
		}

		entry.health.restore();
		this.#options.onChange();
		this.#options.context.events.addEvent('upstream-restored', entry.listed.name);
	}

	#eject(entry: UpstreamEntry, reason: string): void {
		const {context, getProfile} = this.#options;
		entry.health.eject(context.clock.getMonotonicTime(), getProfile().ejectionMs);
		this.#nextProbeTime = Math.min(this.#nextProbeTime ?? Number.POSITIVE_INFINITY, entry.health.getEjectedUntil());
		this.#options.onChange();
		context.events.addEvent('upstream-ejected', entry.listed.name, reason);
	}

	#mayEject(entry: UpstreamEntry): boolean {
		const entries = this.#options.getEntries();
		const ejectedCount = entries.filter(other => other !== entry && other.health.getState() !== 'healthy').length;
		return (ejectedCount + 1) * 100 <= this.#options.getProfile().maxEjectedPercent * entries.length;
	}

	#getBaseline(): Baseline {
		const now = this.#options.context.clock.getMonotonicTime();
		if (now - this.#baselineComputedAt >= baselineCacheMs) {
			this.#baselineComputedAt = now;
			const healthy = this.#options.getEntries().filter(entry => entry.health.getState() === 'healthy');
			this.#baseline = computeBaseline(healthy.map(entry => entry.health));
		}

		return this.#baseline;
	}
}
