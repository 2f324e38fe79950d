/**
 * Puts bodies together from the parts that came in.
 */
import {Buffer} from 'node:buffer';

type Partial<T> = {
	readonly first: T;
	readonly parts: Uint8Array[];
	missingBytes: number;
};

/** A body that is whole, with its first message. */
export type CollectedBody<T> = {
	readonly first: T;
	readonly body: Uint8Array;
};

/**
 * Collects the parts of bodies by their identifiers; the bytes that incomplete ones may take are bounded.
 * @internal
 */
export class PartCollector<T extends {readonly id: number; readonly size: number; readonly part: Uint8Array}> {
	readonly #maxBytes: number;
	readonly #partials = new Map<number, Partial<T>>();
	#reservedBytes = 0;

	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/**
	 * Adds the first part of a body: gets the body when that is all of it, `too-large` when there is no room for it.
	 * @param first - Message with the first part.
	 */
	addFirst(first: T): CollectedBody<T> | undefined | 'too-large' {
		if (first.part.length === first.size) {
			return {first, body: first.part};
		}

		if (this.#reservedBytes + first.size > this.#maxBytes || this.#partials.has(first.id)) {
			return 'too-large';
		}

		this.#reservedBytes += first.size;
		this.#partials.set(first.id, {first, parts: [first.part], missingBytes: first.size - first.part.length});
		return undefined;
	}

	/**
	 * Adds a further part: gets the body when it is whole, `too-large` when the parts exceed the size told first.
	 * @param id - Identifier of the body; one that is not known is passed over.
	 * @param part - Part to add.
	 */
	addPart(id: number, part: Uint8Array): CollectedBody<T> | undefined | 'too-large' {
		const partial = this.#partials.get(id);
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
	 * Removes an incomplete body.
	 * @param id - Identifier of the body.
	 */
	remove(id: number): boolean {
		const partial = this.#partials.get(id);
		this.#reservedBytes -= partial?.first.size ?? 0;
		return this.#partials.delete(id);
	}
}
