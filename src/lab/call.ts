/**
 * The types of one call to an entry VM, as a caller sees it.
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

/** Outcome that an entry VM gives. */
export type CallOutcome = 'complete' | 'not_run' | 'failed' | 'unknown';

/** One part of a complete answer. */
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
	/** Hash over everything that the caller was given for its tasks; empty unless complete. */
	readonly hash: string;
	/** Time after which to try again; absent when the answer names none. */
	readonly retryAfterMs?: number;
	/** Coordinator token that the answer carries. */
	readonly coordinator?: string;
};

/**
 * A call without an answer. `refused`: no connection was made. `cut`: the connection ended before the answer.
 * `left`: the caller gave it up. `garbled`: the answer is not one of the interface.
 */
export type CallFault = {
	readonly kind: 'no-answer';
	readonly reason: 'refused' | 'cut' | 'left' | 'garbled';
	readonly detail: string;
};

/** How a call ended. */
export type CallResult = CallAnswer | CallFault;
