import {createClock} from '@sinonjs/fake-timers';
import {type Clock, type Timer} from '../../src/seams/index.js';

/** A clock that only advances explicitly. */
export type FakeClock = Clock & {
	/**
	 * Advances the clock and runs the timers that are due.
	 * @param ms - Duration in milliseconds.
	 */
	tick(ms: number): void;
};

/** Creates a clock that starts at 0. */
export function createFakeClock(): FakeClock {
	const timers = createClock();
	const createTimer = (id: ReturnType<typeof timers.setTimeout>): Timer => ({
		close() {
			timers.clearTimeout(id);
		},
	});
	return {
		getTime: () => timers.now,
		getMonotonicTime: () => timers.now,
		setTimer: (callback, delayMs) => createTimer(timers.setTimeout(callback, delayMs)),
		setRepeatingTimer: (callback, periodMs) => createTimer(timers.setInterval(callback, periodMs)),
		tick(ms) {
			timers.tick(ms);
		},
	};
}
