/**
 * An upstream on a bare TCP socket, which can break every rule and counts the request heads that it saw.
 */
import {once} from 'node:events';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {type ListedUpstream, upstreamSchema} from '../../src/platform/index.js';

export type RawRequest = {
	/** Request line, such as `GET /a HTTP/1.1`. */
	readonly line: string;
	readonly head: string;
	readonly socket: Socket;
	/** Position of the connection, from 0 on. */
	readonly connection: number;
};

export type RawUpstream = {
	readonly upstream: ListedUpstream;
	/** Request lines in the order of arrival. */
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

/** Calls back at each whole head; bodies are skipped by their length. */
function readHeads(socket: Socket, onHead: (head: string) => void): void {
	let buffered = '';
	let bodyLeft = 0;
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		buffered += chunk;
		for (;;) {
			const skipped = Math.min(bodyLeft, buffered.length);
			buffered = buffered.slice(skipped);
			bodyLeft -= skipped;
			const end = buffered.indexOf('\r\n\r\n');
			if (bodyLeft > 0 || end === -1) {
				return;
			}

			const head = buffered.slice(0, end + 2);
			buffered = buffered.slice(end + 4);
			bodyLeft = Number(/content-length: (?<length>\d+)/iv.exec(head)?.groups?.length ?? 0);
			onHead(head);
		}
	});
}

export function answer(socket: Socket, status = 200, body = 'ok', headers = ''): void {
	socket.write(`HTTP/1.1 ${status} X\r\ncontent-length: ${body.length}\r\n${headers}\r\n${body}`);
}
