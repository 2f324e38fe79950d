import test from 'ava';
import {createSeededRandom} from '../../src/seams/index.js';

test('a seeded source gives the same numbers again', t => {
	const first = createSeededRandom(4);
	const second = createSeededRandom(4);
	t.is(first.getFloat(), second.getFloat());
	t.is(first.getHex(4), second.getHex(4));
});

test('hexadecimal numbers have two characters a byte', t => {
	t.regex(createSeededRandom(4).getHex(4), /^[\da-f]{8}$/v);
});
