/**
 * `endivemill status`: prints the state of all entry VMs, their upstreams, queues and quotas.
 */
import {type Command} from 'commander';
import * as z from 'zod';
import {type CliContext} from '../cli-host.js';
import {
	addEntryVmFlags, type EntryVmFlags, type EntryVmTarget, openTargets,
} from '../entry-vm-targets.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type OperatorAnswer} from '../operator-client.js';
import {printResult} from '../output.js';
import {formatTable} from '../table.js';

const memberSchema = z.object({incarnation: z.object({dataCenter: z.string(), vm: z.string(), id: z.string()}), state: z.string(), isLeaving: z.boolean()});
const upstreamSchema = z.object({
	name: z.string(), service: z.string(), state: z.string(), isOwned: z.boolean(), slots: z.number(), inUse: z.number(), leasedOut: z.number(),
	held: z.number(), failurePercent: z.number(), latencyMs: z.number(),
});
const queueSchema = z.object({
	service: z.string(), queuedTasks: z.number(), runningTasks: z.number(), expectedWaitMs: z.number(),
});
/** An unlimited share is `Infinity`, which JSON represents as null. */
const shareSchema = z.number().nullish().transform(share => share ?? Number.POSITIVE_INFINITY);
const teamSchema = z.object({
	team: z.string(), running: z.number(), share: shareSchema, startsPerSecondShare: shareSchema,
});
const statusSchema = z.object({
	incarnation: z.object({dataCenter: z.string(), vm: z.string(), id: z.string()}),
	isReady: z.boolean(),
	isStopping: z.boolean(),
	configurationVersion: z.number(),
	configuration: z.object({isPlatformUp: z.boolean().optional()}),
	jobsInProgress: z.number(),
	members: z.array(memberSchema),
	scheduler: z.object({upstreams: z.array(upstreamSchema), queues: z.array(queueSchema), teams: z.array(teamSchema)}),
});

type Status = z.infer<typeof statusSchema>;

type StatusReport = {
	readonly target: EntryVmTarget;
	readonly answer: OperatorAnswer<Status>;
};

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addStatusCommand(program: Command, context: CliContext): void {
	const command = addEntryVmFlags(program.command('status').description('print the state of all entry VMs, upstreams, queues and quotas'));
	context.setAction<EntryVmFlags>(command, async flags => printStatus(context, flags));
}

async function printStatus({host}: CliContext, flags: EntryVmFlags): Promise<ExitCode> {
	const opened = await openTargets(flags, host);
	if (!opened.ok) {
		return opened.exitCode;
	}

	const {targets, client} = opened;
	const reports = await Promise.all(targets.map(async target => ({
		target, answer: await client.getJson(target.operatorAddress, '/v1/status', statusSchema),
	})));
	await client.close();
	const areAllUnreachable = reports.every(({answer}) => !answer.ok);
	return printResult(host, flags.json, {
		exitCode: areAllUnreachable ? exitCodes.unavailable : exitCodes.success,
		json: reports.map(({target, answer}) => ({vm: target.name, ...(answer.ok ? {status: answer.value} : {unreachable: answer.detail})})),
		text: formatStatus(reports),
		error: areAllUnreachable ? 'no entry VM answers' : undefined,
	});
}

function formatStatus(reports: readonly StatusReport[]): string {
	return [formatEntryVms(reports), formatUpstreams(reports), formatQueues(reports), formatTeams(reports)].filter(text => text !== '').join('\n\n');
}

function formatEntryVms(reports: readonly StatusReport[]): string {
	return formatTable(['ENTRY VM', 'STATE', 'VERSION', 'PLATFORM', 'JOBS', 'PEERS UP'], reports.map(({target, answer}) => {
		if (!answer.ok) {
			return [target.name, `unreachable (${answer.detail})`, '-', '-', '-', '-'];
		}

		const {value} = answer;
		const up = value.members.filter(({state}) => state === 'up').length;
		return [
			target.name,
			describeState(value),
			String(value.configurationVersion),
			value.configuration.isPlatformUp ? 'up' : 'down',
			String(value.jobsInProgress),
			`${up}/${value.members.length}`,
		];
	}));
}

function describeState({isStopping, isReady}: Status): string {
	return isStopping ? 'stopping' : (isReady ? 'ready' : 'not ready');
}

/** Formats each upstream in the state reported by its owner. */
function formatUpstreams(reports: readonly StatusReport[]): string {
	const rows = getStatuses(reports).flatMap(({scheduler, incarnation}) => scheduler.upstreams
		.filter(({isOwned}) => isOwned)
		.map(upstream => [
			upstream.service,
			upstream.name,
			upstream.state,
			incarnation.vm,
			`${upstream.inUse}+${upstream.leasedOut}/${upstream.slots}`,
			`${upstream.failurePercent.toFixed(1)}%`,
			`${upstream.latencyMs.toFixed(0)} ms`,
		]));
	return rows.length === 0 ? '' : formatTable(['SERVICE', 'UPSTREAM', 'STATE', 'OWNER', 'IN USE+LEASED/SLOTS', 'FAILURES', 'LATENCY'], rows);
}

function formatQueues(reports: readonly StatusReport[]): string {
	const rows = getStatuses(reports).flatMap(({scheduler, incarnation}) => scheduler.queues.map(queue => [
		queue.service, incarnation.vm, String(queue.queuedTasks), String(queue.runningTasks), `${queue.expectedWaitMs.toFixed(0)} ms`,
	]));
	return rows.length === 0 ? '' : formatTable(['SERVICE', 'ENTRY VM', 'QUEUED', 'RUNNING', 'EXPECTED WAIT'], rows);
}

function formatTeams(reports: readonly StatusReport[]): string {
	const rows = getStatuses(reports).flatMap(({scheduler, incarnation}) => scheduler.teams.map(({team, running, share, startsPerSecondShare}) => [
		team === '' ? '(none)' : team, incarnation.vm, String(running), formatShare(share), formatShare(startsPerSecondShare),
	]));
	return rows.length === 0 ? '' : formatTable(['TEAM', 'ENTRY VM', 'RUNNING', 'SLOTS SHARE', 'STARTS/S SHARE'], rows);
}

function formatShare(share: number): string {
	return Number.isFinite(share) ? share.toFixed(1) : 'no limit';
}

function getStatuses(reports: readonly StatusReport[]): readonly Status[] {
	return reports.flatMap(({answer}) => answer.ok ? answer.value : []);
}
