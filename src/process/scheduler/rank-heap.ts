/**
 * Priority queue whose items know their position.
 */

/** What a {@link RankHeap} keeps with each of its items. */
export type HeapItem = {
	/** Position in the heap; -1 outside of it. */
	heapIndex: number;
	/** Smallest first. */
	rank: number;
	/** Decides between equal ranks; smallest first. */
	readonly sequence: number;
};

/** Part of the items up to which removals in a row restore the order one by one. */
const eagerRemovalPart = 1 / 64;

/**
 * Binary heap whose items know their position, so that a change of rank and a removal take logarithmic time. Of many
 * removals in a row, the later ones only clear their position in constant time; the next use of the heap restores the
 * order of all items at once, in time linear in their number.
 * @internal
 */
export class RankHeap<T extends HeapItem> {
	/** Items by position; `undefined` where one was removed and the order not restored yet. */
	#items: Array<T | undefined> = [];
	/** Number of positions that were cleared. */
	#clearedCount = 0;
	/** Number of removals since the heap was last used otherwise. */
	#removalsInRow = 0;

	/** Gets the number of items. */
	getSize(): number {
		return this.#items.length - this.#clearedCount;
	}

	/** Gets all items in no particular order. */
	getItems(): readonly T[] {
		this.#endRemovals();
		return this.#items as readonly T[];
	}

	/** Gets the item of the smallest rank. */
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
	 * Removes an item of this heap; does nothing when the item is outside of it.
	 * @param item - Item to remove.
	 */
	removeItem(item: T): void {
		const index = item.heapIndex;
		if (index < 0) {
			return;
		}

		item.heapIndex = -1;
		this.#removalsInRow++;
		if (this.#removalsInRow > Math.max(this.#items.length * eagerRemovalPart, 1)) {
			this.#clearPosition(index);
		} else {
			this.#fillPosition(index);
		}
	}

	/**
	 * Gives an item another rank.
	 * @param item - Item inside or outside of this heap.
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

	/** Restores the order after removals that only cleared their position. */
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

	/** Clears a position and leaves the order to be restored later. */
	#clearPosition(index: number): void {
		this.#items[index] = undefined;
		this.#clearedCount++;
		if (this.#clearedCount === this.#items.length) {
			this.#items = [];
			this.#clearedCount = 0;
		}
	}

	/** Fills a position with the last item, and restores the order. */
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
