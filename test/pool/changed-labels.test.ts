/**
 * Upstreams that come back as another kind: their entry shows the labels of an earlier instance until it is read again.
 */
import test from 'ava';
import {type UpstreamDescription} from '../../src/pool/index.js';
import {createJob, PoolHarness, typicalWork} from './pool-harness.js';

const rules = {...createJob('x').rules, slackMs: 5000};
const labelledJob = {remainingMs: 20_000, rules, step: {requiredLabel: 'a'}} as const;

/** Creates a harness with one upstream of kind `a`, and the description of its next instance of kind `b`. */
function createHarness(): {readonly harness: PoolHarness; readonly listed: UpstreamDescription; readonly next: UpstreamDescription} {
	const harness = new PoolHarness({upstreamCount: 0, getWork: () => typicalWork});
	const listed: UpstreamDescription = {...new PoolHarness({upstreamCount: 1}).descriptions[0]!, labels: ['a', 'r1']};
	harness.upstreams.addUpstream(listed);
	return {harness, listed, next: {...listed, bornMs: listed.bornMs + 1, labels: ['b', 'r1']}};
}

test('an upstream that came back gets no task that requires a label of its earlier entry', async t => {
	const {harness, listed, next} = createHarness();
	const owner = harness.createOwner([listed]);
	await harness.clock.advance(300);
	harness.submit(owner, 'before', labelledJob);
	await harness.clock.advance(300);
	t.is(harness.getStarts('before.0.0.0').length, 1);
	harness.upstreams.crash(listed.id);
	await harness.clock.advance(1500);
	harness.upstreams.addUpstream(next);
	await harness.clock.advance(1000);
	// The store cannot be read, so that the entry of the earlier instance stands.
	owner.setUpstreams([listed]);
	harness.submit(owner, 'labelled', labelledJob);
	harness.submit(owner, 'other', {...labelledJob, step: {}});
	await harness.clock.advance(1000);
	t.is(harness.getStarts('labelled.0.0.0').length, 0);
	t.is(harness.getStarts('other.0.0.0').length, 1);
	owner.setUpstreams([next]);
	harness.submit(owner, 'next', {...labelledJob, step: {requiredLabel: 'b'}});
	await harness.clock.advance(1000);
	t.is(harness.getStarts('next.0.0.0').length, 1);
	t.is(harness.getStarts('labelled.0.0.0').length, 0);
});

test('an upstream whose next entry is read before its next instance answers gets no task that requires a label of that', async t => {
	const {harness, listed, next} = createHarness();
	const owner = harness.createOwner([listed]);
	await harness.clock.advance(300);
	owner.setUpstreams([next]);
	harness.submit(owner, 'early', {...labelledJob, step: {requiredLabel: 'b'}});
	await harness.clock.advance(300);
	t.is(harness.getStarts('early.0.0.0').length, 0);
	harness.upstreams.crash(listed.id);
	await harness.clock.advance(100);
	harness.upstreams.addUpstream(next);
	await harness.clock.advance(1500);
	harness.submit(owner, 'next', {...labelledJob, step: {requiredLabel: 'b'}});
	await harness.clock.advance(1000);
	t.is(harness.getStarts('next.0.0.0').length, 1);
});

test('a new owner that knows the entry of an earlier instance starts no task there that requires its label', async t => {
	const {harness, listed, next} = createHarness();
	harness.upstreams.crash(listed.id);
	harness.upstreams.addUpstream(next);
	const owner = harness.createOwner([listed]);
	await harness.clock.advance(300);
	harness.submit(owner, 'labelled', labelledJob);
	await harness.clock.advance(2000);
	t.deepEqual(harness.upstreams.starts, []);
});
