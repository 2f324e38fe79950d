/**
 * The expected remaining time of a run. Durations are taken as log-normal: the longer a run is past its expectation, the longer it is expected to go on.
 */

/** Standard deviation of the logarithm of measured to expected durations while none is measured: a factor of 1.5. */
export const defaultSpread = 0.4;

/** Smallest spread, which keeps the remaining time of a run past its expectation above zero. */
const minSpread = 0.1;

/**
 * Gets the expected remaining time of a run, in milliseconds; never below zero, and growing with the age of a run that is past its expectation.
 * @param ageMs - Age of the run, in milliseconds.
 * @param expectedMs - Expected duration, in milliseconds.
 * @param spread - Standard deviation of the logarithm of measured to expected durations.
 */
export function getMeanRemainingMs(ageMs: number, expectedMs: number, spread = defaultSpread): number {
	if (ageMs <= 0 || expectedMs <= 0) {
		return Math.max(0, expectedMs);
	}

	// Mean of the part of a log-normal distribution above the age, with the logistic function as the normal distribution: E[X | X > age].
	const sigma = Math.max(minSpread, spread);
	const deviation = Math.log(ageMs / expectedMs) / sigma;
	const ratio = getUpperShare(deviation - (sigma / 2)) / getUpperShare(deviation + (sigma / 2));
	return Math.max((expectedMs * ratio) - ageMs, ageMs * sigma * sigma / Math.max(1, deviation * sigma));
}

/** Approximates the share of a standard normal distribution above a value; the error is below 0.01. */
function getUpperShare(value: number): number {
	return 1 / (1 + Math.exp(1.702 * value));
}
