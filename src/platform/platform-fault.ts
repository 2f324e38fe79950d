/**
 * Faults of platform calls, told apart by whether the request may have reached the platform.
 */
import {type PlatformFault} from './platform.js';

/** Error codes by which it is proven that no byte of a request was sent. */
const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Creates a fault.
 * @param reason - Why the call gave no value.
 * @param detail - Further text.
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
 * Gets a line about an error.
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
