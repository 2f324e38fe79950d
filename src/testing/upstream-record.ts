/**
 * Record of the tasks that an upstream stand-in ran.
 */
import {type Clock} from '../seams/index.js';

/** How the run of a task ended. `abandoned`: the client closed the connection before the answer, or the connection was silenced. */
export type UpstreamEndReason = 'answered' | 'failed' | 'broken-off' | 'abandoned';

/** One start, end or refusal of a task. */
export type UpstreamRecordEntry = {
	/** Position in the record, in steps of one. */
	readonly order: number;
	readonly kind: 'start' | 'end' | 'refusal';
	readonly upstream: string;
	/** Task id of the request; empty when it has none. */
	readonly task: string;
	readonly method: string;
	readonly path: string;
	/** Monotonic time of the stand-in's clock in milliseconds. */
	readonly time: number;
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly wallTime: number;
	/** Whether the upstream was marked as leaving. */
	readonly isLeaving: boolean;
	/** How the run ended; only in entries of kind `end`. */
	readonly reason?: UpstreamEndReason;
};

/** Counters of an upstream stand-in. */
export type UpstreamCounts = {
	readonly starts: number;
	readonly ends: number;
	readonly refusals: number;
	/** Number of running tasks. */
	readonly slotsInUse: number;
	/** Largest number of tasks that ran at the same time. */
	readonly maxSlotsInUse: number;
};

/** Request of a record entry. */
export type RecordedRequest = {
	readonly task: string;
	readonly method: string;
	readonly path: string;
};

/** Options of an {@link UpstreamRecord}. */
export type UpstreamRecordOptions = {
	readonly upstream: string;
	readonly clock: Clock;
	/** Whether entries are kept; otherwise they are only counted. */
	readonly isRecording: boolean;
	/** Gets whether the upstream is marked as leaving. */
	readonly isLeaving: () => boolean;
};

/** Records and counts the starts, ends and refusals of one upstream. */
export class UpstreamRecord {
	readonly #options: UpstreamRecordOptions;
	#entries: UpstreamRecordEntry[] = [];
	#order = 0;
	#starts = 0;
	#ends = 0;
	#refusals = 0;
	#maxSlotsInUse = 0;

	constructor(options: UpstreamRecordOptions) {
		this.#options = options;
	}

	/** Gets the kept entries, oldest first. */
	getEntries(): readonly UpstreamRecordEntry[] {
		return this.#entries;
	}

	/** Gets the counters. */
	getCounts(): UpstreamCounts {
		return {
			starts: this.#starts,
			ends: this.#ends,
			refusals: this.#refusals,
			slotsInUse: this.#starts - this.#ends,
			maxSlotsInUse: this.#maxSlotsInUse,
		};
	}

	/** Discards the kept entries; the counters stay. */
	clear(): void {
		this.#entries = [];
	}

	/**
	 * Adds the start of a task and gets its position in the record.
	 * @param request - Request of the task.
	 */
	addStart(request: RecordedRequest): number {
		this.#starts++;
		this.#maxSlotsInUse = Math.max(this.#maxSlotsInUse, this.#starts - this.#ends);
		return this.#addEntry('start', request);
	}

	/**
	 * Adds the end of a task.
	 * @param request - Request of the task.
	 * @param reason - How the run ended.
	 */
	addEnd(request: RecordedRequest, reason: UpstreamEndReason): void {
		this.#ends++;
		this.#addEntry('end', request, reason);
	}

	/**
	 * Adds a refusal: the task did not start.
	 * @param request - Request of the task.
	 */
	addRefusal(request: RecordedRequest): void {
		this.#refusals++;
		this.#addEntry('refusal', request);
	}

	#addEntry(kind: UpstreamRecordEntry['kind'], request: RecordedRequest, reason?: UpstreamEndReason): number {
		const order = this.#order++;
		const {clock, isLeaving, isRecording, upstream} = this.#options;
		if (isRecording) {
			this.#entries.push({
				order,
				kind,
				upstream,
				...request,
				time: clock.getMonotonicTime(),
				wallTime: clock.getTime(),
				isLeaving: isLeaving(),
				reason,
			});
		}

		return order;
	}
}
