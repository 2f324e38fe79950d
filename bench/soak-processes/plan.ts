/**
 * Draws the faults of a process soak from a seed.
 */
import {createSeededRandom, type Random} from '../../src/seams/index.js';
import {plannedStopKind} from './history.js';

/** A fault to inject. */
export type PlannedFault = {
	readonly kind: SoakFaultKind;
	/** Time from the start of the series, in milliseconds. */
	readonly atMs: number;
	readonly durationMs: number;
	/** Index of the first VM or upstream that is affected; unused for faults of the store. */
	readonly target: number;
	/** Number of upstreams that are affected. */
	readonly count: number;
	/** Whether the store's entries of half the upstreams expire during the fault; for two lives, whether the former one receives no orders; for deadly jobs, whether all of their tasks crash their upstreams. */
	readonly isLapsing: boolean;
};

const vmKinds = [plannedStopKind, 'kill', 'freeze'] as const;
const storeKinds = ['store-away', 'store-silent', 'store-slow', 'store-loses-answers', 'store-forgets'] as const;
const upstreamKinds = ['orders-late', 'answers-lost', 'upstream-crash', 'upstream-slow'] as const;
const answerKinds = ['odd-answers', 'odd-entries', 'answers-overtake', 'two-lives'] as const;

const workloadKinds = ['deadly-jobs', 'capacity-shrinks'] as const;
const restartKinds = ['upstream-crash', 'two-lives'] as const;
const leavingKinds = ['processor-slices', 'processor-late', 'freeze'] as const;
const leavingStoreKinds = ['store-partly', 'store-slow', 'store-silent'] as const;
const leavingUpstreamKinds = ['stops-slow', 'single-orders-late', 'answers-lost', 'upstream-slow'] as const;
const linkKinds = ['link-reset', 'link-silent', 'link-one-way', 'link-slow', 'processor-late', 'callers-reset', 'freeze'] as const;

/** Kind of a fault. */
export type SoakFaultKind = typeof vmKinds[number] | typeof storeKinds[number] | typeof upstreamKinds[number] | typeof answerKinds[number] | typeof workloadKinds[number] | typeof linkKinds[number]
	| 'callers-leave' | typeof leavingKinds[number] | typeof leavingStoreKinds[number] | typeof leavingUpstreamKinds[number];

/** Options of {@link createFaultPlan}. */
export type FaultPlanOptions = {
	readonly seed: number;
	/** Index of the series. */
	readonly series: number;
	readonly vmCount: number;
	readonly upstreamCount: number;
	readonly lengthMs: number;
	/** Faults of links between VMs, of their processors and of callers' connections, each of one or two; none by default. */
	readonly linkFaultCount?: number;
	/** Groups of faults around callers that leave a VM which is short of processor time; none by default. */
	readonly leavingCount?: number;
	/** Number of data centres; VMs of one stand that far apart. */
	readonly dataCenterCount?: number;
	/** Upstreams that crash or start again around a fault of links, in groups; none by default. */
	readonly restartCount?: number;
};

/** Share of the series with planned stops only, in which no other fault excuses a request that is broken off. */
const plannedStopsOnlyShare = 0.25;

/** Share of the other series that have a rolling restart too. */
const rollingRestartShare = 0.6;
const seedFactor = 2_654_435_769;
const answerSeedFactor = 2_246_822_519;
const workloadSeedFactor = 3_266_489_917;
const linkSeedFactor = 668_265_263;
const restartSeedFactor = 374_761_393;
const leavingSeedFactor = 1_274_126_177;
const maxSeries = 1000;

/** Longest time from a fault of links to the upstreams that crash or start again around it, in milliseconds. */
const maxRestartDistanceMs = 600;

/** Longest time for which a capacity is small, in milliseconds. */
export const maxShrunkMs = 9000;

/** Creates the faults of a series, by time. */
export function createFaultPlan(options: FaultPlanOptions): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((options.seed * maxSeries) + options.series, seedFactor));
	random.getFloat();
	const hasPlannedStopsOnly = random.getFloat() < plannedStopsOnlyShare;
	const rollingRestart = hasPlannedStopsOnly || random.getFloat() < rollingRestartShare ? createRollingRestart(options, random) : [];
	const otherFaults = hasPlannedStopsOnly ? [] : Array.from({length: 4 + Math.floor(random.getFloat() * 6)}, () => createFault(options, random));
	const answerFaults = hasPlannedStopsOnly ? [] : createAnswerFaults(options);
	const workloadFaults = hasPlannedStopsOnly ? [] : createWorkloadFaults(options);
	const linkFaults = hasPlannedStopsOnly ? [] : createLinkFaults(options);
	const restarts = createRestarts(options, linkFaults);
	const leavingFaults = hasPlannedStopsOnly ? [] : createLeavingFaults(options);
	return [...rollingRestart, ...otherFaults, ...answerFaults, ...workloadFaults, ...linkFaults, ...restarts, ...leavingFaults].toSorted((a, b) => a.atMs - b.atMs);
}

