/**
 * Waits for an accepted version and creates the result that reports its progress.
 */
import {type CliHost} from './cli-host.js';
import {type OpenedPlatform} from './cli-options.js';
import {type ConfigurationStore} from './configuration-store.js';
import {exitCodes} from './exit-codes.js';
import {type OperatorClient} from './operator-client.js';
import {type CommandResult} from './output.js';
import {
	type EntryVmVersion, type VersionProgress, versionStatusSchema, waitForVersion,
} from './version-wait.js';

/** Objects of the command that the wait uses. */
export type WaitContext = {
	readonly host: CliHost;
	readonly flags: {readonly waitMs: number; readonly json?: boolean};
	readonly opened: OpenedPlatform;
	readonly store: ConfigurationStore;
	readonly client: OperatorClient;
};

/**
 * Waits until a version is in force on every live entry VM or the time limit is reached.
 * @param context - Host, flags, platform, store and client of the command.
 * @param version - Version that was accepted.
 * @param json - JSON value of the result so far.
 * @param text - Text of the result so far.
 */
export async function waitForResult(context: WaitContext, version: number, json: Record<string, unknown>, text: string): Promise<CommandResult> {
	const {flags, host, opened, client} = context;
	if (flags.waitMs === 0) {
		return {exitCode: exitCodes.success, json, text};
	}

	const progress = await waitForVersion({
		...opened,
		version,
		timeoutMs: flags.waitMs,
		clock: host.clock,
		async fetchVersion({operatorAddress}) {
			const answer = await client.getJson(operatorAddress, '/v1/status', versionStatusSchema);
			return answer.ok ? {ok: true, value: answer.value.configurationVersion} : answer;
		},
		onProgress: createProgressPrinter(host, flags.json, version),
	});
	const error = describeLagging(progress, version) ?? await describeAhead(context.store, progress);
	const {inForce, lagging, ahead, isListKnown} = progress;
	const fullJson = {
		...json, inForce, lagging, ahead, isListKnown,
	};
	return error === undefined
		? {exitCode: exitCodes.success, json: fullJson, text: `${text}; in force on all ${inForce} live entry VMs`}
		: {
			exitCode: exitCodes.notInForce, json: fullJson, text, error,
		};
}

function createProgressPrinter(host: CliHost, isJson: boolean | undefined, version: number): (progress: VersionProgress) => void {
	let lastLine = '';
	return ({inForce, lagging}) => {
		const line = `version ${version} in force on ${inForce} of ${inForce + lagging.length} entry VMs\n`;
		if (!isJson && line !== lastLine) {
			host.writeErr(line);
		}

		lastLine = line;
	};
}

function describeLagging({lagging, isListKnown}: VersionProgress, version: number): string | undefined {
	if (!isListKnown) {
		return `it is unknown whether version ${version} is in force: the list of entry VMs cannot be read`;
	}

	return lagging.length === 0 ? undefined : `version ${version} is not in force yet on:\n${formatVms(lagging)}`;
}

/** A version above the stored one means that the store has lost versions, as entry VMs never return to a lower version. */
async function describeAhead(store: ConfigurationStore, {ahead}: VersionProgress): Promise<string | undefined> {
	if (ahead.length === 0) {
		return undefined;
	}

	const current = await store.getCurrent();
	const stored = current.ok ? current.value.configuration.version : 0;
	const aheadOfStore = ahead.filter(vm => (vm.version ?? 0) > stored);
	if (aheadOfStore.length === 0) {
		return undefined;
	}

	const nextVersion = Math.max(...aheadOfStore.map(vm => vm.version ?? 0)) + 1;
	return `the platform's store has lost versions; apply again with --min-version ${nextVersion}. Higher versions are in force on:\n${formatVms(aheadOfStore)}`;
}

function formatVms(vms: readonly EntryVmVersion[]): string {
	return vms
		.map(vm => `  ${vm.dataCenter}/${vm.name}: ${vm.version === undefined ? `no answer (${vm.detail})` : `version ${vm.version}`}`)
		.join('\n');
}
