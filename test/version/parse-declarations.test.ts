import test from 'ava';
import fc from 'fast-check';
import {
	builtInProfiles, formatFault, getDeclarationsJsonSchema, parseConfiguration, parseDeclarations, readDeclarations,
} from '../../src/version/index.js';

function getFaults(...texts: readonly string[]): readonly string[] {
	const parsed = parseDeclarations(texts.map((text, index) => ({name: `${index}.yaml`, text})));
	return parsed.ok ? [] : parsed.faults.map(fault => formatFault(fault));
}

test('several files are merged, and the built-in profiles that services refer to are added', t => {
	const parsed = parseDeclarations([
		{name: 'a.yaml', text: 'profiles:\n  fast: {maxTries: 5}\nteams:\n'},
		{name: 'b.yaml', text: 'services:\n  seats: {profile: fast}\n  cartons: {profile: message-frugal}\n'},
		{name: 'c.yaml', text: '# nothing yet\n'},
	]);
	if (!parsed.ok) {
		t.fail();
		return;
	}

	t.deepEqual(Object.keys(parsed.declarations.profiles), ['fast', 'message-frugal']);
	t.is(parsed.declarations.profiles.fast?.maxTries, 5);
	t.true(parseConfiguration({version: 1, changeId: 'x', declarations: parsed.declarations}).ok);
});

test('a declared profile takes precedence over a built-in one of the same name', t => {
	const parsed = parseDeclarations([{name: 'a', text: 'profiles: {response-first: {maxTries: 9}}\nservices: {seats: {profile: response-first}}'}]);
	t.true(parsed.ok && parsed.declarations.profiles['response-first']?.maxTries === 9);
	t.not(builtInProfiles['response-first']?.maxTries, 9);
});

const faultCases: ReadonlyArray<readonly [title: string, text: string, fault: string]> = [
	['an unknown profile', 'services:\n  seats:\n    profile: respons-first\n', '0.yaml:3:14: unknown profile \'respons-first\'; did you mean \'response-first\'?'],
	['an unknown section', 'service: {}\n', '0.yaml:1:1: unknown field \'service\'; did you mean \'services\'?'],
	['an unknown field', 'teams:\n  a:\n    wieght: 2\n', '0.yaml:3:5: unknown field \'wieght\'; did you mean \'weight\'?'],
	['an unknown enum value', 'profiles:\n  a:\n    order: fiffo\n', '0.yaml:3:12: invalid value of \'order\'; did you mean \'fifo\'?'],
	['a number out of range', 'teams:\n  a: {weight: 0}\n', '0.yaml:2:15: \'weight\': Too small: expected number to be >=0.01'],
	['an invalid name', 'teams:\n  A_b:\n', '0.yaml:2:3: invalid name \'A_b\': expected 1 to 63 lower-case letters, digits and hyphens'],
	['a name declared twice in the file', 'teams:\n  a:\n  a:\n', '0.yaml:3:3: Map keys must be unique'],
	['a service without profile', 'services:\n  seats:\n', '0.yaml:2:3: \'profile\': Invalid input: expected string, received undefined'],
	['a list instead of an object', '- a\n', '0.yaml:1:1: Invalid input: expected object, received array'],
	['two documents', 'teams:\n---\nteams:\n', '0.yaml:2:1: more than one YAML document in the file; remove the line ---'],
];

for (const [title, text, fault] of faultCases) {
	test(`${title} is reported with its position`, t => {
		t.deepEqual(getFaults(text), [fault]);
	});
}

test('a name declared in two files is reported with both positions', t => {
	t.deepEqual(getFaults('teams:\n  a:\n', 'teams:\n  b:\n  a:\n'), ['1.yaml:3:3: \'a\' is declared twice in teams; the other is at 0.yaml:2']);
});

test('the parser does not throw on arbitrary text', t => {
	const part = fc.constantFrom('profiles', 'services', 'teams', ':', ' ', '\n', '  ', '{', '}', '[', '&a', '*a', '---', '"', '- ', 'constructor', '__proto__', 'null', '<<');
	fc.assert(fc.property(fc.oneof(fc.string(), fc.array(part).map(parts => parts.join(''))), text => {
		t.notThrows(() => parseDeclarations([{name: 'a', text}]));
	}), {seed: 7, numRuns: 500});
});

test('a missing folder and a folder without declarations are faults', async t => {
	t.like(await readDeclarations('test/version/none'), {ok: false});
	t.like(await readDeclarations('test/version'), {ok: false});
});

test('the JSON Schema contains the sections', t => {
	const properties = getDeclarationsJsonSchema().properties as Record<string, unknown>;
	t.deepEqual(Object.keys(properties), ['profiles', 'services', 'teams']);
});
