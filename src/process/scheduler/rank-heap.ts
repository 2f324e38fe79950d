/** What a {@link RankHeap} keeps with each of its items. */
export type HeapItem = {
	/** Position in the heap; -1 outside of it. */
	heapIndex: number;
	/** Smallest first. */
	rank: number;
	/** Decides between equal ranks; smallest first. */
	readonly sequence: number;
};

/**
 * Binary heap whose items know their position, so that a change of rank and a removal take logarithmic time.
 * @internal
 */
export class RankHeap<T extends HeapItem> {
	readonly #items: T[] = [];

	/** Gets the number of items. */
	getSize(): number {
		return this.#items.length;
	}

	/** Gets all items in no particular order. */
	getItems(): readonly T[] {
		return this.#items;
	}

	/** Gets the item of the smallest rank. */
	getFirst(): T | undefined {
		return this.#items[0];
	}

	/**
	 * Adds an item that is in no heap.
	 * @param item - Item to add.
	 */
	addItem(item: T): void {
		item.heapIndex = this.#items.length;
		this.#items.push(item);
		this.#moveUp(item.heapIndex);
	}

	/**
	 * Removes an item of this heap; does nothing when the item is outside of it.
	 * @param item - Item to remove.
	 */
	removeItem(item: T): void {
		const index = item.heapIndex;
		if (index < 0) {
			return;
		}

		item.heapIndex = -1;
		const last = this.#items.pop()!;
		if (last === item) {
			return;
		}

		this.#place(last, index);
		this.#moveUp(index);
		this.#moveDown(last.heapIndex);
	}

	/**
	 * Gives an item another rank.
	 * @param item - Item inside or outside of this heap.
	 * @param rank - New rank.
	 */
	changeRank(item: T, rank: number): void {
		item.rank = rank;
		if (item.heapIndex >= 0) {
			this.#moveUp(item.heapIndex);
			this.#moveDown(item.heapIndex);
		}
	}

	#place(item: T, index: number): void {
		this.#items[index] = item;
		item.heapIndex = index;
	}

	#moveUp(from: number): void {
		let index = from;
		const item = this.#items[index]!;
		while (index > 0) {
			const parentIndex = Math.floor((index - 1) / 2);
			const parent = this.#items[parentIndex]!;
			if (!isBefore(item, parent)) {
				break;
			}

			this.#place(parent, index);
			index = parentIndex;
		}

		this.#place(item, index);
	}

	#moveDown(from: number): void {
		let index = from;
		const item = this.#items[index]!;
		for (;;) {
			const child = this.#getSmallerChild(index);
			if (!child || !isBefore(child, item)) {
				break;
			}

			const childIndex = child.heapIndex;
			this.#place(child, index);
			index = childIndex;
		}

		this.#place(item, index);
	}

	#getSmallerChild(index: number): T | undefined {
		const left = this.#items[(2 * index) + 1];
		const right = this.#items[(2 * index) + 2];
		return left && right && isBefore(right, left) ? right : left;
	}
}

function isBefore(a: HeapItem, b: HeapItem): boolean {
	return a.rank < b.rank || (a.rank === b.rank && a.sequence < b.sequence);
}
