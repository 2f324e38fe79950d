/**
 * `tsx bench/pool-soak.ts --seed N --runs M`: runs simulated fleets with consecutive seeds and prints each run that violated an invariant. With
 * `--shrink`, faults that the violation does not need are removed first.
 */
import process from 'node:process';
import {Command} from 'commander';
import {
	describeResult, getEvacuations, getFleetFaults, getHoldFaults, getUpstreamAnswerFaults, getWorkloadFaults, runFleet, shrinkFaults,
} from '../src/testing/fleet-run.js';
import {
	describeGap, describeRestartGaps, findShortGaps, type RestartGap,
} from '../src/testing/restart-gaps.js';

type SoakOptions = {
	readonly seed: string;
	readonly runs: string;
	readonly faults: string;
	readonly answerFaults: string;
	readonly workloadFaults: string;
	readonly holdFaults: string;
	readonly evacuations: string;
	readonly leavers: boolean;
	readonly patient: string;
	readonly only: string;
	readonly resend: boolean;
	readonly shrink: boolean;
	readonly quiet: boolean;
	readonly without: string;
};

const options = new Command('pool-soak')
	.option('--seed <number>', 'first seed', '1')
	.option('--runs <count>', 'seeds to run', '20')
	.option('--faults <count>', 'minimum number of faults in each run', '10')
	.option('--answer-faults <count>', 'minimum number of faults in what upstreams, their entries and their restarts tell', '0')
	.option('--resend', 'let half of the callers submit again after no answer', false)
	.option('--workload-faults <count>', 'minimum number of faults in what tasks do to their upstreams and in what these can hold', '0')
	.option('--hold-faults <count>', 'minimum number of faults in which processes are held between two events', '0')
	.option('--evacuations <count>', 'minimum number of evacuations of data centres', '0')
	.option('--leavers', 'let some callers leave soon after they submitted a long job', false)
	.option('--patient <share>', 'share of callers that wait for 20 s', '0')
	.option('--shrink', 'remove faults that a violation does not need', false)
	.option('--quiet', 'print one line for each run with violations', false)
	.option('--without <kinds>', 'kinds of faults to omit, separated by commas', '')
	.option('--only <kinds>', 'kinds of answer and workload faults to keep, separated by commas', '')
	.parse()
	.opts<SoakOptions>();
const fleetOptions = {hasLeavers: options.leavers, hasResenders: options.resend, patientShare: Number(options.patient)};
const failed: number[] = [];
const gaps: Array<RestartGap & {readonly seed: number}> = [];
const outcomes = new Map<string, number>();
const first = Number(options.seed);
const only = new Set(options.only.split(','));
const without = new Set(options.without.split(','));
for (let seed = first; seed < first + Number(options.runs); seed++) {
	const furtherFaults = [...getUpstreamAnswerFaults(seed, Number(options.answerFaults)), ...getWorkloadFaults(seed, Number(options.workloadFaults)), ...getHoldFaults(seed, Number(options.holdFaults)), ...getEvacuations(seed, Number(options.evacuations))];
	const keptFaults = furtherFaults.filter(({kind}) => options.only === '' || only.has(kind));
	const faults = [...getFleetFaults(seed, Number(options.faults)), ...keptFaults].filter(({kind}) => !without.has(kind));
	let result = await runFleet(seed, faults, fleetOptions);
	for (const {outcome = 'open'} of result.submissions) {
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
	}

	gaps.push(...result.restartGaps.map(gap => ({...gap, seed})));
	if (result.violations.length > 0) {
		failed.push(seed);
		result = options.shrink ? await runFleet(seed, await shrinkFaults(seed, result.faults, fleetOptions), fleetOptions) : result;
		const rules = result.violations.map(({rule}) => rule).join(' ');
		process.stdout.write(options.quiet ? `seed ${seed}: ${rules}; ${result.faults.map(({kind}) => kind).join(' ')}\n` : `${describeResult(result)}\n\n`);
	}
}

process.stdout.write(`${options.runs} runs, ${failed.length} with violations: ${failed.join(' ')}\n`);
process.stdout.write(`sends: ${[...outcomes].map(([outcome, count]) => `${outcome} ${count}`).join(', ')}\n`);
process.stdout.write(`${gaps.length} starts of tasks that had run before, by ground:\n`);
for (const line of describeRestartGaps(gaps)) {
	process.stdout.write(`  ${line}\n`);
}

for (const {seed, ...gap} of findShortGaps(gaps)) {
	process.stdout.write(`  SHORT, seed ${seed}: ${describeGap(gap)}\n`);
}

process.exitCode = failed.length === 0 ? 0 : 1;
