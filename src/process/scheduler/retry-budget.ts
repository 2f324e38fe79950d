/**
 * Limit of the retries of one service.
 */

/** Retries that a service may make before it had any traffic, and the most that it may save up. */
const initialRetries = 10;
const maxSavedRetries = 100;

/**
 * Budget of retries of one service: each first try adds a part of a retry.
 * @internal
 */
export class RetryBudget {
	#saved = initialRetries;

	/**
	 * Adds the part of a retry that a first try earns.
	 * @param retryPercent - Retries allowed for each 100 first tries.
	 */
	addFirstAttempt(retryPercent: number): void {
		this.#saved = Math.min(this.#saved + (retryPercent / 100), maxSavedRetries);
	}

	/**
	 * Takes a retry; false when none is left.
	 * @param retryPercent - Retries allowed for each 100 first tries; 0 forbids all.
	 */
	takeRetry(retryPercent: number): boolean {
		if (retryPercent === 0 || this.#saved < 1) {
			return false;
		}

		this.#saved--;
		return true;
	}
}
