/**
 * Finds one kept version for a command.
 */
import {type Configuration} from '../version/index.js';
import {type ConfigurationStore} from './configuration-store.js';
import {exitCodes} from './exit-codes.js';
import {type CommandResult, createFaultResult} from './output.js';

/** A kept version, or the result to print when it was not found. */
export type FoundVersion =
	| {readonly ok: true; readonly configuration: Configuration}
	| {readonly ok: false; readonly result: CommandResult};

/**
 * Finds a kept version by its number.
 * @param store - Configuration store.
 * @param numberText - Version number as given on the command line.
 */
export async function findVersion(store: ConfigurationStore, numberText: string): Promise<FoundVersion> {
	if (!/^\d{1,15}$/v.test(numberText)) {
		return {ok: false, result: {exitCode: exitCodes.invalid, json: {outcome: 'invalid'}, error: `'${numberText}' is not a version number`}};
	}

	const history = await store.getHistory();
	if (!history.ok) {
		return {ok: false, result: createFaultResult(history)};
	}

	const configuration = history.value.find(({version}) => version === Number(numberText));
	if (configuration) {
		return {ok: true, configuration};
	}

	const kept = history.value.map(({version}) => version);
	const detail = kept.length > 0 ? `kept are ${kept.at(-1)} to ${kept[0]}` : 'no version has been accepted yet';
	return {ok: false, result: {exitCode: exitCodes.notFound, json: {outcome: 'not-found', kept}, error: `version ${numberText} is not kept; ${detail}`}};
}
