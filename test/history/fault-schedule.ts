/**
 * Draws the faults of a history run from its seed.
 */
import {type Random} from '../../src/seams/index.js';

/** Kinds of faults. */
export const faultKinds = [
	'kill',
	'planned-stop',
	'cut',
	'silent-peer-connections',
	'pause',
	'store-down',
	'store-slow',
	'store-lossy',
	'store-stale',
	'store-silent',
	'upstream-leaving',
	'upstream-black-hole',
	'upstream-break-off',
	'upstream-unavailable',
	'upstream-silent',
	'upstream-refuse',
	'silent-upstream-connections',
	'upstream-slow',
	'cancel-wave',
	'new-version',
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** One fault of a run. */
export type Fault = {
	readonly kind: FaultKind;
	/** Time from the start of the run, in milliseconds. */
	readonly atMs: number;
	readonly durationMs: number;
	/** Index of the affected VM or upstream, modulo their number. */
	readonly target: number;
};

/** Options of {@link drawFaults}. */
export type FaultScheduleOptions = {
	readonly durationMs: number;
	readonly count: number;
	readonly kinds?: readonly FaultKind[];
};

const minDurationMs = 100;
const maxDurationMs = 700;
const targetRange = 1000;
const storeFaultPrefix = 'store-';

/**
 * Draws the faults of a run, sorted by time.
 * `upstream-leaving` is dropped from runs with store faults, because the mark is distributed through the store.
 * @param random - Source of random numbers.
 * @param options - Number and kinds of faults.
 */
export function drawFaults(random: Random, options: FaultScheduleOptions): readonly Fault[] {
	const {count, durationMs, kinds = faultKinds} = options;
	const drawn = Array.from({length: count}, (): Fault => ({
		kind: kinds[Math.floor(random.getFloat() * kinds.length)]!,
		atMs: random.getFloat() * durationMs,
		durationMs: minDurationMs + (random.getFloat() * (maxDurationMs - minDurationMs)),
		target: Math.floor(random.getFloat() * targetRange),
	}));
	const hasStoreFault = drawn.some(fault => fault.kind.startsWith(storeFaultPrefix));
	return drawn
		.filter(fault => fault.kind !== 'upstream-leaving' || !hasStoreFault)
		.toSorted((left, right) => left.atMs - right.atMs);
}
