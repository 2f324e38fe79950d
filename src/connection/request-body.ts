/**
 * Reading of HTTP request bodies with a size limit.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** A complete body, or why it is missing. `broken-off`: the connection closed before the end of the body. */
export type RequestBody =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'too-large'}
	| {readonly kind: 'broken-off'};

const emptyBytes = Buffer.alloc(0);

/**
 * Reads the body of a request; never rejects.
 * @param req - Request to read.
 * @param maxBytes - Maximum size of the body in bytes.
 */
export async function readRequestBody(req: IncomingMessage, maxBytes: number): Promise<RequestBody> {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		return {kind: 'too-large'};
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		req.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > maxBytes) {
				req.pause();
				resolve({kind: 'too-large'});
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			resolve({kind: 'whole', bytes: joinChunks(chunks)});
		});
		req.once('close', () => {
			resolve({kind: 'broken-off'});
		});
	});
}

function joinChunks(chunks: readonly Uint8Array[]): Uint8Array {
	return chunks.length === 1 ? chunks[0]! : (chunks.length === 0 ? emptyBytes : Buffer.concat(chunks));
}
