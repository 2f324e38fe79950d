/**
 * Runs on an upstream that restarts under its identifier and knows nothing of its former instance.
 */
import test from 'ava';
import {type LendOutcome, type PoolOwner} from '../../src/pool/index.js';
import {createJob, PoolHarness, typicalWork} from './pool-harness.js';

test('a lent run does not count as ended while an earlier send of its start may be carried out by a restarted upstream', async t => {
	const harness = new PoolHarness({upstreamCount: 1, getWork: () => ({...typicalWork, durationMs: 800})});
	const owner = harness.createOwner();
	await harness.clock.advance(50);
	const [faults] = harness.faults;
	const lateMs = [700];
	faults!.reachesNextInstance = true;
	faults!.getLateMs = () => lateMs.pop() ?? 0;
	const {steps: [step], spec} = createJob('a');
	const ends: Array<{readonly at: number; readonly outcome: LendOutcome}> = [];
	void (async () => {
		const outcome = await owner.runLent({
			task: 'a.0.0.0', number: 1, spec, service: 's', step: step!, expectedMs: 800,
		}, new AbortController().signal);
		ends.push({at: harness.clock.getMonotonicTime(), outcome});
	})();

	await harness.clock.advance(400);
	harness.upstreams.crash('u0');
	await harness.clock.advance(20);
	harness.upstreams.addUpstream({...harness.descriptions[0]!, bornMs: 2});
	await harness.clock.advance(2500);
	t.is(ends.length, 1);
	t.true(harness.upstreams.starts.every(({startedAt, endedAt = Infinity}) => startedAt < ends[0]!.at && endedAt <= ends[0]!.at));
});

/** Creates a harness whose upstreams are so old that a late order has not expired by the clock of a new instance. */
async function createAgedHarness(durationMs: number): Promise<{readonly harness: PoolHarness; readonly owner: PoolOwner}> {
	const harness = new PoolHarness({upstreamCount: 2, getWork: () => ({...typicalWork, durationMs})});
	const owner = harness.createOwner();
	await harness.clock.advance(5000);
	return {harness, owner};
}

/** Delays the first start order; the next instance of its upstream may carry it out. */
function delayFirstOrder(harness: PoolHarness, delayMs: number): void {
	const lateMs = [delayMs];
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	harness.upstreams.startRun = async options => {
		const faults = harness.faults[harness.descriptions.findIndex(({id}) => id === options.upstream.id)]!;
		const late = lateMs.pop();
		faults.reachesNextInstance = true;
		faults.getLateMs = late === undefined ? undefined : () => late;
		const outcome = startRun(options);
		harness.clock.setTimer(() => {
			faults.getLateMs = undefined;
		}, 1);
		return outcome;
	};
}

function restart(harness: PoolHarness, id: string): void {
	harness.upstreams.crash(id);
	harness.upstreams.addUpstream({...harness.descriptions.find(upstream => upstream.id === id)!, bornMs: 2});
}

for (const isFailing of [false, true]) {
	test(`a run that was listed as ${isFailing ? 'failed' : 'done'} is not started again by an earlier send of its start on the next instance of its upstream`, async t => {
		const {harness, owner} = await createAgedHarness(2400);
		delayFirstOrder(harness, 4000);
		harness.submit(owner, 'a', {step: {estimateMs: 2400}, remainingMs: 20_000});
		await harness.clock.advance(400);
		const [first] = harness.upstreams.starts;
		harness.faults[harness.descriptions.findIndex(({id}) => id === first!.upstream)]!.isFailing = isFailing;
		await harness.clock.advance(2200);
		t.is(first!.end, isFailing ? 'failed' : 'done');
		restart(harness, first!.upstream);
		// The owner polls the new instance well before the late order arrives there.
		await harness.clock.advance(1000);
		t.true(harness.logLines.some(({message}) => message === 'upstream restarted'));
		t.is(harness.upstreams.starts.length, isFailing ? 2 : 1);
		await harness.clock.advance(4000);
		t.log(harness.upstreams.starts.map(({upstream, number, startedAt, endedAt, end}) => [upstream, number, startedAt, endedAt, end].join(' ')));
		t.deepEqual(harness.outcomes.get('a'), {kind: 'completed'});
		t.deepEqual(harness.upstreams.getDoubleRuns(), []);
		t.is(harness.upstreams.starts.length, isFailing ? 2 : 1);
	});
}

test('a task does not run twice when an upstream that restarts behind a cut carries out a late start', async t => {
	const {harness, owner} = await createAgedHarness(1500);
	const upstreams: string[] = [];
	delayFirstOrder(harness, 2500);
	const startRun = harness.upstreams.startRun.bind(harness.upstreams);
	harness.upstreams.startRun = async options => {
		upstreams.push(options.upstream.id);
		return startRun(options);
	};

	harness.submit(owner, 'a', {step: {estimateMs: 1500}, remainingMs: 20_000});
	await harness.clock.advance(20);
	const [id] = upstreams;
	harness.faults[harness.descriptions.findIndex(upstream => upstream.id === id)]!.isCutOff = true;
	restart(harness, id!);
	await harness.clock.advance(6000);
	t.log(harness.upstreams.starts.map(({upstream, number, startedAt, endedAt, end}) => [upstream, number, startedAt, endedAt, end].join(' ')));
	t.deepEqual(harness.upstreams.getDoubleRuns(), []);
});
