/**
 * `endivemill rollback`: makes the content of a kept version the next, higher version.
 */
import {type Command} from 'commander';
import {
	addChangeFlags, type ChangeFlags, createStore, runChange,
} from '../change-flow.js';
import {type CliContext, type CliHost} from '../cli-host.js';
import {type OpenedPlatform, openPlatform} from '../cli-options.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {findVersion} from '../find-version.js';
import {createFaultResult, printResult} from '../output.js';

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addRollbackCommand(program: Command, context: CliContext): void {
	const command = program.command('rollback').description('make the content of a kept version the next version').argument('<version>', 'version whose content is restored');
	context.setAction<ChangeFlags>(addChangeFlags(command), async (flags, [version]) => rollBack(context, flags, version!));
}

async function rollBack({host}: CliContext, flags: ChangeFlags, version: string): Promise<ExitCode> {
	const opened = openPlatform(flags, host);
	if (!opened) {
		return exitCodes.invalid;
	}

	const exitCode = await performRollback(host, flags, opened, version);
	await opened.platform.close();
	return exitCode;
}

async function performRollback(host: CliHost, flags: ChangeFlags, opened: OpenedPlatform, version: string): Promise<ExitCode> {
	const store = createStore(host, opened);
	const base = await store.getCurrent();
	if (!base.ok) {
		return printResult(host, flags.json, createFaultResult(base));
	}

	const versionResult = await findVersion(store, version);
	if (!versionResult.ok) {
		return printResult(host, flags.json, versionResult.result);
	}

	return runChange(host, flags, opened, {
		base: base.value, declarations: versionResult.configuration.declarations, defaultMessage: `Roll back to version ${version}`,
	});
}
