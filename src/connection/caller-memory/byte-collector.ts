/**
 * Joins the chunks of a body as they arrive.
 */
import {Buffer} from 'node:buffer';

const minBlockBytes = 512;
const maxBlockBytes = 16_384;

/** Collects bytes at a cost of the bytes and one partly used block; one-byte chunks kept as buffers cost some hundred bytes each. */
export class ByteCollector {
	readonly #parts: Uint8Array[] = [];
	/** Block that small chunks are copied into; the last part while it is defined. */
	#block: Uint8Array | undefined;
	#blockLength = 0;
	#length = 0;
	#allocated = 0;

	/** Gets the number of bytes collected. */
	getLength(): number {
		return this.#length;
	}

	/** Gets the number of bytes allocated. */
	getAllocated(): number {
		return this.#allocated;
	}

	/**
	 * Adds a chunk; a large one is kept without a copy.
	 * @param chunk - Bytes.
	 */
	addChunk(chunk: Uint8Array): void {
		const free = (this.#block?.length ?? 0) - this.#blockLength;
		if (chunk.length <= free) {
			this.#block?.set(chunk, this.#blockLength);
			this.#blockLength += chunk.length;
		} else if (free === 0 && chunk.length >= maxBlockBytes && chunk.buffer.byteLength === chunk.length) {
			this.#parts.push(chunk);
			this.#block = undefined;
			this.#blockLength = 0;
			this.#allocated += chunk.length;
		} else {
			this.#fillBlocks(chunk, free);
		}

		this.#length += chunk.length;
	}

	/** Gets all bytes, joined. */
	getBytes(): Uint8Array {
		return this.#parts.length === 1 ? this.#parts[0]!.subarray(0, this.#length) : Buffer.concat(this.#parts, this.#length);
	}

	#fillBlocks(chunk: Uint8Array, free: number): void {
		if (free > 0) {
			this.#block!.set(chunk.subarray(0, free), this.#blockLength);
			this.#blockLength += free;
		}

		const rest = chunk.subarray(free);
		// Blocks grow with the body, so that a body of a few bytes costs few.
		const size = Math.max(rest.length, Math.min(Math.max(this.#allocated, minBlockBytes), maxBlockBytes));
		this.#block = Buffer.allocUnsafeSlow(size);
		this.#block.set(rest);
		this.#blockLength = rest.length;
		this.#parts.push(this.#block);
		this.#allocated += size;
	}
}
