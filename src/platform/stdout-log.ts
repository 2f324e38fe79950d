/**
 * Writes log lines to standard output without blocking the event loop.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import process from 'node:process';
import {type Clock, systemClock, type Timer} from '../seams/index.js';

const standardOutput = 1;

/** Maximum buffered bytes; further lines are dropped and counted. */
const maxBufferedBytes = 256 * 1024;

/**
 * Time for which lines are buffered for one write, in milliseconds. With a smaller value each line costs a write and a thread switch; with a larger one
 * more lines are lost when the process is killed.
 */
const flushDelayMs = 200;

/**
 * Delay before a write to a full pipe is retried, in milliseconds. With a smaller value a slow reader costs processor time; with a larger one a fast
 * reader waits for lines.
 */
const fullPipeRetryMs = 10;

/**
 * Time limit for writing the last lines, in milliseconds. With a smaller value a slow reader misses them; with a larger one a hanging reader delays
 * the end of the process until it is killed.
 */
const maxDrainMs = 300;

/** Options of {@link StdoutLog}. */
export type StdoutLogOptions = {
	readonly clock?: Clock;
};

/** Writes to standard output on a worker thread, one write at a time. It is no stream of Node.js, whose bookkeeping costs more than the lines. */
export class StdoutLog {
	readonly #clock: Clock;
	#timer: Timer | undefined;
	#buffered: string[] = [];
	#bufferedBytes = 0;
	#isWriting = false;
	#dropped = 0;

	constructor({clock = systemClock}: StdoutLogOptions = {}) {
		this.#clock = clock;

		// The getter makes a pipe non-blocking; the process cannot end while a thread is blocked in a write.
		Reflect.get(process, 'stdout');
	}

	/**
	 * Buffers a line for the next write.
	 * @param text - Line with its end.
	 */
	write(text: string): void {
		if (this.#bufferedBytes + text.length > maxBufferedBytes) {
			this.#dropped++;
		} else {
			this.#buffered.push(text);
			this.#bufferedBytes += text.length;
		}

		this.#timer ??= this.#clock.setTimer(() => {
			this.#timer = undefined;
			this.#flush();
		}, flushDelayMs);
	}

	/** Gets the number of dropped lines. */
	getDroppedCount(): number {
		return this.#dropped;
	}

	/** Waits until all lines are written, but only for a limited time if nothing reads them; returns whether all are written. */
	async drain(): Promise<boolean> {
		const endAt = this.#clock.getMonotonicTime() + maxDrainMs;
		this.#flush();
		while (this.#isWriting && this.#clock.getMonotonicTime() < endAt) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		return !this.#isWriting;
	}

	#flush(): void {
		if (this.#isWriting || this.#buffered.length === 0) {
			return;
		}

		const bytes = Buffer.from(this.#buffered.join(''));
		this.#buffered = [];
		this.#bufferedBytes = 0;
		this.#isWriting = true;
		this.#writeAll(bytes, 0);
	}

	#writeAll(bytes: Uint8Array, offset: number): void {
		write(standardOutput, bytes, offset, bytes.length - offset, null, (err, written) => {
			// The pipe is full.
			if (err?.code === 'EAGAIN') {
				this.#clock.setTimer(() => {
					this.#writeAll(bytes, offset);
				}, fullPipeRetryMs);
				return;
			}

			// A failure of standard output cannot be reported anywhere; lines that could not be written are dropped.
			if (err !== null || offset + written >= bytes.length) {
				this.#dropped += Number(err !== null);
				this.#isWriting = false;
				this.#flush();
				return;
			}

			this.#writeAll(bytes, offset + written);
		});
	}
}
