/**
 * Connections of callers that send given bytes and stay open without reading the answers.
 */
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Options of {@link CallerCrowd}. */
export type CallerCrowdOptions = {
	readonly ip: string;
	readonly port: number;
	readonly connectionCount: number;
	readonly bytes: Uint8Array;
};

const pollMs = 100;
/** Number of polls without progress after which a connection that still has bytes to send counts as held up by the receiver. */
const heldUpPolls = 20;

/** Opens the connections at once and keeps them open until `close`. */
export class CallerCrowd {
	readonly #sockets: readonly Socket[];

	constructor({ip, port, connectionCount, bytes}: CallerCrowdOptions) {
		this.#sockets = Array.from({length: connectionCount}, () => {
			const socket = connect({host: ip, port});
			socket.on('error', () => {/* The receiver may close the connection. */});
			socket.write(bytes);
			return socket;
		});
	}

	/** Waits until each connection has sent its bytes, is closed, or is held up by the receiver. */
	async waitUntilSent(): Promise<void> {
		let sentBytes = 0;
		let idlePolls = 0;
		while (idlePolls < heldUpPolls && this.#sockets.some(socket => !socket.destroyed && (socket.connecting || socket.writableLength > 0))) {
			await delay(pollMs);
			const nowSent = this.#sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
			idlePolls = nowSent === sentBytes ? idlePolls + 1 : 0;
			sentBytes = nowSent;
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}
