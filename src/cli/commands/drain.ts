/**
 * `endivemill drain`: starts the graceful stop of one entry VM.
 */
import {type Command} from 'commander';
import * as z from 'zod';
import {type CliContext} from '../cli-host.js';
import {addEntryVmFlags, type EntryVmFlags, openTargets} from '../entry-vm-targets.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type CommandResult, printResult} from '../output.js';

const drainSchema = z.object({isStopping: z.boolean()});

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addDrainCommand(program: Command, context: CliContext): void {
	const command = program.command('drain')
		.description('stop one entry VM gracefully: it accepts no new work, completes running work and transfers its records')
		.argument('<vm>', 'data centre and name as in the status, or an operator address');
	context.setAction<EntryVmFlags>(addEntryVmFlags(command), async (flags, args) => drain(context, flags, args[0]!));
}

async function drain({host}: CliContext, flags: EntryVmFlags, vm: string): Promise<ExitCode> {
	const opened = await openTargets(flags, host);
	if (!opened.ok) {
		return opened.exitCode;
	}

	const target = opened.targets.find(({name, operatorAddress}) => name === vm || name.endsWith(`/${vm}`) || operatorAddress === vm);
	if (target === undefined) {
		await opened.client.close();
		return printResult(host, flags.json, {exitCode: exitCodes.notFound, json: {outcome: 'not-found'}, error: `no entry VM "${vm}" is listed`});
	}

	const answer = await opened.client.postJson(target.operatorAddress, '/v1/drain', drainSchema);
	await opened.client.close();
	const result: CommandResult = answer.ok
		? {exitCode: exitCodes.success, json: {vm: target.name, ...answer.value}, text: `${target.name} is stopping`}
		: {exitCode: exitCodes.unavailable, json: {vm: target.name, detail: answer.detail}, error: `${target.name}: ${answer.detail}`};
	return printResult(host, flags.json, result);
}
