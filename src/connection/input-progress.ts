/**
 * Knowledge of up to when this process has read its input. A process that is held between two reads would otherwise act on a request although its
 * connection ended long ago, or confirm that callers wait whose connections have ended.
 */
import {type Clock, type Timer} from '../seams/index.js';

/** Proof of up to when the input of a process has been read. */
export type InputProgress = {
	/** Gets the monotonic time in milliseconds until which everything that arrived on open connections has been read, ends of connections included. */
	getReadUntil(): number;

	/** Resolves once everything that arrived on open connections before the call has been read; never rejects. */
	waitUntilRead(): Promise<void>;
};

/** Attempts to read the input until the last one is recent: a process that gets next to no processor time must go on at some time. */
const maxReads = 3;

/**
 * Reads what has arrived, unless that was done a moment ago; never rejects.
 * @param progress - Progress of this process.
 * @param clock - Its clock.
 * @param maxAgeMs - Time since the input was read after which it is read again, in milliseconds.
 */
export async function readInput(progress: InputProgress, clock: Clock, maxAgeMs: number): Promise<void> {
	for (let reads = 0; reads < maxReads && clock.getMonotonicTime() - progress.getReadUntil() > maxAgeMs; reads++) {
		await progress.waitUntilRead();
	}
}

/** Options of {@link EventLoopProgress}. */
export type EventLoopProgressOptions = {
	readonly clock: Clock;
	/** Calls a function after the event loop has polled its connections the next time, or after the current poll; by default `setImmediate`. */
	readonly callAfterPoll?: (callback: () => void) => void;
	/** Interval at which the progress is determined although nobody waits for it, in milliseconds. */
	readonly refreshMs?: number;
};

/** A small share of the time for which a lease lasts beyond a proof; each refresh costs some turns of the event loop. */
const defaultRefreshMs = 100;

/** Polls after which the end of a connection has been read that arrived before them: one may read the last bytes, the next one the end behind them. */
const pollsUntilRead = 2;

/** Callers of `waitUntilRead` between two turns of the event loop. */
type Waiters = {readonly promise: Promise<void>; readonly resolve: () => void};

/** Determines the progress by turns of the event loop, which are only watched while somebody waits. */
export class EventLoopProgress implements InputProgress {
	readonly #clock: Clock;
	readonly #callAfterPoll: (callback: () => void) => void;
	readonly #timer: Timer;
	/** Times between two polls, and those who wait for the polls after them. */
	readonly #turns: Array<{readonly at: number; readonly waiters: Waiters | undefined}> = [];
	#waiters: Waiters | undefined;
	#isWatching = false;
	#readUntil: number;

	constructor({clock, callAfterPoll = setImmediate, refreshMs = defaultRefreshMs}: EventLoopProgressOptions) {
		this.#clock = clock;
		this.#callAfterPoll = callAfterPoll;
		this.#readUntil = clock.getMonotonicTime();
		this.#timer = clock.setRepeatingTimer(() => {
			void this.waitUntilRead();
		}, refreshMs);
	}

	getReadUntil(): number {
		return this.#readUntil;
	}

	async waitUntilRead(): Promise<void> {
		this.#waiters ??= createWaiters();
		if (!this.#isWatching) {
			this.#isWatching = true;
			this.#watchNextPoll();
		}

		return this.#waiters.promise;
	}

	/** Stops the refreshes. */
	close(): void {
		this.#timer.close();
	}

	#watchNextPoll(): void {
		this.#callAfterPoll(() => {
			this.#handlePoll();
		});
	}

	#handlePoll(): void {
		this.#turns.push({at: this.#clock.getMonotonicTime(), waiters: this.#waiters});
		this.#waiters = undefined;
		if (this.#turns.length > pollsUntilRead) {
			const {at, waiters} = this.#turns.shift()!;
			this.#readUntil = at;
			waiters?.resolve();
		}

		this.#isWatching = this.#turns.some(({waiters}) => waiters !== undefined);
		if (this.#isWatching) {
			this.#watchNextPoll();
		}
	}
}

/**
 * Creates the progress of a process that reads all of its input as it arrives.
 * @param clock - Clock of the process.
 */
export function createImmediateProgress(clock: Clock): InputProgress {
	return {
		getReadUntil: () => clock.getMonotonicTime(),
		async waitUntilRead() {/* Everything is read. */},
	};
}

function createWaiters(): Waiters {
	let resolve!: () => void;
	const promise = new Promise<void>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
}
