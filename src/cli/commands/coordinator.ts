/**
 * `endivemill coordinator`: prints a token for new jobs.
 */
import {type Command} from 'commander';
import {addCallerFlags, type CallerFlags, openCaller} from '../caller-targets.js';
import {type CliContext} from '../cli-host.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {printResult} from '../output.js';

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addCoordinatorCommand(program: Command, context: CliContext): void {
	const command = addCallerFlags(program.command('coordinator').description('print a coordinator token for new jobs'));
	context.setAction<CallerFlags>(command, async flags => printCoordinator(context, flags));
}

async function printCoordinator({host}: CliContext, flags: CallerFlags): Promise<ExitCode> {
	const opened = await openCaller(flags, host);
	if (!opened.ok) {
		return opened.exitCode;
	}

	const coordinator = await opened.caller.getCoordinator();
	await opened.caller.close();
	return printResult(host, flags.json, {
		exitCode: coordinator === undefined ? exitCodes.unavailable : exitCodes.success,
		json: {coordinator},
		text: coordinator,
		error: coordinator === undefined ? 'no entry VM answers' : undefined,
	});
}
