import test from 'ava';
import fc from 'fast-check';
import {
	createJobOrder, createShortestRemainingOrder, chooseLeastLoaded, getUpstreamCost, type UpstreamCandidate,
} from '../../../src/process/index.js';
import {JobQueue} from '../../../src/process/scheduler/job-queue.js';
import {OwnedSlots} from '../../../src/process/scheduler/owned-slots.js';
import {type TaskGroup, QueuedJob, type QueuedTask} from '../../../src/process/scheduler/queued-job.js';
import {divideSlots, ShareAllocator} from '../../../src/process/scheduler/share-allocator.js';

const runs = {numRuns: 200, seed: 7};

function createJob(index: number, size: number, arrivedAt: number, team: string): {readonly job: QueuedJob; readonly group: TaskGroup; readonly tasks: QueuedTask[]} {
	const task = {
		needs: {}, isIdempotent: false, run: async () => ({kind: 'answered', status: 200} as const), abandon: () => undefined,
	};
	const source = {
		id: `${index}`, service: 's', team, deadline: 1, tasks: Array.from({length: size}, () => task), expire: () => undefined,
	};
	const job = new QueuedJob(source, arrivedAt, index, () => 250);
	const group: TaskGroup = {
		job, shape: 'any', ready: [], heap: undefined, heapIndex: -1, rank: 0, sequence: index,
	};
	job.groups = [group];
	job.queuedTasks = size;
	return {
		job, group, tasks: source.tasks.map(source => ({
			task: source, job, group, attempts: 0, triedUpstreams: [],
		})),
	};
}

test('the queue returns the same next job as a scan over all jobs', t => {
	const arbitraryStep = fc.oneof(
		fc.record({kind: fc.constant('add' as const), size: fc.integer({min: 1, max: 50}), team: fc.constantFrom('a', 'b', 'c')}),
		fc.record({kind: fc.constant('take' as const), blocked: fc.constantFrom('', 'a', 'b')}),
		fc.record({kind: fc.constant('remove' as const), index: fc.nat(20)}),
	);
	fc.assert(fc.property(fc.constantFrom('fifo' as const, 'shortest-remaining' as const), fc.array(arbitraryStep, {maxLength: 80}), (name, steps) => {
		const order = createJobOrder({order: name, agingMs: 1000});
		const queue = new JobQueue({order});
		const referenceJobs: QueuedJob[] = [];
		for (const [index, step] of steps.entries()) {
			if (step.kind === 'add') {
				const {job, group, tasks} = createJob(index, step.size, index * 100, step.team);
				queue.addTasks(group, tasks);
				referenceJobs.push(job);
			} else if (step.kind === 'remove') {
				const [job] = referenceJobs.splice(step.index, 1);
				if (job) {
					queue.removeJob(job);
				}
			} else {
				const waiting = referenceJobs.filter(job => job.queuedTasks > 0 && job.source.team !== step.blocked);
				const expected = waiting.toSorted((a, b) => order.getRank(a) - order.getRank(b) || a.sequence - b.sequence)[0];
				const group = queue.getNextGroup((_shape, team) => team !== step.blocked);
				t.is(group?.job.source.id, expected?.source.id);
				if (group) {
					queue.takeTask(group);
					group.job.queuedTasks--;
					queue.updateRank(group.job);
				}
			}

			t.is(queue.getReadyTaskCount(), referenceJobs.reduce((sum, job) => sum + job.queuedTasks, 0));
		}
	}), runs);
});

test('with the fair order, the numbers of starts are proportional to the weights', t => {
	fc.assert(fc.property(fc.record({a: fc.integer({min: 1, max: 9}), b: fc.integer({min: 1, max: 9})}), weights => {
		const queue = new JobQueue({order: createJobOrder({order: 'fair', agingMs: 0}), getWeight: team => weights[team as 'a' | 'b']});
		for (const [index, team] of ['a', 'b'].entries()) {
			const {group, tasks} = createJob(index, 500, 0, team);
			queue.addTasks(group, tasks);
		}

		const starts = {a: 0, b: 0};
		for (let start = 0; start < 400; start++) {
			const group = queue.getNextGroup(() => true)!;
			queue.takeTask(group);
			starts[group.job.source.team as 'a' | 'b']++;
		}

		t.true(Math.abs(starts.a - (400 * weights.a / (weights.a + weights.b))) <= 1);
	}), runs);
});

