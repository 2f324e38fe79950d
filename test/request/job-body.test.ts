import {Buffer} from 'node:buffer';
import test from 'ava';
import {parseJobBody} from '../../src/request/index.js';

const createBody = (tasks: string, other = '') => Buffer.from(`{"service":"s","tasks":[${tasks}]${other}}`);
const fields = Array.from({length: 100_000}, (_, position) => `"f${position}":1`).join(',');

/** Bodies whose decoding must not keep an issue per element, and the start of the reason of their refusal. */
const hostileBodies: ReadonlyArray<readonly [body: Uint8Array, detail: RegExp]> = [
	[createBody('0,'.repeat(500_000) + '0'), /^tasks: more than 1000$/v],
	[createBody(`{"path":"/","headers":{${fields}}}`), /^tasks\.0\.headers: expected strings$/v],
	[createBody('{"path":"/"}', `,${fields}`), /^Unrecognized keys: "f0"/v],
	[createBody(`${'['.repeat(100_000)}${']'.repeat(100_000)}`), /^tasks\.0: /v],
	[createBody('{"path":"/","needs":{"cores":1e999}}'), /^tasks\.0\.needs\.cores: /v],
	[Buffer.from([0x22, 0xFF, 0x22]), /^the body is not JSON in UTF-8$/v],
];

test('a hostile body is refused with a short reason', t => {
	for (const [body, detail] of hostileBodies) {
		const parsed = parseJobBody(body);
		t.regex(parsed.ok ? '' : parsed.detail, detail);
		t.true(parsed.ok || parsed.detail.length <= 500);
	}
});

// Guards against a task whose upstream receives a replacement character in place of what the caller wrote.
test('a body with half of a surrogate pair is refused, with a whole pair it is not', t => {
	t.like(parseJobBody(createBody(String.raw`{"path":"/","body":"x\ud83d"}`)), {ok: false, detail: 'tasks.0.body: expected well-formed Unicode'});
	t.like(parseJobBody(createBody(String.raw`{"path":"/","body":"x\ud83c\udfab"}`)), {ok: true, body: {tasks: [{body: 'x🎫'}]}});
});

test('special names of fields change nothing of a task', t => {
	const parsed = parseJobBody(createBody('{"path":"/a","path":"/b","headers":{"__proto__":"x","x-a":"b"}}'));
	t.like(parsed, {ok: true, body: {tasks: [{path: '/b', headers: {'x-a': 'b'}, needs: {}}]}});
});
