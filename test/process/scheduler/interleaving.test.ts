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

/** What happens to each message in turn: delivered late, twice, or lost. */
const arbitraryDelivery = fc.record({delayMs: fc.integer({min: 0, max: 30}), copies: fc.constantFrom(1, 1, 1, 1, 2, 2, 0)});

const arbitraryNodeCount = fc.integer({min: 2, max: 3});
const arbitraryDeliveries = fc.array(arbitraryDelivery, {minLength: 1, maxLength: 20});
const arbitrarySteps = fc.array(arbitraryStep, {maxLength: 60});

test('after any interleaving, slots sum up at each owner and no task starts twice without proof', async t => {
	await fc.assert(fc.asyncProperty(arbitraryNodeCount, arbitraryDeliveries, arbitrarySteps, async (nodeCount, deliveries, steps) => {
		let messages = 0;
		let mayLose = false;
		const harness: SchedulerHarness = new SchedulerHarness({
			nodeCount,
			upstreams: Array.from({length: 6}, (_, index) => createUpstream(`u${index}`)),
			profile: {retryPercent: 1000, retryBackoffMs: 1},
			deliver(send) {
				const {delayMs, copies} = deliveries[messages % deliveries.length]!;
				messages++;
				const count = copies === 0 && !mayLose ? 1 : copies;
				for (let copy = 0; copy < count; copy++) {
					harness.clock.setTimer(send, delayMs + (copy * 40));
				}
			},
		});
		const setUp = (downNode: number | undefined): void => {
			mayLose = downNode !== undefined;
			const selves = harness.nodes.map(node => node.self);
			for (const [index, node] of harness.nodes.entries()) {
				const members = selves.filter(self => self !== node.self).flatMap(self => {
					const isCut = downNode !== undefined && (index === downNode || self === selves[downNode]);
					return toMembers([self], isCut ? 'down' : 'up');
				});
				node.members.push(members);
			}
		};

		let jobs = 0;
		for (const step of steps) {
			switch (step.kind) {
				case 'add': {
					jobs++;
					harness.nodes[step.node % nodeCount]!.scheduler.addJob(harness.createJob(`j${jobs}`, step.size));
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
					setUp(step.node % nodeCount);
					break;
				}

				case 'up': {
					setUp(undefined);
					break;
				}

				case 'pause': {
					const {scheduler} = harness.nodes[step.node % nodeCount]!;
					const startsBefore = harness.starts.length;
					jobs++;
					scheduler.handlePause();
					scheduler.addJob(harness.createJob(`j${jobs}`, 1));
					t.is(harness.starts.length, startsBefore);
					scheduler.confirmView();
					break;
				}
			}

			checkSlots(harness, t);
		}

		checkStarts(harness, t);
		await drain(harness, setUp);
		checkSlots(harness, t);
		t.is(harness.running.size, 0);
		for (const {scheduler} of harness.nodes) {
			t.true(scheduler.getStatus().upstreams.every(upstream => upstream.leasedOut === 0 && upstream.held === 0));
		}

		await harness.close();
	}), {numRuns: 150, seed: 11});
});

/** Heals all links and ends all tasks; no slot may stay leased out. */
async function drain(harness: SchedulerHarness, setUp: (downNode: number | undefined) => void): Promise<void> {
	setUp(undefined);
	for (let round = 0; round < 200 && (round < 5 || harness.running.size > 0); round++) {
		for (const start of harness.running) {
			start.end(answered);
		}

		await harness.clock.advance(100);
	}

	await harness.clock.advance(45_000);
}

function checkSlots(harness: SchedulerHarness, t: {is(actual: unknown, expected: unknown): void; true(actual: unknown): void}): void {
	for (const {scheduler} of harness.nodes) {
		for (const upstream of scheduler.getStatus().upstreams.filter(({isOwned}) => isOwned)) {
			const taken = upstream.inUse + upstream.leasedOut;
			t.true(upstream.free >= 0);
			t.is(upstream.free + taken, Math.max(upstream.slots, taken));
		}
	}
}

function checkStarts(harness: SchedulerHarness, t: {is(actual: unknown, expected: unknown): void; deepEqual(actual: unknown, expected: unknown): void}): void {
	const startsByTask = new Map<string, number>();
	for (const {task, attempt} of harness.starts) {
		t.is(attempt, (startsByTask.get(task) ?? 0) + 1);
		startsByTask.set(task, attempt);
	}

	const again = [...startsByTask].filter(([, attempts]) => attempts > 1).map(([task]) => task);
	t.deepEqual(again.filter(task => !harness.refusedTasks.has(task)), []);
}
