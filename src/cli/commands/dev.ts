/**
 * `endivemill dev`: runs a complete deployment on loopback for development.
 */
import {type Command} from 'commander';
import {createLocalCluster, type LocalCluster} from '../../lab/local-cluster.js';
import {type CliContext} from '../cli-host.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {formatTable} from '../table.js';

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addDevCommand(program: Command, context: CliContext): void {
	const command = program.command('dev').description('run a platform stand-in, 3 upstreams and 3 entry VMs on loopback until interrupted');
	context.setAction(command, async () => runDev(context));
}

async function runDev({host}: CliContext): Promise<ExitCode> {
	const cluster = await createLocalCluster();
	host.writeOut(formatAddresses(cluster));
	await host.waitForInterrupt();
	await cluster.close();
	return exitCodes.success;
}

function formatAddresses(cluster: LocalCluster): string {
	const [caller] = cluster.getCallerAddresses();
	const entryVms = cluster.getEntryVms().map(entryVm => [
		entryVm.getIncarnation().vm, entryVm.getCallerAddress(), entryVm.getOperatorAddress(), entryVm.getPeerAddress(),
	]);
	const upstreams = cluster.getUpstreams().map(({listed}) => [listed.name, listed.service, listed.address, String(listed.slots)]);
	return `${formatTable(['ENTRY VM', 'CALLERS', 'OPERATORS', 'PEERS'], entryVms)}

${formatTable(['UPSTREAM', 'SERVICE', 'ADDRESS', 'SLOTS'], upstreams)}

export ENDIVEMILL_PLATFORM_URLS=${cluster.platform.getUrl()} ENDIVEMILL_DEPLOYMENT=${cluster.platform.getDeployment()}
curl -i -d '{"service":"demo","tasks":[{"path":"/hold"},{"path":"/hold"}]}' http://${caller!}/v1/jobs
`;
}
