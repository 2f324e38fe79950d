/**
 * Stand-in of an event loop whose turns a test runs one by one.
 */
import {settlePromises} from './manual-clock.js';

/** Calls back what waits for the next poll when a turn is run. */
export class ManualEventLoop {
	#callbacks: Array<() => void> = [];

	/** Calls a function after the next poll, as `setImmediate` does. */
	readonly callAfterPoll = (callback: () => void): void => {
		this.#callbacks.push(callback);
	};

	/** Gets whether a function waits for the next poll, so that the loop does not rest. */
	isBusy(): boolean {
		return this.#callbacks.length > 0;
	}

	/**
	 * Runs a turn of the loop.
	 * @param poll - Reads what the poll finds; nothing by default.
	 */
	async runTurn(poll?: () => void): Promise<void> {
		poll?.();
		await settlePromises();
		const callbacks = this.#callbacks;
		this.#callbacks = [];
		for (const callback of callbacks) {
			callback();
		}

		await settlePromises();
	}
}
