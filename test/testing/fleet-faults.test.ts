import test from 'ava';
import {createSeededRandom} from '../../src/seams/index.js';
import {
	getFleetFaults, getHoldFaults, getUpstreamAnswerFaults, getWorkloadFaults,
} from '../../src/testing/fleet-run.js';
import {ManualClock} from '../../src/testing/index.js';
import {SimulatedProcess} from '../../src/testing/simulated-process.js';

test('faults in what upstreams tell are drawn apart from the others, the same for the same seed, and of all kinds', t => {
	const seeds = Array.from({length: 20}, (_, seed) => seed);
	const kinds = new Set(seeds.flatMap(seed => getUpstreamAnswerFaults(seed, 10)).map(({kind}) => kind));
	t.deepEqual([...kinds].toSorted(), ['entry-overwritten', 'few-ends', 'late-grant', 'late-reborn', 'odd-answer', 'overtake', 'reborn', 'two-lives']);
	t.true(seeds.every(seed => getFleetFaults(seed, 25).every(({kind}) => !kinds.has(kind))));
	t.deepEqual(getUpstreamAnswerFaults(3, 10), getUpstreamAnswerFaults(3, 10));
	t.notDeepEqual(getUpstreamAnswerFaults(3, 10), getUpstreamAnswerFaults(4, 10));
});

test('faults in what tasks do to their upstreams are drawn apart from the others, the same for the same seed', t => {
	const seeds = Array.from({length: 20}, (_, seed) => seed);
	t.deepEqual([...new Set(seeds.flatMap(seed => getWorkloadFaults(seed, 10)).map(({kind}) => kind))].toSorted(), ['capacity', 'deadly']);
	t.true(seeds.every(seed => [...getFleetFaults(seed, 25), ...getUpstreamAnswerFaults(seed, 25)].every(({kind}) => kind !== 'capacity' && kind !== 'deadly')));
	t.deepEqual(getWorkloadFaults(3, 10), getWorkloadFaults(3, 10));
	t.notDeepEqual(getWorkloadFaults(3, 10), getWorkloadFaults(4, 10));
});

test('processes that are held are drawn apart from the other faults, the same for the same seed', t => {
	const seeds = Array.from({length: 20}, (_, seed) => seed);
	t.deepEqual([...new Set(seeds.flatMap(seed => getHoldFaults(seed, 10)).map(({kind}) => kind))], ['held']);
	t.true(seeds.every(seed => [...getFleetFaults(seed, 25), ...getUpstreamAnswerFaults(seed, 25), ...getWorkloadFaults(seed, 25)].every(({kind}) => kind !== 'held')));
	t.deepEqual(getHoldFaults(3, 10), getHoldFaults(3, 10));
});

test('a process that is held runs its events in their order, with times in between, and all of them', async t => {
	const clock = new ManualClock();
	const process = new SimulatedProcess(clock, createSeededRandom(1));
	process.hold(500);
	const seen: Array<{readonly event: number; readonly at: number}> = [];
	for (let event = 0; event < 400; event++) {
		process.dispatch(() => {
			seen.push({event, at: clock.getMonotonicTime()});
		});
	}

	process.hold(0);
	await clock.advance(5000);
	t.deepEqual(seen.map(({event}) => event), Array.from({length: 400}, (_, event) => event));
	const gaps = seen.slice(1).map(({at}, index) => at - seen[index]!.at).filter(gapMs => gapMs > 0);
	t.true(gaps.length > 1 && gaps.every(gapMs => gapMs >= 50 && gapMs <= 500));
});
