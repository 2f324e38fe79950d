/** Two lives of VMs that take one pool after another: what the later one starts must not meet a late order of the earlier one. */
import test from 'ava';
import {FenceIssuer, PoolOwner} from '../../src/pool/index.js';
import {
	createJob, PoolHarness, silentLog, typicalWork, waitingSender,
} from './pool-harness.js';

const longMs = 600;

/** Time until the first order is carried out, in milliseconds: within the lease that it grants. */
const lateMs = 400;

function createOwner(harness: PoolHarness, revision: number, storedFence: number | undefined, upstreams = harness.descriptions): PoolOwner {
	const fences = new FenceIssuer('vm');
	fences.setOwnRevision(revision);
	return new PoolOwner({
		pool: 'dc1', clock: harness.clock, log: silentLog, orders: harness.upstreams, knownFence: 100, fences, maxLeaseMs: 1000, peerSilenceMs: 500,
		getStoredFence: async () => storedFence,
		isListComplete: () => true,
		async onFenced() {/* The owner stays as it is. */},
	}, upstreams);
}

for (const {name, earlierFence, laterFence, laterRevision = 900} of [
	{name: 'with fences of the store', earlierFence: 200, laterFence: 210},
	{name: 'without the store', earlierFence: undefined, laterFence: undefined},
	{
		name: 'without the store, by a process with lower fences', earlierFence: undefined, laterFence: undefined, laterRevision: 700,
	},
]) {
	test(`a late order of an earlier owner does not run beside the start of the next one, ${name}`, async t => {
		const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs: longMs})});
		const earlier = createOwner(harness, 800, earlierFence);
		await harness.clock.advance(100);
		harness.faults[0]!.getLateMs = () => lateMs;
		void earlier.submit(createJob('a', {step: {estimateMs: longMs}, remainingMs: 5000}), undefined, waitingSender);
		await harness.clock.advance(5);
		earlier.close();
		harness.faults[0]!.getLateMs = undefined;
		const [first, second] = harness.descriptions;
		// The later owner polls the upstream of the order and starts tasks on the other one.
		const later = createOwner(harness, laterRevision, laterFence, [{...first!, isLeaving: true}, second!]);
		await harness.clock.advance(20);
		// The sender knows the fence that the earlier owner had before it raised it.
		void later.submit(createJob('a', {step: {estimateMs: longMs}, remainingMs: 5000, priorFence: 100}), undefined, waitingSender);
		await harness.clock.advance(2000);
		t.true(harness.getStarts('a.0.0.0').length > 0);
		t.deepEqual(harness.upstreams.getDoubleRuns(), []);
	});
}
