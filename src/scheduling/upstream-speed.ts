/**
 * The speed of an upstream, learnt from the durations of the runs that end there. The logarithm of the slowness is filtered: the first runs count most, and
 * one run that is far off, such as that of a long task, counts little until the next one confirms it.
 */

/** What is known of an upstream's speed. */
export type UpstreamSpeed = {
	/** Natural logarithm of the ratio of durations here to those on an average upstream. */
	readonly logSlowness: number;
	/** Variance of its error. */
	readonly variance: number;
	/** Most probable slowness. */
	readonly slowness: number;
	/** Slowness that is larger by one standard error, so that an upstream of which little is known is not judged by the speed of others. */
	readonly cautiousSlowness: number;
	/** Sign of the last run's deviation if it was far off; 0 if it was not. */
	readonly outlier: -1 | 0 | 1;
};

/** Duration of a run compared with what was expected on an average upstream. */
export type SpeedObservation = {
	/** Natural logarithm of the ratio. */
	readonly logRatio: number;
	/** Typical deviation of this logarithm between runs on one upstream. */
	readonly spread: number;
};

/** Speeds are taken to differ by a factor of 1.6 in either direction until they are observed; the first runs outweigh this. */
const initialVariance = 0.25;

/** Variance by which a speed may have changed from one run to the next, relative to that of the observations; the last 10 runs or so determine the estimate. */
const changeShare = 0.01;

/** Deviations beyond so many standard errors are outliers: those of one run in 50, and of most long tasks. */
const maxDeviations = 2.3;

/** Share of the logarithm that is kept with each run, which anchors the mean of all upstreams: only ratios of speeds are observed. */
const anchoring = 0.998;

/** Smallest spread, so that equal durations of a few runs do not count as exact. */
const minSpread = 0.05;

/** Difference of the logarithms that counts as a change: a fifth. */
const minChange = 0.2;

/** An upstream of which no run has ended. */
const unknownSpeed = toSpeed(0, initialVariance, 0);

/** Variance of a speed that another owner has learnt: it may be old, so that the first runs here count more than it. */
const reportedVariance = 0.04;

/**
 * Creates what is known of an upstream's speed at first.
 * @param slowness - Slowness that another owner has learnt; `undefined` if none has.
 */
export function createSpeed(slowness?: number): UpstreamSpeed {
	return slowness === undefined ? unknownSpeed : toSpeed(Math.log(slowness), reportedVariance, 0);
}

/**
 * Adds the duration of a run that has ended.
 * @param speed - What was known.
 * @param observation - Duration of the run.
 */
export function learnSpeed({logSlowness, variance, outlier}: UpstreamSpeed, {logRatio, spread}: SpeedObservation): UpstreamSpeed {
	const noise = Math.max(minSpread, spread) ** 2;
	const deviation = logRatio - logSlowness;
	const limit = maxDeviations * Math.sqrt(variance + noise);
	const sign = Math.abs(deviation) > limit ? (deviation > 0 ? 1 : -1) : 0;
	// Two runs in turn that are off in the same direction show that the speed has changed.
	const hasChanged = sign !== 0 && sign === outlier;
	const earlierVariance = hasChanged ? Math.max(initialVariance, (deviation / maxDeviations) ** 2) : variance + (noise * changeShare);
	const gain = earlierVariance / (earlierVariance + noise);
	const isCounted = sign === 0 || hasChanged;
	return toSpeed(
		(logSlowness * anchoring) + (isCounted ? gain * deviation : 0),
		isCounted ? earlierVariance * (1 - gain) : earlierVariance,
		hasChanged ? 0 : sign,
	);
}

/**
 * Gets whether a run has confirmed that an upstream's speed has changed.
 * @param earlier - What was known before the run.
 * @param current - What is known since.
 */
export function hasSpeedChanged(earlier: UpstreamSpeed, current: UpstreamSpeed): boolean {
	return earlier.outlier !== 0 && current.outlier === 0 && Math.abs(current.logSlowness - earlier.logSlowness) > minChange;
}

function toSpeed(logSlowness: number, variance: number, outlier: UpstreamSpeed['outlier']): UpstreamSpeed {
	const slowness = Math.exp(logSlowness);
	return {
		logSlowness, variance, slowness, cautiousSlowness: slowness * Math.exp(Math.sqrt(variance)), outlier,
	};
}
