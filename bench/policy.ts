/**
 * Compares scheduling policies (order, placement and leasing) under the same sequence of arrivals.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Command} from 'commander';
import {createPolicies, type Policy} from './policy/policies.js';
import {createPlot} from './policy/plot.js';
import {type RunResult, simulate} from './policy/simulation.js';
import {type UpstreamFault} from './policy/simulated-upstream.js';
import {createWorkload, type Scenario} from './policy/workload.js';

/** Result of one policy under one scenario and load. */
export type ReportLine = RunResult & {
	readonly scenario: Scenario;
	readonly load: number;
	readonly policy: string;
};

type CliOptions = {
	readonly load: string;
	readonly faults: string;
	readonly scenario: string;
	readonly seed: string;
	readonly seconds: string;
	readonly latency: string;
	readonly only: string;
	readonly tuning: string;
	readonly profile: string;
	readonly name: string;
	readonly out: string;
};

const upstreamCount = 12;
const slots = 8;

/** Width of the policy column in the printed table, in characters. */
const nameWidth = 28;

/** Runs the comparison that the command line specifies, and writes the results as JSON and SVG. */
export async function run(): Promise<void> {
	const options = parseOptions(process.argv);
	const policies = createPolicies({latencyMs: Number(options.latency), tuning: parseNumbers(options.tuning), profile: parseNumbers(options.profile)});
	const compared = policies.filter(policy => policy.name.includes(options.only));
	const lines: ReportLine[] = [];
	for (const scenario of options.scenario.split(',') as Scenario[]) {
		for (const load of options.load.split(',').map(Number)) {
			lines.push(...await runPolicies({
				options, scenario, load, policies: compared,
			}));
		}
	}

	await mkdir(options.out, {recursive: true});
	await writeFile(`${options.out}/${options.name}.json`, `${JSON.stringify({options, lines}, undefined, '\t')}\n`);
	await writeFile(`${options.out}/${options.name}.svg`, createPlot(lines));
}

function parseOptions(argv: readonly string[]): CliOptions {
	const benchArguments = argv.slice(argv[2] === 'policy' ? 3 : 2);
	return new Command()
		.description('Compares scheduling policies (order, placement and leasing) under the same sequence of arrivals')
		.option('--load <list>', 'utilizations of the slots, from 0 to 1', '0.5,0.7,0.85,0.95')
		.option('--faults <list>', 'faults of the first upstreams, one for each: none, black-hole, straggler', '')
		.option('--scenario <list>', 'steady, bursts, cancels, lying', 'steady')
		.option('--seed <number>', 'seed of the random arrivals', '1')
		.option('--seconds <number>', 'duration of the arrivals', '120')
		.option('--latency <ms>', 'one-way latency between entry VMs', '0.5')
		.option('--only <text>', 'run only the policies whose name contains this', '')
		.option('--tuning <list>', 'tuning parameters, as name=value', '')
		.option('--profile <list>', 'numeric profile settings, as name=value', '')
		.option('--name <text>', 'name of the result files', 'policy')
		.option('--out <folder>', 'directory of the result files', 'bench/results')
		.parse(benchArguments, {from: 'user'})
		.opts<CliOptions>();
}

function parseNumbers(text: string): Record<string, number> {
	return Object.fromEntries(text.split(',').filter(Boolean).map(pair => pair.split('=')).map(([name, value]) => [name!, Number(value)]));
}

/** Input of one printed table. */
type Comparison = {
	readonly options: CliOptions;
	readonly scenario: Scenario;
	readonly load: number;
	readonly policies: readonly Policy[];
};

async function runPolicies({options, scenario, load, policies}: Comparison): Promise<readonly ReportLine[]> {
	const faults = options.faults.split(',').filter(Boolean) as UpstreamFault[];
	const jobs = createWorkload({
		seed: Number(options.seed), durationMs: Number(options.seconds) * 1000, load, slots: upstreamCount * slots, scenario,
	});
	const lines: ReportLine[] = [];
	console.log(`\n${scenario}, load ${load}, ${jobs.length} jobs${faults.length > 0 ? `, ${faults.join(' and ')}` : ''}`);
	console.log(`${'policy'.padEnd(nameWidth)}     mean    p50    p99  shed%  lost%  jobs failed%  spread  messages/task (demands grants returns leased)`);
	for (const policy of policies) {
		const result = await simulate({
			jobs, upstreamCount, slots, faults, createDispatcher: policy.createDispatcher,
		});
		lines.push({
			...result, scenario, load, policy: policy.name,
		});
		console.log(formatLine(policy.name, result));
	}

	return lines;
}

function formatLine(name: string, result: RunResult): string {
	const {messagesPerTask: messages} = result;
	const cells = [
		name.padEnd(nameWidth),
		result.mean.toFixed(3).padStart(8),
		result.p50.toFixed(2).padStart(6),
		result.p99.toFixed(2).padStart(6),
		(result.shedPart * 100).toFixed(2).padStart(6),
		(result.lostPart * 100).toFixed(2).padStart(6),
		(result.failedJobPart * 100).toFixed(2).padStart(13),
		result.teamSpread.toFixed(2).padStart(7),
		(messages.messages ?? 0).toFixed(3).padStart(7),
		`(${['demands', 'grants', 'returns', 'leasedStarts'].map(kind => (messages[kind] ?? 0).toFixed(3)).join(' ')})`,
		`${Math.round(result.wallMs)} ms`,
	];
	return cells.join(' ');
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
	await run();
}
