/**
 * Checks of settings against each other.
 */
import {type SettingName, describeSettings} from './setting-table.js';
import {type SettingValues} from './settings.js';
import {listenerNames, getTlsNames} from './tls-settings.js';

/**
 * Finds settings that do not fit together; one line a fault.
 * @param values - Values that were read.
 * @param given - Settings that have a text, right or wrong.
 */
export function findConflicts(values: Partial<SettingValues>, given: ReadonlySet<SettingName>): readonly string[] {
	return [
		...findPeerKeyConflict(given),
		...findWildcard(values),
		...findSharedAddress(values),
		...listenerNames.flatMap(door => findTlsConflicts(given, door)),
	];
}

function findPeerKeyConflict(given: ReadonlySet<SettingName>): readonly string[] {
	if (!given.has('peerKey') && !given.has('peerKeyFile')) {
		return [`${describeSettings('peerKey', 'peerKeyFile')}: one of them is required`];
	}

	if (given.has('peerKey') && given.has('peerKeyFile')) {
		return [`${describeSettings('peerKey', 'peerKeyFile')}: only one of them may be given`];
	}

	return [];
}

function findWildcard(values: Partial<SettingValues>): readonly string[] {
	const isWildcard = values.peerAddress !== undefined && /^(?:0\.0\.0\.0|\[[0:]+\]):/v.test(values.peerAddress);
	return isWildcard ? [`${describeSettings('peerAddress')}: expected an address that peers can connect to, not a wildcard`] : [];
}

function findSharedAddress(values: Partial<SettingValues>): readonly string[] {
	const names = ['callerAddress', 'operatorAddress', 'peerAddress'] as const;
	const faults: string[] = [];
	for (const [index, name] of names.entries()) {
		const address = values[name];
		const other = names.slice(0, index).find(earlier => values[earlier] === address);
		if (address !== undefined && other !== undefined && !address.endsWith(':0')) {
			faults.push(`${describeSettings(other, name)}: must differ, both are ${address}`);
		}
	}

	return faults;
}

function findTlsConflicts(given: ReadonlySet<SettingName>, door: (typeof listenerNames)[number]): readonly string[] {
	const names = getTlsNames(door);
	const hasCert = given.has(names.cert);
	const hasKey = given.has(names.key);
	const hasCa = given.has(names.ca);
	if (hasCert !== hasKey) {
		return [`${describeSettings(names.cert, names.key)}: both or none are required`];
	}

	if (hasCa && !hasCert) {
		return [`${describeSettings(names.ca)}: needs ${describeSettings(names.cert, names.key)} as well`];
	}

	if (door === 'peer' && hasCert && !hasCa) {
		return [`${describeSettings(names.ca)}: required with TLS between peers`];
	}

	return [];
}
