/**
 * `endivemill schema`: prints the JSON Schema of the declarations.
 */
import {type Command} from 'commander';
import {getDeclarationsJsonSchema} from '../../version/index.js';
import {type CliContext} from '../cli-host.js';
import {addJsonFlag} from '../cli-options.js';
import {exitCodes} from '../exit-codes.js';
import {printResult} from '../output.js';

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addSchemaCommand(program: Command, context: CliContext): void {
	const command = program.command('schema').description('print the JSON Schema of the declarations, for editors');
	context.setAction(addJsonFlag(command), async () => printResult(context.host, true, {exitCode: exitCodes.success, json: getDeclarationsJsonSchema()}));
}
