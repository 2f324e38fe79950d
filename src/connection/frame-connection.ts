/**
 * One TCP connection as a sequence of frames in each direction.
 */

import {type Duplex} from 'node:stream';
import {type Clock} from '../seams/index.js';
import {FrameReader} from './frame-reader.js';
import {type LinkFault, type TrafficCounter} from './traffic.js';

/** Options of a {@link FrameConnection}. */
export type FrameConnectionOptions = {
	readonly clock: Clock;
	readonly socket: Duplex;
	readonly traffic: TrafficCounter;
	/** Longest payload taken; a longer one closes the connection. */
	readonly maxFrameBytes: number;
	/** Tells that bytes from the other end broke the framing. */
	readonly onFault: (fault: LinkFault) => void;
};

/** Bytes beyond the longest frame that may wait for their reader before the socket is paused. */
const maxBytesReadAhead = 256 * 1024;

/** Time for the last frames to leave. */
const lingerMs = 100;

/**
 * Reads and writes frames on one socket. Frames written in one turn of the event loop leave in one system call.
 * @internal
 */
export class FrameConnection {
	readonly #clock: Clock;
	readonly #socket: Duplex;
	readonly #onFault: (fault: LinkFault) => void;
	readonly #reader: FrameReader;
	readonly #drainCallbacks = new Set<() => void>();
	#traffic: TrafficCounter;
	#maxFrameBytes: number;
	#pending: Uint8Array[] = [];
	#pendingBytes = 0;
	#wakeReader: (() => void) | undefined;
	#hasEnded = false;
	#isClosed = false;
	#lastReceived: number;

	constructor(options: FrameConnectionOptions) {
		this.#clock = options.clock;
		this.#socket = options.socket;
		this.#traffic = options.traffic;
		this.#onFault = options.onFault;
		this.#maxFrameBytes = options.maxFrameBytes;
		this.#reader = new FrameReader(options.maxFrameBytes);
		this.#lastReceived = this.#clock.getMonotonicTime();
		this.#listen();
	}

	/** Gets the monotonic time at which bytes last came in. */
	getLastReceived(): number {
		return this.#lastReceived;
	}

	/** Gets the number of bytes that wait to be written. */
	getBufferedBytes(): number {
		return this.#pendingBytes + this.#socket.writableLength;
	}

	/** Gets whether the connection is closed, by either end. */
	isClosed(): boolean {
		return this.#isClosed || this.#hasEnded;
	}

	/**
	 * Sets what a connection is for, once its handshake is done.
	 * @param maxFrameBytes - Longest payload taken from now on.
	 * @param traffic - Counter of the traffic from now on.
	 */
	configure(maxFrameBytes: number, traffic: TrafficCounter): void {
		this.#maxFrameBytes = maxFrameBytes;
		this.#reader.setMaxFrameBytes(maxFrameBytes);
		this.#traffic = traffic;
	}

	/** Waits for frames and takes all that are there; `undefined` once the connection is closed. */
	async receiveAll(): Promise<readonly Uint8Array[] | undefined> {
		const first = await this.receive();
		if (first === undefined) {
			return undefined;
		}

		const payloads = [first];
		for (let payload = this.#takePayload(); payload !== undefined; payload = this.#takePayload()) {
			payloads.push(payload);
		}

		return payloads;
	}

	/** Waits for one frame; `undefined` once the connection is closed. */
	async receive(): Promise<Uint8Array | undefined> {
		for (;;) {
			const payload = this.#takePayload();
			if (payload !== undefined) {
				return payload;
			}

			if (this.#hasEnded) {
				this.#end();
			}

			if (this.#isClosed) {
				return undefined;
			}

			await new Promise<void>(resolve => {
				this.#wakeReader = resolve;
			});
		}
	}

	/**
	 * Sends a frame at the end of this turn of the event loop.
	 * @param frame - Frame to send, its header included.
	 */
	send(frame: Uint8Array): void {
		if (this.isClosed()) {
			return;
		}

		if (this.#pending.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#pending.push(frame);
		this.#pendingBytes += frame.length;
		this.#traffic.addSent(frame.length);
	}

	/**
	 * Adds a function that is called whenever all written bytes have left, and once when the connection is closed.
	 * @param callback - Function to call.
	 */
	addDrainCallback(callback: () => void): void {
		this.#drainCallbacks.add(callback);
	}

	/** Closes the connection at once; what waits to be written is lost. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#reader.clear();
		this.#pending = [];
		this.#pendingBytes = 0;
		this.#socket.destroy();
		this.#wake();
		this.#callDrained();
	}

	/** Closes the connection after what waits to be written, or after a short time if that does not leave. */
	closeAfterFlush(): void {
		this.#flush();
		this.#socket.end();
		this.#clock.setTimer(() => {
			this.close();
		}, lingerMs);
	}

	#listen(): void {
		this.#socket.on('data', (chunk: Uint8Array) => {
			this.#addChunk(chunk);
		});
		this.#socket.on('drain', () => {
			this.#callDrained();
		});
		const end = (): void => {
			this.#hasEnded = true;
			this.#wake();
		};

		this.#socket.on('end', end);
		this.#socket.on('close', end);
		// `close` follows an error.
		this.#socket.on('error', end);
	}

	#addChunk(chunk: Uint8Array): void {
		if (this.#isClosed) {
			return;
		}

		this.#lastReceived = this.#clock.getMonotonicTime();
		this.#traffic.addBytesReceived(chunk.length);
		this.#reader.addChunk(chunk);
		if (this.#reader.getByteCount() > this.#maxFrameBytes + maxBytesReadAhead) {
			this.#socket.pause();
		}

		this.#wake();
	}

	#takePayload(): Uint8Array | undefined {
		const payload = this.#reader.takePayload();
		if (payload === 'too-long') {
			this.#onFault('frame-too-long');
			this.close();
			return undefined;
		}

		if (payload !== undefined) {
			this.#traffic.addMessageReceived();
			this.#resume();
		}

		return payload;
	}

	#end(): void {
		if (!this.#isClosed && this.#reader.getByteCount() > 0) {
			this.#onFault('truncated');
		}

		this.close();
	}

	#resume(): void {
		if (this.#socket.isPaused() && this.#reader.getByteCount() <= this.#maxFrameBytes) {
			this.#socket.resume();
		}
	}

	#wake(): void {
		this.#wakeReader?.();
		this.#wakeReader = undefined;
	}

	#flush(): void {
		if (this.#isClosed || this.#pending.length === 0) {
			return;
		}

		const frames = this.#pending;
		this.#pending = [];
		this.#pendingBytes = 0;
		this.#socket.cork();
		for (const frame of frames) {
			this.#socket.write(frame);
		}

		this.#socket.uncork();
	}

	#callDrained(): void {
		for (const callback of this.#drainCallbacks) {
			callback();
		}
	}
}
