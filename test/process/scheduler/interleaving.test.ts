import test from 'ava';
import fc from 'fast-check';
import {
	answered, createUpstream, failed, refused, SchedulerHarness, toMembers,
} from './scheduler-harness.js';

const arbitraryStep = fc.oneof(
	{weight: 4, arbitrary: fc.record({kind: fc.constant('add' as const), node: fc.nat(2), size: fc.integer({min: 1, max: 25})})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('end' as const), index: fc.nat(50), end: fc.constantFrom(answered, answered, answered, failed, refused)})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('wait' as const), durationMs: fc.integer({min: 1, max: 300})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('remove' as const), node: fc.nat(2), job: fc.nat(20)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('down' as const), node: fc.nat(2)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('up' as const)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('pause' as const), node: fc.nat(2)})},
);

/** Delivery of each message, applied in rotation: delayed, duplicated, or lost. */
const arbitraryDelivery = fc.record({delayMs: fc.integer({min: 0, max: 30}), copies: fc.constantFrom(1, 1, 1, 1, 2, 2, 0)});

const arbitraryNodeCount = fc.integer({min: 2, max: 3});
const arbitraryDeliveries = fc.array(arbitraryDelivery, {minLength: 1, maxLength: 20});
const arbitrarySteps = fc.array(arbitraryStep, {maxLength: 60});

test('after any interleaving, the slots of each owner add up and no task starts again unless an earlier start was refused', async t => {
	await fc.assert(fc.asyncProperty(arbitraryNodeCount, arbitraryDeliveries, arbitrarySteps, async (nodeCount, deliveries, steps) => {
		let messageCount = 0;
		let canLoseMessages = false;
		const harness: SchedulerHarness = new SchedulerHarness({
			nodeCount,
			upstreams: Array.from({length: 6}, (_, index) => createUpstream(`u${index}`)),
			profile: {retryPercent: 1000, retryBackoffMs: 1},
			deliver(send) {
				const {delayMs, copies} = deliveries[messageCount % deliveries.length]!;
				messageCount++;
				const count = copies === 0 && !canLoseMessages ? 1 : copies;
				for (let copy = 0; copy < count; copy++) {
					harness.clock.setTimer(send, delayMs + (copy * 40));
				}
			},
		});
		const setConnectivity = (downNode: number | undefined): void => {
			canLoseMessages = downNode !== undefined;
			const selves = harness.nodes.map(node => node.self);
			for (const [index, node] of harness.nodes.entries()) {
				const members = selves.filter(self => self !== node.self).flatMap(self => {
					const isDisconnected = downNode !== undefined && (index === downNode || self === selves[downNode]);
					return toMembers([self], isDisconnected ? 'down' : 'up');
				});
				node.members.push(members);
			}
		};

		let jobCount = 0;
		for (const step of steps) {
			switch (step.kind) {
				case 'add': {
					jobCount++;
					harness.nodes[step.node % nodeCount]!.scheduler.addJob(harness.createJob(`j${jobCount}`, step.size));
					break;
				}

				case 'end': {
					const running = [...harness.running];
					const start = running[step.index % Math.max(running.length, 1)];
					await (start ? harness.end(start, step.end) : harness.clock.advance(1));
					break;
				}

				case 'wait': {
					await harness.clock.advance(step.durationMs);
					break;
				}

				case 'remove': {
					harness.nodes[step.node % nodeCount]!.scheduler.removeJob(`j${step.job}`);
					break;
				}

				case 'down': {
					setConnectivity(step.node % nodeCount);
					break;
				}

				case 'up': {
					setConnectivity(undefined);
					break;
				}

				case 'pause': {
					const {scheduler} = harness.nodes[step.node % nodeCount]!;
					const startsBefore = harness.starts.length;
					jobCount++;
					scheduler.handlePause();
					scheduler.addJob(harness.createJob(`j${jobCount}`, 1));
					t.is(harness.starts.length, startsBefore);
					scheduler.confirmView();
					break;
				}
			}

			assertSlotCounts(harness, t);
		}

		assertStarts(harness, t);
		await restoreAndDrain(harness, setConnectivity);
		assertSlotCounts(harness, t);
		t.is(harness.running.size, 0);
		for (const {scheduler} of harness.nodes) {
			t.true(scheduler.getStatus().upstreams.every(upstream => upstream.leasedOut === 0 && upstream.held === 0));
		}

		await harness.close();
	}), {numRuns: 150, seed: 11});
});

/** Restores all links, ends all tasks, and waits until all leases should have been returned. */
async function restoreAndDrain(harness: SchedulerHarness, setConnectivity: (downNode: number | undefined) => void): Promise<void> {
	setConnectivity(undefined);
	for (let round = 0; round < 200 && (round < 5 || harness.running.size > 0); round++) {
		for (const start of harness.running) {
			start.end(answered);
		}

		await harness.clock.advance(100);
	}

	await harness.clock.advance(45_000);
}

function assertSlotCounts(harness: SchedulerHarness, t: {is(actual: unknown, expected: unknown): void; true(actual: unknown): void}): void {
	for (const {scheduler} of harness.nodes) {
		for (const upstream of scheduler.getStatus().upstreams.filter(({isOwned}) => isOwned)) {
			const taken = upstream.inUse + upstream.leasedOut;
			t.true(upstream.free >= 0);
			t.is(upstream.free + taken, Math.max(upstream.slots, taken));
		}
	}
}

function assertStarts(harness: SchedulerHarness, t: {is(actual: unknown, expected: unknown): void; deepEqual(actual: unknown, expected: unknown): void}): void {
	const startsByTask = new Map<string, number>();
	for (const {task, attempt} of harness.starts) {
		t.is(attempt, (startsByTask.get(task) ?? 0) + 1);
		startsByTask.set(task, attempt);
	}

	const restarted = [...startsByTask].filter(([, attempts]) => attempts > 1).map(([task]) => task);
	t.deepEqual(restarted.filter(task => !harness.refusedTasks.has(task)), []);
}
