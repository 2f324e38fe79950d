/**
 * Creates the TLS stores of the three listeners from the settings.
 */
import type Logger from 'bunyan';
import {createTlsStore, findTlsFault, type TlsStore} from '../connection/index.js';
import {type EntryVmTls} from '../process/index.js';
import {type SettingName, describeSettings} from './setting-table.js';
import {type Settings, type SettingValues} from './settings.js';

/** Names of the listeners. */
export const listenerNames = ['caller', 'operator', 'peer'] as const;

/** Name of a listener. */
export type ListenerName = (typeof listenerNames)[number];

/**
 * Gets the names of the settings that configure TLS for a listener.
 * @param listener - Name of the listener.
 */
export function getTlsNames<D extends ListenerName>(listener: D) {
	return {cert: `${listener}TlsCertFile`, key: `${listener}TlsKeyFile`, ca: `${listener}TlsCaFile`} as const;
}

/**
 * Finds unusable certificates and keys; one line for each.
 * @param values - Settings without conflicts.
 * @param readFile - Reads a file as text; throws on failure.
 */
export function findTlsFaults(values: Partial<SettingValues>, readFile: (path: string) => string): readonly string[] {
	return listenerNames.flatMap(listener => {
		const fault = findListenerFault(values, listener, readFile);
		return fault === undefined ? [] : [`${describeSettings(...Object.values(getTlsNames(listener)))}: ${fault}`];
	});
}

/**
 * Creates the TLS stores; a listener without certificate gets none.
 * @param settings - Settings of the daemon.
 * @param log - Logger of the daemon.
 */
export async function createTlsStores(settings: Settings, log: Logger): Promise<EntryVmTls> {
	const [caller, operator, peer] = await Promise.all(listenerNames.map(async listener => createListenerStore(settings, listener, log)));
	return {caller, operator, peer};
}

async function createListenerStore(settings: Settings, listener: ListenerName, log: Logger): Promise<TlsStore | undefined> {
	const names = getTlsNames(listener);
	const certFile = settings[names.cert];
	const keyFile = settings[names.key];
	if (certFile === undefined || keyFile === undefined) {
		return undefined;
	}

	return createTlsStore({files: {certFile, keyFile, caFile: settings[names.ca]}, log});
}

function findListenerFault(values: Partial<SettingValues>, listener: ListenerName, readFile: (path: string) => string): string | undefined {
	const names = getTlsNames(listener);
	const certFile = values[names.cert];
	const keyFile = values[names.key];
	const caFile = values[names.ca];
	if (certFile === undefined || keyFile === undefined) {
		return undefined;
	}

	try {
		return findTlsFault({cert: readFile(certFile), key: readFile(keyFile), ca: caFile === undefined ? undefined : readFile(caFile)});
	} catch (err) {
		return (err as Error).message;
	}
}
