/**
 * `endivemill history`: lists the kept versions.
 */
import {type Command} from 'commander';
import {type Configuration} from '../../version/index.js';
import {createStore} from '../change-flow.js';
import {type CliContext} from '../cli-host.js';
import {
	addJsonFlag, addPlatformFlags, type JsonFlag, openPlatform, type PlatformFlags,
} from '../cli-options.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {
	createFaultResult, describeVersion, getVersionSummary, printResult,
} from '../output.js';

type HistoryFlags = PlatformFlags & JsonFlag;

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addHistoryCommand(program: Command, context: CliContext): void {
	const command = program.command('history').description('list the kept versions, newest first');
	context.setAction<HistoryFlags>(addJsonFlag(addPlatformFlags(command)), async flags => showHistory(context, flags));
}

async function showHistory({host}: CliContext, flags: HistoryFlags): Promise<ExitCode> {
	const opened = openPlatform(flags, host);
	if (!opened) {
		return exitCodes.invalid;
	}

	const history = await createStore(host, opened).getHistory();
	await opened.platform.close();
	if (!history.ok) {
		return printResult(host, flags.json, createFaultResult(history));
	}

	return printResult(host, flags.json, {
		exitCode: exitCodes.success,
		json: history.value.map(configuration => getVersionSummary(configuration)),
		text: formatHistory(history.value),
	});
}

function formatHistory(history: readonly Configuration[]): string {
	if (history.length === 0) {
		return 'no version was accepted yet';
	}

	return history.map(configuration => `${describeVersion(configuration)} (change ${configuration.changeId})`).join('\n');
}
