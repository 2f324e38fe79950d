/**
 * Opening and accepting TCP connections between entry VMs; tests substitute a transport that injects faults.
 */
import {
	type AddressInfo, connect, createServer, isIPv6, type Server, type Socket,
} from 'node:net';
import {type Duplex} from 'node:stream';

/** A new connection, or the reason for the failure. `refused`: the host answered that nothing listens on the port. */
export type DialResult =
	| {readonly ok: true; readonly socket: Duplex}
	| {readonly ok: false; readonly reason: 'refused' | 'unreachable'; readonly detail: string};

/** Connects to an address; the result is `unreachable` when the signal aborts. */
export type Dial = (address: string, signal: AbortSignal) => Promise<DialResult>;

/** A socket that listens for connections of peers. */
export type PeerListener = {
	/** Address and port; the port is the one that the operating system chose if port 0 was requested. */
	readonly address: string;
	/** Stops listening; accepted connections stay open. */
	close(): Promise<void>;
};

/** Listens on an address and passes each accepted connection to a function. */
export type Listen = (address: string, onConnection: (socket: Duplex) => void) => Promise<PeerListener>;

/** Idle time after which the operating system starts to send keep-alive probes. */
const keepAliveDelayMs = 10_000;

/**
 * Splits an address into host and port.
 * @param address - IP address and port; an IPv6 address is enclosed in brackets.
 */
export function parseAddress(address: string): {readonly host: string; readonly port: number} {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator).replaceAll(/[\[\]]/gv, '');
	return {host, port: Number(address.slice(separator + 1))};
}

/**
 * Opens a TCP connection.
 * @param address - Address to connect to.
 * @param signal - Aborts the attempt.
 */
export async function dialTcp(address: string, signal: AbortSignal): Promise<DialResult> {
	return waitForConnection(() => connect(parseAddress(address)), 'connect', signal);
}

/**
 * Opens a socket and waits until it is connected; destroys it when the signal aborts. Never rejects.
 * @param open - Opens the socket; throws if the address is not valid.
 * @param readyEvent - Event that the socket emits once it is connected.
 * @param signal - Aborts the attempt.
 * @internal
 */
export async function waitForConnection(open: () => Socket, readyEvent: 'connect' | 'secureConnect', signal: AbortSignal): Promise<DialResult> {
	let socket: Socket;
	try {
		socket = open();
	} catch (err) {
		return {ok: false, reason: 'unreachable', detail: err instanceof Error ? err.message : String(err)};
	}

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
 * Listens for TCP connections; rejects when the address cannot be used.
 * @param address - Address to listen on; port 0 lets the operating system choose a port.
 * @param onConnection - Function that receives each accepted connection.
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
 * Stops a server from listening; accepted connections stay open.
 * @param server - Server to stop.
 * @internal
 */
export async function closeServer(server: Server): Promise<void> {
	// The callback is not awaited, because it fires only after all accepted connections have closed.
	server.close();
	server.unref();
}

/**
 * Formats the address of a listening server as host and port.
 * @param listening - Result of the server's `address` method.
 * @internal
 */
export function formatAddress(listening: ReturnType<Server['address']>): string {
	const {address, port} = listening as AddressInfo;
	return isIPv6(address) ? `[${address}]:${port}` : `${address}:${port}`;
}

/**
 * Disables Nagle's algorithm, so that small messages are sent without delay, and enables keep-alive probes, which detect a dead peer.
 * @param socket - Socket to configure.
 * @internal
 */
export function configureSocket(socket: Socket): void {
	socket.setNoDelay(true);
	socket.setKeepAlive(true, keepAliveDelayMs);
}
