import {Buffer} from 'node:buffer';
import test from 'ava';
import {type UpstreamOutcome} from '../../src/connection/index.js';
import {type ListedUpstream} from '../../src/platform/index.js';
import {
	AdoptedRecords, Coordinator, EventLog, JobRunner, type ScheduledJob, type SubmitOperation, type TaskScheduler,
} from '../../src/process/index.js';
import {type CallerAnswer} from '../../src/request/index.js';
import {createSeededRandom, systemClock} from '../../src/seams/index.js';
import {configurationSchema} from '../../src/version/index.js';

const upstream: ListedUpstream = {
	kind: 'upstream', name: 'u1', dataCenter: 'd1', state: 'live', service: 'seats', address: '127.0.0.1:1',
	slots: 1, connections: 1, cores: 0, memoryMb: 0, accelerators: 0, rack: '',
};
const answered: UpstreamOutcome = {
	kind: 'answered', status: 200, headers: [], body: Buffer.from('done'),
};
const configuration = configurationSchema.parse({
	version: 1, changeId: 'c', declarations: {profiles: {p: {}}, services: {seats: {profile: 'p'}}},
});

/** Creates a coordinator whose scheduler starts a task only when the test calls `startTask`. */
function setUp(options: {maxRecordsPerPeriod?: number; maxAnswerBytes?: number; admits?: boolean} = {}) {
	const queuedJobs = new Map<string, ScheduledJob>();
	const pendingRuns: Array<(outcome: UpstreamOutcome) => void> = [];
	const scheduler: TaskScheduler = {
		addJob(job) {
			if (options.admits === false) {
				return {
					admitted: false, reason: 'queue-full', detail: 'full', retryAfterMs: 1000,
				};
			}

			queuedJobs.set(job.id, job);
			return {admitted: true};
		},
		removeJob: id => queuedJobs.delete(id) ? 1 : 0,
		getStatus: () => ({upstreams: [], queues: [], teams: []}),
		async close() {
			queuedJobs.clear();
		},
	};
	const events = new EventLog({process: 'test'});
	const incarnation = {dataCenter: 'd1', vm: 'e1', id: 'e1-0'};
	const runner = new JobRunner({
		clock: systemClock,
		events,
		scheduler,
		upstreamClient: {
			run: async () => new Promise(resolve => {
				pendingRuns.push(resolve);
			}),
		},
		getConfiguration: () => configuration,
		maxAnswerBytes: 1000,
		maxJobsInFlight: 10,
	});
	const coordinator = new Coordinator({
		clock: systemClock, random: createSeededRandom(1), events, incarnation, runner, records: options,
	});
	const submit = (key: string, change: Partial<SubmitOperation> = {}): SubmitOperation => ({
		kind: 'submit', period: 1, key, attempt: 1, content: createContent('a'), ...change,
	});
	/** Starts the task of a job if the job is still queued; returns whether it was. */
	const startTask = (key: string): boolean => {
		const job = queuedJobs.get(`d1.e1.e1-0.1/${key}`);
		void job?.tasks[0]!.run(upstream, 1);
		return job !== undefined;
	};

	return {
		coordinator, runner, submit, startTask, pendingRuns, incarnation,
	};
}

function createContent(text: string): SubmitOperation['content'] {
	return {kind: 'job', body: Buffer.from(JSON.stringify({service: 'seats', tasks: [{path: `/${text}`}]}))};
}

async function getOutcome(answer: Promise<CallerAnswer>): Promise<string | undefined> {
	const {outcome} = await answer;
	return outcome;
}

async function getProblem(answer: Promise<CallerAnswer>): Promise<string | undefined> {
	const {problem} = await answer;
	return problem;
}

test('a second submission joins the running job and gets the same answer', async t => {
	const {coordinator, submit, startTask, pendingRuns} = setUp();
	const first = coordinator.performOperation(submit('k'));
	const second = coordinator.performOperation(submit('k'));
	startTask('k');
	t.is(pendingRuns.length, 1);
	pendingRuns[0]!(answered);
	const [firstAnswer, secondAnswer] = await Promise.all([first, second]);
	t.is(firstAnswer.outcome, 'complete');
	t.deepEqual(firstAnswer, secondAnswer);
	t.deepEqual(await coordinator.performOperation(submit('k')), firstAnswer);
	t.is(coordinator.getCounters().submitted, 1);
	coordinator.close();
});

test('the same id with another body is refused and does not run', async t => {
	const {coordinator, submit} = setUp();
	void coordinator.performOperation(submit('k'));
	const answer = await coordinator.performOperation(submit('k', {content: createContent('b')}));
	t.is(answer.problem, 'body-differs');
	t.is(answer.outcome, 'not_run');
	coordinator.close();
});

