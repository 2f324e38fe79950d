import test from 'ava';
import {StarvationDetector} from '../../src/pool/starvation-detector.js';

const limits = {lateMs: 150, minLateChecks: 4, recoveryMs: 3000};

test('a process whose timers are late repeatedly is starved until they have been in time for the recovery time', t => {
	const detector = new StarvationDetector(limits);
	const changes = [200, 300, 160, 400, 200].map((lateMs, index) => detector.addDelay(lateMs, (index + 1) * 300));
	t.deepEqual(changes, [false, false, false, true, false]);
	t.true(detector.isStarved());
	t.false(detector.addDelay(0, 2000));
	t.false(detector.addDelay(0, 4400));
	t.true(detector.addDelay(0, 4500));
	t.false(detector.isStarved());
});

test('a pause of some seconds or an occasional long turn of the event loop is not starvation', t => {
	const detector = new StarvationDetector(limits);
	for (const [index, lateMs] of [5000, 0, 200, 200, 200, 10, 900, 0].entries()) {
		detector.addDelay(lateMs, index * 300);
		t.false(detector.isStarved());
	}
});
