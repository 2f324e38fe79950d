import {type Stream} from 'most';
import {
	createEtcdPlatform, getConfigurationKey, type ListedEntryVm, type ListedUpstream, type Platform,
} from '../../src/platform/index.js';
import {createPlatformStandIn, type PlatformStandIn} from '../../src/testing/index.js';
import {type Configuration, configurationSchema} from '../../src/version/index.js';
import {loopbackHost} from '../support/loopback-host.js';
import {createSlowClock} from '../support/slow-clock.js';

export type FollowerFixture = {
	readonly standIn: PlatformStandIn;
	readonly platform: Platform;
};

/** Slowdown of the client's clock: a call may take 6 s, also on a busy machine, and retries still follow each other quickly. */
const clockFactor = 20;

/** Starts a platform stand-in, and a client for it with short retry delays. */
export async function startPlatform(t: {readonly teardown: (clean: () => Promise<void>) => void}): Promise<FollowerFixture> {
	const standIn = await createPlatformStandIn({host: loopbackHost});
	const platform = createEtcdPlatform({
		endpoints: [standIn.getUrl()], clock: createSlowClock(clockFactor), callTimeoutMs: 300, firstBackoffMs: 0.25, maxBackoffMs: 1, callsPerSecond: 20_000,
	});
	t.teardown(async () => {
		await platform.close();
		await standIn.close();
	});
	return {standIn, platform};
}

/** Waits for the first value of a stream that fulfils a predicate. */
export async function waitFor<T>(stream: Stream<T>, predicate: (value: T) => boolean): Promise<T> {
	const values: T[] = [];
	await stream.filter(value => predicate(value)).take(1).observe(value => {
		values.push(value);
	});
	return values[0]!;
}

export function createConfiguration(version: number): Configuration {
	return configurationSchema.parse({
		version, changeId: `change-${version}`, declarations: {profiles: {fast: {}}, services: {seats: {profile: 'fast'}}},
	});
}

export function storeConfiguration(standIn: PlatformStandIn, version: number): number {
	return standIn.putKey(getConfigurationKey('test'), JSON.stringify(createConfiguration(version)));
}

export function createEntryVm(name: string): ListedEntryVm {
	return {
		kind: 'entry', name, dataCenter: 'shanti', state: 'live', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:2', peerAddress: '127.0.0.1:3',
	};
}

export function createUpstream(name: string): ListedUpstream {
	return {
		kind: 'upstream', name, dataCenter: 'shanti', state: 'live', service: 'seats', address: '127.0.0.1:4', slots: 8, connections: 64,
		cores: 16, memoryMb: 32_000, accelerators: 0, rack: 'r1',
	};
}
