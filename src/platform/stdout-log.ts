/**
 * Log lines to standard output that never hold the event loop up.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import process from 'node:process';
import {Writable} from 'node:stream';
import {type Clock, systemClock, type Timer} from '../seams/index.js';

const standardOutput = 1;

/** Bytes that may wait; lines beyond are dropped and counted. */
const maxBufferedBytes = 256 * 1024;

/**
 * Time in which lines are gathered for one write, in milliseconds. Smaller, each line costs a write and a switch of threads; larger, more lines
 * are lost where the process is killed.
 */
const flushDelayMs = 50;

/**
 * Time until a write is tried again that a full pipe did not take, in milliseconds. Smaller, a slow reader costs processor time; larger, a quick
 * one waits for lines.
 */
const fullPipeRetryMs = 10;

/**
 * Longest time for the last lines to leave, in milliseconds. Smaller, a slow reader misses them; larger, a reader that hangs holds the end of the
 * process up until it is killed.
 */
const maxDrainMs = 300;

/** Options of {@link StdoutLog}. */
export type StdoutLogOptions = {
	readonly clock?: Clock;
};

/** Writes to standard output off the event loop, one write at a time. */
export class StdoutLog extends Writable {
	readonly #clock: Clock;
	#timer: Timer | undefined;
	#buffered: string[] = [];
	#bufferedBytes = 0;
	#isWriting = false;
	#dropped = 0;

	constructor({clock = systemClock}: StdoutLogOptions = {}) {
		super();
		this.#clock = clock;

		// The getter sets a pipe not to block. The process cannot end while a thread waits in a write.
		Reflect.get(process, 'stdout');
	}

	override _write(chunk: Uint8Array | string, _encoding: string, callback: () => void): void {
		const text = typeof chunk === 'string' ? chunk : Buffer.from(chunk).toString();
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
		callback();
	}

	/** Gets the number of lines dropped. */
	getDroppedCount(): number {
		return this.#dropped;
	}

	/** Waits until all lines are written, or for a limited time where nobody reads them; gets whether all are written. */
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

			// There is nowhere to report that standard output fails; what could not be written is dropped.
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
