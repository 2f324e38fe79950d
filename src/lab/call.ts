/**
 * Types of a single call from a caller to an entry VM.
 */

/** Id of a job: the coordinator token and the caller's key. */
export type CallerJobId = {
	readonly coordinator: string;
	readonly key: string;
};

/** One task of a job as a caller sends it. */
export type CallerTask = {
	readonly path: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly needs?: {readonly cores?: number; readonly memoryMb?: number; readonly accelerators?: number};
	readonly isIdempotent?: boolean;
};

/** A job as a caller sends it. */
export type CallerJob = {
	readonly service: string;
	readonly tasks: readonly CallerTask[];
	readonly deadlineMs?: number;
	readonly team?: string;
};

/** One plain request as a caller sends it. */
export type CallerRequest = {
	readonly service: string;
	readonly path: string;
	readonly method: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly isIdempotent?: boolean;
	readonly deadlineMs?: number;
};

/** Outcome reported by an entry VM. */
export type CallOutcome = 'complete' | 'not_run' | 'failed' | 'unknown';

/** The answer of one task. */
export type CallerTaskAnswer = {
	readonly status: number;
	readonly body: string;
};

/** An answer of an entry VM. */
export type CallAnswer = {
	readonly kind: 'answered';
	/** HTTP status of the answer. */
	readonly status: number;
	readonly outcome: CallOutcome;
	/** Answers of the tasks in order; empty unless complete. */
	readonly tasks: readonly CallerTaskAnswer[];
	/** Type of the problem; empty when complete. */
	readonly problemType: string;
	readonly detail: string;
	/** Hash of the task answers; empty unless complete. */
	readonly hash: string;
	/** Time in milliseconds after which to retry; absent when the answer contains none. */
	readonly retryAfterMs?: number;
	/** Coordinator token in the answer. */
	readonly coordinator?: string;
};

/**
 * A call without an answer. `refused`: no connection was made. `cut`: the connection ended before the answer.
 * `left`: the caller abandoned it. `garbled`: the answer does not conform to the interface.
 */
export type CallFault = {
	readonly kind: 'no-answer';
	readonly reason: 'refused' | 'cut' | 'left' | 'garbled';
	readonly detail: string;
};

/** Result of a call. */
export type CallResult = CallAnswer | CallFault;
