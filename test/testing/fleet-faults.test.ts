import test from 'ava';
import {getFleetFaults, getUpstreamAnswerFaults} from '../../src/testing/fleet-run.js';

test('faults in what upstreams tell are drawn apart from the others, the same for the same seed, and of all kinds', t => {
	const seeds = Array.from({length: 20}, (_, seed) => seed);
	const kinds = new Set(seeds.flatMap(seed => getUpstreamAnswerFaults(seed, 10)).map(({kind}) => kind));
	t.deepEqual([...kinds].toSorted(), ['entry-overwritten', 'few-ends', 'late-grant', 'late-reborn', 'odd-answer', 'overtake', 'reborn', 'two-lives']);
	t.true(seeds.every(seed => getFleetFaults(seed, 25).every(({kind}) => !kinds.has(kind))));
	t.deepEqual(getUpstreamAnswerFaults(3, 10), getUpstreamAnswerFaults(3, 10));
	t.notDeepEqual(getUpstreamAnswerFaults(3, 10), getUpstreamAnswerFaults(4, 10));
});
