/**
 * HTTP servers of the stand-ins.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Opens a listener on a loopback address; gets its address and a function that closes it. */
export async function listen({ip, port}, handler) {
	const server = createServer(handler);
	server.keepAliveTimeout = 120_000;
	server.listen({host: ip, port});
	await once(server, 'listening');
	return {
		address: `${ip}:${server.address().port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Reads the body of a request as JSON; an empty one is an empty object. */
export async function readJson(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text);
}

/** Sends an answer with a JSON body. */
export function sendJson(res, status, body) {
	if (res.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
	res.end(text);
}
