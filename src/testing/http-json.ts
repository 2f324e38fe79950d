/**
 * Reads and writes the JSON bodies of the stand-ins.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';

/**
 * Reads the body of a request; `undefined` when it is not valid JSON or incomplete.
 * @param req - Request to read.
 */
export async function readJson(req: IncomingMessage): Promise<unknown> {
	let text = '';
	req.setEncoding('utf8');
	try {
		for await (const chunk of req) {
			text += chunk as string;
		}

		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

/**
 * Sends a response.
 * @param res - Response to send.
 * @param status - Status code.
 * @param body - Body to encode as JSON; `undefined` for an empty one.
 */
export function sendJson(res: ServerResponse, status: number, body?: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(body === undefined ? '' : JSON.stringify(body));
}
