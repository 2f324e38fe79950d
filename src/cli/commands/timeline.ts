/**
 * `endivemill timeline`: prints the events of all entry VMs in one order in which causes come before effects.
 */
import {type Command, InvalidArgumentError, Option} from 'commander';
import {type CliContext} from '../cli-host.js';
import {addEntryVmFlags, type EntryVmFlags, openTargets} from '../entry-vm-targets.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {printResult} from '../output.js';
import {sleep} from '../../seams/index.js';
import {formatTimeline, formatTrace} from '../timeline-format.js';
import {type CollectedEvents, TimelineCollector, type TimelineFilter} from '../timeline-collector.js';

type TimelineFlags = EntryVmFlags & {
	readonly job?: string;
	readonly since?: number;
	readonly follow?: boolean;
	readonly format: 'text' | 'json' | 'chrome';
};

const followIntervalMs = 500;
const millisecondsPerUnit = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000,
} as const;

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addTimelineCommand(program: Command, context: CliContext): void {
	const command = program.command('timeline')
		.description('print the events of all entry VMs, causes before effects')
		.option('--job <id>', 'only events of one job')
		.option('--since <time>', 'only events of the last period, for instance 5m, 30s or 1h', parseDuration)
		.option('--follow', 'print new events until interrupted')
		.addOption(new Option('--format <format>', 'text, json (one event a line with --follow), or chrome (Trace Event Format)')
			.choices(['text', 'json', 'chrome']).default('text'));
	context.setAction<TimelineFlags>(addEntryVmFlags(command), async flags => printTimeline(context, flags));
}

async function printTimeline(context: CliContext, flags: TimelineFlags): Promise<ExitCode> {
	const {host} = context;
	const opened = await openTargets(flags, host);
	if (!opened.ok) {
		return opened.exitCode;
	}

	const collector = new TimelineCollector(opened);
	const filter: TimelineFilter = {job: flags.job, sinceTime: flags.since === undefined ? undefined : host.clock.getTime() - flags.since};
	const collected = await collector.getNewEvents(filter);
	const exitCode = flags.follow ? await follow(context, flags, collector, collected) : printOnce(context, flags, collected);
	await opened.client.close();
	return exitCode;
}

function printOnce({host}: CliContext, flags: TimelineFlags, {events, unreachable}: CollectedEvents): ExitCode {
	for (const {name, detail} of unreachable) {
		host.writeErr(`warning: ${name} could not be reached: ${detail}\n`);
	}

	const isJson = flags.json === true || flags.format === 'json';
	return printResult(host, isJson, {
		exitCode: events.length === 0 && unreachable.length > 0 ? exitCodes.unavailable : exitCodes.success,
		json: {events, unreachable},
		text: flags.format === 'chrome' ? JSON.stringify(formatTrace(events)) : formatTimeline(events),
	});
}

async function follow(context: CliContext, flags: TimelineFlags, collector: TimelineCollector, first: CollectedEvents): Promise<ExitCode> {
	const {host} = context;
	let {events} = first;
	for (;;) {
		for (const event of events) {
			host.writeOut(flags.format === 'text' && !flags.json ? `${formatTimeline([event])}\n` : `${JSON.stringify(event)}\n`);
		}

		await sleep(host.clock, followIntervalMs);
		const collected = await collector.getNewEvents({job: flags.job});
		events = collected.events;
	}
}

function parseDuration(text: string): number {
	const groups = /^(?<count>\d{1,9})(?<unit>ms|s|m|h)$/v.exec(text)?.groups;
	if (groups === undefined) {
		throw new InvalidArgumentError('expected a number with a unit, for instance 5m, 30s, 1h or 500ms');
	}

	return Number(groups.count) * millisecondsPerUnit[groups.unit as keyof typeof millisecondsPerUnit];
}
