import {type Clock, systemClock} from '../../src/seams/index.js';

/**
 * Creates a clock that runs slower than the system clock, so that time limits also hold on a busy machine.
 * @param factor - Real milliseconds per millisecond of this clock.
 */
export function createSlowClock(factor: number): Clock {
	return {
		getTime: () => systemClock.getTime(),
		getMonotonicTime: () => systemClock.getMonotonicTime() / factor,
		setTimer: (callback, delayMs) => systemClock.setTimer(callback, delayMs * factor),
		setRepeatingTimer: (callback, periodMs) => systemClock.setRepeatingTimer(callback, periodMs * factor),
	};
}
