import test from 'ava';
import {Evacuations, type LogFields, type PoolJobOutcome} from '../../src/pool/index.js';
import {choosePool, type PoolView} from '../../src/scheduling/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {
	ManualClock, SimulatedPools, type SimulatedUpstreamFaults, SimulatedUpstreams,
} from '../../src/testing/index.js';
import {
	createJob, createUpstream, silentLog, typicalWork,
} from './pool-harness.js';

type PoolsFixture = {
	readonly clock: ManualClock;
	readonly evacuations: Evacuations;
	readonly upstreams: SimulatedUpstreams;
	readonly faults: readonly SimulatedUpstreamFaults[];
	readonly pools: SimulatedPools;
	readonly settled: Array<{readonly id: string; readonly outcome: PoolJobOutcome; readonly at: number}>;
	readonly lines: Array<{readonly message: string; readonly fields: LogFields}>;
	readonly submit: (pool: string, id: string, options?: Parameters<typeof createJob>[1]) => void;
	readonly getStarts: (dataCenter: string) => readonly string[];
};

/** Creates two pools of two upstreams each; each upstream holds two typical tasks. */
async function createPools(): Promise<PoolsFixture> {
	const clock = new ManualClock();
	const evacuations = new Evacuations();
	const upstreams = new SimulatedUpstreams({clock, getWork: () => typicalWork});
	const descriptions = ['a', 'b'].flatMap(dataCenter => [1, 2].map(position => ({...createUpstream(`${dataCenter}${position}`, 16_000), dataCenter})));
	const faults = descriptions.map(description => upstreams.addUpstream(description));
	const lines: Array<{readonly message: string; readonly fields: LogFields}> = [];
	const addLine = (fields: LogFields, message: string): void => {
		lines.push({message, fields});
	};

	const pools = new SimulatedPools({
		clock, log: {...silentLog, info: addLine, warn: addLine}, orders: upstreams, upstreams: descriptions, evacuations,
	});
	const settled: Array<{readonly id: string; readonly outcome: PoolJobOutcome; readonly at: number}> = [];
	await clock.advance(300);
	return {
		clock, evacuations, upstreams, faults, pools, settled, lines,
		submit(pool, id, options) {
			void (async () => {
				const outcome = await pools.getOwner(pool).submit(createJob(id, options));
				settled.push({id, outcome, at: clock.getMonotonicTime()});
			})();
		},
		getStarts: dataCenter => upstreams.starts.filter(({upstream}) => upstream.startsWith(dataCenter)).map(({task}) => task),
	};
}

const patient = {...createJob('patient').rules, slackMs: 1000};

test('an evacuated pool starts nothing more: running tasks end, and the queued ones of started jobs run in another pool', async t => {
	const {clock, evacuations, settled, submit, getStarts, pools} = await createPools();
	submit('b', 'other', {step: {taskCount: 4}});
	submit('a', 'wide', {step: {taskCount: 6}, rules: patient});
	await clock.advance(20);
	t.is(getStarts('a').length, 4);
	evacuations.setState({revision: 2, dataCenters: ['a']});
	t.like(pools.getOwner('a').getLoad(), {cores: 0, freeCpu: 0, rooms: []});
	await clock.advance(400);
	t.like(settled.find(({id}) => id === 'wide'), {outcome: {kind: 'completed'}});
	t.is(getStarts('a').length, 4);
	t.is(getStarts('b').filter(task => task.startsWith('wide')).length, 2);
});

