/**
 * Detection of upstreams that fail more than others.
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
	/** Called when an upstream was put aside or taken back. */
	readonly onChange: () => void;
};

/** Time for which a summary of the upstreams is good enough, in milliseconds. */
const summaryValidMs = 50;

/**
 * Puts upstreams of one service aside that do worse than their fellows, and takes them back after a probe.
 * @internal
 */
export class OutlierDetector {
	readonly #options: OutlierDetectorOptions;
	/** Monotonic time at which the next upstream may be probed. */
	#nextProbe: number | undefined;
	#fellows: Baseline = {medianLatencyMs: 0, meanFailureRate: 1};
	#summarizedAt = Number.NEGATIVE_INFINITY;

	constructor(options: OutlierDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Takes the end of a task into account.
	 * @param entry - Upstream that the task ran on.
	 * @param end - How it ended.
	 * @param durationMs - Time since its start.
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

	/** Lets probes through where the time aside has passed; gets the time of the next such moment. */
	startProbes(): number | undefined {
		const now = this.#options.context.clock.getMonotonicTime();
		if (this.#nextProbe === undefined || now < this.#nextProbe) {
			return this.#nextProbe;
		}

		let next: number | undefined;
		for (const entry of this.#options.getEntries()) {
			if (entry.health.startProbing(now)) {
				this.#options.onChange();
				this.#options.context.events.addEvent('upstream-probed', entry.listed.name);
			} else if (entry.health.getState() === 'ejected') {
				next = Math.min(next ?? Number.POSITIVE_INFINITY, entry.health.getEjectedUntil());
			}
		}

		this.#nextProbe = next;
		return next;
	}

	#checkEntry(entry: UpstreamEntry, end: TaskEnd): void {
		const isRefused = end.kind === 'not_started' && end.isUnreachable;
		const reason = isRefused ? 'unreachable' : getOutlierReason(entry.health, this.#getFellows());
		if (reason && this.#mayEject(entry)) {
			this.#eject(entry, reason);
		}
	}

	#endProbe(entry: UpstreamEntry, end: TaskEnd, durationMs: number): void {
		if (end.kind !== 'answered' || isSlow(durationMs, this.#getFellows())) {
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
		this.#nextProbe = Math.min(this.#nextProbe ?? Number.POSITIVE_INFINITY, entry.health.getEjectedUntil());
		this.#options.onChange();
		context.events.addEvent('upstream-ejected', entry.listed.name, reason);
	}

	#mayEject(entry: UpstreamEntry): boolean {
		const entries = this.#options.getEntries();
		const aside = entries.filter(other => other !== entry && other.health.getState() !== 'healthy').length;
		return (aside + 1) * 100 <= this.#options.getProfile().maxEjectedPercent * entries.length;
	}

	#getFellows(): Baseline {
		const now = this.#options.context.clock.getMonotonicTime();
		if (now - this.#summarizedAt >= summaryValidMs) {
			this.#summarizedAt = now;
			const healthy = this.#options.getEntries().filter(entry => entry.health.getState() === 'healthy');
			this.#fellows = computeBaseline(healthy.map(entry => entry.health));
		}

		return this.#fellows;
	}
}
