import test from 'ava';
import {Backoff} from '../../src/platform/backoff.js';
import {CallBudget} from '../../src/platform/call-budget.js';
import {createSeededRandom} from '../../src/seams/index.js';
import {createFakeClock} from '../support/fake-clock.js';

test('the budget allows a burst, then its rate', t => {
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

test('delays double up to a limit, with jitter above a floor, and start again after a success', t => {
	const backoff = new Backoff({random: createSeededRandom(1), firstDelayMs: 100, maxDelayMs: 400});
	for (const longest of [100, 200, 400, 400]) {
		const delay = backoff.getNextDelay();
		t.true(delay >= longest / 4 && delay <= longest);
	}

	backoff.reset();
	t.true(backoff.getNextDelay() <= 100);
});
