/**
 * Order, placement and admission of one pool under the load patterns of the users' sites.
 */
import {createSeededRandom} from '../src/seams/index.js';
import {createArrivals, siteKinds} from './pool/load-pattern.js';
import {type KindResult, simulatePool} from './pool/simulate-pool.js';

const upstreamCount = 11;
const durationMs = 15_000;

/** Rates against the sites' usual ones for one data centre; the last burst is of jobs of the longest kind only. */
const patterns = {
	usual: () => 0.31,
	busy: () => 0.38,
	overload: () => 0.46,
	burst: (at: number) => at > 4000 && at < 8000 ? 0.5 : 0.36,
} as const;

function getShare({submitted: asked, inTime, late, refused, refusedLate}: KindResult): string {
	const percent = (value: number): string => `${Math.round(100 * value / asked)}%`;
	return `in time ${percent(inTime)} late ${percent(late)} refused ${percent(refused)} (late ${percent(refusedLate)})`;
}

/** Value of a late answer against one in time, as the users' sheets have it. */
const lateValue = 0.2;

/** Upstreams of a deployment of several data centres, and rates against the sites' usual ones for all of it. */
const deploymentUpstreams = 32;
const deploymentPools = 4;
const deploymentFactors = [0.93, 1.14, 1.38];

/** Plays the patterns of one pool, then several pools with and without lending, and prints what became of the jobs. */
export async function run(): Promise<void> {
	await playPool();
	for (const isLending of [false, true]) {
		for (const factor of deploymentFactors) {
			await playDeployment(factor, isLending);
		}
	}
}

async function playDeployment(factor: number, isLending: boolean): Promise<void> {
	const arrivals = createArrivals({
		kinds: siteKinds, durationMs, getFactor: () => factor, random: createSeededRandom(1),
	});
	const results = await simulatePool(arrivals, deploymentUpstreams, {poolCount: deploymentPools, isLending});
	const values = Object.values(results);
	const asked = values.reduce((sum, result) => sum + result.submitted, 0);
	const inTime = values.reduce((sum, result) => sum + result.inTime, 0) / asked;
	const value = values.reduce((sum, result) => sum + ((result.inTime + (lateValue * result.late)) / result.submitted), 0) / values.length;
	console.log(`${deploymentPools} pools${isLending ? ' that lend' : ''} at ${factor}: in time ${inTime.toFixed(3)} value by kind ${value.toFixed(3)}`);
}

async function playPool(): Promise<void> {
	for (const [name, getFactor] of Object.entries(patterns)) {
		const sums = {
			inTime: 0, late: 0, asked: 0, refusedLate: 0, value: 0, kinds: 0,
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
				sums.asked += result.submitted;
				sums.refusedLate += result.refusedLate;
				sums.value += (result.inTime + (lateValue * result.late)) / result.submitted;
				sums.kinds++;
			}
		}

		const share = (value: number): string => (value / sums.asked).toFixed(3);
		const value = (sums.value / sums.kinds).toFixed(3);
		console.log(`${name}: in time ${share(sums.inTime)} late ${share(sums.late)} refused late ${share(sums.refusedLate)} value by kind ${value}`);
	}
}
