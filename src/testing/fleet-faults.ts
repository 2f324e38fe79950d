/**
 * Fault schedule of a simulated fleet. It depends on a seed alone, so that single faults can be left out when a failure is reduced.
 */
import {type Random} from '../seams/index.js';

/** Kind of a fault. */
export type FleetFaultKind =
	| 'kill' | 'power' | 'stop' | 'freeze' | 'suspend' | 'starve' | 'cut' | 'cut-one-way' | 'cut-center' | 'reset' | 'silence'
	| 'late' | 'mute' | 'crash' | 'crash-for-good' | 'slow' | 'hang' | 'fail' | 'unlisted' | 'new-upstream' | 'store-away' | 'store-lost'
	| UpstreamAnswerFaultKind | WorkloadFaultKind | 'held' | 'evacuate';

/** Kind of a fault in what an upstream, its entry or its restart tells. */
export type UpstreamAnswerFaultKind = 'odd-answer' | 'overtake' | 'few-ends' | 'entry-overwritten' | 'reborn' | 'two-lives' | 'late-reborn' | 'late-grant';

/** Kind of a fault in what tasks do to their upstreams, or in what these can hold. */
export type WorkloadFaultKind = 'deadly' | 'capacity';

/** Scheduled fault. */
export type FleetFault = {
	readonly kind: FleetFaultKind;
	readonly atMs: number;
	readonly durationMs: number;
	/** Selects the target: taken modulo the number of VMs or upstreams. */
	readonly target: number;
	/** Bits that select which other VMs, upstreams or entries are affected too. */
	readonly salt: number;
	/** Severity in [0, 1). */
	readonly strength: number;
};

type Range = readonly [min: number, max: number];

/** Range of durations in milliseconds and relative frequency of a kind. */
type WeightedKind = {readonly kind: FleetFaultKind; readonly durationMs: Range; readonly weight: number};

const faultKinds: readonly WeightedKind[] = [
	{kind: 'kill', durationMs: [300, 3000], weight: 5},
	{kind: 'power', durationMs: [300, 3000], weight: 1},
	{kind: 'stop', durationMs: [300, 1000], weight: 4},
	{kind: 'freeze', durationMs: [500, 4000], weight: 4},
	{kind: 'suspend', durationMs: [500, 4000], weight: 1},
	{kind: 'starve', durationMs: [1000, 4000], weight: 2},
	{kind: 'cut', durationMs: [1000, 6000], weight: 3},
	{kind: 'cut-one-way', durationMs: [1000, 6000], weight: 1},
	{kind: 'cut-center', durationMs: [1000, 6000], weight: 2},
	{kind: 'reset', durationMs: [0, 0], weight: 2},
	{kind: 'silence', durationMs: [0, 0], weight: 2},
	{kind: 'late', durationMs: [500, 2500], weight: 3},
	{kind: 'mute', durationMs: [200, 2000], weight: 2},
	{kind: 'crash', durationMs: [300, 3000], weight: 1},
	{kind: 'crash-for-good', durationMs: [0, 0], weight: 0.3},
	{kind: 'slow', durationMs: [500, 4000], weight: 1},
	{kind: 'hang', durationMs: [500, 2000], weight: 1},
	{kind: 'fail', durationMs: [500, 2000], weight: 0.5},
	{kind: 'unlisted', durationMs: [500, 2400], weight: 3},
	{kind: 'new-upstream', durationMs: [100, 1500], weight: 1},
	{kind: 'store-away', durationMs: [1000, 5000], weight: 2},
	{kind: 'store-lost', durationMs: [500, 3000], weight: 1},
];

/** Kinds of {@link createUpstreamAnswerFaults}; a table of their own, so that the schedules of the other kinds stay as they are. */
const upstreamAnswerFaultKinds: readonly WeightedKind[] = [
	{kind: 'odd-answer', durationMs: [300, 3000], weight: 3},
	{kind: 'overtake', durationMs: [500, 3000], weight: 3},
	{kind: 'few-ends', durationMs: [500, 3000], weight: 1},
	{kind: 'entry-overwritten', durationMs: [200, 1500], weight: 3},
	{kind: 'reborn', durationMs: [50, 1500], weight: 2},
	{kind: 'two-lives', durationMs: [300, 3000], weight: 2},
	{kind: 'late-reborn', durationMs: [500, 2500], weight: 2},
	{kind: 'late-grant', durationMs: [500, 2500], weight: 1},
];

