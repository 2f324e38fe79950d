/**
 * The faults of a soak of processes, drawn from a seed.
 */
import {createSeededRandom, type Random} from '../../src/seams/index.js';
import {plannedStopKind} from './history.js';

/** A fault that is to come. */
export type PlannedFault = {
	readonly kind: SoakFaultKind;
	/** Time from the beginning of the series, in milliseconds. */
	readonly atMs: number;
	readonly durationMs: number;
	/** Position of the first VM or upstream that it meets; without meaning for the store. */
	readonly target: number;
	/** Upstreams that it meets. */
	readonly count: number;
	/** Whether entries of upstreams lapse while the store is away. */
	readonly isLapsing: boolean;
};

const vmKinds = [plannedStopKind, 'kill', 'freeze'] as const;
const storeKinds = ['store-away', 'store-silent', 'store-slow', 'store-loses-answers', 'store-forgets'] as const;
const upstreamKinds = ['orders-late', 'answers-lost', 'upstream-crash', 'upstream-slow'] as const;

/** Kinds of faults. */
export type SoakFaultKind = typeof vmKinds[number] | typeof storeKinds[number] | typeof upstreamKinds[number];

/** Options of {@link createFaultPlan}. */
export type FaultPlanOptions = {
	readonly seed: number;
	/** Number of the series. */
	readonly series: number;
	readonly vmCount: number;
	readonly upstreamCount: number;
	readonly lengthMs: number;
};

/** Share of the series that are planned stops only, so that what they break off has no excuse. */
const calmShare = 0.25;

/** Share of the other series that have planned stops in turn too. */
const rollShare = 0.6;
const seedFactor = 2_654_435_769;
const maxSeries = 1000;

/** Creates the faults of a series. */
export function createFaultPlan(options: FaultPlanOptions): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((options.seed * maxSeries) + options.series, seedFactor));
	random.getFloat();
	const isCalm = random.getFloat() < calmShare;
	const roll = isCalm || random.getFloat() < rollShare ? createRoll(options, random) : [];
	const others = isCalm ? [] : Array.from({length: 4 + Math.floor(random.getFloat() * 6)}, () => createFault(options, random));
	return [...roll, ...others].toSorted((a, b) => a.atMs - b.atMs);
}

/** Creates planned stops in turn, one each 1 to 2 s. */
function createRoll({vmCount, lengthMs}: FaultPlanOptions, random: Random): PlannedFault[] {
	const first = Math.floor(random.getFloat() * vmCount);
	const stops: PlannedFault[] = [];
	for (let atMs = drawBetween(random, 0, 1000); atMs < lengthMs && stops.length < vmCount; atMs += drawBetween(random, 1000, 2000)) {
		stops.push({
			kind: plannedStopKind, atMs, durationMs: drawBetween(random, 200, 1500), target: (first + stops.length) % vmCount, count: 1, isLapsing: false,
		});
	}

	return stops;
}

function createFault({vmCount, upstreamCount, lengthMs}: FaultPlanOptions, random: Random): PlannedFault {
	const kinds = pick(random, [vmKinds, vmKinds, storeKinds, upstreamKinds]);
	const kind = pick<SoakFaultKind>(random, kinds);
	const isOfVm = vmKinds.includes(kind as typeof vmKinds[number]);
	return {
		kind,
		atMs: drawBetween(random, 0, lengthMs),
		durationMs: isOfVm && kind !== 'freeze' ? drawBetween(random, 200, 1500) : drawBetween(random, 300, 4000),
		target: Math.floor(random.getFloat() * (isOfVm ? vmCount : upstreamCount)),
		count: 1 + Math.floor(random.getFloat() * upstreamCount / 3),
		isLapsing: random.getFloat() < 0.5,
	};
}

function drawBetween(random: Random, low: number, high: number): number {
	return Math.round(low + (random.getFloat() * (high - low)));
}

function pick<T>(random: Random, values: readonly T[]): T {
	return values[Math.floor(random.getFloat() * values.length)]!;
}
