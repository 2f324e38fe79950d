/**
 * Simulates queueing, placement and admission in one pool and in a deployment of several pools, under the load patterns of the users' sites.
 */
import {createSeededRandom} from '../src/seams/index.js';
import {createArrivals, siteKinds} from './pool/load-pattern.js';
import {
	createCustomerArrivals, type CustomerLoad, largeTasks, oneFullDataCenter, unevenUpstreams,
} from './pool/customer-loads.js';
import {type KindResult, simulatePool} from './pool/simulate-pool.js';

const upstreamCount = 11;
const durationMs = 15_000;

/** Factors of the arrival rates by time in milliseconds, relative to the sites' rates; `burst` raises the rates of all kinds for four seconds. */
const loadPatterns = {
	usual: () => 0.31,
	busy: () => 0.38,
	overload: () => 0.46,
	burst: (at: number) => at > 4000 && at < 8000 ? 0.5 : 0.36,
} as const;

function getShare({submitted, inTime, late, refused, refusedLate}: KindResult): string {
	const percent = (value: number): string => `${Math.round(100 * value / submitted)}%`;
	return `in time ${percent(inTime)} late ${percent(late)} refused ${percent(refused)} (late ${percent(refusedLate)})`;
}

/** Value of a late answer relative to one in time, by the users' requirements. */
const lateValue = 0.2;

/** Number of upstreams of a deployment of several data centres, and factors of its arrival rates relative to the sites' rates. */
const deploymentUpstreams = 32;
const deploymentPools = 4;
const deploymentFactors = [0.93, 1.14, 1.38];

/** Simulates the load patterns with one pool, then several pools with and without lending, and prints the outcomes of the jobs. */
export async function run(): Promise<void> {
	for (const load of [largeTasks, unevenUpstreams, oneFullDataCenter]) {
		for (const factor of customerFactors) {
			await simulateCustomer(load, factor);
		}
	}

	await simulateSinglePool();
	for (const isLending of [false, true]) {
		for (const factor of deploymentFactors) {
			await simulateDeployment(factor, isLending);
		}
	}
}

/** Upstreams and pools of the customers' deployments, a third of their size, and factors of the arrival rates. */
const customerUpstreams = 81;
const customerPools = 9;
const customerDataCenters = 3;
const customerFactors = [1.4, 2, 2.6];

async function simulateCustomer(load: CustomerLoad, factor: number): Promise<void> {
	const arrivals = createCustomerArrivals(load, factor, durationMs, 1);
	const {upstreamCpu, speeds} = load;
	const results = await simulatePool(arrivals, customerUpstreams, {
		poolCount: customerPools, dataCenterCount: customerDataCenters, upstreamCpu, speeds,
	});
	for (const [name, groups] of [['kind', results.byKind], ['data centre', results.byDataCenter], ['size decile', results.byDecile]] as const) {
		const shares = Object.entries(groups).toSorted(([a], [b]) => a < b ? -1 : 1).map(([group, result]) => `${group}: ${name === 'size decile' ? getValue(result).toFixed(2) : getShare(result)}`);
		console.log(`${load.name} at ${factor} by ${name}: ${shares.join('; ')}`);
	}

	const values = Object.values(results.byKind);
	const value = values.reduce((sum, result) => sum + getValue(result), 0) / values.length;
	const refused = values.reduce((sum, result) => sum + result.refused, 0);
	const refusalMs = values.reduce((sum, result) => sum + result.refusalMs, 0) / Math.max(1, refused);
	console.log(`${load.name} at ${factor}: value by kind ${value.toFixed(3)}, mean time to a refusal ${refusalMs.toFixed(0)} ms`);
}

function getValue({submitted, inTime, late}: KindResult): number {
	return (inTime + (lateValue * late)) / submitted;
}

async function simulateDeployment(factor: number, isLending: boolean): Promise<void> {
	const arrivals = createArrivals({
		kinds: siteKinds, durationMs, getFactor: () => factor, random: createSeededRandom(1),
	});
	const {byKind} = await simulatePool(arrivals, deploymentUpstreams, {poolCount: deploymentPools, isLending});
	const values = Object.values(byKind);
	const submitted = values.reduce((sum, result) => sum + result.submitted, 0);
	const inTime = values.reduce((sum, result) => sum + result.inTime, 0) / submitted;
	const value = values.reduce((sum, result) => sum + ((result.inTime + (lateValue * result.late)) / result.submitted), 0) / values.length;
	console.log(`${deploymentPools} pools${isLending ? ' that lend' : ''} at ${factor}: in time ${inTime.toFixed(3)} value by kind ${value.toFixed(3)}`);
}

async function simulateSinglePool(): Promise<void> {
	for (const [name, getFactor] of Object.entries(loadPatterns)) {
		const sums = {
			inTime: 0, late: 0, submitted: 0, refusedLate: 0, value: 0, kinds: 0,
		};
		for (const seed of [1, 2]) {
			const arrivals = createArrivals({
				kinds: siteKinds, durationMs, getFactor, random: createSeededRandom(seed),
			});
			const {byKind} = await simulatePool(arrivals, upstreamCount);
			for (const [kind, result] of Object.entries(byKind)) {
				if (seed === 1) {
					console.log(`${name} ${kind}: ${getShare(result)}`);
				}

				sums.inTime += result.inTime;
				sums.late += result.late;
				sums.submitted += result.submitted;
				sums.refusedLate += result.refusedLate;
				sums.value += (result.inTime + (lateValue * result.late)) / result.submitted;
				sums.kinds++;
			}
		}

		const share = (value: number): string => (value / sums.submitted).toFixed(3);
		const value = (sums.value / sums.kinds).toFixed(3);
		console.log(`${name}: in time ${share(sums.inTime)} late ${share(sums.late)} refused late ${share(sums.refusedLate)} value by kind ${value}`);
	}
}
