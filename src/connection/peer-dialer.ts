/**
 * The task that keeps a control link to one address.
 */
import {type Clock, type Random, sleep} from '../seams/index.js';

/** Options of a {@link PeerDialer}. */
export type PeerDialerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly address: string;
	/** Gets whether a link to the entry VM at the address is open, whichever side made it. */
	readonly isLinked: () => boolean;
	/** Makes a connection; resolves when there is a link or the attempt failed. */
	readonly dial: () => Promise<void>;
	readonly minBackoffMs: number;
	/** Gets the longest delay between two attempts. */
	readonly getMaxBackoffMs: () => number;
};

/**
 * Dials one address whenever there is no link to it, at once after a link ended and then with growing delays.
 * @internal
 */
export class PeerDialer {
	readonly #options: PeerDialerOptions;
	#wait = new AbortController();
	#isClosed = false;

	constructor(options: PeerDialerOptions) {
		this.#options = options;
	}

	/** Keeps the link until `close`. */
	async run(): Promise<void> {
		const {minBackoffMs, getMaxBackoffMs} = this.#options;
		let backoffMs = minBackoffMs;
		while (!this.#isClosed) {
			if (this.#options.isLinked()) {
				backoffMs = minBackoffMs;
				await this.#sleep(getMaxBackoffMs());
				continue;
			}

			await this.#options.dial();
			if (!this.#options.isLinked()) {
				await this.#sleep(this.#addJitter(backoffMs));
				backoffMs = Math.min(backoffMs * 2, getMaxBackoffMs());
			}
		}
	}

	/** Ends a wait, so that a lost link is noticed at once. */
	wake(): void {
		this.#wait.abort();
	}

	/** Ends the task; a link stays. */
	close(): void {
		this.#isClosed = true;
		this.#wait.abort();
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
