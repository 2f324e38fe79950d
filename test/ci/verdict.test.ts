import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {promisify} from 'node:util';
import test, {type ExecutionContext} from 'ava';

const run = promisify(execFile);

/** Runs the script on a log and a list of known failures; returns the printed lines. */
async function getVerdict(t: ExecutionContext, log: readonly string[], known: readonly string[], exitCode: number): Promise<readonly string[]> {
	const dir = await mkdtemp(path.join(tmpdir(), 'verdict-'));
	t.teardown(async () => rm(dir, {recursive: true}));
	const logFile = path.join(dir, 'log');
	const knownFile = path.join(dir, 'known');
	await writeFile(logFile, log.join('\n'));
	await writeFile(knownFile, known.map(title => `test: ${title}\nissue: 1\n`).join('\n'));
	const {stdout} = await run('node', ['.ci/verdict.mjs', logFile, knownFile, String(exitCode)]);
	return stdout.trimEnd().split('\n');
}

test('a run without a failure passes', async t => {
	t.deepEqual(await getVerdict(t, ['  ✔ a › b', '  12 tests passed'], ['a › c'], 0), ['13 0']);
});

test('a listed failure is printed and ignored', async t => {
	const log = ['  \u001B[31m✘ [fail]: a › b (12ms)\u001B[39m Error thrown in test', '  11 tests passed', '  1 test failed'];
	t.deepEqual(await getVerdict(t, log, ['a › b'], 1), ['known red, failed: a › b', '12 0']);
});

test('a listed test that exceeds the time limit is ignored', async t => {
	const log = ['  ✘ Timed out while running tests', '  1 tests were pending in x.test.ts', '  ◌ a › b', '  11 tests passed', '  1 test remained pending after a timeout'];
	t.deepEqual(await getVerdict(t, log, ['a › b'], 1), ['known red, failed: a › b', '12 0']);
});

test('an unlisted failure counts, also together with a listed one', async t => {
	const log = ['  ✘ [fail]: a › b', '  ✘ [fail]: a › bc', '  11 tests passed', '  2 tests failed'];
	t.deepEqual(await getVerdict(t, log, ['a › b'], 1), ['known red, failed: a › b', 'FAILED: a › bc', '11 1']);
});

test('a step that fails for another reason counts as failed', async t => {
	t.deepEqual(await getVerdict(t, ['error TS2304: Cannot find name'], ['a › b'], 2), ['0 1']);
	const crashed = ['  ✘ [fail]: a › b', '  ✘ x.test.ts exited with a non-zero exit code: 1', '  11 tests passed', '  1 test failed'];
	t.deepEqual(await getVerdict(t, crashed, ['a › b'], 1), ['known red, failed: a › b', '11 1']);
});
