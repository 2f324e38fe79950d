/**
 * Measures how a deployment under steady load recovers from a fault: the time until the response time is back to normal, and the outcomes of the jobs.
 */
import process from 'node:process';
import {
	Caller, createLocalCluster, type LocalCluster, type SubmitResult,
} from '../src/lab/index.js';
import {createSeededRandom, sleep, systemClock} from '../src/seams/index.js';
import {PeerFaults} from '../src/testing/index.js';
import {writeResults} from './support/results.js';

/** One job of the load. */
type Sample = {
	/** Time of submission relative to the fault, in milliseconds. */
	readonly atMs: number;
	readonly responseMs: number;
	readonly outcome: string;
};

/** A deployment under load. */
type Testbed = {
	readonly cluster: LocalCluster;
	readonly caller: Caller;
	readonly faults: PeerFaults;
};

/** A fault and the function that injects it; resolves when the fault has ended. */
type FaultScenario = {
	readonly name: string;
	readonly inject: (scene: Testbed) => Promise<void>;
};

/** Measurements of one fault. */
type RecoveryResult = {
	readonly fault: string;
	readonly jobs: number;
	/** Number of jobs by final outcome. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly meanBeforeMs: number;
	/** Largest mean response time of a bucket after the fault, in milliseconds. */
	readonly worstBucketMs: number;
	/** Time from the fault until the mean response time stays within a tenth above the mean before it, in milliseconds. */
	readonly recoveredAfterMs: number;
};

const beforeMs = 3000;
const afterMs = 5000;
/** Mean time between two jobs, in milliseconds. */
const gapMs = 12;
const bucketMs = 200;
/** Jobs submitted within this time before the fault may still be running when it occurs, and are excluded from the mean before it. */
const inFlightAllowanceMs = 200;
const tolerance = 1.1;
const faultDurationMs = 1500;
/** Run times of the tasks of a job, in milliseconds. */
const taskRunMs = [20, 30];
const balancerDelayMs = 300;

const faults: readonly FaultScenario[] = [
	{name: 'none', inject: async () => undefined},
	{
		name: 'an entry VM dies',
		async inject({cluster, caller}) {
			await cluster.abortEntryVm(cluster.getEntryVms()[0]!);
			await sleep(systemClock, balancerDelayMs);
			caller.setAddresses(cluster.getCallerAddresses());
		},
	},
	{
		name: 'an entry VM stops as planned',
		async inject({cluster, caller}) {
			const [leaving, ...others] = cluster.getEntryVms();
			const stopped = cluster.removeEntryVm(leaving!);
			await sleep(systemClock, balancerDelayMs);
			caller.setAddresses(others.map(entryVm => entryVm.getCallerAddress()));
			await stopped;
		},
	},
	{
		name: 'an upstream refuses',
		async inject({cluster}) {
			await cluster.getUpstreams()[0]!.standIn.setFaults({refuse: true});
		},
	},
	{
		name: 'the connections to an upstream go silent',
		async inject({cluster}) {
			cluster.getUpstreams()[0]!.standIn.silenceConnections();
		},
	},
	{
		name: 'the connections between entry VMs go silent',
		async inject({faults: peerFaults}) {
			peerFaults.silence();
		},
	},
	{
		name: 'entry VMs are cut off from each other, then healed',
		async inject({faults: peerFaults}) {
			peerFaults.partition(() => true);
			await sleep(systemClock, faultDurationMs);
			peerFaults.heal();
		},
	},
	{
		name: 'the store is away, then back',
		async inject({cluster}) {
			await cluster.platform.setFault({isDown: true});
			await sleep(systemClock, faultDurationMs);
			await cluster.platform.setFault({});
		},
	},
];

/** Runs the measurement. */
export async function run(): Promise<void> {
	const results: RecoveryResult[] = [];
	for (const fault of faults) {
		const result = await measure(fault);
		results.push(result);
		const {fault: name, recoveredAfterMs, meanBeforeMs, worstBucketMs, outcomes} = result;
		process.stdout.write(`${name}: recovered after ${recoveredAfterMs} ms; mean ${meanBeforeMs.toFixed(1)} ms before, `
			+ `worst bucket ${worstBucketMs.toFixed(1)} ms; ${JSON.stringify(outcomes)}\n`);
	}

	await writeResults('recovery', {
		gapMs, taskRunMs, bucketMs, tolerance, results,
	});
}

