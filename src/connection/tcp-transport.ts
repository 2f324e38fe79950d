/**
 * How connections are made and taken; tests put faulty ones in the place of these.
 */
import {
	type AddressInfo, connect, createServer, isIPv6, type Server, type Socket,
} from 'node:net';
import {type Duplex} from 'node:stream';

/** A new connection, or why there is none. `refused`: the address answered that nobody listens there. */
export type DialResult =
	| {readonly ok: true; readonly socket: Duplex}
	| {readonly ok: false; readonly reason: 'refused' | 'unreachable'; readonly detail: string};

/** Makes a connection to an address; ends as `unreachable` when the signal aborts. */
export type Dial = (address: string, signal: AbortSignal) => Promise<DialResult>;

/** A listening address. */
export type PeerListener = {
	/** Address with the port that the operating system chose where none was given. */
	readonly address: string;
	/** Ends the listener; connections that it took stay open. */
	close(): Promise<void>;
};

/** Takes connections at an address. */
export type Listen = (address: string, onConnection: (socket: Duplex) => void) => Promise<PeerListener>;

/** Idle time after which the operating system starts to probe a connection. */
const keepAliveDelayMs = 10_000;

/**
 * Splits an address into its host and port.
 * @param address - IP address and port; an IPv6 address stands in brackets.
 */
export function parseAddress(address: string): {readonly host: string; readonly port: number} {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replaceAll(/[\[\]]/gv, '');
	return {host, port: Number(address.slice(separator + 1))};
}

/**
 * Makes a TCP connection.
 * @param address - Address to connect to.
 * @param signal - Ends the attempt.
 */
export async function dialTcp(address: string, signal: AbortSignal): Promise<DialResult> {
	return waitForConnection(connect(parseAddress(address)), 'connect', signal);
}

/**
 * Waits until a socket is connected; ends it when the signal aborts.
 * @param socket - Socket that is connecting.
 * @param readyEvent - Event by which it tells that it is connected.
 * @param signal - Ends the attempt.
 * @internal
 */
export async function waitForConnection(socket: Socket, readyEvent: 'connect' | 'secureConnect', signal: AbortSignal): Promise<DialResult> {
	return new Promise(resolve => {
		const abort = (): void => {
			socket.destroy();
			resolve({ok: false, reason: 'unreachable', detail: 'connecting took too long'});
		};

		signal.addEventListener('abort', abort, {once: true});
		socket.once(readyEvent, () => {
			signal.removeEventListener('abort', abort);
			socket.removeAllListeners('error');
			configureSocket(socket);
			resolve({ok: true, socket});
		});
		socket.once('error', (err: NodeJS.ErrnoException) => {
			signal.removeEventListener('abort', abort);
			const reason = err.code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
			resolve({ok: false, reason, detail: err.message});
		});
		if (signal.aborted) {
			abort();
		}
	});
}

/**
 * Takes TCP connections.
 * @param address - Address to listen on; port 0 lets the operating system choose.
 * @param onConnection - Function that is given each connection.
 */
export async function listenTcp(address: string, onConnection: (socket: Duplex) => void): Promise<PeerListener> {
	const server = createServer(socket => {
		configureSocket(socket);
		onConnection(socket);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(parseAddress(address), resolve);
	});
	server.removeAllListeners('error');
	return {
		address: formatAddress(server.address()),
		close: async () => closeServer(server),
	};
}

/**
 * Ends a listener; the connections that it took stay open.
 * @param server - Listener to end.
 * @internal
 */
export async function closeServer(server: Server): Promise<void> {
	// The callback waits for the connections too, which are not the listener's.
	server.close();
	server.unref();
}

/**
 * Gets a listening address as text.
 * @param address - Address of a server.
 * @internal
 */
export function formatAddress(listening: ReturnType<Server['address']>): string {
	const {address, port} = listening as AddressInfo;
	return isIPv6(address) ? `[${address}]:${port}` : `${address}:${port}`;
}

/**
 * Sets a connection up for small messages and for noticing a dead peer.
 * @param socket - Connection.
 * @internal
 */
export function configureSocket(socket: Socket): void {
	socket.setNoDelay(true);
	socket.setKeepAlive(true, keepAliveDelayMs);
}
