/**
 * Connections between entry VMs over mutual TLS, with certificates signed by the same authorities.
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

/** Time limit of a TLS handshake on the accepting side in milliseconds. */
const handshakeTimeoutMs = 5000;

/**
 * Creates a function that connects to peers over TLS.
 * @param store - TLS material of this entry VM.
 */
export function createTlsDial(store: TlsStore): Dial {
	return async (address, signal) => waitForConnection(() => connect({
		...parseAddress(address),
		...getContextOptions(store),
		// Peers are dialled by IP address and replaced at any time, so that no host name can be checked. The certificate
		// authority authenticates the peer, and the peer key the deployment.
		checkServerIdentity: () => undefined,
	}), 'secureConnect', signal);
}

/**
 * Creates a function that accepts connections from peers over TLS.
 * @param store - TLS material of this entry VM; reloaded material applies to new connections.
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
