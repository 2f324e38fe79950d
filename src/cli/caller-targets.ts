/**
 * Resolves the caller addresses that a command sends requests to.
 */
import {type Command} from 'commander';
import {Caller} from '../lab/caller.js';
import {type CliHost} from './cli-host.js';
import {
	addJsonFlag, addPlatformFlags, getFlagOrVariable, type JsonFlag, type PlatformFlags,
} from './cli-options.js';
import {findTargets} from './entry-vm-targets.js';
import {type ExitCode, exitCodes} from './exit-codes.js';

/** Flags of commands that act as a caller. */
export type CallerFlags = PlatformFlags & JsonFlag & {
	readonly callerAddresses?: string;
};

/** A caller, or the exit code of the command when none could be opened. */
export type OpenedCaller = {readonly ok: true; readonly caller: Caller} | {readonly ok: false; readonly exitCode: ExitCode};

/**
 * Adds the flags that select the caller addresses.
 * @param command - Command to change.
 */
export function addCallerFlags(command: Command): Command {
	return addJsonFlag(addPlatformFlags(command))
		.option('--caller-addresses <ip:port,…>', 'caller addresses to use in place of the platform\'s list (ENDIVEMILL_CALLER_ADDRESSES)');
}

/**
 * Opens a caller for the addresses in the flags; prints the reason when there are none.
 * @param flags - Flags of the command.
 * @param host - Host of the command.
 */
export async function openCaller(flags: CallerFlags, host: CliHost): Promise<OpenedCaller> {
	const addressList = getFlagOrVariable(flags.callerAddresses, 'ENDIVEMILL_CALLER_ADDRESSES', host);
	if (addressList !== undefined) {
		return createCaller(addressList.split(','), host);
	}

	const resolved = await findTargets(flags, host);
	if (!resolved.ok) {
		return resolved;
	}

	return createCaller(resolved.targets.flatMap(({listed}) => listed?.state === 'live' ? listed.callerAddress : []), host);
}

function createCaller(addresses: readonly string[], host: CliHost): OpenedCaller {
	if (addresses.length === 0) {
		host.writeErr('error: the platform lists no live entry VM\n');
		return {ok: false, exitCode: exitCodes.unavailable};
	}

	return {ok: true, caller: new Caller({addresses, clock: host.clock, random: host.random})};
}
