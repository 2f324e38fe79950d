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

/** Digests have one length, so that comparing them takes the same time whatever is shown. */
function getDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
