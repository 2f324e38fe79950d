/**
 * Signs of crashes that prove nothing, and tasks that are suspected for them.
 */
import test from 'ava';
import {
	CrashLedger, CrashReports, PoolOwner, type UpstreamOrders,
} from '../../src/pool/index.js';
import {ManualClock} from '../../src/testing/manual-clock.js';
import {
	createJob, createUpstream, PoolHarness, silentLog, typicalWork,
} from './pool-harness.js';

const patient = {remainingMs: 20_000, step: {estimateMs: 100}} as const;

/** Lets orders to some upstreams be refused at the connection, as by a firewall that rejects, although these work on. */
function refuseConnections(harness: PoolHarness, isRefused: (id: string) => boolean): void {
	const refused = {kind: 'unanswered', detail: 'connection refused', isRefused: true} as const;
	const {upstreams} = harness;
	const [startRun, stopRun, poll] = [upstreams.startRun.bind(upstreams), upstreams.stopRun.bind(upstreams), upstreams.poll.bind(upstreams)];
	upstreams.startRun = async options => isRefused(options.upstream.id) ? refused : startRun(options);
	upstreams.stopRun = async options => isRefused(options.upstream.id) ? refused : stopRun(options);
	upstreams.poll = async options => isRefused(options.upstream.id) ? refused : poll(options);
}

test('runs that a live upstream lists after it refused the first poll of a new owner are no crash', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 2000})});
	const first = harness.createOwner();
	await harness.clock.advance(300);
	harness.submit(first, 'a', {...patient, step: {estimateMs: 2000, taskCount: 2}});
	await harness.clock.advance(50);
	first.close();
	let isRefused = true;
	refuseConnections(harness, () => isRefused);
	const ledger = new CrashLedger(harness.clock);
	harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(50);
	isRefused = false;
	await harness.clock.advance(300);
	t.is(ledger.getJobVerdict('a'), 'clear');
});

test('a run that a live upstream accepts right after it refused a connection is no crash', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 300})});
	const ledger = new CrashLedger(harness.clock);
	let isRefused = false;
	refuseConnections(harness, () => isRefused);
	const owner = harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(300);
	isRefused = true;
	harness.submit(owner, 'a', patient);
	await harness.clock.advance(0);
	isRefused = false;
	await harness.clock.advance(45);
	harness.submit(owner, 'b', patient);
	await harness.clock.advance(1500);
	t.log(harness.upstreams.starts.map(({task, startedAt, end}) => `${task} ${startedAt} ${end}`), ledger.getFailedRuns('a'), ledger.getFailedRuns('b'));
	t.deepEqual([ledger.getJobVerdict('a'), ledger.getJobVerdict('b')], ['clear', 'clear']);
});

test('a task on two upstreams that refused connections for a while and work on is not failed', async t => {
	const harness = new PoolHarness({upstreamCount: 6, getWork: () => ({...typicalWork, durationMs: 800})});
	const refused = new Set<string>();
	refuseConnections(harness, id => refused.has(id));
	const owner = harness.createOwner();
	await harness.clock.advance(300);
	harness.submit(owner, 'a', {...patient, step: {estimateMs: 800}});
	for (let cuts = 0; cuts < 2; cuts++) {
		const position = cuts;
		while (harness.getStarts('a.0.0.0').length <= position) {
			await harness.clock.advance(10);
		}

		const {upstream} = harness.getStarts('a.0.0.0')[position]!;
		refused.add(upstream);
		await harness.clock.advance(1400);
		refused.delete(upstream);
	}

	await harness.clock.advance(2000);
	t.log(harness.upstreams.starts.map(({task, upstream, startedAt, end}) => `${task} ${upstream} ${startedAt} ${end}`));
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
});

test('a task whose starts were lost on two upstreams that restarted unseen is not failed', async t => {
	const harness = new PoolHarness({upstreamCount: 6, getWork: () => ({...typicalWork, durationMs: 300})});
	const restarted = new Set<string>();
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	harness.upstreams.startRun = async options => {
		const {id} = options.upstream;
		if (restarted.size < 2 && !restarted.has(id)) {
			restarted.add(id);
			const faults = harness.faults[harness.descriptions.findIndex(upstream => upstream.id === id)]!;
			faults.isCutOff = true;
			harness.upstreams.crash(id);
			harness.clock.setTimer(() => {
				harness.upstreams.addUpstream({...harness.descriptions.find(upstream => upstream.id === id)!, bornMs: harness.clock.getMonotonicTime()});
				faults.isCutOff = false;
			}, 800);
		}

		return startRun(options);
	};

	const owner = harness.createOwner();
	await harness.clock.advance(300);
	harness.submit(owner, 'a', {...patient, step: {estimateMs: 300}});
	await harness.clock.advance(8000);
	t.is(harness.logLines.filter(({message}) => message === 'upstream crashed').length, 2);
	t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});

