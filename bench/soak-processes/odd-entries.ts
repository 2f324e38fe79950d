/**
 * Entries of another writer among those of the upstreams.
 */
import {Buffer} from 'node:buffer';

const levels = 20_000;
const nested = '['.repeat(levels) + ']'.repeat(levels);

type Entry = Readonly<Record<string, unknown>>;

/**
 * Creates odd values of an entry.
 * @param entry - Entry of a live upstream.
 * @param otherEntry - Entry of another upstream.
 * @returns Values that cannot be read, or that name no upstream that exists.
 */
export function createOddEntries(entry: Entry, {address: otherAddress}: Entry): readonly Uint8Array[] {
	const born = Number(entry.born);
	const changed = (changes: Entry): string => JSON.stringify({...entry, ...changes});
	const withRaw = (name: string, raw: string): string => changed({[name]: 'RAW'}).replace('"RAW"', raw);
	const texts = [
		changed({address: '127.0.0.1:1', born: born + 1}),
		nested,
		changed({address: '127.0.0.1:99999', born: born + 1}),
		withRaw('born', '1e400'),
		changed({address: otherAddress, born: born + 1}),
		withRaw('labels', nested),
		changed({address: 'http://x y:80', born: born + 1}),
		withRaw('capacity', '{"cpu":1e400,"mem_mb":1e308,"gpu":-1e400}'),
		changed({address: '127.0.0.1', born: born - 1}),
		changed({state: 'odd'}),
		withRaw('capacity', nested),
		changed({born: 1e308, address: '127.0.0.1:2'}),
		changed({address: 'user:word@127.0.0.1:0/path', born: born + 1}),
		changed({zone: undefined}),
		'null',
		'',
		changed({address: otherAddress, born}),
		changed({capacity: 3, labels: [3]}),
	];
	return [...texts.map(value => Buffer.from(value)), Buffer.from([0xFF, 0xFE, 0x00, 0x7B, 0xC3, 0x28])];
}
