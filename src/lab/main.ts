#!/usr/bin/env node
/**
 * Entry point of `endivemill-lab`, which provides stand-ins and a load generator for development.
 */
import {Command} from 'commander';
import {addLoadCommand} from './load-command.js';
import {addPlatformCommand} from './platform-command.js';
import {addUpstreamCommand} from './upstream-command.js';

const program = new Command('endivemill-lab')
	.description('Stand-ins and a load generator for development with endivemill.')
	.showHelpAfterError();

addPlatformCommand(program);
addUpstreamCommand(program);
addLoadCommand(program);
await program.parseAsync();
