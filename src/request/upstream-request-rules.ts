/**
 * Rules that keep a caller's request from changing its framing or its target on the way to an upstream.
 */

/** Header fields in the order given; a name may occur more than once. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/** Whether a part of a request may be passed on, and why not. */
export type RuleResult = {readonly ok: true} | {readonly ok: false; readonly detail: string};

/** The header fields that may be passed on, or why the list is refused as a whole. */
export type ForwardedHeadersResult =
	| {readonly ok: true; readonly headers: HeaderList}
	| {readonly ok: false; readonly detail: string};

/** Longest path with its query, in characters. */
const maxPathLength = 8192;

/** Most header fields of one request. */
const maxHeaderCount = 100;

/** Most characters of all names and values of one request. */
const maxHeaderCharacters = 16_384;

const allowedMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/** Visible ASCII but `"`, `#`, `<`, `>`, `\`, `^`, backquote, `{`, `|` and `}`, which RFC 3986 wants percent-encoded. */
const pathPattern = /^\/(?!\/)[!$-;=?-\[\]_a-z~]*$/v;

const tokenPattern = /^[!#-'*+\-.^_`\|~\da-zA-Z]+$/v;

/** HTAB, SP, visible ASCII and obs-text of RFC 9110. */
const valuePattern = /^[\t -~\u{80}-\u{FF}]*$/v;

/** Fields that belong to one connection or to the framing of one message. */
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
 * @param path - Path in origin form.
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
 * Checks a method.
 * @param method - Method in upper case.
 */
export function checkMethod(method: string): RuleResult {
	return allowedMethods.has(method) ? ok : {ok: false, detail: `method must be one of ${[...allowedMethods].join(', ')}`};
}

/**
 * Checks header fields as they are about to be sent: well formed, and none that changes the connection or the framing.
 * @param headers - Fields to send.
 */
export function checkHeaders(headers: HeaderList): RuleResult {
	const fault = findHeaderFault(headers);
	if (fault !== undefined) {
		return {ok: false, detail: fault};
	}

	const reserved = headers.find(([name]) => isConnectionHeader(canonicalizeName(name)));
	return reserved === undefined ? ok : {ok: false, detail: `header ${reserved[0]} belongs to the connection`};
}

/**
 * Gets the fields of a caller's request that may be passed on to an upstream.
 * @param headers - Fields as received.
 */
export function getForwardedHeaders(headers: HeaderList): ForwardedHeadersResult {
	const fault = findHeaderFault(headers);
	return fault === undefined ? {ok: true, headers: filterHeaders(headers)} : {ok: false, detail: fault};
}

/**
 * Gets the fields of an upstream's answer that may be passed on to a caller.
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

/** Some servers take an underscore for a hyphen, so that both spellings count as one name. */
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
