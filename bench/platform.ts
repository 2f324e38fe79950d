/**
 * Measures calls to the platform by fleet size, the time until a version is in force on all followers, and recovery after an outage.
 */
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {getConfigurationKey, getVmPrefix, createEtcdPlatform} from '../src/platform/index.js';
import {encode} from '../src/platform/etcd-messages.js';
import {createConfigurationFollower, createVmListFollower, type ConfigurationFollower} from '../src/process/index.js';
import {createPlatformStandIn, type PlatformStandIn} from '../src/testing/index.js';
import {configurationSchema} from '../src/version/index.js';
import {writeResults} from './support/results.js';

const fleetSizes = [7, 14, 28, 56];
const upstreamsPerEntryVm = 5;
const settleMs = 3000;
const steadyMs = 20_000;
const changesPerMeasurement = 10;
const outageMs = 5000;
const sampleMs = 100;
const samplesPerSecond = 10;

type Fleet = {
	readonly standIn: PlatformStandIn;
	readonly followers: readonly ConfigurationFollower[];
	close(): Promise<void>;
};

type Times = {
	readonly medianMs: number;
	readonly maxMs: number;
};

/** Runs the measurement. */
export async function run(): Promise<void> {
	const results: Array<Record<string, unknown>> = [];
	for (const size of fleetSizes) {
		results.push(await measureFleet(size));
		process.stdout.write(`${JSON.stringify(results.at(-1))}\n`);
	}

	const pollBytes = await measurePollBytes();
	process.stdout.write(`${JSON.stringify(pollBytes)}\n`);
	await writeResults('platform', {fleets: results, pollBytes});
}

async function measureFleet(size: number): Promise<Record<string, unknown>> {
	const fleet = await startFleet(size);
	await wait(settleMs);
	const startCalls = fleet.standIn.getCallCount();
	await wait(steadyMs);
	const callsPerSecond = (fleet.standIn.getCallCount() - startCalls) / (steadyMs / 1000);
	const byWatch = await measureChanges(fleet, 1, () => undefined);
	const bySilentWatch = await measureChanges(fleet, 1 + changesPerMeasurement, () => {
		fleet.standIn.silenceConnections();
	});
	const outage = await measureOutage(fleet, 1 + (2 * changesPerMeasurement));
	await fleet.close();
	return {
		entryVms: size, callsPerSecond, callsPerSecondPerVm: callsPerSecond / size, inForceByWatch: byWatch, inForceWithSilentConnections: bySilentWatch, outage,
	};
}

async function startFleet(size: number): Promise<Fleet> {
	const standIn = await createPlatformStandIn({deployment: 'bench'});
	addUpstreams(standIn, size * upstreamsPerEntryVm);
	const followerSets = Array.from({length: size}, () => {
		const platform = createEtcdPlatform({endpoints: [standIn.getUrl()]});
		const options = {platform, deployment: 'bench'};
		return {platform, configuration: createConfigurationFollower(options), vmList: createVmListFollower(options)};
	});
	return {
		standIn,
		followers: followerSets.map(({configuration}) => configuration),
		async close() {
			for (const {configuration, vmList, platform} of followerSets) {
				configuration.close();
				vmList.close();
				await platform.close();
			}

			await standIn.close();
		},
	};
}

function addUpstreams(standIn: PlatformStandIn, count: number): void {
	for (let index = 0; index < count; index++) {
		standIn.addVm({
			kind: 'upstream', name: `upstream-${index}`, dataCenter: 'kolkata', state: 'live', service: 'seats', address: '127.0.0.1:1',
			slots: 8, connections: 64, cores: 16, memoryMb: 32_000, accelerators: 0, rack: `rack-${index % 8}`,
		});
	}
}

async function measureChanges(fleet: Fleet, firstVersion: number, prepare: () => void): Promise<Times> {
	const times: number[] = [];
	for (let version = firstVersion; version < firstVersion + changesPerMeasurement; version++) {
		prepare();
		times.push(await measureInForce(fleet, version));
	}

	times.sort((left, right) => left - right);
	return {medianMs: Math.round(times[Math.floor(times.length / 2)]!), maxMs: Math.round(times.at(-1)!)};
}

/** Stores a version and gets the time until every follower has it. */
async function measureInForce({standIn, followers}: Fleet, version: number): Promise<number> {
	const start = performance.now();
	const configuration = configurationSchema.parse({version, changeId: `change-${version}`, declarations: {}});
	standIn.putKey(getConfigurationKey('bench'), JSON.stringify(configuration));
	await Promise.all(followers.map(async follower => {
		await follower.getStream().filter(cfg => cfg.version >= version).take(1).drain();
	}));
	return performance.now() - start;
}

async function measureOutage(fleet: Fleet, version: number): Promise<Record<string, unknown>> {
	const {standIn} = fleet;
	await standIn.setFault({isDown: true});
	await wait(outageMs);
	await standIn.setFault();
	const inForce = measureInForce(fleet, version);
	const counts = [standIn.getCallCount()];
	while (counts.length <= 5 * samplesPerSecond) {
		await wait(sampleMs);
		counts.push(standIn.getCallCount());
	}

	const inSecond = counts.slice(samplesPerSecond).map((count, index) => count - counts[index]!);
	return {peakCallsInOneSecond: Math.max(...inSecond), inForceAfterReturnMs: Math.round(await inForce)};
}

/** Compares the size of the answer to a poll with that of a read of the whole list, at the target number of upstreams. */
async function measurePollBytes(): Promise<Record<string, unknown>> {
	const upstreams = 880;
	const standIn = await createPlatformStandIn({deployment: 'bench'});
	addUpstreams(standIn, upstreams);
	const prefix = getVmPrefix('bench');
	const rangeEnd = `${prefix.slice(0, -1)}0`;
	const range = {key: encode(prefix), rangeEnd: encode(rangeEnd)};
	const listBytes = await getAnswerBytes(standIn, range);
	const digestBytes = await getAnswerBytes(standIn, {
		...range, keysOnly: true, limit: '1', sortOrder: 'DESCEND', sortTarget: 'MOD',
	});
	await standIn.close();
	return {upstreams, listBytes, digestBytes};
}

async function getAnswerBytes(standIn: PlatformStandIn, body: Record<string, unknown>): Promise<number> {
	const res = await fetch(`${standIn.getUrl()}/v3/kv/range`, {method: 'POST', body: JSON.stringify(body)});
	const bytes = await res.arrayBuffer();
	return bytes.byteLength;
}