test('a task beside one that crashes its upstreams is not failed if the crashes show late', async t => {
	const harness = new PoolHarness({upstreamCount: 6, cpu: 24_000, getWork: () => ({...typicalWork, durationMs: 200})});
	// The host goes with the upstream: silence first, and another instance after some seconds.
	const {startRun} = harness.upstreams;
	harness.upstreams.startRun = async options => {
		const outcome = await startRun.call(harness.upstreams, options);
		if (outcome.kind === 'done' && options.run.task.startsWith('deadly.')) {
			harness.clock.setTimer(() => {
				const {id} = options.upstream;
				const faults = harness.faults[harness.descriptions.findIndex(upstream => upstream.id === id)]!;
				faults.isCutOff = true;
				harness.upstreams.crash(id);
				harness.clock.setTimer(() => {
					faults.isCutOff = false;
					harness.upstreams.addUpstream({...harness.descriptions.find(upstream => upstream.id === id)!, bornMs: harness.clock.getMonotonicTime()});
				}, 3000);
			}, 30);
		}

		return outcome;
	};

	const owner = harness.createOwner();
	await harness.clock.advance(300);
	// Same step, so that they start together and on the same upstream.
	for (const id of ['deadly', 'sound0', 'sound1']) {
		harness.submit(owner, id, {...patient, step: {estimateMs: 200}});
	}

	await harness.clock.advance(15_000);
	t.log(harness.upstreams.starts.map(({task, upstream, startedAt, end}) => `${task} ${upstream} ${startedAt} ${end}`));
	t.deepEqual([harness.outcomes.get('sound0')?.kind, harness.outcomes.get('sound1')?.kind], ['completed', 'completed']);
});

test('suspects start while another one waits for the lease of an upstream that has crashed', async t => {
	const harness = new PoolHarness({upstreamCount: 4, getWork: () => ({...typicalWork, durationMs: 100})});
	const ledger = new CrashLedger(harness.clock);
	ledger.addFailedRuns(['first', 'second'].map(id => ({
		task: `${id}.0.0.0`, number: 1, upstream: 'x', bornMs: 1, cause: 'crash',
	})));
	const owner = harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(300);
	harness.submit(owner, 'first', patient);
	await harness.clock.advance(20);
	harness.upstreams.crash(harness.getStarts('first.0.0.0')[0]!.upstream);
	await harness.clock.advance(20);
	harness.submit(owner, 'second', patient);
	await harness.clock.advance(500);
	t.is(harness.getStarts('second.0.0.0').length, 1);
});

test('suspects do not take all upstreams of a service in a pool that has others', async t => {
	const harness = new PoolHarness({upstreamCount: 0, getWork: () => ({...typicalWork, durationMs: 400})});
	const descriptions = Array.from({length: 8}, (_, position) => ({...createUpstream(`v${position}`, 16_000), service: position < 2 ? 's' : 'other'}));
	for (const description of descriptions) {
		harness.upstreams.addUpstream(description);
	}

	const ledger = new CrashLedger(harness.clock);
	const suspects = ['suspect0', 'suspect1', 'suspect2', 'suspect3'];
	ledger.addFailedRuns(suspects.map(id => ({
		task: `${id}.0.0.0`, number: 1, upstream: 'x', bornMs: 1, cause: 'crash',
	})));
	const owner = harness.createOwner(descriptions, undefined, ledger);
	await harness.clock.advance(300);
	const rules = {...createJob('x').rules, slackMs: 5000};
	for (const id of suspects) {
		harness.submit(owner, id, {...patient, rules});
	}

	harness.submit(owner, 'sound', {...patient, rules});
	await harness.clock.advance(300);
	t.is(harness.getStarts('sound.0.0.0').length, 1);
});

test('the runs of an upstream that is cut off are reported in few messages', async t => {
	const small = {needs: {cpu: 1000, memoryMb: 64, accelerators: 0}, durationMs: 5000};
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => small});
	const ledger = new CrashLedger(harness.clock);
	let messageCount = 0;
	const incarnation = {id: 'other', dataCenter: 'dc1'};
	const reports = new CrashReports({
		clock: harness.clock,
		ledger,
		log: silentLog,
		peers: {
			getMembers: () => [{incarnation, state: 'up'}],
			sendControl() {
				messageCount++;
				return true;
			},
			request: async () => ({kind: 'answered', body: {}}),
		} as unknown as ConstructorParameters<typeof CrashReports>[0]['peers'],
	});
	const owner = harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(300);
	harness.submit(owner, 'a', {...patient, step: {taskCount: 16, needs: small.needs, estimateMs: 5000}});
	await harness.clock.advance(50);
	t.is(harness.upstreams.starts.length, 16);
	harness.faults[0]!.isCutOff = true;
	await harness.clock.advance(2500);
	reports.close();
	t.log(messageCount);
	t.true(messageCount > 0 && messageCount <= 2);
});

test('lost runs are forgotten after their retention although no other one is added', async t => {
	const harness = new PoolHarness();
	const ledger = new CrashLedger(harness.clock);
	ledger.addFailedRuns([{
		task: 'a.0.0.0', number: 1, upstream: 'x', bornMs: 1, cause: 'crash',
	}]);
	await harness.clock.advance(61_000);
	t.is(ledger.getVerdict('a.0.0.0'), 'clear');
	t.false(ledger.hasFailedRuns('a'));
});

test('a crash that shows long after the lease of a run has ended is not blamed on its task', async t => {
	const harness = new PoolHarness({upstreamCount: 2});
	const ledger = new CrashLedger(harness.clock);
	const owner = harness.createOwner(undefined, undefined, ledger);
	await harness.clock.advance(300);
	harness.submit(owner, 'a', patient);
	await harness.clock.advance(20);
	const {upstream} = harness.getStarts('a.0.0.0')[0]!;
	const faults = harness.faults[harness.descriptions.findIndex(({id}) => id === upstream)]!;
	faults.isCutOff = true;
	await harness.clock.advance(10_000);
	t.is(harness.getStarts('a.0.0.0')[0]!.end, 'done');
	// Only now the instance goes, with nothing on it.
	harness.upstreams.crash(upstream);
	faults.isCutOff = false;
	await harness.clock.advance(300);
	t.is(ledger.getVerdict('a.0.0.0'), 'clear');
});
