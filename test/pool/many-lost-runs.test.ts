/**
 * Jobs of many tasks that are lost together with their upstream.
 */
import test from 'ava';
import {
	CrashLedger, type FailedRunRecord, TaskRecords, type TaskVerdict,
} from '../../src/pool/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {createJob, PoolHarness} from './pool-harness.js';

const needs = {cpu: 50, memoryMb: 16, accelerators: 0};
const durationMs = 4000;
const taskCount = 300;
const largeJob = {step: {taskCount, needs, estimateMs: durationMs}, rules: {...createJob('a').rules, slackMs: 20_000}, remainingMs: 20_000};

/** Creates upstreams of which one holds all tasks of the job. */
function createHarness(): PoolHarness {
	return new PoolHarness({cpu: 32_000, getWork: () => ({needs, durationMs})});
}

/** Ledger that counts how often it is asked for single tasks. */
class CountingLedger extends CrashLedger {
	failureCountReads = 0;
	verdictReads = 0;

	override getFailureCount(task: string): number {
		this.failureCountReads++;
		return super.getFailureCount(task);
	}

	override getVerdict(task: string): TaskVerdict {
		this.verdictReads++;
		return super.getVerdict(task);
	}
}

// Guards against an owner that answers nothing after a crash: each lost run made it examine all failed runs of the job for each of its tasks.
test('the loss of many runs of a job takes work in proportion to their number', async t => {
	const harness = createHarness();
	const ledger = new CountingLedger(harness.clock);
	const owner = harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(100);
	harness.submit(owner, 'a', largeJob);
	await harness.clock.advance(1000);
	const {upstream} = harness.upstreams.starts[0]!;
	t.is(harness.upstreams.starts.filter(start => start.upstream === upstream).length, taskCount);
	harness.restart(upstream);
	// The runs are lost by the end of their leases, before the next instance answers.
	await harness.clock.advance(2500);
	t.is(harness.logLines.filter(({message}) => message === 'run ended without success').length, taskCount);
	t.true(ledger.failureCountReads <= 4 * taskCount, `${ledger.failureCountReads} reads`);
	t.false(harness.outcomes.has('a'));
	owner.close();
});

// Guards against an owner that answers nothing while it starts a large job: each start examined the leases of all runs on its upstream.
test('the start of many tasks on one upstream takes work in proportion to their number', async t => {
	const harness = createHarness();
	const owner = harness.createOwner();
	await harness.clock.advance(100);
	let confirmationReads = 0;
	const getConfirmedAt = (): number => {
		confirmationReads++;
		return harness.clock.getMonotonicTime();
	};

	harness.submit(owner, 'a', largeJob, undefined, {getConfirmedAt});
	await harness.clock.advance(10);
	t.deepEqual([harness.upstreams.starts.length, new Set(harness.upstreams.starts.map(({upstream}) => upstream)).size], [taskCount, 1]);
	t.true(confirmationReads <= 10 * taskCount, `${confirmationReads} reads`);
	owner.close();
});

test('a task of a large job that fails too often ends its job', async t => {
	const harness = createHarness();
	const ledger = new CrashLedger(harness.clock);
	const owner = harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(100);
	harness.submit(owner, 'a', largeJob);
	await harness.clock.advance(1000);
	ledger.mergeFailedRuns([1, 2, 3].map(number => ({
		task: `a.0.0.${taskCount - 1}`, number, upstream: `u${number}`, bornMs: 1, cause: 'failed', ageMs: 0,
	})));
	await harness.clock.advance(100);
	t.like(harness.outcomes.get('a'), {kind: 'failed'});
	owner.close();
});

test('what the records of a task mean is determined once, and again when one is added, removed or too old', t => {
	let reads = 0;
	const createRecord = (cause: FailedRunRecord['cause'], number: number): FailedRunRecord => ({
		task: 'a.0.0.0', number, upstream: `u${number}`, bornMs: 1, job: 'a', recordedAt: 0,
		get cause() {
			reads++;
			return cause;
		},
	});
	const records = new TaskRecords(60_000);
	records.add('1', createRecord('refused', 1));
	t.is(records.getVerdict(0), 'suspect');
	const readsOfOne = reads;
	for (let now = 0; now < 8000; now++) {
		t.is(records.getVerdict(now), 'suspect');
		t.is(records.getFailureCount(now), 0);
	}

	t.is(reads, readsOfOne);
	// A refused connection stops counting.
	t.is(records.getVerdict(8000), 'clear');
	records.add('2', createRecord('crash', 2));
	t.is(records.getVerdict(8000), 'suspect');
	records.add('3', createRecord('failed', 3));
	t.is(records.getFailureCount(8000), 1);
	records.remove('2');
	t.is(records.getVerdict(8000), 'clear');
	t.is(records.getFailureCount(59_999), 1);
	t.is(records.getFailureCount(60_000), 0);
});

test('a ledger with the failed runs of many tasks tells those of one task, and the worst of the job', async t => {
	const clock = new ManualClock();
	const ledger = new CrashLedger(clock);
	const createRuns = (bornMs: number, count: number) => Array.from({length: count}, (_, position) => ({
		task: `a.0.0.${position}`, number: bornMs, upstream: 'u0', bornMs, cause: 'crash' as const,
	}));
	const {revision} = ledger;
	ledger.addFailedRuns(createRuns(1, 500));
	t.not(ledger.revision, revision);
	t.is(ledger.getJobVerdict('a'), 'suspect');
	ledger.addFailedRuns(createRuns(2, 1));
	ledger.addFailedRuns(createRuns(3, 1));
	t.deepEqual(['a.0.0.0', 'a.0.0.1', 'a.0.0.500', 'a.0.0'].map(task => ledger.getVerdict(task)), ['deadly', 'suspect', 'clear', 'clear']);
	t.is(ledger.getJobVerdict('a'), 'deadly');
	t.deepEqual(ledger.getGivenUpOutcome(createJob('a')), {kind: 'failed'});
	t.is(ledger.getFailedRuns('a', 'a.0.0.0').length, 3);
	t.is(ledger.getFailedRuns('a').length, 502);
	await clock.advance(60_000);
	t.is(ledger.getJobVerdict('a'), 'clear');
	t.deepEqual(ledger.getFailedRuns('a'), []);
});
