#!/usr/bin/env node
/**
 * Entry point of `endivemill`.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {exitCodes} from './exit-codes.js';
import {runCli} from './run-cli.js';

const {version} = JSON.parse(readFileSync(new URL('../../package.json', import.meta.url), 'utf8')) as {version: string};

process.on('uncaughtException', (err: NodeJS.ErrnoException) => {
	// The reader of the output, for instance `head`, has closed the pipe.
	if (err.code === 'EPIPE') {
		process.exit(exitCodes.success);
	}

	process.stderr.write(`internal error: ${err.stack ?? err.message}\n`);
	process.exit(exitCodes.internalError);
});

process.exitCode = await runCli(process.argv.slice(2), {version});
