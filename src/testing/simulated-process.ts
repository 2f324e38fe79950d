/**
 * The process of one simulated entry VM, with its own clock; it can be frozen, starved of processor time and killed.
 */
import {type Clock, type Random, type Timer} from '../seams/index.js';

/** Time by which a timer may fire early, in milliseconds; sums of fractions are not exact. */
const timerToleranceMs = 0.001;

/** Smallest delay of an event in a starved process, in milliseconds. */
const minDelayMs = 50;

/** Smallest time for which a process is held, in milliseconds, and largest number of events that it runs between two holds: more than arrive during one. */
const minHoldMs = 50;
const maxEventsBetweenHolds = 150;

/** Runs the events of one VM: none while the process is frozen or held, and with a delay while it is starved. */
export class SimulatedProcess implements Clock {
	readonly #clock: Clock;
	readonly #random: Random;
	#backlog: Array<() => void> = [];
	#frozenAt: number | undefined;
	#isClockStopped = false;
	/** Time in which the process's monotonic clock stood still, in milliseconds. */
	#stoppedClockMs = 0;
	#maxDelayMs = 0;
	#maxHoldMs = 0;
	#eventsUntilHold = 0;
	/** Time at which the last delayed event runs; later events run after it. */
	#lastDelayedAt = -Infinity;
	#isDead = false;

	constructor(clock: Clock, random: Random) {
		this.#clock = clock;
		this.#random = random;
	}

	getTime(): number {
		return this.#clock.getTime();
	}

	getMonotonicTime(): number {
		const now = this.#frozenAt !== undefined && this.#isClockStopped ? this.#frozenAt : this.#clock.getMonotonicTime();
		return now - this.#stoppedClockMs;
	}

	setTimer(callback: () => void, delayMs: number): Timer {
		const dueAt = this.getMonotonicTime() + Math.max(0, delayMs);
		let isClosed = false;
		let timer: Timer;
		const arm = (waitMs: number): void => {
			timer = this.#clock.setTimer(() => {
				this.dispatch(() => {
					const leftMs = dueAt - this.getMonotonicTime();
					if (!isClosed && leftMs > timerToleranceMs) {
						arm(leftMs);
					} else if (!isClosed) {
						isClosed = true;
						callback();
					}
				});
			}, waitMs);
		};

		arm(delayMs);
		return {
			close() {
				isClosed = true;
				timer.close();
			},
		};
	}

	setRepeatingTimer(callback: () => void, periodMs: number): Timer {
		let timer: Timer;
		const repeat = (): void => {
			timer = this.setTimer(repeat, periodMs);
			callback();
		};

		timer = this.setTimer(repeat, periodMs);
		return {
			close() {
				timer.close();
			},
		};
	}

	/**
	 * Runs an event in the process, such as a timer, a message or an answer. It waits while the process is frozen.
	 * @param event - Callback of the event.
	 */
	dispatch(event: () => void): void {
		const now = this.#clock.getMonotonicTime();
		if (this.#isDead) {
			return;
		}

		if (this.#frozenAt !== undefined) {
			this.#backlog.push(event);
		} else if (this.#maxDelayMs > 0 || this.#maxHoldMs > 0 || this.#lastDelayedAt >= now) {
			const delayMs = this.#maxDelayMs > 0 ? minDelayMs + (this.#random.getFloat() * (this.#maxDelayMs - minDelayMs)) : 0;
			this.#lastDelayedAt = Math.max(this.#lastDelayedAt, now + delayMs) + this.#drawHoldMs();
			this.#clock.setTimer(() => {
				this.#executeOrDefer(event);
			}, this.#lastDelayedAt - now);
		} else {
			event();
		}
	}

	/**
	 * Freezes the process until {@link unfreeze}.
	 * @param isClockStopped - Whether the monotonic clock stops meanwhile, as on a suspended VM.
	 */
	freeze(isClockStopped: boolean): void {
		if (this.#frozenAt === undefined) {
			this.#frozenAt = this.#clock.getMonotonicTime();
			this.#isClockStopped = isClockStopped;
		}
	}

	/** Resumes the process; the events that waited run first, in their order. */
	unfreeze(): void {
		if (this.#frozenAt === undefined) {
			return;
		}

		const now = this.#clock.getMonotonicTime();
		this.#stoppedClockMs += this.#isClockStopped ? now - this.#frozenAt : 0;
		this.#frozenAt = undefined;
		this.#lastDelayedAt = now;
		for (const event of this.#backlog.splice(0)) {
			this.#clock.setTimer(() => {
				this.#executeOrDefer(event);
			}, 0);
		}
	}

	/**
	 * Delays every event, as when the process gets little processor time.
	 * @param maxDelayMs - Largest delay in milliseconds; 0 ends it.
	 */
	starve(maxDelayMs: number): void {
		this.#maxDelayMs = maxDelayMs;
	}

	/**
	 * Holds the process between two events again and again, as when it gets its processor time in slices.
	 * @param maxHoldMs - Largest time in milliseconds; 0 ends it.
	 */
	hold(maxHoldMs: number): void {
		this.#maxHoldMs = maxHoldMs;
		this.#eventsUntilHold = 0;
	}

	/** Kills the process; no further event runs. */
	kill(): void {
		this.#isDead = true;
		this.#backlog = [];
	}

	isDead(): boolean {
		return this.#isDead;
	}

	isFrozen(): boolean {
		return this.#frozenAt !== undefined;
	}

	/** Draws the time for which the process is held before the next event, in milliseconds; 0 if it is not. */
	#drawHoldMs(): number {
		if (this.#maxHoldMs === 0) {
			return 0;
		}

		this.#eventsUntilHold--;
		if (this.#eventsUntilHold >= 0) {
			return 0;
		}

		this.#eventsUntilHold = Math.floor(this.#random.getFloat() * maxEventsBetweenHolds);
		return minHoldMs + (this.#random.getFloat() * (this.#maxHoldMs - minHoldMs));
	}

	#executeOrDefer(event: () => void): void {
		if (this.#isDead) {
			return;
		}

		if (this.#frozenAt === undefined) {
			event();
		} else {
			this.#backlog.push(event);
		}
	}
}
