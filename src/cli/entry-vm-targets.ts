/**
 * Resolves the entry VMs that a command queries: those listed by the platform, or those given by a flag while the platform is unavailable.
 */
import {type Command} from 'commander';
import {getVmPrefix, type ListedEntryVm, parseListedVm} from '../platform/index.js';
import {type CliHost} from './cli-host.js';
import {
	addJsonFlag, addOperatorFlags, addPlatformFlags, getFlagOrVariable, type JsonFlag, openPlatform, type OperatorFlags, type PlatformFlags,
} from './cli-options.js';
import {type ExitCode, exitCodes} from './exit-codes.js';
import {type OperatorClient, openOperatorClient} from './operator-client.js';
import {createFaultResult, printResult} from './output.js';

/** Flags of commands that query entry VMs. */
export type EntryVmFlags = PlatformFlags & OperatorFlags & JsonFlag & {
	readonly operatorAddresses?: string;
};

/** An entry VM to query. */
export type EntryVmTarget = {
	/** Name in the platform's list, or the address where only that is known. */
	readonly name: string;
	readonly operatorAddress: string;
	/** Absent where only the operator address is known. */
	readonly listed?: ListedEntryVm;
};

/** The entry VMs and the client to query them with, or the exit code of the command when they could not be resolved. */
export type OpenedTargets =
	| {readonly ok: true; readonly targets: readonly EntryVmTarget[]; readonly client: OperatorClient}
	| {readonly ok: false; readonly exitCode: ExitCode};

type FoundTargets =
	| {readonly ok: true; readonly targets: readonly EntryVmTarget[]}
	| {readonly ok: false; readonly exitCode: ExitCode};

/**
 * Adds the flags that select the entry VMs.
 * @param command - Command to change.
 */
export function addEntryVmFlags(command: Command): Command {
	return addJsonFlag(addOperatorFlags(addPlatformFlags(command)))
		.option('--operator-addresses <ip:port,…>', 'entry VMs to query in place of the platform\'s list (ENDIVEMILL_OPERATOR_ADDRESSES)');
}

/**
 * Resolves the entry VMs selected by the flags and opens a client for them; prints the reason on failure.
 * @param flags - Flags of the command.
 * @param host - Host of the command.
 */
export async function openTargets(flags: EntryVmFlags, host: CliHost): Promise<OpenedTargets> {
	const resolved = await findTargets(flags, host);
	if (!resolved.ok) {
		return resolved;
	}

	const client = await openOperatorClient(flags, host);
	return client === undefined ? {ok: false, exitCode: exitCodes.invalid} : {ok: true, targets: resolved.targets, client};
}

/**
 * Resolves the entry VMs selected by the flags; prints the reason on failure.
 * @param flags - Flags of the command.
 * @param host - Host of the command.
 */
export async function findTargets(flags: EntryVmFlags, host: CliHost): Promise<FoundTargets> {
	const addresses = getFlagOrVariable(flags.operatorAddresses, 'ENDIVEMILL_OPERATOR_ADDRESSES', host);
	if (addresses !== undefined) {
		return {ok: true, targets: addresses.split(',').map(operatorAddress => ({name: operatorAddress, operatorAddress}))};
	}

	const opened = openPlatform(flags, host);
	if (opened === undefined) {
		return {ok: false, exitCode: exitCodes.invalid};
	}

	const range = await opened.platform.getRange(getVmPrefix(opened.deployment));
	await opened.platform.close();
	if (!range.ok) {
		return {ok: false, exitCode: printResult(host, flags.json, createFaultResult(range))};
	}

	const targets = range.value.entries.flatMap(({value}) => getTarget(value) ?? []);
	return {ok: true, targets};
}

function getTarget(value: string): EntryVmTarget | undefined {
	const vm = parseListedVm(value);
	return vm?.kind === 'entry' ? {name: `${vm.dataCenter}/${vm.name}`, operatorAddress: vm.operatorAddress, listed: vm} : undefined;
}