async function measure(fault: FaultScenario): Promise<RecoveryResult> {
	const testbed = await createTestbed();
	const samples: Sample[] = [];
	const faultAt = systemClock.getMonotonicTime() + beforeMs;
	const load = submitAll(testbed.caller, faultAt, samples);
	await sleep(systemClock, beforeMs);
	await fault.inject(testbed);
	await load;
	await testbed.caller.close();
	await testbed.cluster.close();
	return getResult(fault.name, samples);
}

async function createTestbed(): Promise<Testbed> {
	const peerFaults = new PeerFaults();
	const cluster = await createLocalCluster({
		dataCenters: [{name: 'dc1', entryVms: 0, upstreams: 4}],
		declarations: {profiles: {p: {taskTimeoutMs: 1000, defaultDeadlineMs: 5000}}, services: {demo: {profile: 'p'}}},
	});
	for (const vm of ['e1', 'e2', 'e3']) {
		const entryVm = await cluster.addEntryVm('dc1', {mesh: {dial: peerFaults.createDial(vm)}});
		peerFaults.setAddress(entryVm.getPeerAddress(), vm);
	}

	await cluster.waitUntilReady();
	return {cluster, caller: new Caller({addresses: cluster.getCallerAddresses()}), faults: peerFaults};
}

/** Submits jobs open-loop at a fixed mean rate. */
async function submitAll(caller: Caller, faultAt: number, samples: Sample[]): Promise<void> {
	const running: Array<Promise<void>> = [];
	// Gaps are random, so that the round robin over entry VMs does not synchronise with the answers.
	const random = createSeededRandom(1);
	for (let next = faultAt - beforeMs; next < faultAt + afterMs; next += 2 * gapMs * random.getFloat()) {
		await sleep(systemClock, Math.max(next - systemClock.getMonotonicTime(), 0));
		running.push(submitOne(caller, faultAt, samples));
	}

	await Promise.all(running);
}

async function submitOne(caller: Caller, faultAt: number, samples: Sample[]): Promise<void> {
	const tasks = taskRunMs.map(runMs => ({path: '/hold', headers: {'x-run-ms': String(runMs)}}));
	const startedAt = systemClock.getMonotonicTime();
	const result = await caller.submitJob({service: 'demo', tasks});
	samples.push({atMs: startedAt - faultAt, responseMs: systemClock.getMonotonicTime() - startedAt, outcome: getOutcome(result)});
}

function getOutcome({answer, attempts}: SubmitResult): string {
	const outcome = answer?.outcome ?? 'no answer';
	return outcome === 'complete' && attempts > 1 ? 'complete at a later attempt' : outcome;
}

function getResult(fault: string, samples: readonly Sample[]): RecoveryResult {
	const meanBeforeMs = getMean(samples.filter(({atMs}) => atMs >= -beforeMs / 2 && atMs < -inFlightAllowanceMs));
	const outcomes: Record<string, number> = {};
	for (const {outcome} of samples) {
		outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
	}

	let recoveredAfterMs = 0;
	let worstBucketMs = 0;
	for (let from = 0; from < afterMs; from += bucketMs) {
		const mean = getMean(samples.filter(({atMs}) => atMs >= from && atMs < from + bucketMs));
		worstBucketMs = Math.max(worstBucketMs, mean);
		recoveredAfterMs = mean > meanBeforeMs * tolerance ? from + bucketMs : recoveredAfterMs;
	}

	return {
		fault, jobs: samples.length, outcomes, meanBeforeMs, worstBucketMs, recoveredAfterMs,
	};
}

function getMean(samples: readonly Sample[]): number {
	return samples.length === 0 ? 0 : samples.reduce((sum, {responseMs}) => sum + responseMs, 0) / samples.length;
}
