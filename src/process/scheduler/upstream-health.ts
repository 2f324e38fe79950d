/**
 * Health of an upstream, derived from the results of its tasks.
 */
import {MovingAverage} from './moving-average.js';

/** Whether an upstream receives tasks: none while `ejected`; one at a time while `probing`, until an answer restores it. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

/** Number of tasks over which the weight of an observation decays. */
const sampleCount = 20;

/** Maximum ejection time as a multiple of the profile's initial one. */
const maxEjectionFactor = 32;

/** Number of consecutive answers after which the next ejection is as short as the first. */
const ejectionResetAnswers = 50;

/**
 * Records the latency and failures of one upstream, and its ejection.
 * @internal
 */
export class UpstreamHealth {
	readonly #latency: MovingAverage;
	readonly #failures = new MovingAverage(0, sampleCount);
	#state: HealthState = 'healthy';
	#ejectedUntil = 0;
	#ejectionCount = 0;
	#consecutiveAnswers = 0;
	#consecutiveFailures = 0;

	constructor(expectedMs: number) {
		this.#latency = new MovingAverage(expectedMs, sampleCount);
	}

	/** Gets the health state. */
	getState(): HealthState {
		return this.#state;
	}

	/** Gets the decayed mean latency in milliseconds. */
	getLatencyMs(): number {
		return this.#latency.getMean();
	}

	/** Gets the decayed number of observations behind the latency. */
	getLatencyWeight(): number {
		return this.#latency.getWeight();
	}

	/** Gets the decayed fraction of tasks that failed, from 0 to 1. */
	getFailureRate(): number {
		return this.#failures.getMean();
	}

	/** Gets the number of failures since the last answer. */
	getConsecutiveFailures(): number {
		return this.#consecutiveFailures;
	}

	/** Gets the monotonic time at which the latest ejection ends, in milliseconds. */
	getEjectedUntil(): number {
		return this.#ejectedUntil;
	}

	/**
	 * Records an answer.
	 * @param durationMs - Time from the start of the task to the answer, in milliseconds.
	 */
	addAnswer(durationMs: number): void {
		this.#latency.addValue(durationMs);
		this.#failures.addValue(0);
		this.#consecutiveFailures = 0;
		this.#consecutiveAnswers++;
		if (this.#consecutiveAnswers >= ejectionResetAnswers) {
			this.#ejectionCount = 0;
		}
	}

	/**
	 * Records a failure; a quick one doesn't lower the latency.
	 * @param durationMs - Time from the start of the task to the failure, in milliseconds.
	 */
	addFailure(durationMs: number): void {
		if (durationMs > this.getLatencyMs()) {
			this.#latency.addValue(durationMs);
		}

		this.#failures.addValue(1);
		this.#consecutiveAnswers = 0;
		this.#consecutiveFailures++;
	}

	/**
	 * Ejects the upstream; each ejection lasts twice as long as the one before, up to a limit.
	 * @param now - Monotonic time in milliseconds.
	 * @param firstMs - Duration of the first ejection in milliseconds.
	 */
	eject(now: number, firstMs: number): void {
		const factor = Math.min(2 ** this.#ejectionCount, maxEjectionFactor);
		this.#ejectionCount++;
		this.#state = 'ejected';
		this.#ejectedUntil = now + (firstMs * factor);
	}

	/**
	 * Starts probing if the ejection time has passed; returns whether the state changed.
	 * @param now - Monotonic time in milliseconds.
	 */
	startProbing(now: number): boolean {
		if (this.#state !== 'ejected' || now < this.#ejectedUntil) {
			return false;
		}

		this.#state = 'probing';
		return true;
	}

	/** Restores the upstream to healthy after a successful probe, and clears its observations. */
	restore(): void {
		this.#state = 'healthy';
		this.#latency.clear();
		this.#failures.clear();
		this.#failures.addValue(0);
		this.#consecutiveFailures = 0;
	}
}
