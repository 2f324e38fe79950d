import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {FrameConnection} from '../../src/connection/frame-connection.js';
import {Handshake, type HandshakeOptions, type HandshakeResult} from '../../src/connection/handshake.js';
import {type ConnectionKind} from '../../src/connection/handshake-messages.js';
import {listenTcp, parseAddress} from '../../src/connection/index.js';
import {TrafficCounter} from '../../src/connection/traffic.js';
import {systemClock, systemRandom} from '../../src/seams/index.js';
import {type TestContext} from './test-mesh.js';

type RawConnection = {readonly connection: FrameConnection; readonly result: HandshakeResult};

/** Connects to an entry VM without a handshake. */
export async function connectRaw(address: string): Promise<Socket> {
	const socket = connect(parseAddress(address));
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
}

/** Connects to an entry VM and runs a handshake with options of the test. */
export async function connectPeer(address: string, kind: ConnectionKind, options: Partial<HandshakeOptions> = {}): Promise<RawConnection> {
	const {connection, handshake} = startHandshake(await connectRaw(address), options);
	const result = await handshake.dial({kind, getRejectReason: () => undefined, getLastLinkId: () => ''});
	return {connection, result};
}

/** Listens for entry VMs and runs handshakes with the options of the test peer; returns the address. */
export async function listenForPeers(t: TestContext): Promise<string> {
	const connections: FrameConnection[] = [];
	const listener = await listenTcp('127.0.0.1:0', socket => {
		const {connection, handshake} = startHandshake(socket, {});
		connections.push(connection);
		void handshake.accept({getRejectReason: () => undefined});
	});
	t.teardown(async () => {
		await listener.close();
		for (const connection of connections) {
			connection.close();
		}
	});
	return listener.address;
}

function startHandshake(socket: Duplex, options: Partial<HandshakeOptions>): {readonly connection: FrameConnection; readonly handshake: Handshake} {
	const connection = new FrameConnection({
		clock: systemClock, socket, traffic: new TrafficCounter(), maxFrameBytes: 1_000_000, onFault: () => undefined,
	});
	const handshake = new Handshake(connection, {
		clock: systemClock,
		random: systemRandom,
		deployment: 'test',
		self: {dataCenter: 'kolkata', vm: 'raw', id: 'raw-1'},
		address: '127.0.0.1:1',
		key: 'a key that the test shares',
		timeoutMs: 30_000,
		...options,
	});
	return {connection, handshake};
}
