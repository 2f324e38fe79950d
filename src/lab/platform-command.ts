/**
 * `endivemill-lab platform`: runs the platform stand-in as a separate process.
 */
import process from 'node:process';
import {type Command, InvalidArgumentError} from 'commander';
import {listedVmSchema} from '../platform/index.js';
import {createPlatformStandIn, type PlatformFaults} from '../testing/index.js';
import {parseAddress, parseCount, waitForSignal} from './arguments.js';

type PlatformCommandOptions = {
	readonly listen: {readonly host: string; readonly port: number};
	readonly controlPort: number;
	readonly deployment: string;
	readonly vm: readonly string[];
	readonly fault: PlatformFaults;
};

const faultNames = 'down, slow=MS, stale=REVISIONS, lossy, silent';

/**
 * Adds the `platform` command.
 * @param program - Program to add it to.
 */
export function addPlatformCommand(program: Command): void {
	program.command('platform')
		.description('Runs a platform stand-in: the JSON/HTTP form of the etcd v3 API with in-memory storage.')
		.requiredOption('--listen <address>', 'IP address and port to listen on', parseAddress)
		.option('--control-port <port>', 'port of the fault control interface; 0 lets the operating system choose', parseCount, 0)
		.option('--deployment <name>', 'deployment whose VMs are listed', 'test')
		.option('--vm <json>', 'VM to list, as JSON; may be given more than once', addVm, [])
		.option('--fault <fault>', `${faultNames}; may be given more than once`, addFault, {})
		.action(runPlatform);
}

async function runPlatform(options: PlatformCommandOptions): Promise<void> {
	const platform = await createPlatformStandIn({
		...options.listen, controlPort: options.controlPort, deployment: options.deployment,
	});
	for (const vm of options.vm) {
		platform.addVm(listedVmSchema.parse(JSON.parse(vm)));
	}

	await platform.setFault(options.fault);
	process.stdout.write(`platform listens on ${platform.getUrl()}, its control on ${platform.getControlUrl()}\n`);
	await waitForSignal();
	await platform.close();
}

function addVm(value: string, previous: readonly string[]): readonly string[] {
	try {
		listedVmSchema.parse(JSON.parse(value));
	} catch (err) {
		throw new InvalidArgumentError(`expected an entry of the VM list: ${(err as Error).message}`);
	}

	return [...previous, value];
}

function addFault(value: string, previous: PlatformFaults): PlatformFaults {
	const [name = '', valueText = ''] = value.split('=', 2);
	switch (name) {
		case 'down': {
			return {...previous, isDown: true};
		}

		case 'lossy': {
			return {...previous, losesAnswers: true};
		}

		case 'silent': {
			return {...previous, isSilent: true};
		}

		case 'slow': {
			return {...previous, delayMs: parseCount(valueText)};
		}

		case 'stale': {
			return {...previous, staleRevisions: parseCount(valueText)};
		}

		default: {
			throw new InvalidArgumentError(`expected one of ${faultNames}`);
		}
	}
}
