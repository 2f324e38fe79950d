/**
 * The stamps that a sender of requests has received over one connection, and the one that it may echo.
 */

type ReceivedStamp = {readonly stamp: number; readonly receivedAt: number};

/**
 * Chooses the stamp to echo. An echo shows that the callers of the sender waited when the stamp was sent, so that everything must have been read that
 * arrived before the stamp was received.
 * @internal
 */
export class ReceivedStamps {
	#readStamp = 0;
	/** Oldest stamp that may have been received after something unread, and the last one. */
	#pending: ReceivedStamp | undefined;
	#last: ReceivedStamp | undefined;

	/**
	 * Adds a stamp.
	 * @param stamp - Stamp.
	 * @param receivedAt - Monotonic time at which it was read.
	 */
	addStamp(stamp: number, receivedAt: number): void {
		this.#last = {stamp, receivedAt};
		this.#pending ??= this.#last;
	}

	/**
	 * Gets whether the last stamp may be echoed, if there is one.
	 * @param readUntil - Monotonic time until which everything that arrived has been read.
	 */
	isLastRead(readUntil: number): boolean {
		return this.#last === undefined || this.#last.receivedAt <= readUntil;
	}

	/**
	 * Gets the last stamp that may be echoed; 0 for none.
	 * @param readUntil - Monotonic time until which everything that arrived has been read.
	 */
	getEcho(readUntil: number): number {
		if (this.#last !== undefined && this.#last.receivedAt <= readUntil) {
			this.#readStamp = this.#last.stamp;
			this.#pending = undefined;
		} else if (this.#pending !== undefined && this.#pending.receivedAt <= readUntil) {
			this.#readStamp = this.#pending.stamp;
			this.#pending = this.#last;
		}

		return this.#readStamp;
	}
}
