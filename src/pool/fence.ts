/**
 * The numbers that order the owners of a pool: upstreams refuse the orders of all but the highest.
 */
import {isClaim, maxClaim} from '../connection/index.js';

/** Highest fence. An owner that has reached it keeps it. */
export const maxFence = maxClaim;

/**
 * Gets a fence above another one; at the end of the range, the highest.
 * @param fence - Fence.
 * @param step - Minimum difference.
 */
export function getHigherFence(fence: number, step = 1): number {
	const higher = fence + step;
	// Above 2^53 a double may not change by adding a small number.
	return Math.min(maxFence, higher > fence ? higher : fence + getSpacing(fence));
}

/**
 * Gets whether a value from outside this process can serve as a fence.
 * @param value - Value of a message or of the store.
 */
export function isFence(value: unknown): value is number {
	return isClaim(value);
}

/** Gets the difference between a double of 2^53 or more and the next one. */
function getSpacing(value: number): number {
	return 2 ** (Math.floor(Math.log2(value)) - 52);
}
