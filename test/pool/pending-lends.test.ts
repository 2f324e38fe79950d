/**
 * A lender starts tasks only for borrowers that are known to wait: another one may count the task as lost and have started it elsewhere.
 */
import test from 'ava';
import {createImmediateProgress, type PeerNetwork, type SenderConfirmation} from '../../src/connection/index.js';
import {
	CrashLedger, type LentTask, type PoolDirectory, PoolLending, type PoolOwner,
} from '../../src/pool/index.js';
import {lendTopic, recallTopic, stopLentRunTopic} from '../../src/pool/pool-messages.js';
import {ManualClock} from '../../src/testing/index.js';
import {createJob, silentLog} from './pool-harness.js';

const task: LentTask = {
	task: 'x.0.0.0', number: 2, spec: '', service: 's', step: createJob('x').steps[0]!, expectedMs: 100,
};
const load = {
	cores: 16, freeCpu: 0, rooms: [], queuedWork: 0,
};

/** Creates a lender whose only borrower last confirmed at `confirmedAt` and was paused at `pausedAt`. */
function createLender({confirmedAt = 0, pausedAt = -Infinity} = {}) {
	const clock = new ManualClock();
	const state = {
		started: [] as string[], isOwned: true, knownFence: 1, confirmedAt, requestCount: 0,
	};
	let confirm: () => void = () => {/* Not asked yet. */};
	const confirmation: SenderConfirmation = {
		getConfirmedAt: () => state.confirmedAt,
		async requestConfirmation() {
			state.requestCount++;
			return new Promise(resolve => {
				confirm = resolve;
			});
		},
	};
	const owner: Partial<PoolOwner> = {
		async runLent({task: name}) {
			state.started.push(name);
			return {kind: 'ended', end: 'done'};
		},
		stopLent() {/* Nothing runs. */},
		recallLent: async () => true,
		getLoad: () => load,
	};
	const directory: Partial<PoolDirectory> = {
		getKnownFence: () => state.knownFence,
		addFence(_pool, fence) {
			state.knownFence = Math.max(state.knownFence, fence);
		},
		addClaims() {/* Not needed here. */},
	};
	const lending = new PoolLending({
		clock, inputProgress: createImmediateProgress(clock),
		log: silentLog,
		selfId: 'lender',
		peers: undefined as unknown as PeerNetwork,
		directory: directory as PoolDirectory,
		getOwner: () => state.isOwned ? owner as PoolOwner : undefined,
		isLayoutKnown: () => true,
		getConfirmedSince: () => Math.max(clock.getMonotonicTime() - 600, pausedAt),
		ledger: new CrashLedger(clock),
	});
	const controller = new AbortController();
	const send = async (topic: string, body: unknown): Promise<unknown> => lending.handleRequest({topic, body}, controller.signal, confirmation);
	return {
		clock,
		state,
		controller,
		send,
		lend: async () => send(lendTopic, {
			pool: 'b', borrower: 'a', fence: 1, load, sequence: 1, task,
		}),
		async confirm() {
			state.confirmedAt = clock.getMonotonicTime();
			confirm();
			await clock.advance(0);
		},
	};
}

const refused = {outcome: {kind: 'refused', reason: 'no-room'}};

test('a task of a borrower that was confirmed lately starts immediately', async t => {
	const {clock, state, lend} = createLender({confirmedAt: 500});
	await clock.advance(1000);
	t.like(await lend(), {outcome: {kind: 'ended'}});
	t.is(state.requestCount, 0);
});

for (const [name, options] of Object.entries({
	'that it has not heard for long': {confirmedAt: 300},
	'that it heard before a pause': {confirmedAt: 990, pausedAt: 1000},
})) {
	test(`a lender starts no task for a borrower ${name} and that does not confirm that it waits`, async t => {
		const {clock, state, lend} = createLender(options);
		await clock.advance(1000);
		const answer = lend();
		await clock.advance(300);
		t.like(await answer, refused);
		t.deepEqual(state.started, []);
		t.is(state.requestCount, 1);
	});

	test(`a lender starts a task for a borrower ${name} once it confirms that it waits`, async t => {
		const {clock, state, lend, confirm} = createLender(options);
		await clock.advance(1000);
		const answer = lend();
		await clock.advance(100);
		t.deepEqual(state.started, []);
		await confirm();
		t.like(await answer, {outcome: {kind: 'ended'}});
		t.deepEqual(state.started, [task.task]);
	});
}

type Fixture = ReturnType<typeof createLender>;

const events: Readonly<Record<string, (fixture: Fixture) => unknown>> = {
	'is stopped': async ({send}) => send(stopLentRunTopic, {pool: 'b', run: {task: task.task, number: task.number}, isOverdue: false}),
	'is recalled': async ({send}) => send(recallTopic, {
		pool: 'b', borrower: 'a', fence: 1, job: 'x',
	}),
	'has a new owner': async ({send}) => send(recallTopic, {
		pool: 'c', borrower: 'a', fence: 2, job: 'y',
	}),
	'loses its borrower'({controller}) {
		controller.abort();
	},
	'loses its pool'({state}) {
		state.isOwned = false;
	},
};

for (const [name, cause] of Object.entries(events)) {
	test(`a task that ${name} while its borrower is asked for a confirmation is not started`, async t => {
		const fixture = createLender();
		await fixture.clock.advance(1000);
		const answer = fixture.lend();
		await fixture.clock.advance(10);
		await cause(fixture);
		await fixture.confirm();
		t.like(await answer, {outcome: {kind: 'refused'}});
		t.deepEqual(fixture.state.started, []);
	});
}
