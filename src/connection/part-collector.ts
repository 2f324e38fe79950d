/**
 * Reassembles bodies from received parts.
 */
import {Buffer} from 'node:buffer';

type PartialBody<T> = {
	readonly first: T;
	readonly parts: Uint8Array[];
	missingBytes: number;
};

/** A complete body, with the message that carried its first part. */
export type CollectedBody<T> = {
	readonly first: T;
	readonly body: Uint8Array;
};

/**
 * Collects the parts of bodies by identifier; the total declared size of incomplete bodies is bounded.
 * @internal
 */
export class PartCollector<T extends {readonly id: number; readonly size: number; readonly part: Uint8Array}> {
	readonly #maxBytes: number;
	readonly #partialBodies = new Map<number, PartialBody<T>>();
	#reservedBytes = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/**
	 * Adds the first part of a body. Returns the body when it is complete, `undefined` when more parts are due, and
	 * `too-large` when it exceeds the free buffer space or its identifier is already in use.
	 * @param first - Message with the first part.
	 */
	addFirst(first: T): CollectedBody<T> | undefined | 'too-large' {
		if (first.part.length === first.size) {
			return {first, body: first.part};
		}

		if (this.#reservedBytes + first.size > this.#maxBytes || this.#partialBodies.has(first.id)) {
			return 'too-large';
		}

		this.#reservedBytes += first.size;
		this.#partialBodies.set(first.id, {first, parts: [first.part], missingBytes: first.size - first.part.length});
		return undefined;
	}

	/**
	 * Adds the next part of a body. Returns the body when it is complete, `undefined` when more parts are due, and
	 * `too-large` when the parts exceed the declared size.
	 * @param id - Identifier of the body; an unknown one is ignored.
	 * @param part - Part to add.
	 */
	addPart(id: number, part: Uint8Array): CollectedBody<T> | undefined | 'too-large' {
		const partial = this.#partialBodies.get(id);
		if (!partial) {
			return undefined;
		}

		partial.parts.push(part);
		partial.missingBytes -= part.length;
		if (partial.missingBytes > 0) {
			return undefined;
		}

		this.remove(id);
		return partial.missingBytes < 0 ? 'too-large' : {first: partial.first, body: Buffer.concat(partial.parts)};
	}

	/**
	 * Discards an incomplete body. Returns false when there is none with this identifier.
	 * @param id - Identifier of the body.
	 */
	remove(id: number): boolean {
		const partial = this.#partialBodies.get(id);
		this.#reservedBytes -= partial?.first.size ?? 0;
		return this.#partialBodies.delete(id);
	}
}
