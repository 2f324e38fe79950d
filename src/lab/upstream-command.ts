/**
 * `endivemill-lab upstream`: runs an upstream stand-in as a separate process.
 */
import process from 'node:process';
import {type Command, InvalidArgumentError} from 'commander';
import {getUpstreamFaults, upstreamFaultNames, UpstreamStandIn} from '../testing/index.js';
import {parseAddress, parseCount, waitForSignal} from './arguments.js';

type UpstreamCommandOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly name: string;
	readonly slots: number;
	readonly runMs: number;
	readonly fault: readonly string[];
};

/**
 * Adds the `upstream` command.
 * @param program - Program to add it to.
 */
export function addUpstreamCommand(program: Command): void {
	program.command('upstream')
		.description('Runs simulated tasks and records every start: GET /record; GET and PUT /control.')
		.requiredOption('--listen <address>', 'IP address and port to listen on', parseAddress)
		.option('--name <name>', 'name in the record and in answers', 'upstream')
		.option('--slots <count>', 'number of tasks that are meant to run concurrently', parseCount, 8)
		.option('--run-ms <ms>', 'run time of a task without X-Run-Ms header', parseCount, 100)
		.option('--fault <fault>', `${upstreamFaultNames.join(', ')}; may be given more than once`, addFault, [])
		.action(runUpstream);
}

async function runUpstream(options: UpstreamCommandOptions): Promise<void> {
	const upstream = new UpstreamStandIn({
		...options.listen,
		name: options.name,
		slots: options.slots,
		getRunMs: () => options.runMs,
		faults: getUpstreamFaults(options.fault),
	});
	await upstream.listen();
	process.stdout.write(`upstream ${options.name} listens on ${upstream.getAddress()}\n`);
	await waitForSignal();
	await upstream.close();
}

function addFault(value: string, previous: readonly string[]): readonly string[] {
	const faults = [...previous, value];
	if (getUpstreamFaults(faults) === undefined) {
		throw new InvalidArgumentError(`expected one of ${upstreamFaultNames.join(', ')}`);
	}

	return faults;
}
