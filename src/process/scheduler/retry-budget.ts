/**
 * Retry budget of one service.
 */

/** Retries available before the first attempt, and the maximum that accumulates. */
const initialTokens = 10;
const maxTokens = 100;

/**
 * Token bucket of retries: each first attempt adds a fraction of a retry.
 * @internal
 */
export class RetryBudget {
	#tokens = initialTokens;

	/**
	 * Adds the fraction of a retry that a first attempt allows.
	 * @param retryPercent - Retries allowed per 100 first attempts.
	 */
	addFirstAttempt(retryPercent: number): void {
		this.#tokens = Math.min(this.#tokens + (retryPercent / 100), maxTokens);
	}

	/**
	 * Consumes one retry.
	 * @param retryPercent - Retries allowed per 100 first attempts; 0 forbids retries.
	 * @returns Whether a retry was available.
	 */
	takeRetry(retryPercent: number): boolean {
		if (retryPercent === 0 || this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
