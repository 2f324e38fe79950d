/**
 * History of a concurrent run: requests and answers of callers, starts on upstreams, and actions of operators.
 */

/** Outcome that was reported to a caller. */
export type HistoryOutcome = 'complete' | 'not_run' | 'failed' | 'unknown';

/** A caller submitted a request for the first time or again. */
export type SubmitRecord = {
	readonly kind: 'submit';
	readonly time: number;
	/** Unique number of this call. */
	readonly call: number;
	/** Identifier of the request; the same for every duplicate submission. */
	readonly request: string;
	/** `job`: tasks in parallel. `single`: one plain request. */
	readonly form: 'job' | 'single';
	readonly attempt: number;
	/** Ids of the tasks, in order. */
	readonly tasks: readonly string[];
	readonly isIdempotent: boolean;
	/** Entry VM that the call went to. */
	readonly vm: string;
	/** Entry VM that coordinates the request according to its id. */
	readonly coordinator: string;
};

/** A call received an answer. */
export type AnswerRecord = {
	readonly kind: 'answer';
	readonly time: number;
	readonly call: number;
	readonly outcome: HistoryOutcome;
	/** Type of the problem; empty for a complete answer. */
	readonly problemType: string;
	/** Hash of the whole answer; only compared between complete answers. */
	readonly hash: string;
	/** Task ids in the parts of the answer, in order; `undefined` for a part without one. */
	readonly echoes: ReadonlyArray<string | undefined>;
};

/**
 * A call ended without an answer. `refused`: no connection was established. `cut`: the connection closed before the answer.
 * `left`: the caller abandoned the call.
 */
export type NoAnswerRecord = {
	readonly kind: 'no-answer';
	readonly time: number;
	readonly call: number;
	readonly reason: 'refused' | 'cut' | 'left';
};

/** A caller cancelled a request. */
export type CancelRecord = {
	readonly kind: 'cancel';
	readonly time: number;
	readonly request: string;
};

/** An upstream started a task. */
export type StartRecord = {
	readonly kind: 'start';
	readonly time: number;
	readonly upstream: string;
	readonly task: string;
};

/** A task ended on an upstream. */
export type EndRecord = {
	readonly kind: 'end';
	readonly time: number;
	readonly upstream: string;
	readonly task: string;
};

/** Operators marked an upstream as leaving or as live again. */
export type LeavingRecord = {
	readonly kind: 'leaving';
	readonly time: number;
	readonly upstream: string;
	readonly isLeaving: boolean;
};

/** An incarnation of an entry VM was observed with a configuration version in force. */
export type VersionRecord = {
	readonly kind: 'version';
	readonly time: number;
	readonly vm: string;
	readonly version: number;
};

/** A planned stop of an entry VM began. */
export type StopBeganRecord = {
	readonly kind: 'stop-began';
	readonly time: number;
	readonly vm: string;
};

/** A planned stop of an entry VM ended. */
export type StopEndedRecord = {
	readonly kind: 'stop-ended';
	readonly time: number;
	readonly vm: string;
};

/** A fault after which `unknown` is a correct answer: an entry VM crashed, was paused, or was partitioned from others. */
export type DisruptionRecord = {
	readonly kind: 'disruption';
	readonly time: number;
	/** Entry VM that the fault affected. */
	readonly vm: string;
	/** Time until which the fault excuses `unknown`; absent when the entry VM crashed and lost its records. */
	readonly until?: number;
	readonly detail: string;
};

/** One record in the history of a run. */
export type HistoryRecord =
	| SubmitRecord | AnswerRecord | NoAnswerRecord | CancelRecord | StartRecord | EndRecord
	| LeavingRecord | VersionRecord | StopBeganRecord | StopEndedRecord | DisruptionRecord;

/** Collects the records of a run. */
export class History {
	readonly #records: HistoryRecord[] = [];
	#calls = 0;

	/** Gets a new call number. */
	getNextCall(): number {
		return this.#calls++;
	}

	/**
	 * Adds a record.
	 * @param record - Record to add.
	 */
	addRecord(record: HistoryRecord): void {
		this.#records.push(record);
	}

	/** Gets all records sorted by time; records of the same time keep the order in which they were added. */
	getRecords(): readonly HistoryRecord[] {
		return this.#records.toSorted((left, right) => left.time - right.time);
	}
}
