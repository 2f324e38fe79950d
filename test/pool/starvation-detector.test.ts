import test from 'ava';
import {StarvationDetector} from '../../src/pool/starvation-detector.js';

const limits = {lateMs: 150, minLateChecks: 4, recoveryMs: 3000};

test('a process that is late again and again counts as starved until it has been in time for a while', t => {
	const watch = new StarvationDetector(limits);
	const changes = [200, 300, 160, 400, 200].map((lateMs, index) => watch.addDelay(lateMs, (index + 1) * 300));
	t.deepEqual(changes, [false, false, false, true, false]);
	t.true(watch.isStarved());
	t.false(watch.addDelay(0, 2000));
	t.false(watch.addDelay(0, 4400));
	t.true(watch.addDelay(0, 4500));
	t.false(watch.isStarved());
});

test('a pause of some seconds, or a long turn now and then, is no lasting want of processor time', t => {
	const watch = new StarvationDetector(limits);
	for (const [index, lateMs] of [5000, 0, 200, 200, 200, 10, 900, 0].entries()) {
		watch.addDelay(lateMs, index * 300);
		t.false(watch.isStarved());
	}
});
