/**
 * Looks up one kept version for a command.
 */
import {type Configuration} from '../version/index.js';
import {type ConfigurationStore} from './configuration-store.js';
import {exitCodes} from './exit-codes.js';
import {type CommandResult, createFaultResult} from './output.js';

/** A kept version, or what to print in its place. */
export type FoundVersion =
	| {readonly ok: true; readonly configuration: Configuration}
	| {readonly ok: false; readonly result: CommandResult};

/**
 * Finds a kept version by its number.
 * @param store - Store of the versions.
 * @param wanted - Number as typed.
 */
export async function findVersion(store: ConfigurationStore, wanted: string): Promise<FoundVersion> {
	if (!/^\d{1,15}$/v.test(wanted)) {
		return {ok: false, result: {exitCode: exitCodes.invalid, json: {outcome: 'invalid'}, error: `'${wanted}' is no version number`}};
	}

	const history = await store.getHistory();
	if (!history.ok) {
		return {ok: false, result: createFaultResult(history)};
	}

	const configuration = history.value.find(({version}) => version === Number(wanted));
	if (configuration) {
		return {ok: true, configuration};
	}

	const kept = history.value.map(({version}) => version);
	const detail = kept.length > 0 ? `kept are ${kept.at(-1)} to ${kept[0]}` : 'none was accepted yet';
	return {ok: false, result: {exitCode: exitCodes.notFound, json: {outcome: 'not-found', kept}, error: `version ${wanted} is not kept; ${detail}`}};
}
