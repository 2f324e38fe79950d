/**
 * Draws the faults of a run from its seed.
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
	/** Time from the start of the run. */
	readonly atMs: number;
	readonly lengthMs: number;
	/** Which of the VMs is hit, as a number that is taken modulo how many there are. */
	readonly target: number;
};

/** Options of {@link drawFaults}. */
export type FaultScheduleOptions = {
	readonly durationMs: number;
	readonly count: number;
	readonly kinds?: readonly FaultKind[];
};

const minLengthMs = 100;
const maxLengthMs = 700;
const targets = 1000;
const storeFaultPrefix = 'store-';

/**
 * Draws the faults of a run in the order of their times.
 * An upstream is marked as leaving only while the store works, since nobody can learn of the mark otherwise.
 * @param random - Source of random numbers.
 * @param options - Number and kinds of faults.
 */
export function drawFaults(random: Random, options: FaultScheduleOptions): readonly Fault[] {
	const {count, durationMs, kinds = faultKinds} = options;
	const drawn = Array.from({length: count}, (): Fault => ({
		kind: kinds[Math.floor(random.getFloat() * kinds.length)]!,
		atMs: random.getFloat() * durationMs,
		lengthMs: minLengthMs + (random.getFloat() * (maxLengthMs - minLengthMs)),
		target: Math.floor(random.getFloat() * targets),
	}));
	const hasStoreFault = drawn.some(fault => fault.kind.startsWith(storeFaultPrefix));
	return drawn
		.filter(fault => fault.kind !== 'upstream-leaving' || !hasStoreFault)
		.toSorted((left, right) => left.atMs - right.atMs);
}
