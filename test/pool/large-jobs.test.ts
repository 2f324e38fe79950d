/**
 * Jobs that take much memory: their bodies are small, and their numbers of tasks or steps are not.
 */
import test from 'ava';
import {createImmediateProgress, type PeerNetwork} from '../../src/connection/index.js';
import {
	CrashLedger, getCriticalPathMs, getJobSize, JobSizeBudget, maxJobSize, PauseDetector, type PoolDirectory, type PoolJobOutcome, QueuedJob,
} from '../../src/pool/index.js';
import {DurationEstimator} from '../../src/scheduling/index.js';
import {PoolRouter} from '../../src/pool/pool-router.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {
	createJob, PoolHarness, silentLog, typicalWork,
} from './pool-harness.js';

const tinyStep = {needs: {cpu: 1, memoryMb: 0, accelerators: 0}, estimateMs: 1, after: []};
const hugeNeeds = {...typicalWork.needs, cpu: 200_000};
const patientRules = {...createJob('a').rules, slackMs: 100_000};

/** Creates a router whose owners change with each call of `loseOwner`. */
function createRouter(request: (ownerId: string) => Promise<unknown>, jobSizes?: JobSizeBudget): {readonly router: PoolRouter; readonly clock: ManualClock; readonly loseOwner: () => void} {
	const clock = new ManualClock();
	let fence = 1;
	const router = new PoolRouter({
		clock, inputProgress: createImmediateProgress(clock),
		random: createSeededRandom(1),
		log: silentLog,
		selfId: 'vm',
		dataCenter: 'dc1',
		peers: {request: async (ownerId: string) => request(ownerId)} as unknown as PeerNetwork,
		directory: {
			getViews: () => [{
				pool: 'dc1', isNear: true, isOwn: false, ownerId: 'other', cores: 16, freeCpu: 16_000, rooms: [16_000], queuedWork: 0,
			}],
			addSentJob() {/* Not needed here. */},
			getOwner: () => ({id: `owner-${fence}`, claims: {dc1: fence}}),
		} as unknown as PoolDirectory,
		getOwner: () => undefined,
		hasReachableVm: () => true,
		hasCededPools: () => false,
		ledger: new CrashLedger(clock),
		pauses: new PauseDetector({clock}),
		jobSizes,
	});
	return {
		router,
		clock,
		loseOwner() {
			fence++;
		},
	};
}

// Guards against owners that run out of memory: an object for each task was created before the admission.
test('a job with more tasks than the limit is refused, although they fit', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'a', {steps: [{...tinyStep, taskCount: maxJobSize}]});
	await harness.clock.advance(0);
	t.like(harness.outcomes.get('a'), {kind: 'refused', reason: 'does-not-fit'});
	t.is(owner.getJobCount(), 0);
});

test('a job that fits no upstream is refused before its tasks are created', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	harness.submit(owner, 'a', {step: {taskCount: maxJobSize - 1, needs: hugeNeeds}});
	await harness.clock.advance(0);
	t.like(harness.outcomes.get('a'), {kind: 'refused', reason: 'does-not-fit'});
	const job = new QueuedJob(createJob('b', {step: {taskCount: 5_000_000}}), 0, new DurationEstimator());
	t.is(job.taskCount, 5_000_000);
	t.false(job.hasRuns() || job.isDone());
	t.is(job.getRunCount(), 0);
});

test('a job of which only one step fits no upstream is refused at once', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	const step = {...tinyStep, taskCount: 1, needs: typicalWork.needs};
	harness.submit(owner, 'a', {steps: [step, {...step, needs: {...step.needs, memoryMb: 1_000_000}}]});
	await harness.clock.advance(0);
	t.like(harness.outcomes.get('a'), {kind: 'refused', reason: 'does-not-fit'});
});

test('jobs that wait are limited by the sum of their tasks, and leave room when they end', async t => {
	const harness = new PoolHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	// The task fits, and waits for the end of those before it.
	harness.submit(owner, 'long', {step: {taskCount: 4, needs: {...typicalWork.needs, cpu: 16_000}}, rules: patientRules});
	await harness.clock.advance(10);
	for (let position = 0; position < 8; position++) {
		harness.submit(owner, `job-${position}`, {steps: [{...tinyStep, taskCount: 9000, needs: {...tinyStep.needs, cpu: 100}}], rules: patientRules, remainingMs: 100_000});
	}

	await harness.clock.advance(1);
	const refused = [...harness.outcomes.values()];
	t.deepEqual(refused.map(outcome => outcome.kind === 'refused' ? outcome.reason : outcome.kind), ['overloaded', 'overloaded']);
	owner.close();
	await harness.clock.advance(1);
	t.is(harness.outcomes.size, 9);
});

test('an entry VM refuses a job that is too large, without sending it', async t => {
	const sent: string[] = [];
	const {router} = createRouter(async ownerId => {
		sent.push(ownerId);
		return {kind: 'answered', body: {outcome: {kind: 'completed'}}};
	});
	const steps = Array.from({length: 50}, () => ({...tinyStep, taskCount: 10_000, needs: hugeNeeds}));
	t.is(getJobSize(steps), 500_050);
	t.like(await router.submit(createJob('a', {steps}), 1500, new AbortController().signal), {kind: 'refused', reason: 'does-not-fit'});
	t.deepEqual(sent, []);
});

test('an entry VM limits the steps of the jobs that it waits for', async t => {
	const jobSizes = new JobSizeBudget(10);
	const answers: Array<() => void> = [];
	const {router} = createRouter(async () => new Promise(resolve => {
		answers.push(() => {
			resolve({kind: 'answered', body: {outcome: {kind: 'completed'}}});
		});
	}), jobSizes);
	const steps = Array.from({length: 6}, () => ({...tinyStep, taskCount: 1}));
	const submit = async (id: string): Promise<PoolJobOutcome> => router.submit(createJob(id, {steps}), 1500, new AbortController().signal);
	const first = submit('a');
	t.like(await submit('b'), {kind: 'refused', reason: 'overloaded'});
	while (answers.length === 0) {
		await Promise.resolve();
	}

	answers[0]!();
	t.deepEqual(await first, {kind: 'completed'});
	t.is(jobSizes.getTotal(), 0);
});

test('a job with which two owners were lost is not brought to a third one', async t => {
	const sent: string[] = [];
	const {router, clock, loseOwner} = createRouter(async ownerId => {
		sent.push(ownerId);
		loseOwner();
		return {kind: 'lost', detail: 'the job connection ended'};
	});
	const outcome = router.submit(createJob('a'), 1500, new AbortController().signal);
	await clock.advance(2000);
	t.deepEqual(sent, ['owner-1', 'owner-2']);
	t.like(await outcome, {kind: 'interrupted'});
});

test('a step with a very long list of steps before it has a critical path', t => {
	const after = Array.from({length: 500_000}, () => 0);
	t.is(getCriticalPathMs([{...tinyStep, taskCount: 1, estimateMs: 5}, {...tinyStep, taskCount: 1, after}]), 6);
});
