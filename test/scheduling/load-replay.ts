/**
 * Replays the loads of docs/HARD-LOAD.md against the owner of a pool on a manual clock, to compare decisions.
 */
import {type SchedulingOptions} from '../../src/scheduling/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {createArrivals, type JobKind} from '../../bench/pool/load-pattern.js';
import {type InjectedFault, simulatePool} from '../../bench/pool/simulate-pool.js';

/** A load of the page. */
export type ReplayedLoad = {
	readonly speeds: readonly number[];
	readonly tail?: {readonly share: number; readonly factor: number};
	readonly faults?: readonly InjectedFault[];
	readonly durationMs?: number;
	/** Factor of the rates; 0.75 by default. */
	readonly rate?: number;
	readonly seed?: number;
};

/** What a decision leads to. */
export type ReplayResult = {
	/** Runs stopped as overdue on upstreams without a fault. */
	readonly healthyStops: number;
	/** Time from the first start after a fault until the upstream was first a last resort, because it is suspected or a run was stopped, or its speed was found to have changed, in milliseconds; `Infinity` if it was not. */
	readonly foundMs: readonly number[];
	readonly ejections: number;
	/** Times that an upstream without a fault became a last resort. */
	readonly healthySuspicions: number;
	/** Share of all jobs that were answered by their objective. */
	readonly inTime: number;
	readonly inTimeByRoute: Readonly<Record<string, number>>;
	/** Share by size, from the smallest tenth of the jobs to the largest. */
	readonly inTimeByDecile: readonly number[];
	/** Share of the jobs whose answer came, in time or late. */
	readonly completed: number;
};

const upstreamCount = 32;
const findings: ReadonlySet<string> = new Set(['run overdue', 'upstream ejected', 'upstream suspected', 'upstream changed its speed']);
const routes: readonly JobKind[] = [
	{
		name: 'short', perSecond: 24, meanTasks: 8, maxTasks: 32, meanMs: 51, priority: 0, maxAttempts: 3,
	},
	{
		name: 'long', perSecond: 4.5, meanTasks: 4, maxTasks: 16, meanMs: 760, priority: 2, maxAttempts: 2,
	},
	{
		name: 'small', perSecond: 71, meanTasks: 2, maxTasks: 8, meanMs: 170, priority: 1, maxAttempts: 3,
	},
];

/**
 * Replays a load.
 * @param load - Load.
 * @param scheduling - Decisions that are switched off.
 */
export async function replayLoad({speeds, tail, faults = [], durationMs = 10_000, rate = 0.75, seed = 1}: ReplayedLoad, scheduling: SchedulingOptions = {}): Promise<ReplayResult> {
	const arrivals = createArrivals({
		kinds: routes.map(kind => ({...kind, tail})), durationMs, random: createSeededRandom(seed), getFactor: () => rate,
	});
	let healthyStops = 0;
	let ejections = 0;
	let healthySuspicions = 0;
	const foundAt = faults.map(() => Infinity);
	const firstStartAt = faults.map(() => Infinity);
	const outcomes: Array<{readonly route: string; readonly work: number; readonly isInTime: boolean; readonly isCompleted: boolean}> = [];
	await simulatePool(arrivals, upstreamCount, {
		speeds,
		scheduling,
		faults,
		onLog(message, {upstream}, atMs) {
			const position = faults.findIndex(fault => `u${fault.upstream}` === upstream && fault.atMs <= atMs);
			healthyStops += Number(message === 'run overdue' && position === -1);
			healthySuspicions += Number(message === 'upstream suspected' && position === -1);
			ejections += Number(message === 'upstream ejected');
			if (position !== -1 && findings.has(message)) {
				foundAt[position] = Math.min(foundAt[position]!, atMs);
			}
		},
		onStarts(starts) {
			for (const [position, {upstream, atMs}] of faults.entries()) {
				firstStartAt[position] = starts.find(start => start.upstream === `u${upstream}` && start.atMs >= atMs)?.atMs ?? Infinity;
			}
		},
		onOutcome({kind, taskCount, cpu, durations}, {kind: outcome}, totalMs, objectiveMs) {
			outcomes.push({
				route: kind.name, work: taskCount * cpu * durations[0]!, isInTime: outcome === 'completed' && totalMs <= objectiveMs, isCompleted: outcome === 'completed',
			});
		},
	});
	const bySize = outcomes.toSorted((a, b) => a.work - b.work);
	return {
		healthyStops,
		foundMs: foundAt.map((at, position) => at - firstStartAt[position]!).filter(ms => !Number.isNaN(ms)),
		ejections,
		healthySuspicions,
		inTime: getShare(outcomes),
		inTimeByRoute: Object.fromEntries(routes.map(({name}) => [name, getShare(outcomes.filter(({route}) => route === name))])),
		inTimeByDecile: Array.from({length: 10}, (_, decile) => getShare(bySize.slice(Math.floor(bySize.length * decile / 10), Math.floor(bySize.length * (decile + 1) / 10)))),
		completed: outcomes.filter(({isCompleted}) => isCompleted).length / outcomes.length,
	};
}

/**
 * Formats a result as one line.
 * @param result - Result.
 */
export function formatResult({healthyStops, healthySuspicions, foundMs, ejections, inTime, inTimeByRoute, inTimeByDecile, completed}: ReplayResult): string {
	const format = (share: number): string => share.toFixed(3);
	const byRoute = Object.entries(inTimeByRoute).map(([route, share]) => `${route} ${format(share)}`).join(', ');
	return `healthy runs stopped ${healthyStops}, healthy upstreams suspected ${healthySuspicions}, found after ${foundMs.map(ms => Math.round(ms)).join('/')} ms, ejections ${ejections}, in time ${format(inTime)} (${byRoute}), `
		+ `by size ${inTimeByDecile.map(share => share.toFixed(2)).join(' ')}, completed ${format(completed)}`;
}

function getShare(outcomes: ReadonlyArray<{readonly isInTime: boolean}>): number {
	return outcomes.filter(({isInTime}) => isInTime).length / Math.max(1, outcomes.length);
}