test('a job is overtaken only by jobs that arrive within the bound set by ageing', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 1000}), fc.integer({min: 1, max: 60_000}), (size, agingMs) => {
		const order = createShortestRemainingOrder(agingMs);
		const boundMs = agingMs * Math.log2(size);
		const job = {
			arrivedAt: 0, queuedTasks: size, runningTasks: 0, taskMs: 250,
		};
		const later = {
			arrivedAt: boundMs + 1, queuedTasks: 1, runningTasks: 0, taskMs: 250,
		};
		t.true(order.getRank(job) < order.getRank(later));
	}), runs);
});

test('free, used and leased slots match a reference count and add up to the capacity', t => {
	const arbitraryStep = fc.record({kind: fc.constantFrom('take', 'release', 'lease', 'return'), id: fc.nat(6), holder: fc.constantFrom('x', 'y')});
	fc.assert(fc.property(fc.integer({min: 1, max: 8}), fc.array(arbitraryStep, {maxLength: 100}), (capacity, steps) => {
		const slots = new OwnedSlots(capacity);
		let used = 0;
		const leases = new Map<string, string>();
		for (const {kind, id, holder} of steps) {
			const hasFree = used + leases.size < capacity;
			if (kind === 'take') {
				t.is(slots.takeSlot(), hasFree);
				used += hasFree ? 1 : 0;
			} else if (kind === 'release' && used > 0) {
				slots.releaseSlot();
				used--;
			} else if (kind === 'lease') {
				const isNew = hasFree && !leases.has(`${id}`);
				t.is(slots.addLease({id: `${id}`, holder, messageNumber: 1}), isNew);
				if (isNew) {
					leases.set(`${id}`, holder);
				}
			} else if (kind === 'return') {
				const isHeld = leases.get(`${id}`) === holder;
				t.is(slots.removeLease(`${id}`, holder), isHeld);
				if (isHeld) {
					leases.delete(`${id}`);
				}
			}

			slots.assertConsistent();
			t.is(slots.getFree(), capacity - used - leases.size);
		}
	}), runs);
});

test('the upstream of the lowest cost is chosen, and a higher failure rate never lowers the cost', t => {
	const arbitraryCandidate: fc.Arbitrary<UpstreamCandidate> = fc.record({
		name: fc.string(), slots: fc.integer({min: 1, max: 8}), outstanding: fc.nat(8), latencyMs: fc.integer({min: 1, max: 5000}),
		failureRate: fc.double({min: 0, max: 1, noNaN: true}), isLocal: fc.boolean(), wasTried: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(arbitraryCandidate, {minLength: 1, maxLength: 20}), candidates => {
		const cheapest = Math.min(...candidates.map(candidate => getUpstreamCost(candidate)));
		t.is(getUpstreamCost(chooseLeastLoaded(candidates)), cheapest);
		const [candidate] = candidates;
		t.true(getUpstreamCost({...candidate!, failureRate: 1}) >= getUpstreamCost(candidate!));
	}), runs);
});

test('the shares of a quota never exceed it in total, even if reports are late or lost', t => {
	const members = ['x', 'y', 'z'];
	const arbitraryStep = fc.record({
		member: fc.constantFrom(...members), demand: fc.nat(40), isCut: fc.boolean(), isLost: fc.boolean(),
	});
	fc.assert(fc.property(fc.integer({min: 0, max: 30}), fc.array(arbitraryStep, {maxLength: 60}), (slots, steps) => {
		const allotter = new ShareAllocator();
		const inForce = new Map(members.map(member => [member, {slots: 0, startsPerSecond: 0, number: 0}]));
		for (const {member, demand, isCut, isLost} of steps) {
			if (!isLost) {
				allotter.addReport(member, {demand, share: inForce.get(member)!});
			}

			const reachable = new Set(members.filter(other => !isCut || other !== member));
			for (const [recipient, share] of allotter.allocate({slots, startsPerSecond: 100}, reachable)) {
				if (!isLost) {
					inForce.set(recipient, share);
				}
			}

			const shares = [...inForce.values()];
			t.true(shares.reduce((sum, share) => sum + share.slots, 0) <= slots);
			t.true(shares.reduce((sum, share) => sum + share.startsPerSecond, 0) <= 100 + 1e-6);
		}
	}), runs);
	t.deepEqual(divideSlots(10, [1, 30, 0]), [0, 10, 0]);
	t.deepEqual(divideSlots(10, [1, 2, 0]), [3, 5, 2]);
});
