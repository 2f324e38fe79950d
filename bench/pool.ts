/**
 * Simulates queueing, placement and admission in one pool and in a deployment of several pools, under the load patterns of the users' sites.
 */
import {createSeededRandom} from '../src/seams/index.js';
import {createArrivals, siteKinds} from './pool/load-pattern.js';
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
	await simulateSinglePool();
	for (const isLending of [false, true]) {
		for (const factor of deploymentFactors) {
			await simulateDeployment(factor, isLending);
		}
	}
}

async function simulateDeployment(factor: number, isLending: boolean): Promise<void> {
	const arrivals = createArrivals({
		kinds: siteKinds, durationMs, getFactor: () => factor, random: createSeededRandom(1),
	});
	const results = await simulatePool(arrivals, deploymentUpstreams, {poolCount: deploymentPools, isLending});
	const values = Object.values(results);
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
			const results = await simulatePool(arrivals, upstreamCount);
			for (const [kind, result] of Object.entries(results)) {
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
