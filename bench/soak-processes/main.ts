/**
 * `npm run soak:processes -- --seed N --seconds S --vms K`: runs the real programs as processes under faults; exits with 1 on a violated guarantee.
 */
import process from 'node:process';
import {Command} from 'commander';
import {describeGap, describeRestartGaps, findShortGaps} from '../../src/testing/restart-gaps.js';
import {groupBy} from '../../src/testing/group-by.js';
import {getOverhangs, maxOverhangMs} from './check-history.js';
import {type SoakHistory} from './history.js';
import {type SoakResult, runSoak} from './soak-run.js';

type Options = {
	readonly seed: string;
	readonly seconds: string;
	readonly vms: string;
	readonly runs: string;
	readonly upstreams: string;
	readonly callers: string;
	readonly patient: string;
	readonly links: string;
	readonly restarts: string;
	readonly centers: string;
	readonly leaving: string;
	readonly large: string;
	readonly pause: string;
	readonly keep?: boolean;
};

function printResult(seed: number, {history, violations, restartGaps, folder}: SoakResult): void {
	const {sends, runs, faults} = history;
	const counts = formatCounts(sends.map(({end, status, state}) => state ?? status?.toString() ?? end));
	process.stdout.write(`seed ${seed}: ${sends.length} sends (${counts}), ${runs.length} runs, faults: ${formatCounts(faults.map(({kind}) => kind))}, ${violations.length} violations\n`);
	process.stdout.write(`  ${formatOverhangs(history)}\n`);
	process.stdout.write(`  ${restartGaps.length} starts of tasks that had run before, by ground:\n`);
	for (const line of [...describeRestartGaps(restartGaps), ...findShortGaps(restartGaps).map(gap => `SHORT ${describeGap(gap)}`)]) {
		process.stdout.write(`    ${line}\n`);
	}

	if (violations.length === 0) {
		return;
	}

	const start = Math.min(...sends.map(({sentAt}) => sentAt));
	for (const {kind, target, at, until} of faults.toSorted((a, b) => a.at - b.at)) {
		process.stdout.write(`  ${Math.round(at - start)} to ${Math.round(until - start)} ms: ${kind} ${target}\n`);
	}

	for (const {promise, subject, detail, at} of violations) {
		process.stdout.write(`  VIOLATION ${promise} at ${Math.round(at - start)} ms: ${subject}: ${detail}\n`);
	}

	process.stdout.write(`  logs: ${folder}\n`);
}

/** Tells how near the runs whose callers had left came to the next submission. */
function formatOverhangs(history: SoakHistory): string {
	const overhangs = getOverhangs(history);
	const late = overhangs.filter(({startMs}) => startMs > 0);
	const getLatest = (times: readonly number[]): string => times.toSorted((a, b) => b - a).slice(0, 5).map(ms => Math.round(ms)).join(', ') || 'none';
	return [
		`${overhangs.length} runs went on after their callers had left`,
		`latest ends ${getLatest(overhangs.map(({endMs}) => endMs))} ms of ${maxOverhangMs}`,
		`${late.length} starts after it, latest ${getLatest(late.map(({startMs}) => startMs))} ms`,
	].join('; ');
}

function formatCounts(names: readonly string[]): string {
	return [...groupBy(names, name => name)].map(([name, found]) => `${name} ${found.length}`).join(', ');
}

const program = new Command('soak:processes')
	.option('--seed <number>', 'first seed', '1')
	.option('--runs <count>', 'seeds, one after the other', '1')
	.option('--seconds <seconds>', 'time of the faults of each run', '20')
	.option('--vms <count>', 'entry VMs', '9')
	.option('--upstreams <count>', 'upstreams of each data centre', '18')
	.option('--callers <count>', 'callers', '12')
	.option('--patient <count>', 'further callers that wait for 20 s', '0')
	.option('--links <count>', 'faults of links between VMs, of their processors and of callers\' connections in each series', '0')
	.option('--restarts <count>', 'groups of upstreams that crash or start again around the faults of links in each series', '0')
	.option('--centers <count>', 'data centres', '3')
	.option('--leaving <count>', 'groups of faults around callers that leave a VM which is short of processor time, in each series', '0')
	.option('--large <share>', 'share of the jobs that have 600 small tasks, from 0 to 1', '0')
	.option('--pause <ms>', 'mean time between two jobs of a caller', '600')
	.option('--keep', 'keep the logs even without violations')
	.parse();
const options = program.opts<Options>();
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.runs); seed++) {
	const result = await runSoak({
		seed,
		lengthMs: Number(options.seconds) * 1000,
		vmCount: Number(options.vms),
		dataCenters: Array.from({length: Number(options.centers)}, (_, index) => `dc${index + 1}`),
		upstreamsPerDataCenter: Number(options.upstreams),
		callerCount: Number(options.callers),
		patientCallerCount: Number(options.patient),
		keepsLogs: options.keep ?? false,
		linkFaultCount: Number(options.links),
		restartCount: Number(options.restarts),
		leavingCount: Number(options.leaving),
		largeJobShare: Number(options.large),
		meanCallerPauseMs: Number(options.pause),
	});
	printResult(seed, result);
	if (result.violations.length > 0) {
		process.exitCode = 1;
	}
}
