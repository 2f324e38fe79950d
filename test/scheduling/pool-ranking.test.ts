import test from 'ava';
import {
	createSchedulingOptions, decidePool, type PoolView, type RankedDemand, type RankingContext, RecentRefusals,
} from '../../src/scheduling/index.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {
	getShare, replay, type ReplayGroup, type ReplayOptions, type ReplayResult,
} from './data-centre-replay.js';

function createView(pool: string, options: Partial<PoolView> = {}): PoolView {
	const dataCenter = pool.split('#')[0]!;
	return {
		pool, dataCenter, isNear: dataCenter === 'a', isOwn: false, ownerId: pool, cores: 200, freeCpu: 0, rooms: [], queuedWork: 0, reportedAt: 1000, ...options,
	};
}

const job: RankedDemand = {
	cpu: 20_000, isSinglePool: false, triedPools: new Set(), refusedBy: new Set(), criticalPathMs: 100, limitMs: 220, isEarly: true,
};

function createContext(options: Partial<RankingContext> = {}): RankingContext {
	return {
		now: 1100, meanTaskMs: 200, hasOwnerlessPools: () => false, isClosed: () => false, random: createSeededRandom(1), ...options,
	};
}

const local = [createView('a#0/2', {queuedWork: 2000}), createView('a#1/2')];
const unknown = {cores: 0, reportedAt: undefined};
const refusedLocally = {triedPools: new Set(['a#0/2']), refusedBy: new Set(['a'])};

function getTarget(views: readonly PoolView[], demand: Partial<RankedDemand> = {}, context: Partial<RankingContext> = {}): string {
	const decision = decidePool(views, {...job, ...demand}, createContext(context));
	return decision.kind === 'submit' ? decision.view.pool : decision.kind;
}

test('a job goes to a local pool with room, else to another data centre with recent room, else to the local queue', t => {
	t.is(getTarget([...local, createView('a#2/3', {freeCpu: 30_000}), createView('b#0/2', {freeCpu: 90_000})]), 'a#2/3');
	t.is(getTarget([...local, createView('b#0/2'), createView('b#1/2', {freeCpu: 30_000})]), 'b#1/2');
	t.is(getTarget([...local, createView('b#0/2', {freeCpu: 30_000, reportedAt: -5000})]), 'a#0/2');
	t.is(getTarget([...local, createView('b#0/2'), createView('b#1/2')]), 'a#0/2');
});

test('a job goes to the data centre with the earliest end, also to one without a report, and after a refusal only to one with room', t => {
	const busy = [createView('a#0/2', {queuedWork: 20_000}), createView('a#1/2', {queuedWork: 20_000})];
	const remote = [createView('b#0/2', {queuedWork: 8000}), createView('b#1/2'), createView('c#0/2', {queuedWork: 2000}), createView('c#1/2')];
	t.is(getTarget([...busy, ...remote]), 'c#0/2');
	t.is(getTarget([...busy, ...remote.slice(0, 2), createView('c#0/2', unknown), createView('c#1/2', unknown)]), 'c#0/2');
	t.is(getTarget([...busy, ...remote], {}, {isClosed: dataCenter => dataCenter === 'c'}), 'b#0/2');
	t.is(getTarget([...busy, ...remote], refusedLocally), 'refuse');
	t.is(getTarget([...busy, ...remote, createView('b#2/3', {freeCpu: 30_000})], refusedLocally), 'b#2/3');
});

test('a job is refused once no data centre can serve it in time, and late only if none has room', t => {
	const full = createView('b#0/1', {queuedWork: 400_000});
	const decision = decidePool([...local, full], {...job, ...refusedLocally}, createContext());
	t.is(decision.kind, 'refuse');
	t.true(decision.kind === 'refuse' && decision.retryAfterMs >= 1000);
	t.is(getTarget([...local, createView('b#0/1')], {...refusedLocally, isEarly: false}), 'refuse');
	t.is(getTarget([...local, createView('b#0/1', {freeCpu: 30_000})], {...refusedLocally, isEarly: false}), 'b#0/1');
});

