#!/usr/bin/env node
/**
 * `endivemill-lab`: stand-ins and load for developers and for trying the product.
 */
import {Command} from 'commander';
import {addLoadCommand} from './load-command.js';
import {addPlatformCommand} from './platform-command.js';
import {addUpstreamCommand} from './upstream-command.js';

const program = new Command('endivemill-lab')
	.description('Stand-ins and load for developers and for trying endivemill.')
	.showHelpAfterError();

addPlatformCommand(program);
addUpstreamCommand(program);
addLoadCommand(program);
await program.parseAsync();
