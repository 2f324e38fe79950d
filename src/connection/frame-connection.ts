/**
 * Framed communication over one TCP or TLS connection.
 */

import {Buffer} from 'node:buffer';
import {type Duplex} from 'node:stream';
import {type Clock} from '../seams/index.js';
import {FrameReader} from './frame-reader.js';
import {type LinkFault, type MessageKind, type TrafficCounter} from './traffic.js';

/** Options of a {@link FrameConnection}. */
export type FrameConnectionOptions = {
	readonly clock: Clock;
	readonly socket: Duplex;
	readonly traffic: TrafficCounter;
	/** Maximum payload size in bytes; a larger one closes the connection. */
	readonly maxFrameBytes: number;
	/** Called when the received bytes violate the framing. */
	readonly onFault: (fault: LinkFault) => void;
};

/** Bytes above the maximum frame size that are buffered for the receiver before the socket is paused. */
const maxReadAheadBytes = 256 * 1024;

/** Time limit for writing the last frames before the socket is destroyed. */
const flushTimeoutMs = 100;

/** Bytes up to which the frames of one turn are copied into one buffer; above, copying them takes longer than writing several buffers. */
const maxJoinedBytes = 64 * 1024;

/** Flushes of the connections on which frames were sent in this turn of the event loop. */
let pendingFlushes: Array<() => void> = [];

function flushAll(): void {
	const flushes = pendingFlushes;
	pendingFlushes = [];
	for (const flush of flushes) {
		flush();
	}
}

/** Calls a function at the end of the current turn of the event loop; one immediate serves all connections. */
function flushAtEndOfTurn(flush: () => void): void {
	if (pendingFlushes.push(flush) === 1) {
		setImmediate(flushAll);
	}
}

/**
 * Reads and writes frames on one socket. Frames sent in the same turn of the event loop are written in one system call.
 * @internal
 */
export class FrameConnection {
	readonly #clock: Clock;
	readonly #socket: Duplex;
	readonly #onFault: (fault: LinkFault) => void;
	readonly #reader: FrameReader;
	readonly #drainCallbacks = new Set<() => void>();
	readonly #flushPending: () => void;
	#traffic: TrafficCounter;
	#maxFrameBytes: number;
	#pendingFrames: Uint8Array[] = [];
	#pendingBytes = 0;
	#resolveReceive: (() => void) | undefined;
	#hasInputEnded = false;
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
		this.#flushPending = () => {
			this.#flush();
		};

		this.#addSocketListeners();
	}

	/** Gets the monotonic time in milliseconds at which bytes were last received, initially that of the creation. */
	getLastReceived(): number {
		return this.#lastReceived;
	}

	/** Gets the number of bytes that are not yet written to the operating system. */
	getBufferedBytes(): number {
		return this.#pendingBytes + this.#socket.writableLength;
	}

	/** Gets whether either end has closed the connection. */
	isClosed(): boolean {
		return this.#isClosed || this.#hasInputEnded;
	}

	/**
	 * Sets the limit and the counter that apply after the handshake.
	 * @param maxFrameBytes - Maximum payload size in bytes from now on.
	 * @param traffic - Counter of the traffic from now on.
	 */
	configure(maxFrameBytes: number, traffic: TrafficCounter): void {
		this.#maxFrameBytes = maxFrameBytes;
		this.#reader.setMaxFrameBytes(maxFrameBytes);
		this.#traffic = traffic;
	}

	/** Waits for a frame and returns the payloads of all frames received so far; `undefined` once the connection is closed. */
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

	/** Waits for one frame and returns its payload; `undefined` once the connection is closed. */
	async receive(): Promise<Uint8Array | undefined> {
		for (;;) {
			const payload = this.#takePayload();
			if (payload !== undefined) {
				return payload;
			}

			if (this.#hasInputEnded) {
				this.#closeAtInputEnd();
			}

			if (this.#isClosed) {
				return undefined;
			}

			await new Promise<void>(resolve => {
				this.#resolveReceive = resolve;
			});
		}
	}

	/**
	 * Sends a frame at the end of the current turn of the event loop; does nothing once the connection is closed.
	 * @param frame - Frame to send, including its header.
	 * @param kind - Kind of its message, for the counters.
	 */
	send(frame: Uint8Array, kind?: MessageKind): void {
		if (this.isClosed()) {
			return;
		}

		if (this.#pendingFrames.length === 0) {
			flushAtEndOfTurn(this.#flushPending);
		}

		this.#pendingFrames.push(frame);
		this.#pendingBytes += frame.length;
		this.#traffic.addSent(frame.length, kind);
	}

	/**
	 * Adds a function that is called whenever the socket's write buffer drains, and when the connection is closed.
	 * @param callback - Function to call.
	 */
	addDrainCallback(callback: () => void): void {
		this.#drainCallbacks.add(callback);
	}

	/** Closes the connection immediately and discards frames that are not yet written. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#reader.clear();
		this.#pendingFrames = [];
		this.#pendingBytes = 0;
		this.#socket.destroy();
		this.#wakeReceiver();
		this.#callDrainCallbacks();
	}

	/** Ends the connection after the pending frames, and destroys the socket after a time limit. */
	closeAfterFlush(): void {
		this.#flush();
		this.#socket.end();
		this.#clock.setTimer(() => {
			this.close();
		}, flushTimeoutMs);
	}

	#addSocketListeners(): void {
		this.#socket.on('data', (chunk: Uint8Array) => {
			this.#addChunk(chunk);
		});
		this.#socket.on('drain', () => {
			this.#callDrainCallbacks();
		});
		const end = (): void => {
			this.#hasInputEnded = true;
			this.#wakeReceiver();
		};

		this.#socket.on('end', end);
		this.#socket.on('close', end);
		// A listener is required, because an unhandled `error` event throws; `close` follows it.
		this.#socket.on('error', end);
	}

	#addChunk(chunk: Uint8Array): void {
		if (this.#isClosed) {
			return;
		}

		this.#lastReceived = this.#clock.getMonotonicTime();
		this.#traffic.addBytesReceived(chunk.length);
		this.#reader.addChunk(chunk);
		if (this.#reader.getByteCount() > this.#maxFrameBytes + maxReadAheadBytes) {
			this.#socket.pause();
		}

		this.#wakeReceiver();
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
			this.#resumeSocket();
		}

		return payload;
	}

	#closeAtInputEnd(): void {
		if (!this.#isClosed && this.#reader.getByteCount() > 0) {
			this.#onFault('truncated');
		}

		this.close();
	}

	#resumeSocket(): void {
		if (this.#socket.isPaused() && this.#reader.getByteCount() <= this.#maxFrameBytes) {
			this.#socket.resume();
		}
	}

	#wakeReceiver(): void {
		this.#resolveReceive?.();
		this.#resolveReceive = undefined;
	}

	#flush(): void {
		if (this.#isClosed || this.#pendingFrames.length === 0) {
			return;
		}

		const frames = this.#pendingFrames;
		const byteCount = this.#pendingBytes;
		this.#pendingFrames = [];
		this.#pendingBytes = 0;
		this.#traffic.addWrite();
		if (frames.length === 1 || byteCount <= maxJoinedBytes) {
			this.#socket.write(frames.length === 1 ? frames[0] : Buffer.concat(frames, byteCount));
			return;
		}

		this.#socket.cork();
		for (const frame of frames) {
			this.#socket.write(frame);
		}

		this.#socket.uncork();
	}

	#callDrainCallbacks(): void {
		for (const callback of this.#drainCallbacks) {
			callback();
		}
	}
}
