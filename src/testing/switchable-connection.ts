/**
 * A connection between two entry VMs that a test can close or silence.
 */
import {Duplex} from 'node:stream';

type Callback = Parameters<Duplex['_final']>[0];

/** Forwards bytes until it is silenced; then the connection stays open at both ends, but transfers nothing. */
export class SwitchableConnection extends Duplex {
	readonly #inner: Duplex;
	#isSilent = false;

	constructor(inner: Duplex) {
		super();
		this.#inner = inner;
		inner.on('data', (chunk: Uint8Array) => {
			if (!this.#isSilent && !this.push(chunk)) {
				inner.pause();
			}
		});
		inner.once('end', () => {
			if (!this.#isSilent) {
				this.push(null);
			}
		});
		inner.once('error', (err: Error) => {
			if (!this.#isSilent) {
				this.destroy(err);
			}
		});
		inner.once('close', () => {
			if (!this.#isSilent) {
				this.destroy();
			}
		});
	}

	/** Drops all bytes in both directions from now on and hides the close of the other end. */
	silence(): void {
		this.#isSilent = true;
		this.#inner.resume();
	}

	/** Gets whether the connection was silenced. */
	isSilent(): boolean {
		return this.#isSilent;
	}

	override _read(): void {
		this.#inner.resume();
	}

	override _write(chunk: Uint8Array, _encoding: string, callback: Callback): void {
		if (this.#isSilent) {
			callback();
			return;
		}

		this.#inner.write(chunk, callback);
	}

	override _final(callback: Callback): void {
		if (!this.#isSilent) {
			this.#inner.end();
		}

		callback();
	}

	override _destroy(err: Parameters<Callback>[0], callback: Callback): void {
		if (!this.#isSilent) {
			this.#inner.destroy();
		}

		callback(err);
	}

	/** Destroys the connection at both ends. */
	disconnect(): void {
		this.#inner.destroy();
		this.destroy();
	}
}