test('a refused id runs only at a higher attempt', async t => {
	const options = {admits: false};
	const {coordinator, submit, startTask} = setUp(options);
	t.is(await getOutcome(coordinator.performOperation(submit('k'))), 'not_run');
	options.admits = true;
	t.is(await getOutcome(coordinator.performOperation(submit('k'))), 'not_run');
	t.false(startTask('k'));
	void coordinator.performOperation(submit('k', {attempt: 2}));
	t.true(startTask('k'));
	coordinator.close();
});

test('an id cancelled before its submission does not run', async t => {
	const {coordinator, submit, startTask} = setUp();
	const cancelled = await coordinator.performOperation({
		kind: 'cancel', period: 1, key: 'k', attempt: 1,
	});
	t.is(cancelled.outcome, 'not_run');
	t.is(await getProblem(coordinator.performOperation(submit('k'))), 'cancelled');
	t.false(startTask('k'));
	coordinator.close();
});

test('a job cancelled before its first task started is not_run, and failed afterwards', async t => {
	const {coordinator, submit, startTask} = setUp();
	void coordinator.performOperation(submit('queued'));
	void coordinator.performOperation(submit('started'));
	startTask('started');
	const cancel = async (key: string) => coordinator.performOperation({
		kind: 'cancel', period: 1, key, attempt: 1,
	});
	t.is(await getOutcome(cancel('queued')), 'not_run');
	t.false(startTask('queued'));
	t.is(await getOutcome(cancel('started')), 'failed');
	coordinator.close();
});

test('an id of an expired period is answered as unknown and does not run', async t => {
	const {coordinator, submit, startTask} = setUp();
	for (let period = 0; period < 10; period++) {
		coordinator.getRecords().advancePeriod();
	}

	t.is(await getOutcome(coordinator.performOperation(submit('k'))), 'unknown');
	t.false(startTask('k'));
	coordinator.close();
});

test('a running job keeps its record after its period has expired', async t => {
	const {coordinator, submit, startTask, pendingRuns} = setUp();
	const first = coordinator.performOperation(submit('k'));
	startTask('k');
	for (let period = 0; period < 10; period++) {
		coordinator.getRecords().advancePeriod();
	}

	const joined = coordinator.performOperation(submit('k'));
	pendingRuns[0]!(answered);
	t.is(await getOutcome(first), 'complete');
	t.is(await getOutcome(joined), 'complete');
	t.is(coordinator.getRecords().getRecordCount(), 0);
	coordinator.close();
});

test('a full period ends early, so that the number of records is bounded', async t => {
	const {coordinator, submit} = setUp({maxRecordsPerPeriod: 2, admits: false});
	for (let index = 0; index < 100; index++) {
		await coordinator.performOperation(submit(`k${index}`, {period: coordinator.getRecords().getPeriod()}));
	}

	t.true(coordinator.getRecords().getRecordCount() <= 20);
	coordinator.close();
});

test('a duplicate submission gets answer-not-kept after the answer was evicted, and does not run', async t => {
	const {coordinator, submit, startTask, pendingRuns} = setUp({maxAnswerBytes: 0});
	const first = coordinator.performOperation(submit('k'));
	startTask('k');
	pendingRuns[0]!(answered);
	t.is(await getOutcome(first), 'complete');
	const again = await coordinator.performOperation(submit('k'));
	t.is(again.problem, 'answer-not-kept');
	t.is(again.outcome, 'failed');
	t.is(pendingRuns.length, 1);
	coordinator.close();
});

test('a successor answers a completed job from its records, and an id that was never submitted with not_run', async t => {
	const {coordinator, runner, submit, startTask, pendingRuns, incarnation} = setUp();
	const first = coordinator.performOperation(submit('k'));
	startTask('k');
	runner.stop();
	t.is(await getProblem(coordinator.performOperation(submit('late'))), 'stopping');
	pendingRuns[0]!(answered);
	const answer = await first;
	await runner.waitUntilIdle();
	const adopted = new AdoptedRecords({incarnation, period: 1}, coordinator.getSavedRecords());
	t.deepEqual(adopted.performOperation(submit('k')), answer);
	t.is(adopted.performOperation(submit('late')).problem, 'stopping');
	t.is(adopted.performOperation(submit('new')).outcome, 'not_run');
	t.is(adopted.performOperation(submit('new', {period: 2})).outcome, 'unknown');
	coordinator.close();
});

test('the internal id of a request without an id never equals the id of a submitted job', t => {
	const {coordinator, runner, submit, startTask} = setUp();
	void coordinator.runOnce(createContent('a'));
	for (const key of ['1', 'once-1', '.1']) {
		void coordinator.performOperation(submit(key));
		t.true(startTask(key));
	}

	t.is(runner.getRunningCount(), 4);
	coordinator.close();
});

test('a submission with a wait of 0 is answered as running', async t => {
	const {coordinator, submit} = setUp();
	const answer = await coordinator.performOperation(submit('k', {waitMs: 0}));
	t.is(answer.status, 202);
	t.is(answer.outcome, undefined);
	coordinator.close();
});
