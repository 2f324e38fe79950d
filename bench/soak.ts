/**
 * `npm run soak -- --seed N --minutes M`: executes history runs with consecutive seeds; prints the violations of each run.
 */
import process from 'node:process';
import {Command} from 'commander';
import {type HistoryRunResult, runHistory} from '../test/history/history-run.js';

type SoakOptions = {
	readonly seed: string;
	readonly minutes: string;
	readonly perSecond: string;
	readonly faults: string;
};

const millisecondsPerMinute = 60_000;

function printRun({faults, outcomes, seed, starts, violations}: HistoryRunResult): void {
	const counts = Object.entries(outcomes).map(([outcome, count]) => `${outcome} ${count}`).join(', ');
	process.stdout.write(`seed ${seed}: ${starts} starts, ${counts}, ${violations.length} violations\n`);
	if (violations.length === 0) {
		return;
	}

	process.stdout.write(`  faults: ${faults.map(fault => `${fault.kind}@${Math.round(fault.atMs)}`).join(' ')}\n`);
	for (const {detail, rule, subject} of violations) {
		process.stdout.write(`  ${rule} ${subject}: ${detail}\n`);
	}
}

const program = new Command('soak')
	.option('--seed <number>', 'first seed', '1')
	.option('--minutes <minutes>', 'duration in minutes', '1')
	.option('--per-second <rate>', 'arrivals per second', '80')
	.option('--faults <count>', 'number of faults in each run', '6')
	.parse();
const options = program.opts<SoakOptions>();
const end = performance.now() + (Number(options.minutes) * millisecondsPerMinute);
const failedSeeds: number[] = [];
let seed = Number(options.seed);
let runs = 0;
while (performance.now() < end) {
	const result = await runHistory({seed, perSecond: Number(options.perSecond), faultCount: Number(options.faults)});
	printRun(result);
	runs++;
	if (result.violations.length > 0) {
		failedSeeds.push(seed);
	}

	seed++;
}

process.stdout.write(`${runs} runs, ${failedSeeds.length} with violations${failedSeeds.length === 0 ? '' : `: seeds ${failedSeeds.join(', ')}`}\n`);
process.exitCode = failedSeeds.length === 0 ? 0 : 1;
