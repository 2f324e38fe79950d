/**
 * Cuts a stream of bytes into the payloads of frames.
 */
import {Buffer} from 'node:buffer';
import {frameHeaderBytes} from './frame-codec.js';

/**
 * Reads frames out of chunks of any size; each byte is copied at most once.
 * @internal
 */
export class FrameReader {
	readonly #chunks: Uint8Array[] = [];
	#byteCount = 0;
	#maxFrameBytes: number;

	constructor(maxFrameBytes: number) {
		this.#maxFrameBytes = maxFrameBytes;
	}

	/** Gets the number of bytes that wait to be taken. */
	getByteCount(): number {
		return this.#byteCount;
	}

	/**
	 * Sets the longest payload that is taken.
	 * @param maxFrameBytes - Number of bytes.
	 */
	setMaxFrameBytes(maxFrameBytes: number): void {
		this.#maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Adds bytes.
	 * @param chunk - Bytes that follow those added before.
	 */
	addChunk(chunk: Uint8Array): void {
		if (chunk.length > 0) {
			this.#chunks.push(chunk);
			this.#byteCount += chunk.length;
		}
	}

	/** Takes the next payload: `undefined` when it is not whole yet, `too-long` when its length is over the limit. */
	takePayload(): Uint8Array | undefined | 'too-long' {
		if (this.#byteCount < frameHeaderBytes) {
			return undefined;
		}

		const length = this.#getLength();
		if (length > this.#maxFrameBytes) {
			return 'too-long';
		}

		if (this.#byteCount < frameHeaderBytes + length) {
			return undefined;
		}

		return this.#takeBytes(frameHeaderBytes + length).subarray(frameHeaderBytes);
	}

	/** Drops the bytes that wait. */
	clear(): void {
		this.#chunks.length = 0;
		this.#byteCount = 0;
	}

	#getLength(): number {
		const first = this.#chunks[0]!;
		if (first.length >= frameHeaderBytes) {
			return readLength(first);
		}

		// The header lies across chunks, of which it takes at most four.
		const header = Buffer.concat(this.#chunks.slice(0, frameHeaderBytes));
		return readLength(header);
	}

	#takeBytes(byteCount: number): Uint8Array {
		this.#byteCount -= byteCount;
		const first = this.#chunks[0]!;
		if (first.length > byteCount) {
			this.#chunks[0] = first.subarray(byteCount);
			return first.subarray(0, byteCount);
		}

		if (first.length === byteCount) {
			this.#chunks.shift();
			return first;
		}

		return this.#joinChunks(byteCount);
	}

	#joinChunks(byteCount: number): Uint8Array {
		const joined = Buffer.allocUnsafe(byteCount);
		let offset = 0;
		let used = 0;
		while (offset < byteCount) {
			const chunk = this.#chunks[used]!;
			const part = chunk.subarray(0, byteCount - offset);
			joined.set(part, offset);
			offset += part.length;
			if (part.length < chunk.length) {
				this.#chunks[used] = chunk.subarray(part.length);
				break;
			}

			used++;
		}

		this.#chunks.splice(0, used);
		return joined;
	}
}

function readLength(header: Uint8Array): number {
	return new DataView(header.buffer, header.byteOffset).getUint32(0);
}
