import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test from 'ava';

type ProcessResult = {
	readonly exitCode: number | undefined;
	readonly out: string;
	readonly err: string;
};

async function runMain(args: readonly string[], nodeArgs: readonly string[] = []): Promise<ProcessResult> {
	const child = spawn(process.execPath, ['--import=tsx', ...nodeArgs, 'src/cli/main.ts', ...args]);
	let out = '';
	let err = '';
	child.stdout.on('data', (chunk: Uint8Array) => {
		out += String(chunk);
	});
	child.stderr.on('data', (chunk: Uint8Array) => {
		err += String(chunk);
	});
	const [exitCode] = await once(child, 'close') as [number | undefined];
	return {exitCode, out, err};
}

test('the program ends with the exit code of its command', async t => {
	t.like(await runMain(['validate', 'examples/sangha']), {exitCode: 0, err: ''});
	t.like(await runMain(['validate', 'examples']), {exitCode: 2, out: ''});
});

test('an internal error has an exit code other than that of a difference', async t => {
	const breakOutput = '--import=data:text/javascript,process.stdout.write=()=>{throw new Error("broken")}';
	const ended = await runMain(['schema'], [breakOutput]);
	t.is(ended.exitCode, 70);
	t.regex(ended.err, /^internal error: Error: broken/v);
});
