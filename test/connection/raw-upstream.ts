/**
 * An upstream on a plain TCP socket, which can violate HTTP in any way and records the request heads that it received.
 */
import {once} from 'node:events';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {type ListedUpstream, upstreamSchema} from '../../src/platform/index.js';

export type RawRequest = {
	/** Request line, such as `GET /a HTTP/1.1`. */
	readonly line: string;
	readonly head: string;
	readonly socket: Socket;
	/** Number of the connection, counted from 0. */
	readonly connection: number;
};

export type RawUpstream = {
	readonly upstream: ListedUpstream;
	/** Received request lines in order of arrival. */
	readonly lines: readonly string[];
	readonly getConnectionCount: () => number;
	readonly getOpenConnectionCount: () => number;
	/** Waits until no connection is open. */
	readonly waitForNoConnection: () => Promise<void>;
	readonly close: () => Promise<void>;
};

export function createListedUpstream(port: number, connections = 64): ListedUpstream {
	return upstreamSchema.parse({
		kind: 'upstream', name: 'upstream-1', dataCenter: 'kolkata', state: 'live', service: 'seats', address: `127.0.0.1:${port}`, slots: 8, connections,
	});
}

export async function createRawUpstream(onRequest: (req: RawRequest) => void, connections = 64): Promise<RawUpstream> {
	const lines: string[] = [];
	const sockets = new Set<Socket>();
	let connectionCount = 0;
	const server = createServer(socket => {
		const connection = connectionCount++;
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
			if (sockets.size === 0) {
				server.emit('idle');
			}
		});
		socket.on('error', () => {
			socket.destroy();
		});
		readHeads(socket, head => {
			const line = head.slice(0, head.indexOf('\r\n'));
			lines.push(line);
			onRequest({
				line, head, socket, connection,
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		upstream: createListedUpstream((server.address() as AddressInfo).port, connections),
		lines,
		getConnectionCount: () => connectionCount,
		getOpenConnectionCount: () => sockets.size,
		async waitForNoConnection() {
			if (sockets.size > 0) {
				await once(server, 'idle');
			}
		},
		async close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/** Calls a function with each complete request head; bodies are skipped by their declared length. */
function readHeads(socket: Socket, onHead: (head: string) => void): void {
	let buffered = '';
	let remainingBodyBytes = 0;
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		buffered += chunk;
		for (;;) {
			const skipped = Math.min(remainingBodyBytes, buffered.length);
			buffered = buffered.slice(skipped);
			remainingBodyBytes -= skipped;
			const end = buffered.indexOf('\r\n\r\n');
			if (remainingBodyBytes > 0 || end === -1) {
				return;
			}

			const head = buffered.slice(0, end + 2);
			buffered = buffered.slice(end + 4);
			remainingBodyBytes = Number(/content-length: (?<length>\d+)/iv.exec(head)?.groups?.length ?? 0);
			onHead(head);
		}
	});
}

export function answer(socket: Socket, status = 200, body = 'ok', headers = ''): void {
	socket.write(`HTTP/1.1 ${status} X\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`);
}
