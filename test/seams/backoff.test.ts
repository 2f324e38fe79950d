import test from 'ava';
import {Backoff, createSeededRandom} from '../../src/seams/index.js';

test('delays double up to a maximum, with jitter above a minimum, and start again after a reset', t => {
	const backoff = new Backoff({random: createSeededRandom(1), firstDelayMs: 100, maxDelayMs: 400});
	for (const longest of [100, 200, 400, 400]) {
		const delay = backoff.getNextDelay();
		t.true(delay >= longest / 4 && delay <= longest);
	}

	backoff.reset();
	t.true(backoff.getNextDelay() <= 100);
});
