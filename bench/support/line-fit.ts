/**
 * Fits a straight line to measured points.
 */

/** A measured point. */
export type Point = {
	readonly size: number;
	readonly value: number;
};

/** A straight line: the value at size 0, and the increase per unit of size. */
export type Line = {
	readonly base: number;
	readonly slope: number;
};

/**
 * Fits a line by least squares.
 * @param points - At least two points of different sizes.
 */
export function fitLine(points: readonly Point[]): Line {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	const covariance = points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0);
	const variance = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = covariance / variance;
	return {base: meanValue - (slope * meanSize), slope};
}
