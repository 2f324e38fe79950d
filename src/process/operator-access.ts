/**
 * Authorisation of requests to the HTTP interface for operators.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {TLSSocket} from 'node:tls';

/** Options of {@link createOperatorAccessCheck}. */
export type OperatorAccessOptions = {
	/** Expected bearer token; absent: no token is accepted. */
	readonly token?: string;
	/** Whether a client certificate issued by the operators' certificate authorities is accepted in place of the token. */
	readonly acceptsCertificates?: boolean;
};

const scheme = 'bearer ';

/**
 * Creates the check whether an operator's request is allowed: with the token or a valid certificate, or any request when neither is
 * configured.
 * @param options - Accepted credentials.
 */
export function createOperatorAccessCheck(options: OperatorAccessOptions): (req: IncomingMessage) => boolean {
	const {token, acceptsCertificates = false} = options;
	if (token === undefined && !acceptsCertificates) {
		return () => true;
	}

	const expectedDigest = token === undefined ? undefined : getDigest(token);
	return req => {
		if (acceptsCertificates && req.socket instanceof TLSSocket && req.socket.authorized) {
			return true;
		}

		const presentedToken = getBearerToken(req.headers.authorization ?? '');
		return expectedDigest !== undefined && timingSafeEqual(getDigest(presentedToken), expectedDigest);
	};
}

function getBearerToken(authorization: string): string {
	const hasScheme = authorization.slice(0, scheme.length).toLowerCase() === scheme;
	return hasScheme ? authorization.slice(scheme.length).trim() : '';
}

/** Gets a digest of fixed length, which `timingSafeEqual` requires, so that the comparison does not leak the token's length. */
function getDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
