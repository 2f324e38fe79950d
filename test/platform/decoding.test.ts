import test from 'ava';
import {decodeConfiguration} from '../../src/platform/decode-configuration.js';
import {decodeJob} from '../../src/platform/decode-job.js';
import {decodeUpstream} from '../../src/platform/decode-upstream.js';
import {parseSettingsFile} from '../../src/platform/settings-file.js';
import {decodeHoldAnswer, decodeOrderAnswer} from '../../src/platform/wire-messages.js';

const settingsLines = [
	'node_name=edge-a-1',
	'zone=a',
	'ip=10.0.0.1',
	'zones.a=r',
	'zones.b=r',
	'listen.front=10.0.0.1:1',
	'listen.ready=10.0.0.1:2',
	'listen.control=10.0.0.1:3',
	'seeds=10.0.0.2:3, 10.0.0.3:3',
	'platform.address=10.0.0.9:4',
	'bounds.grace_s=6',
	'something.new=x',
	'a line without sense',
];

const rules = {
	route: 'r', service: 's', priority: 0, maxAttempts: 3, stretch: 1.6, slackMs: 60,
};

test('settings are read by the platform\'s names, and unknown ones are ignored', t => {
	const parsed = parseSettingsFile(settingsLines.join('\n'));
	t.like(parsed, {
		ok: true,
		settings: {
			vm: 'edge-a-1', dataCenter: 'a', dataCenters: ['a', 'b'], callerAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:3',
			peerSeeds: ['10.0.0.2:3', '10.0.0.3:3'], stopGraceMs: 6000, maxLeaseMs: 1000, resendMs: 1300, evacuateMs: 5000, coldLimits: {overage: 1.5, slack: 5},
		},
	});
});

test('the size of the VM is read where it is given', t => {
	t.like(parseSettingsFile([...settingsLines, 'limits.memory_mb=210', 'limits.max_fds=2212'].join('\n')), {settings: {memoryMb: 210, maxDescriptors: 2212}});
	t.like(parseSettingsFile([...settingsLines, 'limits.max_fds=0'].join('\n')), {settings: {memoryMb: undefined, maxDescriptors: undefined}});
});

test('each invalid or missing setting is reported with its key', t => {
	const parsed = parseSettingsFile(settingsLines.map(line => line.startsWith('listen.front') ? 'listen.front=here' : line).filter(line => !line.startsWith('zone=')).join('\n'));
	t.false(parsed.ok);
	t.deepEqual(parsed.ok ? [] : parsed.faults.map(fault => fault.split(':')[0]), ['zone', 'listen.front']);
});

test('a configuration is decoded into routes, and an invalid one is rejected', t => {
	const decoded = decodeConfiguration(JSON.stringify({
		version: 7, services: [], routes: [{
			name: 'r', host: 'h', prefix: '/p/', service: 's', target_runtime_ms: 60, priority: 2, max_attempts: 3, stretch: 1.6,
		}],
	}));
	t.like(decoded, {ok: true, table: {version: 7, maxBodyBytes: 262_144, routes: [{host: 'h', prefix: '/p/', rules: {...rules, priority: 2}}]}});
	t.false(decodeConfiguration('{"version":7}').ok);
	t.false(decodeConfiguration('no JSON').ok);
});

test('limits of callers are taken where they are given; 0 is the wire\'s form of an omitted one', t => {
	const limits = {max_header_bytes: 8192, header_timeout_ms: 0, idle_timeout_ms: 5000};
	t.like(decodeConfiguration(JSON.stringify({
		version: 1, services: [], routes: [], limits,
	})), {
		table: {callerLimits: {maxHeaderBytes: 8192, headTimeoutMs: undefined, idleTimeoutMs: 5000}},
	});
});

