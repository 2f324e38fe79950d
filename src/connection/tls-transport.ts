/**
 * Connections between entry VMs over TLS; each side shows a certificate of the same authorities.
 */
import {once} from 'node:events';
import {type Duplex} from 'node:stream';
import {
	connect, createServer, type SecureContextOptions, type TLSSocket,
} from 'node:tls';
import {
	closeServer, type Dial, formatAddress, type Listen, parseAddress, configureSocket, waitForConnection,
} from './tcp-transport.js';
import {minTlsVersion, type TlsStore} from './tls-store.js';

/** Time limit of a handshake at the listening side in milliseconds. */
const handshakeTimeoutMs = 5000;

/**
 * Creates the way of making connections to peers over TLS.
 * @param store - Material of this side.
 */
export function createTlsDial(store: TlsStore): Dial {
	return async (address, signal) => waitForConnection(connect({
		...parseAddress(address),
		...getContextOptions(store),
		// Peers are dialled by IP number and replaced at any time: the authority vouches for them, the peer key for the deployment.
		checkServerIdentity: () => undefined,
	}), 'secureConnect', signal);
}

/**
 * Creates the way of taking connections from peers over TLS.
 * @param store - Material of this side; new material is used for new connections.
 */
export function createTlsListen(store: TlsStore): Listen {
	return async (address, onConnection) => {
		const server = createServer({
			...getContextOptions(store), requestCert: true, rejectUnauthorized: true, handshakeTimeout: handshakeTimeoutMs,
		}, (socket: TLSSocket) => {
			configureSocket(socket);
			onConnection(socket);
		});
		server.on('tlsClientError', (_err, socket) => {
			socket.destroy();
		});
		const setContext = (): void => {
			server.setSecureContext(getContextOptions(store));
		};

		store.addListener(setContext);
		server.listen(parseAddress(address));
		await once(server, 'listening');
		return {
			address: formatAddress(server.address()),
			async close() {
				store.removeListener(setContext);
				await closeServer(server);
			},
		};
	};
}

function getContextOptions(store: TlsStore): SecureContextOptions {
	return {...store.getMaterial(), minVersion: minTlsVersion};
}
