import test from 'ava';
import {createImmediateProgress} from '../../src/connection/index.js';
import {
	CrashLedger, noNeighbours, PoolDirectory, PoolLending, PoolOwner, type PoolNeighbours, type UpstreamDescription,
} from '../../src/pool/index.js';
import {ManualClock, SimulatedPeers, SimulatedUpstreams} from '../../src/testing/index.js';
import {
	createJob, createUpstream, silentLog, typicalWork,
} from './pool-harness.js';

test('a task is started once if the owners of pools on one VM borrow from each other in the same event loop turn', async t => {
	const clock = new ManualClock();
	const upstreams = new SimulatedUpstreams({clock, getWork: () => ({...typicalWork, durationMs: 500})});
	const owners = new Map<string, PoolOwner>();
	const addOwner = (pool: string, freeCapacities: ReturnType<PoolNeighbours['getFreeCapacities']>, memories: readonly number[]): PoolOwner => {
		const descriptions = memories.map((memoryMb, position) => {
			const upstream = createUpstream(`${pool}${position}`, 16_000);
			return {...upstream, capacity: {...upstream.capacity, memoryMb}};
		});
		for (const description of descriptions) {
			upstreams.addUpstream(description);
		}

		const neighbours: PoolNeighbours = {
			...noNeighbours,
			getFreeCapacities: () => freeCapacities,
			getCores: () => 32,
			run: async (lender, task, signal) => owners.get(lender)!.runLent(task, signal),
		};
		const owner = new PoolOwner({
			pool, clock, log: silentLog, orders: upstreams, knownFence: 0, maxLeaseMs: 1000, peerSilenceMs: 500, neighbours,
			getStoredFence: async () => 10, isListComplete: () => true, async onFenced() {/* There is one owner. */},
		}, descriptions);
		owners.set(pool, owner);
		return owner;
	};

	const first = addOwner('a', [{pool: 'b', cpu: 7000}, {pool: 'c', cpu: 16_000}], [32_768, 32_768]);
	const second = addOwner('b', [{pool: 'a', cpu: 16_000}], [32_768, 32_768, 65_536]);
	addOwner('c', [], [32_768, 32_768]);
	await clock.advance(300);
	const options = {remainingMs: 10_000, rules: {...createJob('x').rules, slackMs: 5000}};
	// Takes the only upstream that has the memory for it, so that the next job like it borrows from the other pool.
	const large = {estimateMs: 500, needs: {...typicalWork.needs, memoryMb: 40_000}};
	void second.submit(createJob('large', {...options, step: large}));
	await clock.advance(50);
	void first.submit(createJob('wide', {...options, step: {taskCount: 6, estimateMs: 500}}));
	void second.submit(createJob('larger', {...options, step: large}));
	void first.submit(createJob('next', options));
	await clock.advance(400);
	t.is(upstreams.starts.filter(({task}) => task.startsWith('wide')).length, 6);
	t.deepEqual(upstreams.getDoubleRuns(), []);
});

test('a request that the owner of another pool on the same VM cannot handle is lost, as one between VMs', async t => {
	const clock = new ManualClock();
	const upstreams = new SimulatedUpstreams({clock, getWork: () => typicalWork});
	const candidates = [{
		id: 'vm', dataCenter: 'a', cores: 1, isUp: true, isLeaving: false, claims: {a: 10, b: 10},
	}];
	const owners = new Map<string, PoolOwner>();
	const lending = new PoolLending({
		clock, inputProgress: createImmediateProgress(clock), log: silentLog, selfId: 'vm', ledger: new CrashLedger(clock),
		peers: new SimulatedPeers({clock}).addPeer('vm', async () => ({})),
		directory: new PoolDirectory({
			clock, selfId: 'vm', dataCenter: 'a', getPools: () => ['a', 'b'], getCandidates: () => candidates,
		}),
		getOwner: pool => owners.get(pool),
		isLayoutKnown: () => true, getConfirmedSince: () => clock.getMonotonicTime(),
	});
	for (const pool of ['a', 'b']) {
		// The sum of these capacities is no finite number, so that the load of the pool cannot be decoded.
		const descriptions = [0, 1].map((position): UpstreamDescription => createUpstream(`${pool}${position}`, Number.MAX_VALUE));
		for (const description of descriptions) {
			upstreams.addUpstream(description);
		}

		owners.set(pool, new PoolOwner({
			pool, clock, log: silentLog, orders: upstreams, knownFence: 0, maxLeaseMs: 1000, peerSilenceMs: 500,
			getStoredFence: async () => 10, isListComplete: () => true, async onFenced() {/* There is one owner. */},
		}, descriptions));
	}

	await clock.advance(300);
	const neighbours = lending.createNeighbours('a');
	const [step] = createJob('x').steps;
	const task = {
		task: 'x.0.0.0', number: 1, spec: '', service: 's', step: step!, expectedMs: 100,
	};
	t.deepEqual(await neighbours.run('b', task, new AbortController().signal), {kind: 'lost'});
	await t.notThrowsAsync(neighbours.stop('b', {task: task.task, number: 0}, false));
	t.is(await neighbours.recall('x'.repeat(300), 11), false);
	t.is(upstreams.starts.length, 0);
});
