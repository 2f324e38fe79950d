import test from 'ava';
import {getConfigurationKey} from '../../src/platform/index.js';
import {
	createFolder, run, startEntryVm, startStandIn,
} from './cli-fixture.js';

const seatsDeclarations = 'services:\n  seats: {profile: response-first}\n';
const frugalSeatsDeclarations = 'services:\n  seats: {profile: message-frugal}\n';

test('validate accepts valid folders and reports the faults of others', async t => {
	const good = await createFolder(t, seatsDeclarations);
	t.like(await run(['validate', good]), {exitCode: 0, out: 'valid: 1 profiles, 1 services, 0 teams in 1 files\n'});
	const bad = await createFolder(t, 'services:\n  seats: {profile: fast}\n');
	const faulty = await run(['validate', bad]);
	t.is(faulty.exitCode, 2);
	t.true(faulty.err.includes('declarations.yaml:2:20: unknown profile \'fast\''));
	const json = await run(['validate', bad, '--json']);
	t.like(JSON.parse(json.out), {outcome: 'invalid', faults: [{line: 2, column: 20}]});
});

test('a change goes from diff over apply to history, show and rollback', async t => {
	const {env} = await startStandIn(t);
	const first = await createFolder(t, seatsDeclarations);
	const second = await createFolder(t, frugalSeatsDeclarations);
	t.like(await run(['diff', first], env), {exitCode: 1});
	t.like(await run(['apply', first, '--dry-run'], env), {exitCode: 0});
	t.like(await run(['history'], env), {exitCode: 0, out: 'no version was accepted yet\n'});
	t.like(await run(['apply', first, '--message', 'begin'], env), {exitCode: 0});
	t.like(await run(['diff', first], env), {exitCode: 0, out: 'no difference from version 1\n'});
	t.like(await run(['apply', first], env), {exitCode: 0, out: 'no difference; version 1 stays; in force on all 0 live entry VMs\n'});
	t.like(await run(['apply', second, '--author', 'bina'], env), {exitCode: 0});
	t.like(await run(['rollback', '1'], env), {exitCode: 0});
	const history = JSON.parse((await run(['history', '--json'], env)).out) as Array<Record<string, unknown>>; // eslint-disable-line unicorn/no-await-expression-member
	t.deepEqual(history.map(({version, author, message}) => [version, author, message]), [
		[3, 'asha', 'Roll back to version 1'], [2, 'bina', ''], [1, 'asha', 'begin'],
	]);
	const shown = await run(['show', '--version', '2'], env);
	t.regex(shown.out, /^# version 2 of .* by bina\n.*profile: message-frugal/sv);
	const present = await run(['show', '--json'], env);
	t.like(JSON.parse(present.out), {version: 3, declarations: {services: {seats: {profile: 'response-first'}}}});
	t.like(await run(['rollback', '9'], env), {exitCode: 7, err: 'error: version 9 is not kept; kept are 1 to 3\n'});
});

test('apply waits until every live entry VM has the version in force', async t => {
	const {standIn, env} = await startStandIn(t);
	const folder = await createFolder(t, seatsDeclarations);
	let polls = 0;
	standIn.addVm(await startEntryVm(t, 'e1', () => 1));
	standIn.addVm(await startEntryVm(t, 'e2', () => polls++ < 2 ? 0 : 1));
	standIn.addVm({...await startEntryVm(t, 'e3', () => 0), state: 'leaving'});
	const applied = await run(['apply', folder], env);
	t.is(applied.exitCode, 0);
	t.is(applied.err, 'version 1 in force on 1 of 2 entry VMs\nversion 1 in force on 2 of 2 entry VMs\n');
});

test('apply names the entry VMs that lag or do not answer', async t => {
	const {standIn, env} = await startStandIn(t);
	const folder = await createFolder(t, seatsDeclarations);
	standIn.addVm(await startEntryVm(t, 'e1', () => 1));
	standIn.addVm(await startEntryVm(t, 'e2', () => 0));
	standIn.addVm({...await startEntryVm(t, 'e3', () => 0), operatorAddress: '127.0.0.1:1'});
	const applied = await run(['apply', folder, '--wait-ms', '1', '--json'], env);
	t.is(applied.exitCode, 3);
	t.like(JSON.parse(applied.out), {
		outcome: 'accepted', version: 1, inForce: 1, lagging: [{name: 'e2', version: 0}, {name: 'e3'}],
	});
});

test('a store that has lost versions is reported, and a higher version can be requested', async t => {
	const {standIn, env} = await startStandIn(t);
	let inForce = 12;
	standIn.addVm(await startEntryVm(t, 'e1', () => inForce));
	const folder = await createFolder(t, seatsDeclarations);
	const lost = await run(['apply', folder], env);
	t.is(lost.exitCode, 3);
	t.true(lost.err.includes('lost versions; apply again with --min-version 13'));
	inForce = 13;
	t.like(await run(['apply', folder, '--min-version', '13'], env), {exitCode: 0});
	t.regex((await run(['show'], env)).out, /^# version 13 /v); // eslint-disable-line unicorn/no-await-expression-member
});

test('a change from another version than the expected one is refused', async t => {
	const {env} = await startStandIn(t);
	await run(['apply', await createFolder(t, seatsDeclarations)], env);
	const other = await createFolder(t, frugalSeatsDeclarations);
	const refused = await run(['apply', other, '--expect-version', '0'], env);
	t.is(refused.exitCode, 4);
	t.true(refused.err.includes('expected version 0, but the current one is version 1'));
});

test('a change that entry VMs would refuse or that is too long is not written', async t => {
	const {standIn, env} = await startStandIn(t);
	const folder = await createFolder(t, seatsDeclarations);
	const refused = await run(['apply', folder, '--message', 'x'.repeat(5000)], env);
	t.is(refused.exitCode, 2);
	t.regex(refused.err, /nothing was written: message: Too big/v);
	const profiles = Array.from({length: 3000}, (_, index) => `  profile-${index}:\n`).join('');
	const tooLong = await run(['apply', await createFolder(t, `profiles:\n${profiles}`)], env);
	t.is(tooLong.exitCode, 2);
	t.regex(tooLong.err, /nothing was written: the value is longer than 1000000 bytes/v);
	t.is(standIn.getCallCounts()['/v3/kv/txn'], undefined);
});

test('the outcome of a lost answer is determined by the change id', async t => {
	const {standIn, env} = await startStandIn(t);
	await standIn.setFault({losesAnswers: true});
	const applied = await run(['apply', await createFolder(t, seatsDeclarations)], env);
	t.like(applied, {exitCode: 0});
	t.regex(applied.out, /accepted as version 1/v);
});

test('every command fails as unavailable while the platform is down', async t => {
	const {standIn, env} = await startStandIn(t);
	await standIn.setFault({isDown: true});
	const folder = await createFolder(t, seatsDeclarations);
	for (const argv of [['apply', folder], ['diff', folder], ['history'], ['show'], ['rollback', '1']]) {
		t.like(await run(argv, env), {exitCode: 5});
	}
});

test('an invalid stored value is reported', async t => {
	const {standIn, env} = await startStandIn(t);
	standIn.putKey(getConfigurationKey('test'), '{}');
	const shown = await run(['show'], env);
	t.is(shown.exitCode, 2);
	t.regex(shown.err, /the stored configuration is not valid/v);
});

test('invalid command lines are refused with one line for each fault', async t => {
	t.like(await run(['history']), {
		exitCode: 2, err: 'error: --platform-urls (ENDIVEMILL_PLATFORM_URLS): missing\nerror: --deployment (ENDIVEMILL_DEPLOYMENT): missing\n',
	});
	t.like(await run(['history', '--platform-urls', 'ftp://x', '--deployment', 'test']), {
		exitCode: 2, err: 'error: --platform-urls (ENDIVEMILL_PLATFORM_URLS): \'ftp://x\' is no http or https URL\n',
	});
	t.like(await run(['apply', 'x', '--wait-ms', 'soon']), {exitCode: 2});
	t.like(await run(['appply']), {exitCode: 2});
	t.like(await run(['rollback', 'one', '--platform-urls', 'http://127.0.0.1:1', '--deployment', 'test']), {exitCode: 5});
});

test('help and schema are printed', async t => {
	const help = await run(['--help']);
	t.is(help.exitCode, 0);
	t.regex(help.out, /rollback/v);
	const schema = await run(['schema']);
	t.like(JSON.parse(schema.out), {type: 'object'});
});

for (const name of ['sangha', 'skjalageymsla']) {
	test(`the example declarations of ${name} are valid`, async t => {
		t.like(await run(['validate', `examples/${name}`]), {exitCode: 0, err: ''});
	});
}
