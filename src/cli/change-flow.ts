/**
 * The part that `apply` and `rollback` share: write a change, then wait until it is in force everywhere.
 */
import {type Command} from 'commander';
import {type Declarations, diffDeclarations} from '../version/index.js';
import {type CliHost} from './cli-host.js';
import {
	addJsonFlag, addOperatorFlags, addPlatformFlags, getFlagOrVariable, type JsonFlag, type OpenedPlatform, type OperatorFlags, parseCount, type PlatformFlags,
} from './cli-options.js';
import {type ChangeOutcome, ConfigurationStore, type StoredConfiguration} from './configuration-store.js';
import {type ExitCode, exitCodes} from './exit-codes.js';
import {formatChanges} from './format-changes.js';
import {openOperatorClient} from './operator-client.js';
import {
	type CommandResult, describeVersion, getVersionSummary, printResult,
} from './output.js';
import {waitForResult, type WaitContext} from './wait-result.js';

/** Flags of commands that change the configuration. */
export type ChangeFlags = PlatformFlags & OperatorFlags & JsonFlag & {
	readonly message?: string;
	readonly author?: string;
	readonly waitMs: number;
	readonly dryRun?: boolean;
	readonly expectVersion?: number;
	readonly minVersion?: number;
};

/** What a command wants to change. */
export type ProposedChange = {
	readonly base: StoredConfiguration;
	readonly declarations: Declarations;
	/** Message when the flag gives none. */
	readonly defaultMessage: string;
};

type ChangeParts = WaitContext & {
	readonly flags: ChangeFlags;
};

const defaultWaitMs = 10_000;

/**
 * Adds the flags of commands that change the configuration.
 * @param command - Command to change.
 */
export function addChangeFlags(command: Command): Command {
	command
		.option('--message <text>', 'why the change is made')
		.option('--author <name>', 'who makes the change (ENDIVEMILL_AUTHOR; default: the user)')
		.option('--wait-ms <milliseconds>', 'time limit for the version to be in force everywhere; 0: do not wait', parseCount, defaultWaitMs)
		.option('--expect-version <number>', 'refuse the change if another version is the present one', parseCount)
		.option('--min-version <number>', 'lowest number of the new version, after the platform\'s store has lost versions', parseCount)
		.option('--dry-run', 'show the difference and write nothing');
	return addJsonFlag(addOperatorFlags(addPlatformFlags(command)));
}

/**
 * Creates the store that the flags name.
 * @param host - Host of the command.
 * @param opened - Platform of the command.
 */
export function createStore(host: CliHost, {platform, deployment}: OpenedPlatform): ConfigurationStore {
	return new ConfigurationStore({
		platform, deployment, clock: host.clock, random: host.random,
	});
}

/**
 * Writes a change and waits for it; prints the result and gets the exit code.
 * @param host - Host of the command.
 * @param flags - Flags of the command.
 * @param opened - Platform of the command.
 * @param wanted - Change to make.
 */
export async function runChange(host: CliHost, flags: ChangeFlags, opened: OpenedPlatform, wanted: ProposedChange): Promise<ExitCode> {
	const changes = diffDeclarations(wanted.base.configuration.declarations, wanted.declarations);
	if (!flags.json) {
		host.writeOut(formatChanges(changes, host.isTerminal));
	}

	const refusal = checkExpectedVersion(flags, wanted);
	if (refusal) {
		return printResult(host, flags.json, refusal);
	}

	if (flags.dryRun) {
		return printResult(host, flags.json, createDryRunResult(flags, wanted, changes));
	}

	const client = await openOperatorClient(flags, host);
	if (!client) {
		return exitCodes.invalid;
	}

	const parts: ChangeParts = {
		host, flags, opened, client, store: createStore(host, opened),
	};
	const isNew = changes.length > 0 || getNextVersion(flags, wanted) > wanted.base.configuration.version + 1;
	const result = isNew ? await writeAndWait(parts, wanted, changes) : await waitUnchanged(parts, wanted);
	await client.close();
	return printResult(host, flags.json, result);
}

