/**
 * The clock that is injected into long-lived components.
 */

/** A running timer. */
export type Timer = {
	/** Stops the timer; its callback is not called afterwards. */
	close(): void;
};

/** Source of time and timers. */
export type Clock = {
	/** Gets the wall-clock time in milliseconds since the Unix epoch; it may be set at any time, so it is unsuitable for durations and deadlines. */
	getTime(): number;

	/** Gets the monotonic time in milliseconds; for every duration and deadline. */
	getMonotonicTime(): number;

	/**
	 * Calls a function once after a delay.
	 * @param callback - Function to call.
	 * @param delayMs - Delay in milliseconds.
	 */
	setTimer(callback: () => void, delayMs: number): Timer;

	/**
	 * Calls a function periodically until the timer is closed.
	 * @param callback - Function to call.
	 * @param periodMs - Time between calls in milliseconds.
	 */
	setRepeatingTimer(callback: () => void, periodMs: number): Timer;
};

/** Maximum delay that the timers of Node.js support, in milliseconds. */
const maxTimerDelayMs = 2_147_483_647;

/** The system clock. */
export const systemClock: Clock = {
	getTime: () => Date.now(),
	getMonotonicTime: () => performance.now(),
	setTimer(callback, delayMs) {
		const handle = setTimeout(callback, Math.min(Math.max(delayMs, 0), maxTimerDelayMs));
		return {
			close() {
				clearTimeout(handle);
			},
		};
	},
	setRepeatingTimer(callback, periodMs) {
		const handle = setInterval(callback, periodMs);
		return {
			close() {
				clearInterval(handle);
			},
		};
	},
};

/**
 * Waits for a delay.
 * @param clock - Clock to wait on.
 * @param delayMs - Delay in milliseconds.
 * @param signal - Ends the wait early; the promise then resolves, it never rejects.
 */
export async function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = (): void => {
			timer.close();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = clock.setTimer(finish, delayMs);
		signal?.addEventListener('abort', finish, {once: true});
	});
}
