/**
 * Splits a byte stream into frame payloads.
 */
import {Buffer} from 'node:buffer';
import {frameHeaderBytes} from './frame-codec.js';

/**
 * Extracts frame payloads from chunks of any size; each payload byte is copied at most once.
 * @internal
 */
export class FrameReader {
	readonly #chunks: Uint8Array[] = [];
	#byteCount = 0;
	#maxFrameBytes: number;

	constructor(maxFrameBytes: number) {
		this.#maxFrameBytes = maxFrameBytes;
	}

	/** Gets the number of buffered bytes, including frame headers. */
	getByteCount(): number {
		return this.#byteCount;
	}

	/**
	 * Sets the maximum payload size.
	 * @param maxFrameBytes - Maximum in bytes.
	 */
	setMaxFrameBytes(maxFrameBytes: number): void {
		this.#maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Appends received bytes.
	 * @param chunk - Next bytes of the stream.
	 */
	addChunk(chunk: Uint8Array): void {
		if (chunk.length > 0) {
			this.#chunks.push(chunk);
			this.#byteCount += chunk.length;
		}
	}

	/** Removes and returns the next payload: `undefined` while it is incomplete, `too-long` when its length exceeds the limit. */
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

	/** Discards the buffered bytes. */
	clear(): void {
		this.#chunks.length = 0;
		this.#byteCount = 0;
	}

	#getLength(): number {
		const firstChunk = this.#chunks[0]!;
		if (firstChunk.length >= frameHeaderBytes) {
			return readLength(firstChunk);
		}

		// The header spans several chunks: at most four, because no chunk is empty.
		const header = Buffer.concat(this.#chunks.slice(0, frameHeaderBytes));
		return readLength(header);
	}

	#takeBytes(byteCount: number): Uint8Array {
		this.#byteCount -= byteCount;
		const firstChunk = this.#chunks[0]!;
		if (firstChunk.length > byteCount) {
			this.#chunks[0] = firstChunk.subarray(byteCount);
			return firstChunk.subarray(0, byteCount);
		}

		if (firstChunk.length === byteCount) {
			this.#chunks.shift();
			return firstChunk;
		}

		return this.#joinChunks(byteCount);
	}

	#joinChunks(byteCount: number): Uint8Array {
		const joined = Buffer.allocUnsafe(byteCount);
		let offset = 0;
		let consumedChunks = 0;
		while (offset < byteCount) {
			const chunk = this.#chunks[consumedChunks]!;
			const part = chunk.subarray(0, byteCount - offset);
			joined.set(part, offset);
			offset += part.length;
			if (part.length < chunk.length) {
				this.#chunks[consumedChunks] = chunk.subarray(part.length);
				break;
			}

			consumedChunks++;
		}

		this.#chunks.splice(0, consumedChunks);
		return joined;
	}
}

function readLength(header: Uint8Array): number {
	return new DataView(header.buffer, header.byteOffset).getUint32(0);
}
