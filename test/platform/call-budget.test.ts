import test from 'ava';
import {CallBudget} from '../../src/platform/call-budget.js';
import {createFakeClock} from '../support/fake-clock.js';

test('the budget allows a burst, then the average rate', t => {
	const clock = createFakeClock();
	const budget = new CallBudget({clock, callsPerSecond: 2, burst: 3});
	const takeAll = (): number => {
		let taken = 0;
		while (budget.take()) {
			taken++;
		}

		return taken;
	};

	t.is(takeAll(), 3);
	clock.tick(500);
	t.is(takeAll(), 1);
	clock.tick(3_600_000);
	t.is(takeAll(), 3);
});
