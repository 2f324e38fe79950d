import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import test from 'ava';
import {buildSync} from 'esbuild';

const run = promisify(execFile);
const resolveDir = fileURLToPath(new URL('../../src/platform', import.meta.url));

/** Bundles a script in the same way as the daemon; the loader of the tests would make standard output non-blocking. */
function getArguments(script: string): string[] {
	const contents = `import {StdoutLog} from './stdout-log.js';\nconst log = new StdoutLog();\n${script}`;
	const {outputFiles} = buildSync({
		stdin: {contents, resolveDir}, bundle: true, platform: 'node', format: 'esm', write: false,
	});
	return ['--input-type=module', '-e', outputFiles[0]!.text];
}

/** Runs a script in a separate process, since the log writes directly to standard output. */
async function getOutput(script: string): Promise<string> {
	const {stdout} = await run(process.execPath, getArguments(script));
	return stdout;
}

/** Runs a script and reads its standard output after an event: it writes to standard error, or has ended. */
async function getOutputReadLate(script: string, event: 'message' | 'exit'): Promise<string> {
	const child = spawn(process.execPath, getArguments(script), {stdio: ['ignore', 'pipe', 'pipe']});
	await (event === 'exit' ? once(child, 'exit') : once(child.stderr, 'data'));
	const output = await child.stdout.setEncoding('utf8').toArray() as string[];
	return output.join('');
}

const lines = Array.from({length: 500}, (_, position) => `line ${position}\n`).join('');
const writeLines = String.raw`for (let position = 0; position < 500; position++) log.write('line ' + position + '\n');`;

test('buffered lines are all written in order when the process ends', async t => {
	t.is(await getOutput(`${writeLines}\nawait log.drain();\nprocess.exit(0);`), lines);
});

test('lines are written without an explicit drain', async t => {
	t.is(await getOutput(writeLines), lines);
});

const writeMuch = 'for (let count = 0; count < 300; count++) log.write("x".repeat(1024));\n';

test('lines that do not fit into a full pipe are written later', async t => {
	const output = await getOutputReadLate(`${writeMuch}setTimeout(async () => {
		console.error('written');
		while (!await log.drain());
		log.write('dropped ' + log.getDroppedCount());
		while (!await log.drain());
	}, 200);`, 'message');
	t.is(output, `${'x'.repeat(256 * 1024)}dropped 44`);
});

/** Fills standard output: what it holds and how much of it is read ahead depend on the system. */
const fillOutput = `import {writeSync} from 'node:fs';
	try {
		for (;;) writeSync(1, 'y'.repeat(64 * 1024));
	} catch {}
`;

test('a process whose output is not read still ends and loses only lines', async t => {
	const output = await getOutputReadLate(`${fillOutput}${writeMuch}await log.drain();\nprocess.exit(0);`, 'exit');
	t.regex(output, /^y+x*$/v);
	t.true(output.replaceAll('y', '').length < 256 * 1024);
});

test('lines beyond the buffer limit are dropped and counted', async t => {
	const output = await getOutput('for (let count = 0; count < 300; count++) log.write("x".repeat(1024));\nawait log.drain();\nlog.write("dropped " + log.getDroppedCount());\nawait log.drain();');
	t.is(output, `${'x'.repeat(256 * 1024)}dropped 44`);
});
