/**
 * HTTP answers to callers and the outcomes that they report.
 */
import {Buffer} from 'node:buffer';

/**
 * `complete`: all tasks were answered. `not_run`: no task of the submission started or will start; retrying is safe.
 * `failed`: tasks were possibly executed, and their answers are not returned. `unknown`: the job was possibly executed;
 * it is not started again.
 */
export type Outcome = 'complete' | 'not_run' | 'failed' | 'unknown';

/** One HTTP header. */
export type Header = readonly [name: string, value: string];

/** A complete answer to a caller. */
export type CallerAnswer = {
	/** Absent for answers that do not report a job's outcome, for instance its state. */
	readonly outcome?: Outcome;
	/** Problem type if the outcome is not `complete`. */
	readonly problem?: ProblemName;
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
};

/** Properties of a problem type. */
type ProblemDescription = {
	readonly status: number;
	readonly outcome: Outcome;
	readonly title: string;
};

const problemDescriptions = {
	'invalid-request': {status: 400, outcome: 'not_run', title: 'The request is not valid.'},
	'invalid-id': {status: 400, outcome: 'not_run', title: 'The job id is not valid.'},
	'not-found': {status: 404, outcome: 'not_run', title: 'There is no such resource.'},
	'method-not-allowed': {status: 405, outcome: 'not_run', title: 'The resource does not take this method.'},
	'body-too-large': {status: 413, outcome: 'not_run', title: 'The body is larger than the limit.'},
	'unknown-service': {status: 404, outcome: 'not_run', title: 'No such service is declared.'},
	'unknown-team': {status: 422, outcome: 'not_run', title: 'No such team is declared.'},
	'never-runnable': {status: 422, outcome: 'not_run', title: 'No upstream of the service can ever run a task of this job.'},
	'no-upstream': {status: 503, outcome: 'not_run', title: 'The service has no upstream at present.'},
	'queue-full': {status: 503, outcome: 'not_run', title: 'The queue of the service is full.'},
	'deadline-too-short': {status: 503, outcome: 'not_run', title: 'The expected wait is longer than the deadline.'},
	'deadline-passed': {status: 504, outcome: 'not_run', title: 'The deadline passed before any task started.'},
	'team-quota': {status: 429, outcome: 'not_run', title: 'The quota of the team is used up.'},
	'too-many-jobs': {status: 503, outcome: 'not_run', title: 'Too many jobs are in progress.'},
	stopping: {status: 503, outcome: 'not_run', title: 'The entry VM is stopping and takes no new job.'},
	'coordinator-stopped': {status: 503, outcome: 'not_run', title: 'The coordinator has stopped and never had this job.'},
	'body-differs': {status: 409, outcome: 'not_run', title: 'The id was used before with another body.'},
	cancelled: {status: 409, outcome: 'not_run', title: 'The job was cancelled before any task started.'},
	'upstream-refused': {status: 503, outcome: 'not_run', title: 'The upstreams refused the job before any task started.'},
	'task-failed': {status: 502, outcome: 'failed', title: 'A task failed; the job is failed as a whole.'},
	'cancelled-running': {status: 409, outcome: 'failed', title: 'The job was cancelled while tasks were running.'},
	'deadline-exceeded': {status: 504, outcome: 'failed', title: 'The deadline passed while tasks were running.'},
	'answer-too-large': {status: 502, outcome: 'failed', title: 'The answer is larger than the limit.'},
	'answer-not-kept': {status: 410, outcome: 'failed', title: 'The job ended earlier; its answer is no longer kept.'},
	'stopped-running': {status: 503, outcome: 'failed', title: 'The entry VM stopped before the job ended.'},
	'no-such-job': {status: 404, outcome: 'unknown', title: 'The coordinator has no record of this job.'},
	'record-expired': {status: 410, outcome: 'unknown', title: 'The record of this period is no longer kept.'},
	'coordinator-lost': {status: 504, outcome: 'unknown', title: 'The coordinator of this job is gone with its record.'},
	'coordinator-unreachable': {status: 504, outcome: 'unknown', title: 'The coordinator of this job cannot be reached.'},
	'too-many-requests': {status: 503, outcome: 'unknown', title: 'The entry VM holds too many requests to look at this one.'},
	'internal-error': {status: 500, outcome: 'unknown', title: 'The entry VM met an internal error.'},
} as const satisfies Record<string, ProblemDescription>;

/** Name of a problem type; part of the public API. */
export type ProblemName = keyof typeof problemDescriptions;

/** Variable members of a problem answer. */
export type ProblemOptions = {
	/** Explanation for the caller. */
	readonly detail: string;
	/** Time after which a new attempt may succeed, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Id of the job that the answer refers to. */
	readonly id?: string;
};

const problemTypePrefix = 'urn:endivemill:problem:';
const millisecondsPerSecond = 1000;
const jsonHeader: Header = ['Content-Type', 'application/json'];
const problemHeader: Header = ['Content-Type', 'application/problem+json'];

/**
 * Gets the outcome that a problem type implies.
 * @param problem - Problem type.
 */
export function getProblemOutcome(problem: ProblemName): Outcome {
	return problemDescriptions[problem].outcome;
}

/**
 * Checks whether a text is the name of a problem type.
 * @param text - Text to check.
 */
export function isProblemName(text: string): text is ProblemName {
	return Object.hasOwn(problemDescriptions, text);
}

/**
 * Creates a problem answer (RFC 9457).
 * @param problem - Problem type.
 * @param options - Variable members of the answer.
 */
export function createProblemAnswer(problem: ProblemName, options: ProblemOptions): CallerAnswer {
	const {status, outcome, title} = problemDescriptions[problem];
	const headers = [problemHeader, createOutcomeHeader(outcome)];
	if (options.retryAfterMs !== undefined) {
		headers.push(['Retry-After', String(Math.ceil(options.retryAfterMs / millisecondsPerSecond))]);
	}

	const body = JSON.stringify({
		type: problemTypePrefix + problem,
		title,
		status,
		detail: options.detail,
		outcome,
		id: options.id,
		retryAfterMs: options.retryAfterMs,
	});
	return {
		outcome, problem, status, headers, body: Buffer.from(body),
	};
}

/**
 * Creates an answer with a JSON body that does not report a job's outcome.
 * @param status - HTTP status.
 * @param value - Value of the body.
 * @param headers - Additional headers.
 */
export function createJsonAnswer(status: number, value: unknown, headers: readonly Header[] = []): CallerAnswer {
	return {status, headers: [jsonHeader, ...headers], body: Buffer.from(JSON.stringify(value))};
}

/**
 * Creates the header that reports an outcome.
 * @param outcome - Outcome to report.
 */
export function createOutcomeHeader(outcome: Outcome): Header {
	return ['Endivemill-Outcome', outcome];
}
