import {type Profile} from '../../version/index.js';
import {type TaskEnd} from '../task-scheduler.js';
import {getOutlierReason, isSlow, summarizeFellows} from './outlier-policy.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** Options of an {@link OutlierDetector}. */
export type OutlierDetectorOptions = {
	readonly context: SchedulerContext;
	readonly getProfile: () => Profile;
	readonly getEntries: () => readonly UpstreamEntry[];
};

/**
 * Puts upstreams of one service aside that do worse than their fellows, and takes them back after a probe.
 * @internal
 */
export class OutlierDetector {
	readonly #options: OutlierDetectorOptions;

	constructor(options: OutlierDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Takes the end of a task into account.
	 * @param entry - Upstream that the task ran on.
	 * @param end - How it ended.
	 * @param durationMs - Time since its start.
	 */
	addEnd(entry: UpstreamEntry, end: TaskEnd, durationMs: number): void {
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
		let next: number | undefined;
		for (const entry of this.#options.getEntries()) {
			if (entry.health.startProbing(now)) {
				this.#options.context.events.addEvent('upstream-probed', entry.listed.name);
			} else if (entry.health.getState() === 'ejected') {
				next = Math.min(next ?? Number.POSITIVE_INFINITY, entry.health.getEjectedUntil());
			}
		}

		return next;
	}

	#checkEntry(entry: UpstreamEntry, end: TaskEnd): void {
		const isRefused = end.kind === 'not_started' && end.isUnreachable;
		const reason = isRefused ? 'unreachable' : getOutlierReason(entry.health, this.#getFellows(entry));
		if (reason && this.#mayEject(entry)) {
			this.#eject(entry, reason);
		}
	}

	#endProbe(entry: UpstreamEntry, end: TaskEnd, durationMs: number): void {
		if (end.kind !== 'answered' || isSlow(durationMs, this.#getFellows(entry))) {
			this.#eject(entry, 'probe');
			return;
		}

		entry.health.restore();
		this.#options.context.events.addEvent('upstream-restored', entry.listed.name);
	}

	#eject(entry: UpstreamEntry, reason: string): void {
		const {context, getProfile} = this.#options;
		entry.health.eject(context.clock.getMonotonicTime(), getProfile().ejectionMs);
		context.events.addEvent('upstream-ejected', entry.listed.name, reason);
	}

	#mayEject(entry: UpstreamEntry): boolean {
		const entries = this.#options.getEntries();
		const aside = entries.filter(other => other !== entry && other.health.getState() !== 'healthy').length;
		return (aside + 1) * 100 <= this.#options.getProfile().maxEjectedPercent * entries.length;
	}

	#getFellows(entry: UpstreamEntry): ReturnType<typeof summarizeFellows> {
		const others = this.#options.getEntries().filter(other => other !== entry && other.health.getState() === 'healthy');
		return summarizeFellows(others.map(other => other.health));
	}
}
