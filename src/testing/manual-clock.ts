import {type Clock, type Timer} from '../seams/index.js';
import {RankHeap} from '../process/scheduler/rank-heap.js';

/** A timer that waits for its time. */
type WaitingTimer = {
	heapIndex: number;
	rank: number;
	readonly sequence: number;
	readonly callback: () => void;
};

/** Clock that stands still until it is moved; for tests and measurements. */
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

	/** Moves to the next timer and calls it; false when none waits or it is due after the given time. */
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
	 * Moves on by a time; promises that settle meanwhile are waited for between timers.
	 * @param durationMs - Time in milliseconds.
	 */
	async advance(durationMs: number): Promise<void> {
		const until = this.#now + durationMs;
		do {
			await settlePromises();
		} while (this.runNext(until));

		this.#now = until;
	}
}

/** Waits until the promises that are settled now have called their callbacks. */
export async function settlePromises(): Promise<void> {
	for (let turn = 0; turn < settleTurns; turn++) {
		await Promise.resolve();
	}
}

/** Turns of the microtask queue that chained promises need at most. */
const settleTurns = 10;
