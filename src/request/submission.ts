/**
 * Submissions of callers: a job, a plain request, or a refused submission.
 */
import {createHash} from 'node:crypto';
import {type Header, type ProblemName} from './caller-answer.js';

/** A job as received, not yet parsed. */
export type JobContent = {
	readonly kind: 'job';
	readonly body: Uint8Array;
};

/** A plain HTTP request that is forwarded to one upstream of a service. */
export type PlainContent = {
	readonly kind: 'plain';
	readonly service: string;
	readonly team: string;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** Whether the caller permits a retry after a failure with unknown outcome. */
	readonly isIdempotent: boolean;
	readonly deadlineMs?: number;
};

/** A submission that an entry VM refused before it read all of it; the coordinator records the refusal. */
export type RefusedContent = {
	readonly kind: 'refused';
	readonly problem: ProblemName;
	readonly detail: string;
};

/** Content of a submission. */
export type SubmissionContent = JobContent | PlainContent | RefusedContent;

/** One submission of a job id. */
export type Submission = {
	readonly key: string;
	readonly period: number;
	/** Attempt number, from 1 on; incremented by a caller that deliberately resubmits an id after `not_run`. */
	readonly attempt: number;
	readonly content: SubmissionContent;
};

/**
 * Gets a digest that distinguishes duplicate submissions of an id from different ones; empty for a refused submission.
 * @param content - Content of the submission.
 */
export function getFingerprint(content: SubmissionContent): string {
	if (content.kind === 'refused') {
		return '';
	}

	const hash = createHash('sha1');
	if (content.kind === 'plain') {
		hash.update(JSON.stringify([content.service, content.method, content.path]));
	}

	return hash.update(content.body).digest('base64');
}
