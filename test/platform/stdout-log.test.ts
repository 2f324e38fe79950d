import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';
import test from 'ava';

const run = promisify(execFile);
const module = new URL('../../src/platform/stdout-log.ts', import.meta.url).href;

/** Runs a script in a process of its own, since the log writes to standard output itself. */
async function getOutput(script: string): Promise<string> {
	const {stdout} = await run(process.execPath, ['--import=tsx', '--input-type=module', '-e', `import {StdoutLog} from '${module}';\nconst log = new StdoutLog();\n${script}`]);
	return stdout;
}

const lines = Array.from({length: 500}, (_, position) => `line ${position}\n`).join('');
const writeLines = String.raw`for (let position = 0; position < 500; position++) log.write('line ' + position + '\n');`;

test('lines that are gathered when the process ends are all written, in order', async t => {
	t.is(await getOutput(`${writeLines}\nawait log.drain();\nprocess.exit(0);`), lines);
});

test('lines are written without being asked for', async t => {
	t.is(await getOutput(writeLines), lines);
});

test('lines beyond what may wait are dropped and counted', async t => {
	const output = await getOutput('for (let count = 0; count < 300; count++) log.write("x".repeat(1024));\nawait log.drain();\nlog.write("dropped " + log.getDroppedCount());\nawait log.drain();');
	t.is(output, `${'x'.repeat(256 * 1024)}dropped 44`);
});
