/**
 * Parses a caller's HTTP request: its resource, and the headers that control how it is handled.
 */
import {type IncomingMessage} from 'node:http';
import {
	type Header, type JobId, parseJobId, type ProblemName,
} from '../request/index.js';

/** The resource that a request addresses. */
export type CallerResource =
	| {readonly kind: 'coordinator'}
	| {readonly kind: 'jobs'}
	| {readonly kind: 'job'; readonly id: JobId}
	| {readonly kind: 'service'; readonly service: string; readonly path: string};

/** Options that a caller sets by `Prefer` (RFC 7240), `Idempotency-Key` and the `Endivemill-` headers. */
export type CallerPreferences = {
	readonly attempt: number;
	readonly isAsync: boolean;
	/** Time in milliseconds from `Prefer: wait`. */
	readonly waitMs?: number;
	readonly isIdempotent: boolean;
	readonly idempotencyKey?: JobId;
	readonly team: string;
	readonly deadlineMs?: number;
};

/** A parsed part of a request, or the reason to refuse the request. */
export type ParseResult<T> = {readonly ok: true; readonly value: T} | {readonly ok: false; readonly problem: ProblemName; readonly detail: string};

const jobsPath = '/v1/jobs';
const coordinatorPath = '/v1/coordinator';
const servicesPrefix = '/v1/services/';
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const singletonHeaders = ['idempotency-key', 'endivemill-attempt', 'endivemill-idempotent', 'endivemill-team', 'endivemill-deadline-ms', 'content-type'];
const millisecondsPerSecond = 1000;
const maxWaitMs = 600_000;

/**
 * Parses the target of a request.
 * @param target - Target as received, in origin form.
 */
export function parseResource(target: string): ParseResult<CallerResource> {
	const path = target.split('?', 1)[0]!;
	if (path === coordinatorPath) {
		return {ok: true, value: {kind: 'coordinator'}};
	}

	if (path === jobsPath) {
		return {ok: true, value: {kind: 'jobs'}};
	}

	if (path.startsWith(`${jobsPath}/`)) {
		const id = parseJobId(path.slice(jobsPath.length + 1));
		return id === undefined
			? {ok: false, problem: 'invalid-id', detail: 'expected {coordinator}/{key} with a key of 1 to 128 characters out of A-Z a-z 0-9 . _ ~ -'}
			: {ok: true, value: {kind: 'job', id}};
	}

	if (path.startsWith(servicesPrefix)) {
		return parseServiceTarget(target.slice(servicesPrefix.length));
	}

	return {ok: false, problem: 'not-found', detail: 'no such resource'};
}

/**
 * Parses the headers that control how a request is handled.
 * @param req - Request to parse.
 */
export function parsePreferences(req: IncomingMessage): ParseResult<CallerPreferences> {
	const repeated = singletonHeaders.find(name => (req.headersDistinct[name]?.length ?? 0) > 1);
	if (repeated !== undefined) {
		return refuseInvalid(`header ${repeated} is given more than once`);
	}

	const attempt = parsePositiveInteger(getHeader(req, 'endivemill-attempt'));
	const deadlineMs = parsePositiveInteger(getHeader(req, 'endivemill-deadline-ms'));
	if (attempt === 'invalid' || deadlineMs === 'invalid') {
		return refuseInvalid('Endivemill-Attempt and Endivemill-Deadline-Ms take a positive whole number');
	}

	const keyText = getHeader(req, 'idempotency-key');
	const idempotencyKey = keyText === undefined ? undefined : parseJobId(unquote(keyText));
	if (keyText !== undefined && idempotencyKey === undefined) {
		return {ok: false, problem: 'invalid-id', detail: 'Idempotency-Key: expected {coordinator}/{key}'};
	}

	const idempotent = getHeader(req, 'endivemill-idempotent');
	if (idempotent !== undefined && idempotent !== 'true' && idempotent !== 'false') {
		return refuseInvalid('Endivemill-Idempotent: expected true or false');
	}

	const prefer = req.headersDistinct.prefer?.join(',') ?? '';
	return {
		ok: true,
		value: {
			attempt: attempt ?? 1,
			deadlineMs,
			idempotencyKey,
			team: getHeader(req, 'endivemill-team') ?? '',
			isAsync: /(?:^|[,;\s])respond-async(?:$|[,;\s])/iv.test(prefer),
			waitMs: parseWaitMs(prefer),
			isIdempotent: idempotent === undefined ? safeMethods.has(req.method ?? '') : idempotent === 'true',
		},
	};
}

/**
 * Gets the headers of a request in their order, with names as received.
 * @param req - Request to read.
 */
export function getRequestHeaders(req: IncomingMessage): readonly Header[] {
	const headers: Header[] = [];
	for (let index = 0; index < req.rawHeaders.length; index += 2) {
		headers.push([req.rawHeaders[index]!, req.rawHeaders[index + 1]!]);
	}

	return headers;
}

function parseServiceTarget(target: string): ParseResult<CallerResource> {
	const slash = target.indexOf('/');
	if (slash <= 0) {
		return {ok: false, problem: 'not-found', detail: 'expected /v1/services/{service}/{path}'};
	}

	return {ok: true, value: {kind: 'service', service: target.slice(0, slash), path: target.slice(slash)}};
}

function getHeader(req: IncomingMessage, name: string): string | undefined {
	return req.headersDistinct[name]?.[0];
}

function parsePositiveInteger(text: string | undefined): number | 'invalid' | undefined {
	if (text === undefined) {
		return undefined;
	}

	return /^[1-9]\d{0,8}$/v.test(text) ? Number(text) : 'invalid';
}

function parseWaitMs(prefer: string): number | undefined {
	const seconds = /(?:^|[,;\s])wait=(?<seconds>\d{1,6})(?:$|[,;\s])/iv.exec(prefer)?.groups?.seconds;
	return seconds === undefined ? undefined : Math.min(Number(seconds) * millisecondsPerSecond, maxWaitMs);
}

function unquote(text: string): string {
	return text.startsWith('"') && text.endsWith('"') ? text.slice(1, -1) : text;
}

function refuseInvalid(detail: string): {readonly ok: false; readonly problem: ProblemName; readonly detail: string} {
	return {ok: false, problem: 'invalid-request', detail};
}
