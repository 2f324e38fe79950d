/**
 * Steps shared by `apply` and `rollback`: writes a change, then waits until it is in force on every entry VM.
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

/** The change that a command proposes. */
export type ProposedChange = {
	readonly base: StoredConfiguration;
	readonly declarations: Declarations;
	/** Message of the change when `--message` is absent. */
	readonly defaultMessage: string;
};

type ChangeContext = WaitContext & {
	readonly flags: ChangeFlags;
};

const defaultWaitMs = 10_000;

/**
 * Adds the flags of commands that change the configuration.
 * @param command - Command to change.
 */
export function addChangeFlags(command: Command): Command {
	command
		.option('--message <text>', 'reason for the change')
		.option('--author <name>', 'author of the change (ENDIVEMILL_AUTHOR; default: the user)')
		.option('--wait-ms <milliseconds>', 'time limit for the version to be in force on every entry VM; 0: do not wait', parseCount, defaultWaitMs)
		.option('--expect-version <number>', 'refuse the change unless this is the current version', parseCount)
		.option('--min-version <number>', 'minimum number of the new version, for use after the platform\'s store has lost versions', parseCount)
		.option('--dry-run', 'show the difference and write nothing');
	return addJsonFlag(addOperatorFlags(addPlatformFlags(command)));
}

/**
 * Creates the configuration store of a deployment.
 * @param host - Host of the command.
 * @param opened - Platform and deployment of the command.
 */
export function createStore(host: CliHost, {platform, deployment}: OpenedPlatform): ConfigurationStore {
	return new ConfigurationStore({
		platform, deployment, clock: host.clock, random: host.random,
	});
}

/**
 * Writes a change, waits until it is in force and prints the result; returns the exit code.
 * @param host - Host of the command.
 * @param flags - Flags of the command.
 * @param opened - Platform and deployment of the command.
 * @param proposal - Change to write.
 */
export async function runChange(host: CliHost, flags: ChangeFlags, opened: OpenedPlatform, proposal: ProposedChange): Promise<ExitCode> {
	const changes = diffDeclarations(proposal.base.configuration.declarations, proposal.declarations);
	if (!flags.json) {
		host.writeOut(formatChanges(changes, host.isTerminal));
	}

	const refusal = checkExpectedVersion(flags, proposal);
	if (refusal) {
		return printResult(host, flags.json, refusal);
	}

	if (flags.dryRun) {
		return printResult(host, flags.json, createDryRunResult(flags, proposal, changes));
	}

	const client = await openOperatorClient(flags, host);
	if (!client) {
		return exitCodes.invalid;
	}

	const context: ChangeContext = {
		host, flags, opened, client, store: createStore(host, opened),
	};
	const isNew = changes.length > 0 || getNextVersion(flags, proposal) > proposal.base.configuration.version + 1;
	const result = isNew ? await writeAndWait(context, proposal, changes) : await waitUnchanged(context, proposal);
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
		error: `refused, nothing was written: expected version ${expectVersion}, but the current one is ${describeVersion(base.configuration)}`,
	};
}

function getNextVersion({minVersion = 0}: ChangeFlags, {base}: ProposedChange): number {
	return Math.max(base.configuration.version + 1, minVersion);
}

function createDryRunResult(flags: ChangeFlags, proposal: ProposedChange, changes: readonly unknown[]): CommandResult {
	const {version} = proposal.base.configuration;
	return {
		exitCode: exitCodes.success,
		json: {outcome: 'dry-run', version, changes},
		text: changes.length === 0 ? `no difference from version ${version}` : `dry run: this would become version ${getNextVersion(flags, proposal)}`,
	};
}

async function waitUnchanged(context: ChangeContext, {base}: ProposedChange): Promise<CommandResult> {
	const {configuration} = base;
	return waitForResult(context, configuration.version, {outcome: 'unchanged', ...getVersionSummary(configuration)}, `no difference; version ${configuration.version} stays`);
}

async function writeAndWait(context: ChangeContext, proposal: ProposedChange, changes: readonly unknown[]): Promise<CommandResult> {
	const {flags, host, store} = context;
	const outcome = await store.applyChange({
		base: proposal.base,
		declarations: proposal.declarations,
		author: getFlagOrVariable(flags.author, 'ENDIVEMILL_AUTHOR', host) ?? host.userName,
		message: flags.message ?? proposal.defaultMessage,
		version: getNextVersion(flags, proposal),
	});
	if (outcome.kind !== 'accepted') {
		return createOutcomeResult(outcome, proposal);
	}

	const {configuration} = outcome;
	return waitForResult(context, configuration.version, {outcome: 'accepted', ...getVersionSummary(configuration), changes}, `accepted as version ${configuration.version}`);
}

function createOutcomeResult(outcome: Exclude<ChangeOutcome, {kind: 'accepted'}>, {base}: ProposedChange): CommandResult {
	switch (outcome.kind) {
		case 'replaced': {
			return {
				exitCode: exitCodes.success,
				json: {outcome: 'replaced', ...getVersionSummary(outcome.configuration), current: getVersionSummary(outcome.current)},
				text: `accepted as version ${outcome.configuration.version}, and since replaced by ${describeVersion(outcome.current)}`,
			};
		}

		case 'refused': {
			return {
				exitCode: exitCodes.refused,
				json: {outcome: 'refused', base: getVersionSummary(base.configuration), current: getVersionSummary(outcome.current)},
				error: `refused, nothing was written: your change is based on ${describeVersion(base.configuration)}, but ${describeVersion(outcome.current)} was accepted first`,
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
