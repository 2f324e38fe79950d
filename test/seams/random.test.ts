import test from 'ava';
import {createSeededRandom} from '../../src/seams/index.js';

test('the same seed gives the same numbers', t => {
	const first = createSeededRandom(4);
	const second = createSeededRandom(4);
	t.is(first.getFloat(), second.getFloat());
	t.is(first.getHex(4), second.getHex(4));
});

test('getHex gives two characters per byte', t => {
	t.regex(createSeededRandom(4).getHex(4), /^[\da-f]{8}$/v);
});
