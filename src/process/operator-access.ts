/**
 * Who may use the interface for operators.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {TLSSocket} from 'node:tls';

/** Options of {@link createOperatorAccessCheck}. */
export type OperatorAccessOptions = {
	/** Bearer token; absent: none is taken. */
	readonly token?: string;
	/** Whether a certificate of the operators' authorities is enough. */
	readonly acceptsCertificates?: boolean;
};

const scheme = 'bearer ';

/**
 * Creates the check of operators' requests: one with the token or with a certificate passes; all do when neither is set.
 * @param options - What operators may show.
 */
export function createOperatorAccessCheck(options: OperatorAccessOptions): (req: IncomingMessage) => boolean {
	const {token, acceptsCertificates: takesCertificates = false} = options;
	if (token === undefined && !takesCertificates) {
		return () => true;
	}

	const expected = token === undefined ? undefined : getDigest(token);
	return req => {
		if (takesCertificates && req.socket instanceof TLSSocket && req.socket.authorized) {
			return true;
		}

		const shown = getBearerToken(req.headers.authorization ?? '');
		return expected !== undefined && timingSafeEqual(getDigest(shown), expected);
	};
}

function getBearerToken(authorization: string): string {
	const hasScheme = authorization.slice(0, scheme.length).toLowerCase() === scheme;
	return hasScheme ? authorization.slice(scheme.length).trim() : '';
}

/** Digests have one length, so that comparing them takes the same time whatever is shown. */
function getDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