/** Bodies near the size limit whose decoding must neither fail nor keep an issue per element, and the reason of their refusal. */
const hostileBodies: ReadonlyArray<readonly [body: string, detail: string]> = [
	[`{"best_effort":true,"steps":[${'0,'.repeat(130_000)}0]}`, 'steps: more than 1000'],
	[`{"best_effort":true,"steps":[{"after":[${'-1,'.repeat(80_000)}-1]}]}`, 'steps.0.after: expected numbers of steps'],
	[`{"best_effort":true,"steps":[{"after":[${'0,'.repeat(130_000)}0]}]}`, 'steps: a step may only depend on earlier ones'],
	[`{"best_effort":true,"steps":${'['.repeat(100_000)}${']'.repeat(100_000)}}`, 'steps.0: Invalid input: expected object, received array'],
	['{"best_effort":true,"steps":[{"count":1,"cpu":1e308}]}', 'steps.0.cpu: Too big: expected number to be <=9007199254740991'],
	['{"best_effort":true,"steps":[{"count":1,"estimate_ms":1e999}]}', 'steps.0.estimate_ms: Invalid input: expected number, received Infinity'],
	['{"best_effort":true,"__proto__":{"steps":[{"count":1}]}}', 'steps: Invalid input: expected array, received undefined'],
];

test('a hostile body is refused with a short reason', t => {
	for (const [body, detail] of hostileBodies) {
		const decoded = decodeJob('a', body, rules);
		t.is(decoded.kind === 'invalid' ? decoded.detail : decoded.kind, detail);
	}
});

// Guards against a text that a VM takes from its client and that starts changed, or is compared changed, where another VM owns the pool.
test('a job with half of a surrogate pair in a text is refused, with a whole pair it is not', t => {
	const decode = (spec: string, step: Readonly<Record<string, unknown>> = {}) => decodeJob('a', JSON.stringify({best_effort: true, spec, steps: [{count: 1, ...step}]}), rules);
	for (const half of ['\uD83D', '\uDFAB']) {
		for (const value of [half, `x${half}`, `${half}x`, 'x'.repeat(100) + half]) {
			for (const decoded of [decode(value), decode('', {requirements: value}), decode('', {affinity: value})]) {
				t.regex(decoded.kind === 'invalid' ? decoded.detail : decoded.kind, /: expected well-formed Unicode$/v);
			}
		}
	}

	t.like(decode('\uD83C\uDFAB', {requirements: '\uD83C\uDFAB'}), {kind: 'job', job: {spec: '🎫', steps: [{requiredLabel: '🎫'}]}});
});

test('of duplicate fields the last one counts, and unknown ones are ignored', t => {
	const decoded = decodeJob('a', `{"best_effort":true,"x":${'['.repeat(100_000)}${']'.repeat(100_000)},"steps":[],"steps":[{"count":1,"count":2,"__proto__":{"cpu":5}}]}`, rules);
	t.like(decoded, {kind: 'job', job: {steps: [{taskCount: 2, needs: {cpu: 0}}]}});
});

test('an upstream entry with a missing field, a field of a wrong type or invalid JSON is rejected', t => {
	const entry = {
		service: 's', address: '10.0.0.1:1', zone: 'a', state: 'ready', capacity: {cpu: 16_000, mem_mb: 1024}, labels: ['a', 'r1-3'], born: 5,
	};
	t.like(decodeUpstream({key: 'servers/i-1', value: JSON.stringify(entry)}), {
		id: 'i-1', bornMs: 5, dataCenter: 'a', rack: 'r1-3', isLeaving: false, capacity: {cpu: 16_000, memoryMb: 1024, accelerators: 0},
	});
	t.true(decodeUpstream({key: 'servers/i-1', value: JSON.stringify({...entry, state: 'draining'})})?.isLeaving);
	for (const bad of [{...entry, state: 'odd'}, {...entry, capacity: 3}, {...entry, address: undefined}, []]) {
		t.is(decodeUpstream({key: 'servers/i-1', value: JSON.stringify(bad)}), undefined);
	}

	t.is(decodeUpstream({key: 'servers/i-1', value: '\u0000'}), undefined);
	const decodeCold = (remaining: unknown): unknown => decodeUpstream({key: 'servers/i-1', value: JSON.stringify({...entry, cold_remaining_ms: remaining})}, 50)!.cold;
	t.deepEqual(decodeCold(100), {overage: 1.5, slack: 5, until: 150});
	// An odd time does not take the upstream out of use.
	t.deepEqual([0, -1, 'x', null, undefined].map(remaining => decodeCold(remaining)), [undefined, undefined, undefined, undefined, undefined]);
});

