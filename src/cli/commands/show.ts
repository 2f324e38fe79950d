/**
 * `endivemill show`: prints the current version or a kept one.
 */
import {type Command} from 'commander';
import {stringify} from 'yaml';
import {type Configuration} from '../../version/index.js';
import {createStore} from '../change-flow.js';
import {type CliContext, type CliHost} from '../cli-host.js';
import {
	addJsonFlag, addPlatformFlags, type JsonFlag, type OpenedPlatform, openPlatform, type PlatformFlags,
} from '../cli-options.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {findVersion, type FoundVersion} from '../find-version.js';
import {createFaultResult, describeVersion, printResult} from '../output.js';

type ShowFlags = PlatformFlags & JsonFlag & {
	readonly version?: string;
};

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addShowCommand(program: Command, context: CliContext): void {
	const command = program.command('show').description('print the current version').option('--version <number>', 'print this kept version instead');
	context.setAction<ShowFlags>(addJsonFlag(addPlatformFlags(command)), async flags => show(context, flags));
}

async function show({host}: CliContext, flags: ShowFlags): Promise<ExitCode> {
	const opened = openPlatform(flags, host);
	if (!opened) {
		return exitCodes.invalid;
	}

	const configurationResult = await findConfiguration(host, opened, flags.version);
	await opened.platform.close();
	if (!configurationResult.ok) {
		return printResult(host, flags.json, configurationResult.result);
	}

	const {configuration} = configurationResult;
	return printResult(host, flags.json, {
		exitCode: exitCodes.success,
		json: configuration,
		text: formatConfiguration(configuration),
	});
}

async function findConfiguration(host: CliHost, opened: OpenedPlatform, version: string | undefined): Promise<FoundVersion> {
	const store = createStore(host, opened);
	if (version !== undefined) {
		return findVersion(store, version);
	}

	const current = await store.getCurrent();
	return current.ok ? {ok: true, configuration: current.value.configuration} : {ok: false, result: createFaultResult(current)};
}

function formatConfiguration(configuration: Configuration): string {
	return `# ${describeVersion(configuration)}\n${stringify(configuration.declarations)}`;
}
