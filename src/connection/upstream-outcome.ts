/**
 * Requests to upstreams and their possible outcomes.
 */
import {type HeaderList} from '../request/upstream-request-rules.js';

/** One request to an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	/** Path and query in origin form. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body?: Uint8Array;
};

/** Options of one request to an upstream. */
export type UpstreamRequestOptions = {
	/** Time limit of the whole request in milliseconds, from the call on: waiting for a connection, connecting, head and body. */
	readonly timeoutMs: number;
	/** Statuses with which the upstream refuses a request before it starts to process it. */
	readonly notStartedStatuses: readonly number[];
	/** Idle time after which a connection is closed instead of being reused, in milliseconds. */
	readonly idleConnectionMs: number;
	/** Aborts the request. */
	readonly signal?: AbortSignal;
};

/**
 * Outcome of a request to an upstream. `answered`: a complete answer with a status below 500. `failed`: the request
 * was possibly executed and got no such answer. `not_started`: the upstream provably did not process the request.
 */
export type UpstreamOutcome =
	| {
		readonly kind: 'answered';
		readonly status: number;
		/** Header fields that may be forwarded to the caller, with names in lower case. */
		readonly headers: HeaderList;
		readonly body: Uint8Array;
	}
	| {readonly kind: 'failed'; readonly detail: string; readonly status?: number}
	| {
		readonly kind: 'not_started';
		readonly detail: string;
		/** Whether no connection could be opened; false after a refusal by status, an invalid request or a cancellation. */
		readonly isUnreachable: boolean;
		readonly status?: number;
	};
