/**
 * `tsx bench/pool-soak.ts --seed N --runs M`: simulated fleets with one seed after another; prints each run that broke a promise. With
 * `--shrink`, faults are left out one by one first.
 */
import process from 'node:process';
import {Command} from 'commander';
import {
	describeResult, getFleetFaults, runFleet, shrinkFaults,
} from '../src/testing/fleet-run.js';

type SoakOptions = {
	readonly seed: string;
	readonly runs: string;
	readonly faults: string;
	readonly shrink: boolean;
	readonly quiet: boolean;
	readonly without: string;
};

const options = new Command('pool-soak')
	.option('--seed <number>', 'first seed', '1')
	.option('--runs <count>', 'seeds to run', '20')
	.option('--faults <count>', 'faults of each run, at least', '10')
	.option('--shrink', 'leave out faults that a broken promise does not need', false)
	.option('--quiet', 'print one line for each broken run', false)
	.option('--without <kinds>', 'kinds of faults left out, separated by commas', '')
	.parse()
	.opts<SoakOptions>();
const failed: number[] = [];
const outcomes = new Map<string, number>();
const first = Number(options.seed);
const without = new Set(options.without.split(','));
for (let seed = first; seed < first + Number(options.runs); seed++) {
	let result = await runFleet(seed, getFleetFaults(seed, Number(options.faults)).filter(({kind}) => !without.has(kind)));
	for (const {outcome = 'open'} of result.submissions) {
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
	}

	if (result.violations.length > 0) {
		failed.push(seed);
		result = options.shrink ? await runFleet(seed, await shrinkFaults(seed, result.faults)) : result;
		const rules = result.violations.map(({rule}) => rule).join(' ');
		process.stdout.write(options.quiet ? `seed ${seed}: ${rules}; ${result.faults.map(({kind}) => kind).join(' ')}\n` : `${describeResult(result)}\n\n`);
	}
}

process.stdout.write(`${options.runs} runs, ${failed.length} with broken promises: ${failed.join(' ')}\n`);
process.stdout.write(`sends: ${[...outcomes].map(([outcome, count]) => `${outcome} ${count}`).join(', ')}\n`);
process.exitCode = failed.length === 0 ? 0 : 1;
