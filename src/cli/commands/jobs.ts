/**
 * `endivemill jobs`: shows or cancels a job.
 */
import {type Command} from 'commander';
import {request} from 'undici';
import {parseJobId} from '../../request/index.js';
import {addCallerFlags, type CallerFlags, openCaller} from '../caller-targets.js';
import {type CliContext} from '../cli-host.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {printResult} from '../output.js';

const timeoutMs = 5000;

/**
 * Adds the commands.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the actions.
 */
export function addJobsCommand(program: Command, context: CliContext): void {
	const jobs = program.command('jobs').description('show or cancel a job');
	const show = jobs.command('show').description('print the state or the answer of a job').argument('<id>', '{coordinator}/{key}');
	context.setAction<CallerFlags>(addCallerFlags(show), async (flags, args) => sendJobRequest(context, flags, 'GET', args[0]!));
	const cancel = jobs.command('cancel').description('cancel a job; its queued tasks never start').argument('<id>', '{coordinator}/{key}');
	context.setAction<CallerFlags>(addCallerFlags(cancel), async (flags, args) => sendJobRequest(context, flags, 'DELETE', args[0]!));
}

async function sendJobRequest({host}: CliContext, flags: CallerFlags, method: 'GET' | 'DELETE', id: string): Promise<ExitCode> {
	if (parseJobId(id) === undefined) {
		return printResult(host, flags.json, {exitCode: exitCodes.invalid, json: {outcome: 'invalid'}, error: 'expected {coordinator}/{key}'});
	}

	const opened = await openCaller(flags, host);
	if (!opened.ok) {
		return opened.exitCode;
	}

	const address = opened.caller.getNextAddress();
	await opened.caller.close();
	try {
		const res = await request(`http://${address}/v1/jobs/${id}`, {method, signal: AbortSignal.timeout(timeoutMs)});
		const body = await res.body.text();
		const exitCode = res.statusCode === 404 ? exitCodes.notFound : exitCodes.success;
		return printResult(host, flags.json, {exitCode, json: JSON.parse(body) as unknown, text: body});
	} catch (err) {
		const detail = (err as Error).message;
		return printResult(host, flags.json, {exitCode: exitCodes.unavailable, json: {outcome: 'unavailable', detail}, error: detail});
	}
}
