import test from 'ava';
import {OwnLateness} from '../../src/pool/own-lateness.js';

test('times in which the process was held are known, and no others', t => {
	const lateness = new OwnLateness(20, 0);
	for (const now of [20, 45, 60, 580, 600]) {
		lateness.check(now);
	}

	t.is(lateness.getHeldMsSince(0, 605), 500);
	t.is(lateness.getHeldMsSince(300, 605), 280);
	t.is(lateness.getHeldMsSince(590, 605), 0);
	t.is(lateness.getHeldMsSince(590, 900), 280);
});