test('while local pools have no owner, a job that cannot be in time waits for a part of its objective', t => {
	const busy = [createView('a#0/2', {queuedWork: 100_000})];
	t.is(getTarget(busy, {}, {hasOwnerlessPools: () => true}), 'wait');
	t.is(getTarget(busy, {isEarly: false}, {hasOwnerlessPools: () => true}), 'a#0/2');
	t.is(getTarget(local, {}, {hasOwnerlessPools: () => true}), 'a#0/2');
});

test('a data centre that refuses again and again is asked at growing intervals, up to that after which callers return', t => {
	const refusals = new RecentRefusals();
	let asked = 0;
	for (let now = 0; now < 10_000; now++) {
		if (!refusals.isClosed('b', 'r', now)) {
			asked++;
			refusals.addRefusal('b', 'r', 150, now);
		}
	}

	t.true(asked < 20);
	refusals.removeRefusals('b', 'r');
	t.false(refusals.isClosed('b', 'r', 10_000));
});

test('a part of the scheduling is off if it is named', t => {
	t.true(createSchedulingOptions().balancesDataCentres);
	t.false(createSchedulingOptions('other, balancesDataCentres').balancesDataCentres);
});

/** Largest difference of a share in time that does not count, by the targets for earlier deployments. */
const maxDifference = 0.03;
const seeds = [1, 2, 3, 4];

function addGroups(results: readonly ReplayResult[], key: 'byRoute' | 'byDecile' | 'byDataCenter'): ReadonlyMap<string, ReplayGroup> {
	const sums = new Map<string, ReplayGroup>();
	for (const [name, {inTime, submitted}] of results.flatMap(result => [...result[key]])) {
		const sum = sums.get(name);
		sums.set(name, {
			late: 0, refused: 0, refusedLate: 0, submitted: submitted + (sum?.submitted ?? 0), inTime: inTime + (sum?.inTime ?? 0),
		});
	}

	return sums;
}

const scenarios: Readonly<Record<string, Omit<ReplayOptions, 'balancesDataCentres'>>> = {
	'waves with different phases': {getDemand: (position, at) => 0.85 * (1 + (0.55 * Math.sin(2 * Math.PI * ((at / 8000) + (position / 3)))))},
	'60% of the callers in one data centre': {getDemand: position => 3 * 0.95 * [0.6, 0.2, 0.2][position]!},
	'a burst in one data centre': {getDemand: (position, at) => position === 0 && at > 3000 && at < 6500 ? 2.4 : 0.7},
	'a loss of upstreams': {getDemand: position => [1.1, 0.8, 0.8][position]!, loss: {from: 2000, to: 6000, share: 0.4}},
	'a total overload': {getDemand: () => 1.3},
};

for (const [name, options] of Object.entries(scenarios)) {
	test.serial(`no group is served worse than by the earlier decision, and fewer jobs are refused beside room: ${name}`, async t => {
		t.timeout(120_000);
		const results: Record<string, ReplayResult[]> = {before: [], now: []};
		for (const seed of seeds) {
			results.before!.push(await replay({...options, balancesDataCentres: false, seed}));
			results.now!.push(await replay({...options, balancesDataCentres: true, seed}));
		}

		const before = results.before!;
		const now = results.now!;
		for (const key of ['byRoute', 'byDecile', 'byDataCenter'] as const) {
			const sharesNow = addGroups(now, key);
			for (const [group, jobs] of addGroups(before, key)) {
				const difference = getShare(sharesNow.get(group)!) - getShare(jobs);
				t.log(`${key} ${group}: ${getShare(jobs).toFixed(3)} before, ${getShare(sharesNow.get(group)!).toFixed(3)} now`);
				t.true(difference > -maxDifference, `${key} ${group}`);
			}
		}

		const countBesideRoom = (list: readonly ReplayResult[]): number => list.flatMap(({refusedBesideRoom}) => [...refusedBesideRoom.values()]).reduce((sum, count) => sum + count, 0);
		t.log(`refused beside room: ${countBesideRoom(before)} before, ${countBesideRoom(now)} now`);
		t.true(countBesideRoom(now) <= countBesideRoom(before));
		const submissions = now.reduce((sum, result) => sum + result.submissions, 0);
		// Total overload stays cheap: at most a tenth of the jobs is submitted once more.
		t.true(submissions <= 1.1 * now.reduce((sum, {all}) => sum + all.submitted, 0));
		t.true(now.every(({doubleRuns}) => doubleRuns === 0));
	});
}
