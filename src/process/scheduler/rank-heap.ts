/**
 * Indexed priority queue.
 */

/** Fields that a {@link RankHeap} requires in its items. */
export type HeapItem = {
	/** Index in the heap's array; -1 outside of a heap. */
	heapIndex: number;
	/** Priority; the lowest rank comes first. */
	rank: number;
	/** Breaks ties between equal ranks; the lowest number comes first. */
	readonly sequence: number;
};

/** Fraction of the items up to which each of a series of removals restores the heap order immediately. */
const eagerRemovalFraction = 1 / 64;

/**
 * Binary heap whose items store their index, so that a change of rank and a removal take logarithmic time. In a long
 * series of removals, the later ones only clear their position in constant time; the next operation of another kind
 * rebuilds the heap in time linear in the number of items.
 * @internal
 */
export class RankHeap<T extends HeapItem> {
	/** Items in heap order; `undefined` where an item was removed and the heap has not been rebuilt yet. */
	#items: Array<T | undefined> = [];
	/** Number of cleared positions. */
	#clearedCount = 0;
	/** Number of removals since the last operation of another kind. */
	#removalsInRow = 0;

	/** Gets the number of items. */
	getSize(): number {
		return this.#items.length - this.#clearedCount;
	}

	/** Gets all items, in no particular order. */
	getItems(): readonly T[] {
		this.#endRemovals();
		return this.#items as readonly T[];
	}

	/** Gets the item with the lowest rank; `undefined` when the heap is empty. */
	getFirst(): T | undefined {
		this.#endRemovals();
		return this.#items[0];
	}

	/**
	 * Adds an item that is in no heap.
	 * @param item - Item to add.
	 */
	addItem(item: T): void {
		this.#endRemovals();
		item.heapIndex = this.#items.length;
		this.#items.push(item);
		this.#moveUp(item.heapIndex);
	}

	/**
	 * Removes an item; does nothing when the item is in no heap.
	 * @param item - Item of this heap or of none.
	 */
	removeItem(item: T): void {
		const index = item.heapIndex;
		if (index < 0) {
			return;
		}

		item.heapIndex = -1;
		this.#removalsInRow++;
		if (this.#removalsInRow > Math.max(this.#items.length * eagerRemovalFraction, 1)) {
			this.#clearPosition(index);
		} else {
			this.#fillPosition(index);
		}
	}

	/**
	 * Changes the rank of an item.
	 * @param item - Item of this heap or of none.
	 * @param rank - New rank.
	 */
	changeRank(item: T, rank: number): void {
		item.rank = rank;
		if (item.heapIndex < 0) {
			return;
		}

		if (this.#clearedCount > 0) {
			this.#endRemovals();
			return;
		}

		this.#moveUp(item.heapIndex);
		this.#moveDown(item.heapIndex);
	}

	/** Ends a series of removals and rebuilds the heap if positions were cleared. */
	#endRemovals(): void {
		this.#removalsInRow = 0;
		if (this.#clearedCount === 0) {
			return;
		}

		this.#clearedCount = 0;
		this.#items = this.#items.filter(item => item !== undefined);
		for (const [index, item] of this.#items.entries()) {
			item!.heapIndex = index;
		}

		for (let index = Math.floor(this.#items.length / 2) - 1; index >= 0; index--) {
			this.#moveDown(index);
		}
	}

	/** Clears a position without restoring the heap order. */
	#clearPosition(index: number): void {
		this.#items[index] = undefined;
		this.#clearedCount++;
		if (this.#clearedCount === this.#items.length) {
			this.#items = [];
			this.#clearedCount = 0;
		}
	}

	/** Fills a position with the last item and restores the heap order. */
	#fillPosition(index: number): void {
		const last = this.#items.pop()!;
		if (index === this.#items.length) {
			return;
		}

		this.#place(last, index);
		this.#moveUp(index);
		this.#moveDown(last.heapIndex);
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
