import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {FrameConnection} from '../../src/connection/frame-connection.js';
import {Handshake, type HandshakeOptions, type HandshakeResult} from '../../src/connection/handshake.js';
import {type ConnectionKind} from '../../src/connection/handshake-messages.js';
import {parseAddress} from '../../src/connection/index.js';
import {TrafficCounter} from '../../src/connection/traffic.js';
import {systemClock, systemRandom} from '../../src/seams/index.js';

/** Connects to an entry VM without a handshake. */
export async function connectRaw(address: string): Promise<Socket> {
	const socket = connect(parseAddress(address));
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
}

/** Connects to an entry VM with a handshake of the test's making. */
export async function connectPeer(address: string, kind: ConnectionKind, options: Partial<HandshakeOptions> = {}): Promise<{readonly connection: FrameConnection; readonly result: HandshakeResult}> {
	const connection = new FrameConnection({
		clock: systemClock, socket: await connectRaw(address), traffic: new TrafficCounter(), maxFrameBytes: 1_000_000, onFault: () => undefined,
	});
	const handshake = new Handshake(connection, {
		clock: systemClock,
		random: systemRandom,
		deployment: 'test',
		self: {dataCenter: 'kolkata', vm: 'raw', id: 'raw-1'},
		address: '127.0.0.1:1',
		key: 'a key that the test shares',
		timeoutMs: 5000,
		...options,
	});
	const result = await handshake.dial({kind, getObjection: () => undefined, getLastLinkId: () => ''});
	return {connection, result};
}
