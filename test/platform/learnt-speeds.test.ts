import test from 'ava';
import {LearntSpeeds} from '../../src/platform/learnt-speeds.js';
import {createSchedulingOptions, defaultSchedulingOptions} from '../../src/scheduling/index.js';
import {createUpstream} from '../pool/pool-harness.js';

const upstreams = [createUpstream('slow', 16_000), createUpstream('fast', 16_000), createUpstream('average', 16_000)];
const learnt = [{id: 'slow', slowness: 1.7}, {id: 'fast', slowness: 0.6}, {id: 'average', slowness: 1.05}];

test('the next owner of a pool knows the speeds that the last one has learnt', t => {
	const owner = new LearntSpeeds();
	const next = new LearntSpeeds();
	t.is(next.addTo('p', upstreams), upstreams);
	t.true(next.addReport(structuredClone(owner.getReport('p', learnt)!.report)));
	const [slow, fast, average] = next.addTo('p', upstreams).map(({learntSlowness}) => learntSlowness);
	t.true(Math.abs(slow! - 1.7) < 0.1);
	t.true(Math.abs(fast! - 0.6) < 0.05);
	t.is(average, undefined);
});

test('nothing is reported of upstreams of one speed, and a report is repeated only after a change', t => {
	const owner = new LearntSpeeds();
	t.is(owner.getReport('p', [{id: 'a', slowness: 1.05}, {id: 'b', slowness: 0.96}]), undefined);
	const first = owner.getReport('p', learnt)!;
	first.to.add('vm');
	t.is(owner.getReport('p', learnt.map(({id, slowness}) => ({id, slowness: slowness * 1.04}))), first);
	t.is(owner.getReport('p', [{id: 'slow', slowness: 5}])!.to.size, 0);
});

test('a report with an impossible speed is not used', t => {
	for (const step of [1e308, 'x', null, 1.5, 41]) {
		t.false(new LearntSpeeds().addReport({pool: 'p', steps: {a: step}}));
	}
});

test('parts of the scheduling are switched off by their names', t => {
	t.deepEqual(createSchedulingOptions(undefined), defaultSchedulingOptions);
	t.deepEqual(createSchedulingOptions('stopsByEvidence, learnsDurations'), {...defaultSchedulingOptions, stopsByEvidence: false, learnsDurations: false});
});