/** Creates a rolling restart: planned stops of one VM after another, 1 to 2 s apart. */
function createRollingRestart({vmCount, lengthMs}: FaultPlanOptions, random: Random): PlannedFault[] {
	const first = Math.floor(random.getFloat() * vmCount);
	const stops: PlannedFault[] = [];
	for (let atMs = drawInteger(random, 0, 1000); atMs < lengthMs && stops.length < vmCount; atMs += drawInteger(random, 1000, 2000)) {
		stops.push({
			kind: plannedStopKind, atMs, durationMs: drawInteger(random, 200, 1500), target: (first + stops.length) % vmCount, count: 1, isLapsing: false,
		});
	}

	return stops;
}

function createFault({vmCount, upstreamCount, lengthMs}: FaultPlanOptions, random: Random): PlannedFault {
	const kinds = pick(random, [vmKinds, vmKinds, storeKinds, upstreamKinds]);
	const kind = pick<SoakFaultKind>(random, kinds);
	const isVmFault = vmKinds.includes(kind as typeof vmKinds[number]);
	return {
		kind,
		atMs: drawInteger(random, 0, lengthMs),
		durationMs: isVmFault && kind !== 'freeze' ? drawInteger(random, 200, 1500) : drawInteger(random, 300, 4000),
		target: Math.floor(random.getFloat() * (isVmFault ? vmCount : upstreamCount)),
		count: 1 + Math.floor(random.getFloat() * upstreamCount / 3),
		isLapsing: random.getFloat() < 0.5,
	};
}

/**
 * Creates faults in what upstreams and their entries tell, single ones and series. They are drawn apart from the others, so that those of earlier seeds
 * stay as they are.
 */
function createAnswerFaults({seed, series, upstreamCount, lengthMs}: FaultPlanOptions): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((seed * maxSeries) + series, answerSeedFactor));
	random.getFloat();
	return Array.from({length: 2 + Math.floor(random.getFloat() * 3)}, () => {
		const kind = pick<SoakFaultKind>(random, answerKinds);
		const firstMs = drawInteger(random, 0, lengthMs);
		const target = Math.floor(random.getFloat() * upstreamCount);
		return Array.from({length: 1 + Math.floor(random.getFloat() * 3)}, (_, index): PlannedFault => ({
			kind,
			atMs: Math.min(lengthMs, firstMs + (index * drawInteger(random, 500, 1500))),
			durationMs: drawInteger(random, 300, 2500),
			target,
			count: 1 + Math.floor(random.getFloat() * upstreamCount / 3),
			isLapsing: random.getFloat() < 0.5,
		}));
	}).flat();
}

/** Creates jobs that crash their upstreams and capacities that shrink, drawn apart too. A capacity stays small for longer than it may be exceeded. */
function createWorkloadFaults({seed, series, upstreamCount, lengthMs}: FaultPlanOptions): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((seed * maxSeries) + series, workloadSeedFactor));
	random.getFloat();
	return Array.from({length: 1 + Math.floor(random.getFloat() * 3)}, (): PlannedFault => {
		const kind = pick<SoakFaultKind>(random, workloadKinds);
		return {
			kind,
			atMs: drawInteger(random, 0, lengthMs),
			durationMs: kind === 'deadly-jobs' ? drawInteger(random, 500, 2500) : drawInteger(random, 3000, maxShrunkMs),
			target: Math.floor(random.getFloat() * upstreamCount),
			count: 1 + Math.floor(random.getFloat() * upstreamCount / 2),
			isLapsing: random.getFloat() < 0.5,
		};
	});
}

