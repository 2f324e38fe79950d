/**
 * The record of a concurrent run: what callers sent and were told, what upstreams started, and what operators did.
 */

/** Outcome that a caller was told. */
export type HistoryOutcome = 'complete' | 'not_run' | 'failed' | 'unknown';

/** A caller sent a request, or sent it again. */
export type SubmitRecord = {
	readonly kind: 'submit';
	readonly time: number;
	/** Number of this call; every call has its own. */
	readonly call: number;
	/** What the caller wants done once; the same for every call that submits it again. */
	readonly request: string;
	/** `job`: tasks in parallel. `single`: one plain request. */
	readonly form: 'job' | 'single';
	readonly attempt: number;
	/** Ids of the tasks, in order. */
	readonly tasks: readonly string[];
	readonly isIdempotent: boolean;
	/** Entry VM that the call went to. */
	readonly vm: string;
	/** Entry VM that coordinates the request, by the id of the call. */
	readonly coordinator: string;
};

/** A call got an answer. */
export type AnswerRecord = {
	readonly kind: 'answer';
	readonly time: number;
	readonly call: number;
	readonly outcome: HistoryOutcome;
	/** Type of the problem; empty for a complete answer. */
	readonly problemType: string;
	/** Hash over the whole answer; only compared between complete answers. */
	readonly hash: string;
	/** Task ids that the parts of the answer name, in order; `undefined` where a part names none. */
	readonly echoes: ReadonlyArray<string | undefined>;
};

/**
 * A call ended without an answer. `refused`: no connection was made. `cut`: the connection ended before the answer.
 * `left`: the caller itself gave the call up.
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

/** An upstream ended a task. */
export type EndRecord = {
	readonly kind: 'end';
	readonly time: number;
	readonly upstream: string;
	readonly task: string;
};

/** Operators marked an upstream as leaving, or as live again. */
export type LeavingRecord = {
	readonly kind: 'leaving';
	readonly time: number;
	readonly upstream: string;
	readonly isLeaving: boolean;
};

/** An incarnation of an entry VM was seen with a configuration version in force. */
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

/** A fault after which `unknown` is a truthful answer: an entry VM died, was paused, or was cut off from others. */
export type DisruptionRecord = {
	readonly kind: 'disruption';
	readonly time: number;
	/** Entry VM that the fault hit. */
	readonly vm: string;
	/** Time until which the fault excuses `unknown`; absent when the entry VM is gone with its records. */
	readonly until?: number;
	readonly detail: string;
};

/** One record of a run. */
export type HistoryRecord =
	| SubmitRecord | AnswerRecord | NoAnswerRecord | CancelRecord | StartRecord | EndRecord
	| LeavingRecord | VersionRecord | StopBeganRecord | StopEndedRecord | DisruptionRecord;

/** Gathers the records of a run. */
export class History {
	readonly #records: HistoryRecord[] = [];
	#calls = 0;

	/** Gets a new call number. */
	getNextCall(): number {
		return this.#calls++;
	}

	/**
	 * Adds a record.
	 * @param record - What happened.
	 */
	addRecord(record: HistoryRecord): void {
		this.#records.push(record);
	}

	/** Gets all records by time; records of the same time stay in the order in which they were added. */
	getRecords(): readonly HistoryRecord[] {
		return this.#records.toSorted((left, right) => left.time - right.time);
	}
}
