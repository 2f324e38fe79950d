#!/usr/bin/env node
/**
 * Entry point of `endivemill`.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {runCli} from './run-cli.js';

const {version} = JSON.parse(readFileSync(new URL('../../package.json', import.meta.url), 'utf8')) as {version: string};

process.exitCode = await runCli(process.argv.slice(2), {version});
