/**
 * Loads of customers whose demand and upstreams are uneven, and a deployment for each.
 */
import {createSeededRandom} from '../../src/seams/index.js';
import {
	type Arrival, createArrivals, type JobKind, type TaskShape,
} from './load-pattern.js';

/** Load and deployment of a customer. */
export type CustomerLoad = {
	readonly name: string;
	readonly kinds: readonly JobKind[];
	readonly tasks: TaskShape;
	/** Thousandths of a core of a small upstream; every third one is half as large again. */
	readonly upstreamCpu: number;
	/** Speeds of upstreams, assigned in rotation. */
	readonly speeds: readonly number[];
	/** Demand of each data centre relative to the others. */
	readonly weights: readonly number[];
	/** Amplitude of the demand waves, their period in milliseconds, and the phase of each data centre as a part of the period. */
	readonly swing: number;
	readonly periodMs: number;
	readonly phases: readonly number[];
};

/** Rates per second of all data centres together on 81 upstreams, a third of the customers' own. */
const kinds = (shortMs: number, longMs: number, smallMs: number): readonly JobKind[] => [
	{
		name: 'short', perSecond: 48, meanTasks: 8, maxTasks: 32, meanMs: shortMs, maxMs: 9 * shortMs, priority: 0, maxAttempts: 3,
	},
	{
		name: 'long', perSecond: 8.8, meanTasks: 4, maxTasks: 16, meanMs: longMs, maxMs: 9 * longMs, priority: 2, maxAttempts: 4,
	},
	{
		name: 'small', perSecond: 140, meanTasks: 2, maxTasks: 8, meanMs: smallMs, maxMs: 9 * smallMs, priority: 1, maxAttempts: 3,
	},
];

/** Tasks of half an upstream, little difference between upstreams. */
export const largeTasks: CustomerLoad = {
	name: 'large tasks', kinds: kinds(60, 900, 200), upstreamCpu: 64_000, speeds: [0.8, 1, 1.25], weights: [1.19, 0.96, 0.85],
	tasks: {meanCpu: 32_000, maxCpu: 48_000},
	swing: 0.15, periodMs: 11_000, phases: [0.12, 1, 0.29],
};

/** Upstreams of different speeds, tasks with a long tail, strong demand waves. */
export const unevenUpstreams: CustomerLoad = {
	name: 'uneven upstreams', kinds: kinds(51, 760, 170).map(kind => ({...kind, tail: {share: 0.03, factor: 7}})), upstreamCpu: 16_000, speeds: [0.6, 1, 1.6], weights: [1, 1.1, 0.9],
	tasks: {meanCpu: 8000, maxCpu: 12_000},
	swing: 0.55, periodMs: 13_000, phases: [0.1, 0.18, 0.26],
};

/** Most callers use one data centre. */
export const oneFullDataCenter: CustomerLoad = {
	...unevenUpstreams, name: 'one full data centre', weights: [1.8, 0.6, 0.6], swing: 0.2,
};

/**
 * Creates the arrivals of a customer in all data centres, in order of time.
 * @param load - Load.
 * @param factor - Factor of all rates.
 * @param durationMs - Duration in milliseconds.
 * @param seed - Seed of the random numbers.
 */
export function createCustomerArrivals(load: CustomerLoad, factor: number, durationMs: number, seed: number): readonly Arrival[] {
	const random = createSeededRandom(seed);
	const {weights, swing, periodMs, phases} = load;
	return weights.flatMap((weight, dataCenter) => createArrivals({
		kinds: load.kinds, tasks: load.tasks, durationMs, random, dataCenter,
		getFactor: at => factor * weight / weights.length * (1 + (swing * Math.sin(2 * Math.PI * ((at / periodMs) + phases[dataCenter]!)))),
	})).toSorted((a, b) => a.at - b.at);
}
