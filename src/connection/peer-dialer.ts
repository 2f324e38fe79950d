/**
 * The task that keeps a control link to one address.
 */
import {type Clock, type Random, sleep} from '../seams/index.js';

/** Options of a {@link PeerDialer}. */
export type PeerDialerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly address: string;
	/** Gets whether a link to the entry VM at the address is open, whichever side dialled it. */
	readonly isLinked: () => boolean;
	/** Dials the address; resolves when a link is open or the attempt failed. */
	readonly dial: () => Promise<void>;
	/** Delay after the first failed attempt, in milliseconds. */
	readonly minBackoffMs: number;
	/** Gets the maximum delay between two attempts, in milliseconds. */
	readonly getMaxBackoffMs: () => number;
};

/**
 * Dials one address while there is no link to it, immediately after a link closes and then with exponential backoff.
 * @internal
 */
export class PeerDialer {
	readonly #options: PeerDialerOptions;
	#wait = new AbortController();
	/** Ends the wait while the address is linked. */
	#endLinkedWait: (() => void) | undefined;
	#isClosed = false;

	constructor(options: PeerDialerOptions) {
		this.#options = options;
	}

	/** Keeps the link open until {@link PeerDialer.close} is called. */
	async run(): Promise<void> {
		const {minBackoffMs, getMaxBackoffMs} = this.#options;
		let backoffMs = minBackoffMs;
		while (!this.#isClosed) {
			if (this.#options.isLinked()) {
				backoffMs = minBackoffMs;
				await this.#waitWhileLinked();
				continue;
			}

			await this.#options.dial();
			if (!this.#options.isLinked()) {
				await this.#sleep(this.#addJitter(backoffMs));
				backoffMs = Math.min(backoffMs * 2, getMaxBackoffMs());
			}
		}
	}

	/** Ends the current wait, so that a closed link is redialled immediately. */
	wake(): void {
		this.#wait.abort();
		this.#endLinkedWait?.();
	}

	/** Redials the address if it was linked and is no longer; a task whose address is linked sets no timer, so that this is to be called from time to time. */
	checkLink(): void {
		if (this.#endLinkedWait !== undefined && !this.#options.isLinked()) {
			this.#endLinkedWait();
		}
	}

	/** Stops the task; an open link stays. */
	close(): void {
		this.#isClosed = true;
		this.wake();
	}

	async #waitWhileLinked(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#endLinkedWait = resolve;
		});
		this.#endLinkedWait = undefined;
	}

	async #sleep(delayMs: number): Promise<void> {
		if (this.#isClosed) {
			return;
		}

		this.#wait = new AbortController();
		await sleep(this.#options.clock, delayMs, this.#wait.signal);
	}

	#addJitter(delayMs: number): number {
		return delayMs * (0.5 + (this.#options.random.getFloat() / 2));
	}
}
