/**
 * `endivemill apply`: makes a folder of declarations the next version and waits until it is in force on every entry VM.
 */
import {type Command} from 'commander';
import {readDeclarations} from '../../version/index.js';
import {
	addChangeFlags, type ChangeFlags, createStore, runChange,
} from '../change-flow.js';
import {type CliContext} from '../cli-host.js';
import {openPlatform} from '../cli-options.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {createFaultResult, createInvalidResult, printResult} from '../output.js';

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addApplyCommand(program: Command, context: CliContext): void {
	const command = program.command('apply').description('make a folder of declarations the next version').argument('<dir>', 'folder of YAML files');
	context.setAction<ChangeFlags>(addChangeFlags(command), async (flags, [folder]) => apply(context, flags, folder!));
}

async function apply({host}: CliContext, flags: ChangeFlags, folder: string): Promise<ExitCode> {
	const parsed = await readDeclarations(folder);
	if (!parsed.ok) {
		return printResult(host, flags.json, createInvalidResult(parsed));
	}

	const opened = openPlatform(flags, host);
	if (!opened) {
		return exitCodes.invalid;
	}

	const base = await createStore(host, opened).getCurrent();
	const exitCode = base.ok
		? await runChange(host, flags, opened, {base: base.value, declarations: parsed.declarations, defaultMessage: ''})
		: printResult(host, flags.json, createFaultResult(base));
	await opened.platform.close();
	return exitCode;
}
