/**
 * `endivemill diff`: shows what `apply` would change.
 */
import {type Command} from 'commander';
import {diffDeclarations, readDeclarations} from '../../version/index.js';
import {createStore} from '../change-flow.js';
import {type CliContext} from '../cli-host.js';
import {
	addJsonFlag, addPlatformFlags, type JsonFlag, openPlatform, type PlatformFlags,
} from '../cli-options.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {formatChanges} from '../format-changes.js';
import {createFaultResult, createInvalidResult, printResult} from '../output.js';

type DiffFlags = PlatformFlags & JsonFlag;

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addDiffCommand(program: Command, context: CliContext): void {
	const command = program.command('diff').description('show what apply would change; exit 1 when there is a difference').argument('<dir>', 'folder of YAML files');
	context.setAction<DiffFlags>(addJsonFlag(addPlatformFlags(command)), async (flags, [folder]) => diff(context, flags, folder!));
}

async function diff({host}: CliContext, flags: DiffFlags, folder: string): Promise<ExitCode> {
	const parsed = await readDeclarations(folder);
	if (!parsed.ok) {
		return printResult(host, flags.json, createInvalidResult(parsed));
	}

	const opened = openPlatform(flags, host);
	if (!opened) {
		return exitCodes.invalid;
	}

	const current = await createStore(host, opened).getCurrent();
	await opened.platform.close();
	if (!current.ok) {
		return printResult(host, flags.json, createFaultResult(current));
	}

	const {version, declarations} = current.value.configuration;
	const changes = diffDeclarations(declarations, parsed.declarations);
	return printResult(host, flags.json, {
		exitCode: changes.length === 0 ? exitCodes.success : exitCodes.difference,
		json: {version, changes},
		text: changes.length === 0 ? `no difference from version ${version}` : formatChanges(changes, host.isTerminal),
	});
}
