/**
 * `endivemill-lab load`: submits a synthetic load and prints a report.
 */
import process from 'node:process';
import {type Command} from 'commander';
import {request} from 'undici';
import {
	parseAddresses, parseCount, parseNumber, parseFraction,
} from './arguments.js';
import {LoadGenerator} from './load-generator.js';
import {defaultLoadMix} from './load-mix.js';
import {formatLoadReport} from './load-report.js';

type LoadCommandOptions = {
	readonly entryVms: readonly string[];
	readonly upstreams: readonly string[];
	readonly service: string;
	readonly teams: string;
	readonly rate: number;
	readonly seconds: number;
	readonly burst: number;
	readonly burstEveryMs: number;
	readonly deadlineMs?: number;
	readonly medianRunMs: number;
	readonly resubmit: number;
	readonly cancel: number;
	readonly single: number;
	readonly idempotent: number;
	readonly seed: number;
	readonly json?: boolean;
};

/**
 * Adds the `load` command.
 * @param program - Program to add it to.
 */
export function addLoadCommand(program: Command): void {
	program.command('load')
		.description('Submits jobs and requests open-loop at a given rate and prints a report of the answers.')
		.requiredOption('--entry-vms <addresses>', 'caller addresses of the entry VMs, separated by commas', parseAddresses)
		.option('--upstreams <addresses>', 'upstream stand-ins whose task starts are counted', parseAddresses, [])
		.option('--service <name>', 'service of the jobs and requests', 'seats')
		.option('--teams <names>', 'teams that the jobs are drawn from, separated by commas', '')
		.option('--rate <perSecond>', 'arrivals per second', parseNumber, 10)
		.option('--seconds <seconds>', 'duration of the arrivals', parseNumber, 10)
		.option('--burst <count>', 'additional arrivals in each burst', parseCount, 0)
		.option('--burst-every-ms <ms>', 'time between bursts', parseCount, 1000)
		.option('--deadline-ms <ms>', 'deadline of the jobs', parseCount)
		.option('--median-run-ms <ms>', 'median of the log-normal run times', parseNumber, defaultLoadMix.medianRunMs)
		.option('--resubmit <part>', 'fraction that is resubmitted through another entry VM', parseFraction, defaultLoadMix.resubmitFraction)
		.option('--cancel <part>', 'fraction of the jobs that is cancelled', parseFraction, defaultLoadMix.cancelFraction)
		.option('--single <part>', 'fraction of the arrivals that are plain requests', parseFraction, defaultLoadMix.singleFraction)
		.option('--idempotent <part>', 'fraction of the plain requests that are idempotent', parseFraction, defaultLoadMix.idempotentFraction)
		.option('--seed <number>', 'seed of the random numbers', parseCount, 1)
		.option('--json', 'print the report as JSON')
		.action(runLoad);
}

async function runLoad(options: LoadCommandOptions): Promise<void> {
	const generator = new LoadGenerator({
		addresses: options.entryVms,
		service: options.service,
		teams: options.teams === '' ? [] : options.teams.split(','),
		perSecond: options.rate,
		durationMs: options.seconds * 1000,
		burstSize: options.burst,
		burstEveryMs: options.burstEveryMs,
		deadlineMs: options.deadlineMs,
		mix: {
			medianRunMs: options.medianRunMs,
			resubmitFraction: options.resubmit,
			cancelFraction: options.cancel,
			singleFraction: options.single,
			idempotentFraction: options.idempotent,
		},
		seed: options.seed,
	});
	const startsBefore = await countStarts(options.upstreams);
	const loadReport = await generator.run();
	const startsAfter = await countStarts(options.upstreams);
	await generator.close();
	const report = startsBefore === undefined || startsAfter === undefined ? loadReport : {...loadReport, upstreamStarts: startsAfter - startsBefore};
	process.stdout.write(options.json ? `${JSON.stringify(report)}\n` : formatLoadReport(report));
}

async function countStarts(upstreams: readonly string[]): Promise<number | undefined> {
	if (upstreams.length === 0) {
		return undefined;
	}

	const counts = await Promise.all(upstreams.map(async address => {
		const res = await request(`http://${address}/control`);
		return res.body.json() as Promise<{starts: number}>;
	}));
	return counts.reduce((sum, count) => sum + count.starts, 0);
}
