/**
 * Compares the decision on overdue runs by evidence with the one by multiples of the expected duration, under the loads of docs/HARD-LOAD.md.
 */
import test from 'ava';
import {formatResult, replayLoad, type ReplayedLoad} from './load-replay.js';

const former = {stopsByEvidence: false, learnsDurations: false};
const byEvidence = {learnsDurations: false};
const tailOf7 = {share: 0.03, factor: 7};
/** One upstream after another, of each size and speed. */
const faults = Array.from({length: 8}, (_, index) => ({upstream: 2 + (index * 4), atMs: 3000 + (index * 700)}));

/** Upstreams that are given no task are not found. */
const maxFoundMs = 3000;

/** Duration of the long tasks of the most frequent route, in milliseconds; with them, one late run is no evidence before they end. */
const longTaskMs = 7 * 170;

/** One run in 250 of the 2,600; the former decision stopped one in 10 with long tasks. */
const maxHealthyStops = 10;

const loads: Readonly<Record<string, ReplayedLoad>> = {
	'uniform durations': {speeds: [0.8, 1, 1.25]},
	'speeds 0.6 to 1.6, tails of 7': {speeds: [0.6, 1, 1.6], tail: tailOf7},
	'speeds 0.4 to 2, tails of 12': {speeds: [0.4, 1, 2], tail: {share: 0.03, factor: 12}},
	'stuck upstreams, tails of 7': {speeds: [0.6, 1, 1.6], tail: tailOf7, faults: faults.map(fault => ({...fault, slowness: Infinity}))},
	'stuck upstreams': {speeds: [0.8, 1, 1.25], faults: faults.map(fault => ({...fault, slowness: Infinity}))},
	'upstreams that turn 5 times slower, tails of 7': {speeds: [0.6, 1, 1.6], tail: tailOf7, faults: faults.map(fault => ({...fault, slowness: 5}))},
	'upstreams that turn 5 times slower': {speeds: [0.8, 1, 1.25], faults: faults.map(fault => ({...fault, slowness: 5}))},
};

const getMean = (values: readonly number[]): number => values.reduce((total, value) => total + Math.min(maxFoundMs, value), 0) / Math.max(1, values.length);

// The former decision stopped long tasks and those on slow upstreams, and ejected their upstreams.
for (const [name, load] of Object.entries(loads)) {
	test.serial(`fewer healthy runs are stopped, faulty upstreams are found as early, and no fewer jobs are in time: ${name}`, async t => {
		const before = await replayLoad(load, former);
		const after = await replayLoad(load, byEvidence);
		const learnt = await replayLoad(load);
		t.log(`before: ${formatResult(before)}`);
		t.log(`by evidence: ${formatResult(after)}`);
		t.log(`and with learnt speeds: ${formatResult(learnt)}`);
		for (const result of [after, learnt]) {
			t.true(result.healthyStops <= Math.max(maxHealthyStops, before.healthyStops * 0.1));
			t.true(result.inTime >= before.inTime - 0.005);
			t.true(getMean(result.foundMs) <= (load.tail === undefined ? getMean(before.foundMs) : longTaskMs));
		}
	});
}
