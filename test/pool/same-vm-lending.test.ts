import test from 'ava';
import {noNeighbours, PoolOwner, type PoolNeighbours} from '../../src/pool/index.js';
import {ManualClock, SimulatedUpstreams} from '../../src/testing/index.js';
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
