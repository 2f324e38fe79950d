/**
 * What a caller sent under one id: a job, one plain request, or something that was refused before it was read.
 */
import {createHash} from 'node:crypto';
import {type Header, type ProblemName} from './caller-answer.js';

/** A job as JSON, as received. */
export type JobContent = {
	readonly kind: 'job';
	readonly body: Uint8Array;
};

/** One plain request to one upstream of a service. */
export type PlainContent = {
	readonly kind: 'plain';
	readonly service: string;
	readonly team: string;
	readonly method: string;
	readonly path: string;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** Whether the caller allows it to run again after a failure that leaves open whether it ran. */
	readonly isIdempotent: boolean;
	readonly deadlineMs?: number;
};

/** Something that an entry VM refused before it was read whole; the coordinator records the refusal. */
export type RefusedContent = {
	readonly kind: 'refused';
	readonly problem: ProblemName;
	readonly detail: string;
};

/** What was sent under an id. */
export type SubmissionContent = JobContent | PlainContent | RefusedContent;

/** One submission of an id. */
export type Submission = {
	readonly key: string;
	readonly period: number;
	/** Raised by a caller that tries an id again on purpose after `not_run`; 1 at first. */
	readonly attempt: number;
	readonly content: SubmissionContent;
};

/**
 * Gets a digest by which two submissions of one id are told apart; empty for a refused one.
 * @param content - What was sent.
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
