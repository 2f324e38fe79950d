/**
 * Faults of platform calls, classified by whether the request may have reached the platform.
 */
import {type PlatformFault} from './platform.js';

/** Error codes that prove that no byte of a request was sent. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Creates a fault.
 * @param reason - Why the call has no result.
 * @param detail - Description of the failure.
 */
export function createFault(reason: PlatformFault['reason'], detail: string): PlatformFault {
	return {ok: false, reason, detail};
}

/**
 * Gets whether an error proves that no byte of the request was sent.
 * @param err - Error of the HTTP client.
 */
export function isNotSent(err: unknown): boolean {
	return notSentCodes.has(getErrorCode(err));
}

/**
 * Gets a one-line description of an error, with its code.
 * @param err - Error of the HTTP client.
 */
export function describeError(err: unknown): string {
	const code = getErrorCode(err);
	const message = err instanceof Error ? err.message : String(err);
	return code && !message.includes(code) ? `${code}: ${message}` : message;
}

function getErrorCode(err: unknown): string {
	if (!(err instanceof Error)) {
		return '';
	}

	const {code} = err as Error & {code?: unknown};
	return typeof code === 'string' ? code : '';
}