test('queued jobs that have not started are released at once, the most urgent first, and new ones are refused as not run', async t => {
	const {clock, evacuations, settled, submit, getStarts, lines} = await createPools();
	submit('b', 'other', {step: {taskCount: 4}, rules: patient});
	submit('a', 'running', {step: {taskCount: 4}, rules: patient});
	await clock.advance(20);
	for (const [id, priority] of [['low', 2], ['high', 0], ['middle', 1]] as const) {
		submit('a', id, {rules: {...patient, priority}});
	}

	await clock.advance(5);
	const at = clock.getMonotonicTime();
	evacuations.setState({revision: 2, dataCenters: ['a']});
	await clock.advance(0);
	submit('a', 'new', {rules: patient});
	await clock.advance(5);
	t.deepEqual(settled.map(({id, outcome}) => [id, outcome.kind === 'refused' && outcome.reason]), [['high', 'evacuated'], ['middle', 'evacuated'], ['low', 'evacuated'], ['new', 'evacuated']]);
	t.true(settled.every(settledJob => settledJob.at - at <= 5));
	await clock.advance(300);
	t.is(getStarts('a').length, 4);
	t.deepEqual(evacuations.getCounts(), {movedJobs: 3, withheldStarts: 1});
	t.like(lines.find(({message}) => message === 'queued jobs of an evacuated pool released'), {fields: {released: 3, kept: 1}});
});

test('an evacuated pool lends nothing, and borrowers see its remaining capacity at once', async t => {
	const {clock, evacuations, settled, submit, getStarts} = await createPools();
	evacuations.setState({revision: 2, dataCenters: ['b']});
	submit('a', 'wide', {step: {taskCount: 8}, rules: patient});
	await clock.advance(350);
	t.like(settled[0], {outcome: {kind: 'completed'}});
	t.deepEqual(getStarts('b'), []);

	// The end of the evacuation makes the capacity available again.
	evacuations.setState({revision: 3, dataCenters: []});
	await clock.advance(150);
	submit('a', 'next', {step: {taskCount: 8}, rules: patient});
	await clock.advance(150);
	t.is(getStarts('b').length, 4);
});

test('an owner that is elected during the evacuation starts nothing', async t => {
	const {clock, evacuations, submit, settled, getStarts, pools} = await createPools();
	evacuations.setState({revision: 2, dataCenters: ['a']});
	const priorFence = pools.replaceOwner('a');
	await clock.advance(300);
	submit('a', 'fresh');
	submit('a', 'resubmitted', {priorFence, rules: patient});
	await clock.advance(400);
	t.deepEqual(getStarts('a'), []);
	t.like(settled.find(({id}) => id === 'fresh'), {outcome: {kind: 'refused', reason: 'evacuated'}});
	t.like(settled.find(({id}) => id === 'resubmitted'), {outcome: {kind: 'completed'}});
});

test('a start that was left unanswered is withdrawn instead of sent again', async t => {
	const {clock, evacuations, upstreams, submit, getStarts} = await createPools();
	const startRun = upstreams.startRun.bind(upstreams);
	const orders: string[] = [];
	upstreams.startRun = async options => {
		orders.push(options.upstream.id);
		if (orders.length > 1) {
			return startRun(options);
		}

		await new Promise<void>(resolve => {
			clock.setTimer(resolve, options.timeoutMs);
		});
		return {kind: 'unanswered', detail: 'lost on the way'};
	};

	submit('a', 'job', {rules: patient, remainingMs: 4000});
	await clock.advance(20);
	t.true(orders[0]!.startsWith('a'));
	evacuations.setState({revision: 2, dataCenters: ['a']});
	await clock.advance(3000);
	t.deepEqual(getStarts('a'), []);
	t.is(orders.filter(id => id.startsWith('a')).length, 1);
	t.is(getStarts('b').length, 1);
});

test('the jobs of callers of an evacuated data centre are spread over the pools of the others by free capacity', t => {
	const random = createSeededRandom(1);
	const view = (pool: string, freeCpu: number): PoolView => ({
		pool, isNear: false, isOwn: false, ownerId: pool, cores: 100, freeCpu, rooms: [freeCpu], queuedWork: 0,
	});
	const views = [view('b', 50_000), view('c', 60_000), view('d', 1000)];
	const job = {cpu: 7000, isSinglePool: false, triedPools: new Set<string>()};
	const choose = (isSpread: boolean): ReadonlyArray<string | undefined> => Array.from({length: 100}, () => choosePool(views, {...job, isSpread}, random)?.pool);
	t.deepEqual(new Set(choose(false)), new Set(['b']));
	const spread = choose(true);
	t.true(spread.filter(pool => pool === 'b').length >= 15);
	t.true(spread.filter(pool => pool === 'c').length >= 50);
	t.false(spread.includes('d'));
});