function checkExpectedVersion({expectVersion}: ChangeFlags, {base}: ProposedChange): CommandResult | undefined {
	if (expectVersion === undefined || expectVersion === base.configuration.version) {
		return undefined;
	}

	return {
		exitCode: exitCodes.refused,
		json: {outcome: 'refused', expectedVersion: expectVersion, current: getVersionSummary(base.configuration)},
		error: `refused, nothing was written: expected version ${expectVersion}, but the present one is ${describeVersion(base.configuration)}`,
	};
}

function getNextVersion({minVersion = 0}: ChangeFlags, {base}: ProposedChange): number {
	return Math.max(base.configuration.version + 1, minVersion);
}

function createDryRunResult(flags: ChangeFlags, wanted: ProposedChange, changes: readonly unknown[]): CommandResult {
	const {version} = wanted.base.configuration;
	return {
		exitCode: exitCodes.success,
		json: {outcome: 'dry-run', version, changes},
		text: changes.length === 0 ? `no difference from version ${version}` : `dry run: this would become version ${getNextVersion(flags, wanted)}`,
	};
}

async function waitUnchanged(parts: ChangeParts, {base}: ProposedChange): Promise<CommandResult> {
	const {configuration} = base;
	return waitForResult(parts, configuration.version, {outcome: 'unchanged', ...getVersionSummary(configuration)}, `no difference; version ${configuration.version} stays`);
}

async function writeAndWait(parts: ChangeParts, wanted: ProposedChange, changes: readonly unknown[]): Promise<CommandResult> {
	const {flags, host, store} = parts;
	const outcome = await store.applyChange({
		base: wanted.base,
		declarations: wanted.declarations,
		author: getFlagOrVariable(flags.author, 'ENDIVEMILL_AUTHOR', host) ?? host.userName,
		message: flags.message ?? wanted.defaultMessage,
		version: getNextVersion(flags, wanted),
	});
	if (outcome.kind !== 'accepted') {
		return createOutcomeResult(outcome, wanted);
	}

	const {configuration} = outcome;
	return waitForResult(parts, configuration.version, {outcome: 'accepted', ...getVersionSummary(configuration), changes}, `accepted as version ${configuration.version}`);
}

function createOutcomeResult(outcome: Exclude<ChangeOutcome, {kind: 'accepted'}>, {base}: ProposedChange): CommandResult {
	switch (outcome.kind) {
		case 'replaced': {
			return {
				exitCode: exitCodes.success,
				json: {outcome: 'replaced', ...getVersionSummary(outcome.configuration), current: getVersionSummary(outcome.current)},
				text: `accepted as version ${outcome.configuration.version}, and replaced since by ${describeVersion(outcome.current)}`,
			};
		}

		case 'refused': {
			return {
				exitCode: exitCodes.refused,
				json: {outcome: 'refused', base: getVersionSummary(base.configuration), current: getVersionSummary(outcome.current)},
				error: `refused, nothing was written: your change was made from ${describeVersion(base.configuration)}, but ${describeVersion(outcome.current)} was accepted first`,
			};
		}

		case 'invalid': {
			return {
				exitCode: exitCodes.invalid,
				json: {outcome: 'invalid', detail: outcome.detail},
				error: `nothing was written: ${outcome.detail}`,
			};
		}

		case 'unavailable': {
			return {
				exitCode: exitCodes.unavailable,
				json: {outcome: 'unavailable', detail: outcome.detail},
				error: `nothing was written: ${outcome.detail}`,
			};
		}

		case 'unknown': {
			return {
				exitCode: exitCodes.unknown,
				json: {outcome: 'unknown', changeId: outcome.changeId, detail: outcome.detail},
				error: `the answer of the platform was lost (${outcome.detail}); 'endivemill history' shows change ${outcome.changeId} if it was accepted`,
			};
		}
	}
}
