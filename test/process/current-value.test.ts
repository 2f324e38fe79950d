import test from 'ava';
import {CurrentValue} from '../../src/process/index.js';

test('a stream starts with the current value and ends on close', async t => {
	const current = new CurrentValue(1);
	current.set(2);
	const seen: number[] = [];
	const ended = current.getStream().observe(value => {
		seen.push(value);
	});
	await Promise.resolve();
	current.set(3);
	current.close();
	current.set(4);
	await ended;
	t.deepEqual(seen, [2, 3]);
	t.is(current.get(), 3);
});

test('a stream of a closed value emits the last value and ends', async t => {
	const current = new CurrentValue('a');
	current.close();
	const seen: string[] = [];
	await current.getStream().observe(value => {
		seen.push(value);
	});
	t.deepEqual(seen, ['a']);
});

test('a subscriber that unsubscribes after one value does not affect the others', async t => {
	const current = new CurrentValue(1);
	const all: number[] = [];
	const first: number[] = [];
	const ended = current.getStream().observe(value => {
		all.push(value);
	});
	await current.getStream().take(1).observe(value => {
		first.push(value);
	});
	current.set(2);
	current.close();
	await ended;
	t.deepEqual([first, all], [[1], [1, 2]]);
});
