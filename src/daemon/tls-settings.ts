/**
 * TLS of the three listening addresses, from the settings.
 */
import type Logger from 'bunyan';
import {createTlsStore, findTlsFault, type TlsStore} from '../connection/index.js';
import {type EntryVmTls} from '../process/index.js';
import {type SettingName, describeSettings} from './setting-table.js';
import {type Settings, type SettingValues} from './settings.js';

/** The listening addresses. */
export const listenerNames = ['caller', 'operator', 'peer'] as const;

/** One of the listening addresses. */
export type ListenerName = (typeof listenerNames)[number];

/**
 * Gets the names of the settings that turn TLS on for an address.
 * @param door - Listening address.
 */
export function getTlsNames<D extends ListenerName>(door: D) {
	return {cert: `${door}TlsCertFile`, key: `${door}TlsKeyFile`, ca: `${door}TlsCaFile`} as const;
}

/**
 * Finds certificates and keys that cannot be used; one line a fault.
 * @param values - Settings that fit together.
 * @param readFile - Reads a file as text; throws when it cannot.
 */
export function findTlsFaults(values: Partial<SettingValues>, readFile: (path: string) => string): readonly string[] {
	return listenerNames.flatMap(door => {
		const fault = findDoorFault(values, door, readFile);
		return fault === undefined ? [] : [`${describeSettings(...Object.values(getTlsNames(door)))}: ${fault}`];
	});
}

/**
 * Creates the stores of certificates that the settings ask for.
 * @param settings - Settings of the daemon.
 * @param log - Log of the daemon.
 */
export async function createTlsStores(settings: Settings, log: Logger): Promise<EntryVmTls> {
	const [caller, operator, peer] = await Promise.all(listenerNames.map(async door => createDoorStore(settings, door, log)));
	return {caller, operator, peer};
}

async function createDoorStore(settings: Settings, door: ListenerName, log: Logger): Promise<TlsStore | undefined> {
	const names = getTlsNames(door);
	const certFile = settings[names.cert];
	const keyFile = settings[names.key];
	if (certFile === undefined || keyFile === undefined) {
		return undefined;
	}

	return createTlsStore({files: {certFile, keyFile, caFile: settings[names.ca]}, log});
}

function findDoorFault(values: Partial<SettingValues>, door: ListenerName, readFile: (path: string) => string): string | undefined {
	const names = getTlsNames(door);
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