const upstreamEntry = {
	service: 's', address: '10.0.0.1:1', zone: 'a', state: 'ready', capacity: {cpu: 16_000, mem_mb: 1024}, labels: ['a', 'r1-3'], born: 5,
};

const oddAddresses = {
	ports: ['10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:0', '10.0.0.1:-1', '10.0.0.1:8e1', '10.0.0.1:', '10.0.0.1'],
	hosts: [':80', '', '999.0.0.1:80', 'x y:80', 'host.example:80', '[10.0.0.1]:80', '[::1:80'],
	others: ['10.0.0.1:80/path', '10.0.0.1:80#x', 'user:password@10.0.0.1:80'],
};

test('an entry whose address is no IP address with a port names no upstream', t => {
	const decodeAddress = (address: string): string | undefined => decodeUpstream({key: 'servers/i-1', value: JSON.stringify({...upstreamEntry, address})})?.address;
	const valid = ['10.0.0.1:1', '10.0.0.1:65535', '[::1]:80'];
	t.deepEqual([...valid, ...Object.values(oddAddresses).flat()].filter(address => decodeAddress(address) === address), valid);
});

test('an entry with a number too large or an identifier that no header can carry names no upstream', t => {
	const decode = (overrides: Readonly<Record<string, unknown>>, key = 'servers/i-1') => decodeUpstream({key, value: JSON.stringify({...upstreamEntry, ...overrides})});
	t.like(decode({capacity: {cpu: 500.5, mem_mb: 0, gpu: 2}, new_field: {a: 1e308}}), {capacity: {cpu: 500.5, memoryMb: 0, accelerators: 2}});
	t.is(decode({born: undefined})?.bornMs, 0);
	for (const key of ['cpu', 'mem_mb', 'gpu']) {
		for (const value of [1e308, 2 ** 60, -1, '5', null]) {
			t.is(decode({capacity: {...upstreamEntry.capacity, [key]: value}}), undefined);
		}
	}

	for (const born of [1e308, 2 ** 60, 1.5, -1, '5', null]) {
		t.is(decode({born}), undefined);
	}

	t.is(decode({}, 'servers/i-A_1.b:2')?.id, 'i-A_1.b:2');
	for (const id of ['', 'a/b', 'a b', 'a\nb', 'ä', '\u0000']) {
		t.is(decode({}, `servers/${id}`), undefined);
	}
});

test('a job that needs an unsupported feature is distinguished from an invalid one', t => {
	const body = {
		spec: 'x', best_effort: true, steps: [{
			count: 2, cpu: 500, requirements: 'b', affinity: 'r1-3', max_per_server: 1,
		}],
	};
	t.like(decodeJob('a', JSON.stringify(body), rules), {
		kind: 'job', job: {
			id: 'a', spec: 'x', steps: [{
				taskCount: 2, requiredLabel: 'b', dataRack: 'r1-3', maxPerUpstream: 1, after: [],
			}],
		},
	});
	t.is(decodeJob('a', JSON.stringify({...body, best_effort: false}), rules).kind, 'unsupported');
	t.is(decodeJob('a', JSON.stringify({...body, steps: [{count: 1, gang: true}]}), rules).kind, 'unsupported');
	t.is(decodeJob('a', JSON.stringify({...body, steps: [{count: -1}]}), rules).kind, 'invalid');
	t.is(decodeJob('a', JSON.stringify({...body, steps: [{count: 1, after: [0]}]}), rules).kind, 'invalid');
	t.is(decodeJob('a', JSON.stringify({...body, steps: [{count: 1, cpu: 1e300}]}), rules).kind, 'invalid');
	const repeated = decodeJob('a', JSON.stringify({...body, steps: [{count: 1}, {count: 1, after: Array.from({length: 130_000}, () => 0)}]}), rules);
	t.deepEqual(repeated.kind === 'job' && repeated.job.steps[1]!.after, [0]);
	t.is(decodeJob('a', '{', rules).kind, 'invalid');
});

