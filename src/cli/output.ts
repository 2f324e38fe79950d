/**
 * Formats and prints the results of commands.
 */
import {type Configuration, formatFault, type ParsedDeclarations} from '../version/index.js';
import {type PlatformFault} from '../platform/index.js';
import {type CliHost} from './cli-host.js';
import {type ExitCode, exitCodes} from './exit-codes.js';

/** The result of a command: one JSON value for scripts, text for people. */
export type CommandResult = {
	readonly exitCode: ExitCode;
	readonly json: unknown;
	/** Text for standard output. */
	readonly text?: string;
	/** Text for standard error. */
	readonly error?: string;
};

/**
 * Prints a result and returns its exit code.
 * @param host - Host of the command.
 * @param isJson - Whether to print JSON in place of text.
 * @param result - Result to print.
 */
export function printResult(host: CliHost, isJson: boolean | undefined, result: CommandResult): ExitCode {
	if (isJson) {
		host.writeOut(`${JSON.stringify(result.json, undefined, 2)}\n`);
		return result.exitCode;
	}

	if (result.text) {
		host.writeOut(endWithNewline(result.text));
	}

	if (result.error) {
		host.writeErr(`error: ${endWithNewline(result.error)}`);
	}

	return result.exitCode;
}

/**
 * Creates the result for a failed call to the platform.
 * @param fault - Fault of the call.
 */
export function createFaultResult({reason, detail}: PlatformFault): CommandResult {
	const isInvalid = reason === 'invalid';
	return {
		exitCode: isInvalid ? exitCodes.invalid : exitCodes.unavailable,
		json: {outcome: isInvalid ? 'invalid' : 'unavailable', detail},
		error: isInvalid ? detail : `the platform cannot be reached (${reason}): ${detail}`,
	};
}

/**
 * Creates the result for invalid declarations.
 * @param parsed - Faults of the declarations.
 */
export function createInvalidResult({faults}: ParsedDeclarations & {ok: false}): CommandResult {
	return {
		exitCode: exitCodes.invalid,
		json: {outcome: 'invalid', faults},
		error: `${faults.length} ${faults.length === 1 ? 'fault' : 'faults'} in the declarations\n${faults.map(fault => formatFault(fault)).join('\n')}`,
	};
}

/**
 * Describes a version and its change in one line.
 * @param configuration - Version to describe.
 */
export function describeVersion({version, author, message, changedAt}: Configuration): string {
	if (version === 0) {
		return 'version 0 (no change accepted yet)';
	}

	const quoted = message ? `: ${JSON.stringify(message)}` : '';
	return `version ${version} of ${new Date(changedAt).toISOString()} by ${author || 'an unnamed author'}${quoted}`;
}

/**
 * Gets a version without its declarations, for JSON output.
 * @param configuration - Version to summarise.
 */
export function getVersionSummary({version, changeId, author, message, changedAt}: Configuration): Readonly<Record<string, unknown>> {
	return {
		version, changeId, author, message, changedAt: new Date(changedAt).toISOString(),
	};
}

function endWithNewline(text: string): string {
	return text.endsWith('\n') ? text : `${text}\n`;
}
