/**
 * Log lines to standard output that never hold the event loop up.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {Writable} from 'node:stream';
import {type Clock, systemClock, type Timer} from '../seams/index.js';

const standardOutput = 1;

/** Bytes that may wait; lines beyond are dropped and counted. */
const maxWaitingBytes = 256 * 1024;

/**
 * Time in which lines are gathered for one write, in milliseconds. Smaller, each line costs a write and a switch of threads; larger, more lines
 * are lost where the process is killed.
 */
const gatherMs = 50;

/** Options of {@link StdoutLog}. */
export type StdoutLogOptions = {
	readonly clock?: Clock;
};

/** Writes to standard output off the event loop, one write at a time. */
export class StdoutLog extends Writable {
	readonly #clock: Clock;
	#timer: Timer | undefined;
	#waiting: string[] = [];
	#waitingBytes = 0;
	#isWriting = false;
	#dropped = 0;

	constructor({clock = systemClock}: StdoutLogOptions = {}) {
		super();
		this.#clock = clock;
	}

	override _write(chunk: Uint8Array | string, _encoding: string, callback: () => void): void {
		const text = typeof chunk === 'string' ? chunk : Buffer.from(chunk).toString();
		if (this.#waitingBytes + text.length > maxWaitingBytes) {
			this.#dropped++;
		} else {
			this.#waiting.push(text);
			this.#waitingBytes += text.length;
		}

		this.#timer ??= this.#clock.setTimer(() => {
			this.#timer = undefined;
			this.#flush();
		}, gatherMs);
		callback();
	}

	/** Gets the number of lines dropped. */
	getDroppedCount(): number {
		return this.#dropped;
	}

	/** Waits until all lines are written. */
	async drain(): Promise<void> {
		this.#flush();
		while (this.#isWriting) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	#flush(): void {
		if (this.#isWriting || this.#waiting.length === 0) {
			return;
		}

		const bytes = Buffer.from(this.#waiting.join(''));
		this.#waiting = [];
		this.#waitingBytes = 0;
		this.#isWriting = true;
		this.#writeAll(bytes, 0);
	}

	#writeAll(bytes: Uint8Array, offset: number): void {
		write(standardOutput, bytes, offset, bytes.length - offset, null, (err, written) => {
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