test('answers of upstreams may have additional columns, but none of a wrong type', t => {
	t.deepEqual(decodeOrderAnswer({clock_ms: 5, reason: 'fence'}), {clock_ms: 5, reason: 'fence'});
	t.is(decodeOrderAnswer({}), undefined);
	t.like(decodeHoldAnswer({clock_ms: 5, running: [['t', 1, '', 100, 3]], ended: [[1, 't', 1, 'done', '']]}), {clock_ms: 5, born: undefined});
	t.is(decodeHoldAnswer({clock_ms: 5, running: [['t']], ended: []}), undefined);
	t.is(decodeHoldAnswer({clock_ms: 5, running: [], ended: [['1', 't', 1, 'done']]}), undefined);
});

test('an answer without a list of runs or of ends does not count as one with an empty list', t => {
	t.like(decodeHoldAnswer({clock_ms: 5, running: [], ended: []}), {running: [], ended: []});
	for (const lists of [{running: []}, {ended: []}, {running: null, ended: []}, {running: [], ended: {}}]) {
		t.is(decodeHoldAnswer({clock_ms: 5, ...lists}), undefined);
	}
});

const holdAnswer = {
	clock_ms: 5, born: 3, running: [['t', 1, '', 100]], ended: [[1, 't', 1, 'done', '']],
};

const invalidNumbers = [-1, 1e308, Infinity, Number.NaN, Number.MAX_SAFE_INTEGER + 1, '5', null, [5], true];

test('an answer with a number that is no possible time, run or position is not used', t => {
	for (const value of invalidNumbers) {
		for (const answer of [
			{...holdAnswer, clock_ms: value},
			{...holdAnswer, born: value},
			{...holdAnswer, running: [['t', value]]},
			{...holdAnswer, ended: [[value, 't', 1, 'done']]},
			{...holdAnswer, ended: [[1, 't', value, 'done']]},
		]) {
			t.is(decodeHoldAnswer(answer), undefined, `${JSON.stringify(answer)}`);
		}

		t.is(decodeOrderAnswer({clock_ms: value}), undefined);
	}

	t.is(decodeHoldAnswer({...holdAnswer, ended: [[0, 't', 1, 'done']]}), undefined);
	t.is(decodeHoldAnswer({...holdAnswer, running: [['t', 1.5]]}), undefined);
	t.like(decodeHoldAnswer({...holdAnswer, clock_ms: 0}), {clock_ms: 0, born: 3});
	t.like(decodeOrderAnswer({clock_ms: 0}), {clock_ms: 0});
});

test('ends are taken in the order of their positions, so that none is acknowledged unseen', t => {
	const ended = [[3, 'c', 1, 'done'], [1, 'a', 1, 'done'], [2, 'b', 1, 'failed']];
	t.deepEqual(decodeHoldAnswer({...holdAnswer, ended})?.ended.map(([position]) => position), [1, 2, 3]);
});

test('the description of an invalid value is short however many issues it has', t => {
	const many = Array.from({length: 5000}, () => ({}));
	const configuration = decodeConfiguration(JSON.stringify({version: 1, services: [], routes: many}));
	const first = decodeConfiguration(JSON.stringify({services: [], routes: [{}]}));
	t.is(first.ok ? '' : first.detail, 'version: Invalid input: expected number, received undefined (and 4 more)');
	t.true(!configuration.ok && configuration.detail.length < 200);
	const job = decodeJob('a', JSON.stringify({steps: many.map(() => ({count: -1}))}), rules);
	t.true(job.kind === 'invalid' && job.detail.length < 200);
});
