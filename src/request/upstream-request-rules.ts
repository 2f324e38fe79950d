/**
 * Validation and header filtering of forwarded requests, which prevents callers from changing the framing or the target
 * of a request to an upstream (request smuggling).
 */

/** Header fields in their original order; a name may occur more than once. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Whether a part of a request may be forwarded, otherwise the reason. */
export type RuleResult = {readonly ok: true} | {readonly ok: false; readonly detail: string};

/** The header fields that may be forwarded, or why the whole list is refused. */
export type ForwardedHeadersResult =
	| {readonly ok: true; readonly headers: HeaderList}
	| {readonly ok: false; readonly detail: string};

/** Maximum length of path and query in characters. */
const maxPathLength = 8192;

/** Maximum number of header fields in one request. */
const maxHeaderCount = 100;

/** Maximum total length of header names and values in one request, in characters. */
const maxHeaderCharacters = 16_384;

const allowedMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/** Visible ASCII except `"`, `#`, `<`, `>`, `\`, `^`, backquote, `{`, `|` and `}`, which RFC 3986 requires to be percent-encoded. */
const pathPattern = /^\/(?!\/)[!$-;=?-\[\]_a-z~]*$/v;

const tokenPattern = /^[!#-'*+\-.^_`\|~\da-zA-Z]+$/v;

/** HTAB, SP, visible ASCII and obs-text (RFC 9110). */
const valuePattern = /^[\t -~\u{80}-\u{FF}]*$/v;

/** Hop-by-hop fields and fields that determine the framing of a message. */
const connectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'transfer-encoding',
	'te',
	'trailer',
	'trailers',
	'upgrade',
	'host',
	'content-length',
	'expect',
	'http2-settings',
]);

const ok: RuleResult = {ok: true};

/**
 * Checks a path with its query.
 * @param path - Path and query in origin form.
 */
export function checkPath(path: string): RuleResult {
	if (path.length > maxPathLength) {
		return {ok: false, detail: `path is longer than ${maxPathLength} characters`};
	}

	return pathPattern.test(path)
		? ok
		: {ok: false, detail: 'path must start with one "/" and hold only the characters of a path and a query, others percent-encoded'};
}

/**
 * Checks whether a method is allowed.
 * @param method - Method in upper case.
 */
export function checkMethod(method: string): RuleResult {
	return allowedMethods.has(method) ? ok : {ok: false, detail: `method must be one of ${[...allowedMethods].join(', ')}`};
}

/**
 * Checks that all header fields are well-formed and that none affects the connection or the framing.
 * @param headers - Fields to send.
 */
export function checkHeaders(headers: HeaderList): RuleResult {
	const fault = findHeaderFault(headers);
	if (fault !== undefined) {
		return {ok: false, detail: fault};
	}

	const connectionHeader = headers.find(([name]) => isConnectionHeader(canonicalizeName(name)));
	return connectionHeader === undefined ? ok : {ok: false, detail: `header ${connectionHeader[0]} belongs to the connection`};
}

/**
 * Gets the header fields of a caller's request that may be forwarded to an upstream.
 * @param headers - Fields as received.
 */
export function getForwardedHeaders(headers: HeaderList): ForwardedHeadersResult {
	const fault = findHeaderFault(headers);
	return fault === undefined ? {ok: true, headers: filterHeaders(headers)} : {ok: false, detail: fault};
}

/**
 * Gets the header fields of an upstream's answer that may be forwarded to a caller.
 * @param headers - Fields as received.
 */
export function getAnswerHeaders(headers: HeaderList): HeaderList {
	return filterHeaders(headers);
}

function filterHeaders(headers: HeaderList): HeaderList {
	const connectionOptions = getConnectionOptions(headers);
	return headers.filter(([name]) => {
		const canonicalName = canonicalizeName(name);
		return !isConnectionHeader(canonicalName) && !canonicalName.startsWith('endivemill-') && !connectionOptions?.has(canonicalName);
	});
}

/** Lower-cases a name and replaces underscores by hyphens, because some servers treat both spellings as the same name. */
function canonicalizeName(name: string): string {
	const lowerCaseName = name.toLowerCase();
	return lowerCaseName.includes('_') ? lowerCaseName.replaceAll('_', '-') : lowerCaseName;
}

function isConnectionHeader(canonicalName: string): boolean {
	return connectionHeaders.has(canonicalName) || canonicalName.startsWith('proxy-');
}

function getConnectionOptions(headers: HeaderList): ReadonlySet<string> | undefined {
	let connectionOptions: Set<string> | undefined;
	for (const [name, value] of headers) {
		if (name.length !== 'connection'.length || name.toLowerCase() !== 'connection') {
			continue;
		}

		connectionOptions ??= new Set();
		for (const token of value.split(',')) {
			connectionOptions.add(canonicalizeName(token.trim()));
		}
	}

	return connectionOptions;
}

function findHeaderFault(headers: HeaderList): string | undefined {
	if (headers.length > maxHeaderCount) {
		return `more than ${maxHeaderCount} headers`;
	}

	let characters = 0;
	for (const [name, value] of headers) {
		if (!tokenPattern.test(name)) {
			return 'a header name is not a token';
		}

		if (!valuePattern.test(value)) {
			return `the value of header ${name} holds a control character or one beyond Latin-1`;
		}

		characters += name.length + value.length;
	}

	return characters > maxHeaderCharacters ? `headers are longer than ${maxHeaderCharacters} characters` : undefined;
}
