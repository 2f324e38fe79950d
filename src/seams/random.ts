/**
 * The source of random numbers that is injected into long-lived components.
 */
import {randomBytes} from 'node:crypto';
import {uniformFloat32} from 'pure-rand/distribution/uniformFloat32';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers. */
export type Random = {
	/** Gets a number in [0, 1). */
	getFloat(): number;

	/**
	 * Gets random hexadecimal characters, [0-9a-f].
	 * @param byteCount - Number of random bytes; each gives two characters.
	 */
	getHex(byteCount: number): string;
};

/** Random numbers of the system; `getHex` is suitable for identifiers and secrets. */
export const systemRandom: Random = {
	getFloat: () => Math.random(),
	getHex: byteCount => randomBytes(byteCount).toString('hex'),
};

/**
 * Creates a reproducible source of random numbers for tests and measurements.
 * @param seed - Seed; the same seed gives the same numbers.
 */
export function createSeededRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	const getFloat = (): number => uniformFloat32(generator);
	return {
		getFloat,
		getHex: byteCount => Array.from({length: byteCount}, () => Math.floor(getFloat() * 256).toString(16).padStart(2, '0')).join(''),
	};
}
