/**
 * `endivemill validate`: checks a folder of declarations.
 */
import {type Command} from 'commander';
import {readDeclarations} from '../../version/index.js';
import {type CliContext} from '../cli-host.js';
import {addJsonFlag, type JsonFlag} from '../cli-options.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {createInvalidResult, printResult} from '../output.js';

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addValidateCommand(program: Command, context: CliContext): void {
	const command = program.command('validate').description('check a folder of declarations').argument('<dir>', 'folder of YAML files');
	context.setAction<JsonFlag>(addJsonFlag(command), async (flags, [folder]) => validate(context, flags, folder!));
}

async function validate({host}: CliContext, flags: JsonFlag, folder: string): Promise<ExitCode> {
	const parsed = await readDeclarations(folder);
	if (!parsed.ok) {
		return printResult(host, flags.json, createInvalidResult(parsed));
	}

	const {profiles, services, teams} = parsed.declarations;
	const counts = {profiles: Object.keys(profiles).length, services: Object.keys(services).length, teams: Object.keys(teams).length};
	return printResult(host, flags.json, {
		exitCode: exitCodes.success,
		json: {outcome: 'valid', files: parsed.files, ...counts},
		text: `valid: ${counts.profiles} profiles, ${counts.services} services, ${counts.teams} teams in ${parsed.files.length} files`,
	});
}
