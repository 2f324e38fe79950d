/**
 * Checks settings against each other.
 */
import {type SettingName, describeSettings} from './setting-table.js';
import {type SettingValues} from './settings.js';
import {listenerNames, getTlsNames} from './tls-settings.js';

/**
 * Finds conflicts between settings; one line for each.
 * @param values - Parsed values.
 * @param provided - Settings that were given a value, valid or not.
 */
export function findConflicts(values: Partial<SettingValues>, provided: ReadonlySet<SettingName>): readonly string[] {
	return [
		...findPeerKeyConflict(provided),
		...findWildcardPeerAddress(values),
		...findDuplicateAddresses(values),
		...listenerNames.flatMap(listener => findTlsConflicts(provided, listener)),
	];
}

function findPeerKeyConflict(provided: ReadonlySet<SettingName>): readonly string[] {
	if (!provided.has('peerKey') && !provided.has('peerKeyFile')) {
		return [`${describeSettings('peerKey', 'peerKeyFile')}: one of them is required`];
	}

	if (provided.has('peerKey') && provided.has('peerKeyFile')) {
		return [`${describeSettings('peerKey', 'peerKeyFile')}: only one of them may be given`];
	}

	return [];
}

function findWildcardPeerAddress(values: Partial<SettingValues>): readonly string[] {
	const isWildcard = values.peerAddress !== undefined && /^(?:0\.0\.0\.0|\[[0:]+\]):/v.test(values.peerAddress);
	return isWildcard ? [`${describeSettings('peerAddress')}: expected an address that peers can connect to, not a wildcard`] : [];
}

function findDuplicateAddresses(values: Partial<SettingValues>): readonly string[] {
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

function findTlsConflicts(provided: ReadonlySet<SettingName>, listener: (typeof listenerNames)[number]): readonly string[] {
	const names = getTlsNames(listener);
	const hasCert = provided.has(names.cert);
	const hasKey = provided.has(names.key);
	const hasCa = provided.has(names.ca);
	if (hasCert !== hasKey) {
		return [`${describeSettings(names.cert, names.key)}: both or none are required`];
	}

	if (hasCa && !hasCert) {
		return [`${describeSettings(names.ca)}: needs ${describeSettings(names.cert, names.key)} as well`];
	}

	if (listener === 'peer' && hasCert && !hasCa) {
		return [`${describeSettings(names.ca)}: required with TLS between peers`];
	}

	return [];
}
