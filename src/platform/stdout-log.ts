/**
 * Log lines to standard output that never hold the event loop up.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {Writable} from 'node:stream';

const standardOutput = 1;

/** Bytes that may wait; lines beyond are dropped and counted. */
const maxWaitingBytes = 256 * 1024;

/** Writes to standard output off the event loop, one write at a time. */
export class StdoutLog extends Writable {
	#waiting: string[] = [];
	#waitingBytes = 0;
	#isWriting = false;
	#dropped = 0;

	override _write(chunk: Uint8Array | string, _encoding: string, callback: () => void): void {
		const text = typeof chunk === 'string' ? chunk : Buffer.from(chunk).toString();
		if (this.#waitingBytes + text.length > maxWaitingBytes) {
			this.#dropped++;
		} else {
			this.#waiting.push(text);
			this.#waitingBytes += text.length;
		}

		this.#flush();
		callback();
	}

	/** Gets the number of lines dropped. */
	getDroppedCount(): number {
		return this.#dropped;
	}

	/** Waits until all lines are written. */
	async drain(): Promise<void> {
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