/** Kinds of {@link createWorkloadFaults}. */
const workloadFaultKinds: readonly WeightedKind[] = [
	{kind: 'deadly', durationMs: [500, 3000], weight: 3},
	{kind: 'capacity', durationMs: [1000, 7000], weight: 3},
];

/** Kind of {@link createHoldFaults}. */
const holdFaultKinds: readonly WeightedKind[] = [{kind: 'held', durationMs: [1000, 4000], weight: 1}];

/** Kind of {@link createEvacuations}: longer and shorter than the time within which all VMs have to know. */
const evacuationKinds: readonly WeightedKind[] = [{kind: 'evacuate', durationMs: [500, 8500], weight: 1}];

/** Interval between the faults of a series, in milliseconds, and share of faults that begin a series. */
const seriesIntervalMs: Range = [1000, 2000];
const seriesShare = 0.35;
const saltRange = 2 ** 24;

function sample(random: Random, [min, max]: Range): number {
	return min + (random.getFloat() * (max - min));
}

type FaultScheduleOptions = {readonly count: number; readonly firstMs: number; readonly lastMs: number};

/**
 * Creates a schedule of single faults and of series of faults of one kind.
 * @param random - Source of random numbers.
 * @param options - Minimum number of faults and the period in which they or their series begin, in milliseconds.
 * @returns Faults in the order of their start.
 */
export function createFleetFaults(random: Random, options: FaultScheduleOptions): readonly FleetFault[] {
	return createFaults(random, options, faultKinds);
}

/**
 * Creates a schedule of faults in what upstreams, their entries and their restarts tell.
 * @param random - Source of random numbers.
 * @param options - Minimum number of faults and the period in which they or their series begin, in milliseconds.
 * @returns Faults in the order of their start.
 */
export function createUpstreamAnswerFaults(random: Random, options: FaultScheduleOptions): readonly FleetFault[] {
	return createFaults(random, options, upstreamAnswerFaultKinds);
}

/**
 * Creates a schedule of tasks that crash their upstreams, and of capacities that shrink and grow again.
 * @param random - Source of random numbers.
 * @param options - Minimum number of faults and the period in which they or their series begin, in milliseconds.
 * @returns Faults in the order of their start.
 */
export function createWorkloadFaults(random: Random, options: FaultScheduleOptions): readonly FleetFault[] {
	return createFaults(random, options, workloadFaultKinds);
}

/**
 * Creates a schedule of processes that are held between two events again and again.
 * @param random - Source of random numbers.
 * @param options - Minimum number of faults and the period in which they or their series begin, in milliseconds.
 * @returns Faults in the order of their start.
 */
export function createHoldFaults(random: Random, options: FaultScheduleOptions): readonly FleetFault[] {
	return createFaults(random, options, holdFaultKinds);
}

/**
 * Creates a schedule of evacuations of data centres, which may overlap.
 * @param random - Source of random numbers.
 * @param options - Minimum number of evacuations and the period in which they or their series begin, in milliseconds.
 * @returns Evacuations in the order of their start.
 */
export function createEvacuations(random: Random, options: FaultScheduleOptions): readonly FleetFault[] {
	return createFaults(random, options, evacuationKinds);
}

function createFaults(random: Random, {count, firstMs, lastMs}: FaultScheduleOptions, kinds: readonly WeightedKind[]): readonly FleetFault[] {
	const totalWeight = kinds.reduce((sum, {weight}) => sum + weight, 0);
	const faults: FleetFault[] = [];
	while (faults.length < count) {
		let remainingWeight = random.getFloat() * totalWeight;
		const {kind, durationMs} = kinds.find(({weight}) => {
			remainingWeight -= weight;
			return remainingWeight < 0;
		})!;
		let atMs = sample(random, [firstMs, lastMs]);
		const target = Math.floor(random.getFloat() * saltRange);
		const seriesLength = random.getFloat() < seriesShare ? 2 + Math.floor(random.getFloat() * 3) : 1;
		for (let index = 0; index < seriesLength; index++) {
			faults.push({
				kind, atMs: Math.round(atMs), durationMs: Math.round(sample(random, durationMs)), target: target + index, salt: Math.floor(random.getFloat() * saltRange), strength: random.getFloat(),
			});
			atMs += sample(random, seriesIntervalMs);
		}
	}

	return faults.toSorted((a, b) => a.atMs - b.atMs);
}
