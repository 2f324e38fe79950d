import {type Clock, type Timer} from '../seams/index.js';
import {RankHeap} from '../process/scheduler/rank-heap.js';

/** A pending timer; `rank` is the time at which it is due. */
type WaitingTimer = {
	heapIndex: number;
	rank: number;
	readonly sequence: number;
	readonly callback: () => void;
};

/** Clock that only advances explicitly; for tests and measurements. */
export class ManualClock implements Clock {
	readonly #timers = new RankHeap<WaitingTimer>();
	#now = 0;
	#sequence = 0;

	getTime(): number {
		return this.#now;
	}

	getMonotonicTime(): number {
		return this.#now;
	}

	setTimer(callback: () => void, delayMs: number): Timer {
		this.#sequence++;
		const timer: WaitingTimer = {
			heapIndex: -1, rank: this.#now + Math.max(delayMs, 0), sequence: this.#sequence, callback,
		};
		this.#timers.addItem(timer);
		return {
			close: () => {
				this.#timers.removeItem(timer);
			},
		};
	}

	setRepeatingTimer(callback: () => void, periodMs: number): Timer {
		let timer: Timer;
		const repeat = (): void => {
			timer = this.setTimer(repeat, periodMs);
			callback();
		};

		timer = this.setTimer(repeat, periodMs);
		return {
			close() {
				timer.close();
			},
		};
	}

	/**
	 * Advances to the next timer and calls it.
	 * @param until - Latest time of the timer.
	 * @returns False when no timer is due by then.
	 */
	runNext(until = Number.POSITIVE_INFINITY): boolean {
		const timer = this.#timers.getFirst();
		if (!timer || timer.rank > until) {
			return false;
		}

		this.#timers.removeItem(timer);
		this.#now = Math.max(this.#now, timer.rank);
		timer.callback();
		return true;
	}

	/**
	 * Advances by a duration and runs the timers that are due; settled promises call their callbacks between timers.
	 * @param durationMs - Duration in milliseconds.
	 */
	async advance(durationMs: number): Promise<void> {
		const until = this.#now + durationMs;
		do {
			await settlePromises();
		} while (this.runNext(until));

		this.#now = until;
	}
}

/** Waits until settled promises have called their callbacks. */
export async function settlePromises(): Promise<void> {
	for (let round = 0; round < settleRounds; round++) {
		await Promise.resolve();
	}
}

/** Largest number of microtask rounds that chained promises need. */
const settleRounds = 10;
