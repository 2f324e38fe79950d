/**
 * A platform with constant content, whose calls have negligible cost.
 */
import {
	just, merge, never, type Stream,
} from 'most';
import {
	getConfigurationKey, getVmPrefix, type KeyValue, type ListedVm, type Platform, type WatchEvent,
} from '../../src/platform/index.js';
import {configurationSchema} from '../../src/version/index.js';

const revision = 1;

/**
 * Creates a platform that lists VMs and holds one configuration.
 * @param deployment - Name of the deployment.
 * @param vms - VMs to list.
 * @param declarations - Declarations of the configuration.
 */
export function createFixedPlatform(deployment: string, vms: readonly ListedVm[], declarations: unknown): Platform {
	const configuration = configurationSchema.parse({version: 1, changeId: 'fixed', declarations});
	const entries: readonly KeyValue[] = [
		{key: getConfigurationKey(deployment), value: JSON.stringify(configuration), modRevision: revision},
		...vms.map(vm => ({key: `${getVmPrefix(deployment)}${vm.dataCenter}/${vm.name}`, value: JSON.stringify(vm), modRevision: revision})),
	];
	const getEntriesWithPrefix = (prefix: string) => entries.filter(({key}) => key.startsWith(prefix));
	let calls = 0;
	return {
		async getKey(key) {
			calls++;
			return {ok: true, value: entries.find(entry => entry.key === key)};
		},
		async getRange(prefix) {
			calls++;
			return {ok: true, value: {revision, entries: getEntriesWithPrefix(prefix)}};
		},
		async getDigest(prefix) {
			calls++;
			const matchingEntries = getEntriesWithPrefix(prefix);
			return {ok: true, value: {revision, count: matchingEntries.length, newestModRevision: matchingEntries.length === 0 ? 0 : revision}};
		},
		async compareAndSwap() {
			return {ok: false, reason: 'unavailable', detail: 'the content is fixed'};
		},
		watch: () => merge(just<WatchEvent>({kind: 'up'}), never() as Stream<WatchEvent>),
		getCallCount: () => calls,
		async close() {/* There is nothing to release. */},
	};
}
