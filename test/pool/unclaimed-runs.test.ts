/**
 * Guards against double runs: the next owner of a pool extended the leases of runs whose callers had gone with the earlier owner.
 */
import test from 'ava';
import {
	type Member, type MemberState, type PeerOutcome, type PeerRequest,
} from '../../src/connection/index.js';
import {AwaitedJobs} from '../../src/pool/index.js';
import {ManualClock} from '../../src/testing/index.js';
import {PoolHarness, typicalWork} from './pool-harness.js';

const resendMs = 1300;
const marginMs = 150;
const longJob = {step: {estimateMs: 5000}, remainingMs: 20_000};

async function createTakeover(prepare: (harness: PoolHarness) => void) {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 5000})});
	const first = harness.createOwner();
	harness.submit(first, 'orphan', longJob);
	harness.submit(first, 'claimed', longJob);
	await harness.clock.advance(600);
	first.close();
	prepare(harness);
	const leftAt = harness.clock.getMonotonicTime();
	const second = harness.createOwner();
	await harness.clock.advance(20);
	harness.submit(second, 'claimed', {...longJob, priorFence: first.getFence()});
	return {harness, leftAt};
}

test('a run that nobody has claimed ends in time although no stop reaches it and another run there is claimed', async t => {
	const {harness, leftAt} = await createTakeover(fixture => {
		fixture.loseStops(Infinity);
	});
	await harness.clock.advance(3000);
	const {endedAt} = harness.getStarts('orphan.0.0.0')[0]!;
	t.true(endedAt! - leftAt <= resendMs - marginMs, `ended ${endedAt! - leftAt} ms after its caller left`);
});

test('runs that no VM waits for are stopped at once, and those beside them go on', async t => {
	const {harness, leftAt} = await createTakeover(fixture => {
		fixture.getUnawaitedJobs = async jobs => jobs.filter(job => job === 'orphan');
	});
	await harness.clock.advance(3000);
	const [orphan] = harness.getStarts('orphan.0.0.0');
	t.is(orphan!.end, 'stopped');
	t.true(orphan!.endedAt! - leftAt < 100);
	t.deepEqual(harness.getStarts('claimed.0.0.0').map(({end}) => end), [undefined]);
});

function createMember(id: string, state: MemberState): Member {
	return {
		incarnation: {dataCenter: 'dc1', vm: id, id}, state, isLeaving: false, peerAddress: '', configurationVersion: 1, claims: {}, cores: 1,
	};
}

function createAwaitedJobs(answers: Readonly<Record<string, () => Promise<PeerOutcome>>>, states: Readonly<Record<string, MemberState>> = {}) {
	const clock = new ManualClock();
	const requests: PeerRequest[] = [];
	const awaitedJobs = new AwaitedJobs({
		clock,
		peers: {
			getMembers: () => Object.keys(answers).map(id => createMember(id, states[id] ?? 'up')),
			async request(id, request, signal) {
				requests.push(request);
				return Promise.race([answers[id]!(), new Promise<PeerOutcome>(resolve => {
					signal!.addEventListener('abort', () => {
						resolve({kind: 'lost', detail: 'cancelled'});
					});
				})]);
			},
		},
	});
	return {clock, awaitedJobs, requests};
}

const answerWith = (...awaited: readonly string[]) => async (): Promise<PeerOutcome> => ({kind: 'answered', body: {awaited}});

test('a job is awaited if a caller of any VM waits for it in that pool', async t => {
	const {awaitedJobs} = createAwaitedJobs({a: answerWith('1'), b: answerWith('2')});
	const removeJob = awaitedJobs.addJob('dc1', '3');
	awaitedJobs.addJob('dc2', '4');
	t.deepEqual(await awaitedJobs.getUnawaitedJobs('dc1', ['1', '2', '3', '4', '5']), ['4', '5']);
	t.deepEqual(awaitedJobs.handleRequest({pool: 'dc1', jobs: ['3', '4']}), {awaited: ['3']});
	removeJob();
	t.deepEqual(awaitedJobs.handleRequest({pool: 'dc1', jobs: ['3', '4']}), {awaited: []});
	t.throws(() => awaitedJobs.handleRequest({pool: 'dc1'}));
});

test('no job counts as unawaited if a VM that may be alive does not answer in time, fails or answers something else', async t => {
	const answers: ReadonlyArray<() => Promise<PeerOutcome>> = [
		async () => new Promise(() => {/* Never answers. */}),
		async () => ({kind: 'lost', detail: 'reset'}),
		async () => ({kind: 'answered', body: {}}),
	];
	for (const answer of answers) {
		const {clock, awaitedJobs} = createAwaitedJobs({a: answerWith(), b: answer}, {b: 'silent'});
		let unawaited: readonly string[] | undefined;
		void (async () => {
			unawaited = await awaitedJobs.getUnawaitedJobs('dc1', ['1']);
		})();

		await clock.advance(200);
		t.deepEqual(unawaited, []);
	}
});

test('a VM that is down is not asked', async t => {
	const {awaitedJobs, requests} = createAwaitedJobs({a: answerWith(), b: async () => ({kind: 'lost', detail: 'down'})}, {b: 'down'});
	t.deepEqual(await awaitedJobs.getUnawaitedJobs('dc1', ['1']), ['1']);
	t.is(requests.length, 1);
});