/** Creates faults of links, processors and callers' connections, drawn apart too. Half of them come in pairs, on VMs of one data centre. */
function createLinkFaults({seed, series, vmCount, lengthMs, linkFaultCount = 0}: FaultPlanOptions): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((seed * maxSeries) + series, linkSeedFactor));
	random.getFloat();
	return Array.from({length: linkFaultCount}, (): readonly PlannedFault[] => {
		const target = Math.floor(random.getFloat() * vmCount);
		const firstMs = drawInteger(random, 0, lengthMs);
		return Array.from({length: 1 + Math.floor(random.getFloat() * 2)}, (_, index): PlannedFault => ({
			kind: pick<SoakFaultKind>(random, linkKinds),
			atMs: Math.min(lengthMs, firstMs + (index * drawInteger(random, 50, 900))),
			durationMs: drawInteger(random, 300, 3500),
			target: (target + (index * 3)) % vmCount,
			count: 1 + Math.floor(random.getFloat() * (vmCount - 1)),
			isLapsing: random.getFloat() < 0.5,
		}));
	}).flat();
}

/**
 * Creates groups of faults around callers that leave, drawn apart too: a VM gets its processor time in slices, or late, or freezes, and the callers that wait
 * for it leave one by one; beside it, another VM of its data centre, the store and some upstreams are disturbed.
 */
function createLeavingFaults({seed, series, vmCount, upstreamCount, lengthMs, leavingCount = 0, dataCenterCount = 3}: FaultPlanOptions): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((seed * maxSeries) + series, leavingSeedFactor));
	random.getFloat();
	return Array.from({length: leavingCount}, (): readonly PlannedFault[] => {
		const target = Math.floor(random.getFloat() * vmCount);
		const firstMs = drawInteger(random, 0, lengthMs);
		const create = (kind: SoakFaultKind, share: number, affected: Pick<PlannedFault, 'target' | 'count'>): readonly PlannedFault[] => {
			const fault: PlannedFault = {
				kind,
				atMs: Math.max(0, Math.min(lengthMs, firstMs + drawInteger(random, -300, 500))),
				durationMs: drawInteger(random, 1000, 2800),
				...affected,
				isLapsing: random.getFloat() < 0.5,
			};
			return random.getFloat() < share ? [fault] : [];
		};

		const affected = {target: Math.floor(random.getFloat() * upstreamCount), count: 1 + Math.floor(random.getFloat() * upstreamCount / 2)};
		return [
			...create(pick(random, leavingKinds), 1, {target, count: 1}),
			...create('callers-leave', 1, {target, count: 1}),
			...create(pick(random, ['freeze', 'kill', ...leavingKinds]), 0.6, {target: (target + dataCenterCount) % vmCount, count: 1}),
			...create(pick(random, leavingStoreKinds), 0.7, {target: Math.floor(random.getFloat() * vmCount), count: 1 + Math.floor(random.getFloat() * vmCount)}),
			...create(pick(random, leavingUpstreamKinds), 0.5, affected),
		];
	}).flat();
}

/** Creates upstreams that crash or start again in the seconds of faults of links, drawn apart too. */
function createRestarts({seed, series, upstreamCount, lengthMs, restartCount = 0}: FaultPlanOptions, linkFaults: readonly PlannedFault[]): readonly PlannedFault[] {
	const random = createSeededRandom(Math.imul((seed * maxSeries) + series, restartSeedFactor));
	random.getFloat();
	if (linkFaults.length === 0) {
		return [];
	}

	return Array.from({length: restartCount}, (): PlannedFault => {
		const {atMs} = pick(random, linkFaults);
		return {
			kind: pick<SoakFaultKind>(random, restartKinds),
			atMs: Math.min(lengthMs, Math.max(0, atMs + drawInteger(random, -maxRestartDistanceMs, maxRestartDistanceMs))),
			durationMs: drawInteger(random, 200, 2000),
			target: Math.floor(random.getFloat() * upstreamCount),
			count: 1 + Math.floor(random.getFloat() * upstreamCount / 3),
			isLapsing: random.getFloat() < 0.5,
		};
	});
}

/**
 * Gets whether the upstreams of a soak refuse what exceeds their capacity.
 * @param seed - Seed of the soak.
 */
export function areUpstreamsGuarded(seed: number): boolean {
	const random = createSeededRandom(Math.imul(seed + 1, workloadSeedFactor));
	random.getFloat();
	return random.getFloat() < 0.5;
}

function drawInteger(random: Random, low: number, high: number): number {
	return Math.round(low + (random.getFloat() * (high - low)));
}

function pick<T>(random: Random, values: readonly T[]): T {
	return values[Math.floor(random.getFloat() * values.length)]!;
}
