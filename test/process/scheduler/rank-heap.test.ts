import test from 'ava';
import {type HeapItem, RankHeap} from '../../../src/process/scheduler/rank-heap.js';
import {createSeededRandom} from '../../../src/seams/index.js';

type Item = HeapItem & {readonly sequence: number};

function createItem(rank: number, sequence: number): Item {
	return {heapIndex: -1, rank, sequence};
}

function compareItems(a: Item, b: Item): number {
	return a.rank - b.rank || a.sequence - b.sequence;
}

function removeAll(heap: RankHeap<Item>): readonly Item[] {
	const removed: Item[] = [];
	for (let first = heap.getFirst(); first; first = heap.getFirst()) {
		removed.push(first);
		heap.removeItem(first);
	}

	return removed;
}

for (const removedCount of [0, 1, 2, 30, 63, 64, 500, 999, 1000]) {
	test(`${removedCount} of 1,000 items removed in a series leave the others in order`, t => {
		const random = createSeededRandom(removedCount + 1);
		const heap = new RankHeap<Item>();
		const items = Array.from({length: 1000}, (_, sequence) => createItem(Math.floor(random.getFloat() * 100), sequence));
		for (const item of items) {
			heap.addItem(item);
		}

		const removed = items.slice(0, removedCount);
		for (const item of removed) {
			heap.removeItem(item);
			heap.removeItem(item);
		}

		t.is(heap.getSize(), 1000 - removedCount);
		t.true(removed.every(item => item.heapIndex === -1));
		t.deepEqual(removeAll(heap), items.slice(removedCount).toSorted(compareItems));
	});
}

test('random sequences of operations give the same results as a sorted list', t => {
	for (let seed = 1; seed <= 50; seed++) {
		const random = createSeededRandom(seed);
		const chooseIndex = (length: number): number => Math.floor(random.getFloat() * length);
		const heap = new RankHeap<Item>();
		const other = new RankHeap<Item>();
		let inside: Item[] = [];
		let outside = Array.from({length: 200}, (_, sequence) => createItem(chooseIndex(20), sequence));
		for (let step = 0; step < 200; step++) {
			const action = chooseIndex(4);
			const items = action === 0 ? outside : inside;
			const chosen = new Set(items.slice(0, chooseIndex(items.length + 1)));
			if (action === 0) {
				for (const item of chosen) {
					heap.addItem(item);
				}

				outside = outside.filter(item => !chosen.has(item));
				inside = [...chosen, ...inside];
			} else if (action === 1) {
				for (const item of chosen) {
					heap.removeItem(item);
				}

				inside = inside.filter(item => !chosen.has(item));
				outside = [...outside, ...chosen];
			} else if (action === 2 && inside.length > 0) {
				heap.changeRank(inside[chooseIndex(inside.length)]!, chooseIndex(20));
			} else if (outside.length > 0) {
				const moved = outside[chooseIndex(outside.length)]!;
				other.addItem(moved);
				other.changeRank(moved, chooseIndex(20));
				t.is(other.getFirst(), moved);
				other.removeItem(moved);
			}

			t.is(heap.getSize(), inside.length);
			if (chooseIndex(3) === 0) {
				t.is(heap.getFirst(), inside.toSorted(compareItems)[0]);
				t.deepEqual([...heap.getItems()].toSorted(compareItems), inside.toSorted(compareItems));
			}
		}

		t.deepEqual(removeAll(heap), inside.toSorted(compareItems));
	}
});
