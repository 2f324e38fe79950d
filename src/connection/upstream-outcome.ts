/**
 * A request to an upstream and the closed set of its outcomes.
 */
import {type HeaderList} from '../request/upstream-request-rules.js';

/** One request to an upstream. */
export type UpstreamRequest = {
	readonly method: string;
	/** Path in origin form, with its query. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body?: Uint8Array;
};

/** Options of one request to an upstream. */
export type UpstreamRequestOptions = {
	/** Time limit of the request from the call on: connecting, head and body. */
	readonly timeoutMs: number;
	/** Statuses by which the upstream says that it refused before it began. */
	readonly notStartedStatuses: readonly number[];
	/** Idle time after which a connection is closed and not used again. */
	readonly idleConnectionMs: number;
	/** Ends the request early. */
	readonly signal?: AbortSignal;
};

/**
 * Outcome of a request to an upstream. `answered`: a whole answer with a status below 500. `failed`: the request
 * started or may have, and gave no answer. `not_started`: proven that the upstream did not begin.
 */
export type UpstreamOutcome =
	| {
		readonly kind: 'answered';
		readonly status: number;
		/** Fields that may be passed on to a caller, with names in lower case. */
		readonly headers: HeaderList;
		readonly body: Uint8Array;
	}
	| {readonly kind: 'failed'; readonly detail: string; readonly status?: number}
	| {
		readonly kind: 'not_started';
		readonly detail: string;
		/** Whether no connection could be made, as against a refusal by status or an early end of the request. */
		readonly isUnreachable: boolean;
		readonly status?: number;
	};
