/**
 * Health of one upstream by the ends of its tasks.
 */
import {MovingAverage} from './moving-average.js';

/** Whether an upstream gets tasks: `ejected` gets none, `probing` one at a time until an answer restores it. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

/** Weight of an observation fades over this many tasks. */
const sampleCount = 20;

/** Longest ejection as a multiple of the profile's first one. */
const maxEjectionFactor = 32;

/** Answers in a row after which the next ejection is as short as the first. */
const answersToForget = 50;

/**
 * What was observed of one upstream.
 * @internal
 */
export class UpstreamHealth {
	readonly #latency: MovingAverage;
	readonly #failures = new MovingAverage(0, sampleCount);
	#state: HealthState = 'healthy';
	#ejectedUntil = 0;
	#ejections = 0;
	#answersInRow = 0;
	#failuresInRow = 0;

	constructor(expectedMs: number) {
		this.#latency = new MovingAverage(expectedMs, sampleCount);
	}

	/** Gets whether the upstream gets tasks. */
	getState(): HealthState {
		return this.#state;
	}

	/** Gets the decayed time of an answer in milliseconds. */
	getLatencyMs(): number {
		return this.#latency.getMean();
	}

	/** Gets the number of answers that the latency is worth. */
	getLatencyWeight(): number {
		return this.#latency.getWeight();
	}

	/** Gets the decayed part of tasks that failed, from 0 to 1. */
	getFailureRate(): number {
		return this.#failures.getMean();
	}

	/** Gets the number of failures since the last answer. */
	getFailuresInRow(): number {
		return this.#failuresInRow;
	}

	/** Gets the monotonic time at which the ejection ends. */
	getEjectedUntil(): number {
		return this.#ejectedUntil;
	}

	/**
	 * Adds an answer.
	 * @param durationMs - Time from the start to the answer.
	 */
	addAnswer(durationMs: number): void {
		this.#latency.addValue(durationMs);
		this.#failures.addValue(0);
		this.#failuresInRow = 0;
		this.#answersInRow++;
		if (this.#answersInRow >= answersToForget) {
			this.#ejections = 0;
		}
	}

	/**
	 * Adds a failure; a quick one doesn't lower the latency.
	 * @param durationMs - Time from the start to the failure.
	 */
	addFailure(durationMs: number): void {
		if (durationMs > this.getLatencyMs()) {
			this.#latency.addValue(durationMs);
		}

		this.#failures.addValue(1);
		this.#answersInRow = 0;
		this.#failuresInRow++;
	}

	/**
	 * Puts the upstream aside, each time for twice as long.
	 * @param now - Monotonic time in milliseconds.
	 * @param firstMs - Length of the first ejection.
	 */
	eject(now: number, firstMs: number): void {
		const factor = Math.min(2 ** this.#ejections, maxEjectionFactor);
		this.#ejections++;
		this.#state = 'ejected';
		this.#ejectedUntil = now + (firstMs * factor);
	}

	/**
	 * Lets one task through when the ejection has ended; true when the state changed.
	 * @param now - Monotonic time in milliseconds.
	 */
	startProbing(now: number): boolean {
		if (this.#state !== 'ejected' || now < this.#ejectedUntil) {
			return false;
		}

		this.#state = 'probing';
		return true;
	}

	/** Takes the upstream back after a probe that was answered in good time. */
	restore(): void {
		this.#state = 'healthy';
		this.#latency.clear();
		this.#failures.clear();
		this.#failures.addValue(0);
		this.#failuresInRow = 0;
	}
}
