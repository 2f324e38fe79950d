/**
 * The process of one simulated entry VM: a clock of its own that can be frozen and starved, and its death.
 */
import {type Clock, type Random, type Timer} from '../seams/index.js';

/** Time by which a timer may come early, in milliseconds: sums of fractions are not exact. */
const earlyMs = 0.001;

/** Least lateness of a starved process, in milliseconds. */
const leastLateMs = 50;

/** Runs what belongs to one VM: nothing of it happens while it is frozen, and late while it is starved. */
export class SimulatedProcess implements Clock {
	readonly #clock: Clock;
	readonly #random: Random;
	#backlog: Array<() => void> = [];
	#frozenAt: number | undefined;
	#isClockStopped = false;
	/** Time that the own clock has not counted, in milliseconds. */
	#uncountedMs = 0;
	#lateMs = 0;
	/** Time at which the last event that had to wait is let in; later ones come after it. */
	#busyUntil = -Infinity;
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
		return now - this.#uncountedMs;
	}

	setTimer(callback: () => void, delayMs: number): Timer {
		const dueAt = this.getMonotonicTime() + Math.max(0, delayMs);
		let isClosed = false;
		let timer: Timer;
		const arm = (waitMs: number): void => {
			timer = this.#clock.setTimer(() => {
				this.dispatch(() => {
					const leftMs = dueAt - this.getMonotonicTime();
					if (!isClosed && leftMs > earlyMs) {
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
	 * Lets something happen in the process: a timer, a message, an answer. It waits while the process is frozen.
	 * @param event - What happens.
	 */
	dispatch(event: () => void): void {
		const now = this.#clock.getMonotonicTime();
		if (this.#isDead) {
			return;
		}

		if (this.#frozenAt !== undefined) {
			this.#backlog.push(event);
		} else if (this.#lateMs > 0 || this.#busyUntil >= now) {
			const lateMs = this.#lateMs > 0 ? leastLateMs + (this.#random.getFloat() * (this.#lateMs - leastLateMs)) : 0;
			this.#busyUntil = Math.max(this.#busyUntil, now + lateMs);
			this.#clock.setTimer(() => {
				this.#letIn(event);
			}, this.#busyUntil - now);
		} else {
			event();
		}
	}

	/**
	 * Stops the process until {@link unfreeze}.
	 * @param isClockStopped - Whether the steady clock stands still meanwhile, as on a suspended VM.
	 */
	freeze(isClockStopped: boolean): void {
		if (this.#frozenAt === undefined) {
			this.#frozenAt = this.#clock.getMonotonicTime();
			this.#isClockStopped = isClockStopped;
		}
	}

	/** Lets the process go on; what has waited comes first, in its order. */
	unfreeze(): void {
		if (this.#frozenAt === undefined) {
			return;
		}

		const now = this.#clock.getMonotonicTime();
		this.#uncountedMs += this.#isClockStopped ? now - this.#frozenAt : 0;
		this.#frozenAt = undefined;
		this.#busyUntil = now;
		for (const event of this.#backlog.splice(0)) {
			this.#clock.setTimer(() => {
				this.#letIn(event);
			}, 0);
		}
	}

	/**
	 * Makes everything late.
	 * @param lateMs - Most lateness in milliseconds; 0 ends it.
	 */
	starve(lateMs: number): void {
		this.#lateMs = lateMs;
	}

	/** Ends the process at once. */
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

	#letIn(event: () => void): void {
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
