/**
 * How a deployment under steady load comes back after a fault: the time until the response is as before, and what callers were told.
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
	/** Time of its submission since the fault, in milliseconds. */
	readonly atMs: number;
	readonly responseMs: number;
	readonly outcome: string;
};

/** A deployment under load. */
type Scene = {
	readonly cluster: LocalCluster;
	readonly caller: Caller;
	readonly faults: PeerFaults;
};

/** A fault and how to cause it; resolves when it is over. */
type Fault = {
	readonly name: string;
	readonly cause: (scene: Scene) => Promise<void>;
};

/** Figures of one fault. */
type RecoveryResult = {
	readonly fault: string;
	readonly jobs: number;
	/** Jobs by what their callers were told in the end. */
	readonly outcomes: Readonly<Record<string, number>>;
	readonly meanBeforeMs: number;
	/** Largest mean of a bucket after the fault. */
	readonly worstBucketMs: number;
	/** Time from the fault until the mean response stays within a tenth of that before. */
	readonly recoveredAfterMs: number;
};

const beforeMs = 3000;
const afterMs = 5000;
/** Mean time between two jobs. */
const gapMs = 12;
const bucketMs = 200;
/** Jobs submitted so shortly before the fault may still be running when it comes, and are not counted as before it. */
const inFlightMs = 200;
const tolerance = 1.1;
const faultLengthMs = 1500;
/** Run times of a job's tasks. */
const taskRunMs = [20, 30];
const balancerLagMs = 300;

const faults: readonly Fault[] = [
	{name: 'none', cause: async () => undefined},
	{
		name: 'an entry VM dies',
		async cause({cluster, caller}) {
			await cluster.abortEntryVm(cluster.getEntryVms()[0]!);
			await sleep(systemClock, balancerLagMs);
			caller.setAddresses(cluster.getCallerAddresses());
		},
	},
	{
		name: 'an entry VM stops as planned',
		async cause({cluster, caller}) {
			const [leaving, ...others] = cluster.getEntryVms();
			const stopped = cluster.removeEntryVm(leaving!);
			await sleep(systemClock, balancerLagMs);
			caller.setAddresses(others.map(entryVm => entryVm.getCallerAddress()));
			await stopped;
		},
	},
	{
		name: 'an upstream refuses',
		async cause({cluster}) {
			await cluster.getUpstreams()[0]!.standIn.setFaults({refuse: true});
		},
	},
	{
		name: 'the connections to an upstream go silent',
		async cause({cluster}) {
			cluster.getUpstreams()[0]!.standIn.silenceConnections();
		},
	},
	{
		name: 'the connections between entry VMs go silent',
		async cause({faults: peerFaults}) {
			peerFaults.silence();
		},
	},
	{
		name: 'entry VMs are cut off from each other, then healed',
		async cause({faults: peerFaults}) {
			peerFaults.partition(() => true);
			await sleep(systemClock, faultLengthMs);
			peerFaults.heal();
		},
	},
	{
		name: 'the store is away, then back',
		async cause({cluster}) {
			await cluster.platform.setFault({isDown: true});
			await sleep(systemClock, faultLengthMs);
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
		process.stdout.write(`${name}: back after ${recoveredAfterMs} ms; mean ${meanBeforeMs.toFixed(1)} ms before, `
			+ `worst bucket ${worstBucketMs.toFixed(1)} ms; ${JSON.stringify(outcomes)}\n`);
	}

	await writeResults('recovery', {
		gapMs, taskRunMs, bucketMs, tolerance, results,
	});
}

async function measure(fault: Fault): Promise<RecoveryResult> {
	const scene = await createScene();
	const samples: Sample[] = [];
	const faultAt = systemClock.getMonotonicTime() + beforeMs;
	const load = submitAll(scene.caller, faultAt, samples);
	await sleep(systemClock, beforeMs);
	await fault.cause(scene);
	await load;
	await scene.caller.close();
	await scene.cluster.close();
	return getResult(fault.name, samples);
}

async function createScene(): Promise<Scene> {
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

/** Submits jobs at a fixed rate, whatever becomes of the earlier ones. */
async function submitAll(caller: Caller, faultAt: number, samples: Sample[]): Promise<void> {
	const running: Array<Promise<void>> = [];
	// Gaps are drawn, so that the turn of the entry VMs does not fall in with the answers.
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
	const meanBeforeMs = getMean(samples.filter(({atMs}) => atMs >= -beforeMs / 2 && atMs < -inFlightMs));
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
