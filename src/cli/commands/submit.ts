/**
 * `endivemill submit`: submits a job from a file or standard input, and resubmits it until its outcome is known.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type Command} from 'commander';
import {type CallAnswer, type CallerJob} from '../../lab/call.js';
import {type SubmitResult} from '../../lab/caller.js';
import {parseJobBody, parseJobId} from '../../request/index.js';
import {type Timer} from '../../seams/index.js';
import {addCallerFlags, type CallerFlags, openCaller} from '../caller-targets.js';
import {type CliContext, type CliHost} from '../cli-host.js';
import {type ExitCode, exitCodes} from '../exit-codes.js';
import {type CommandResult, printResult} from '../output.js';

type SubmitFlags = CallerFlags & {
	readonly id?: string;
};

type JobReadResult = {readonly ok: true; readonly job: CallerJob} | {readonly ok: false; readonly detail: string};

const progressIntervalMs = 2000;

/**
 * Adds the command.
 * @param program - Program to change.
 * @param context - Host, and the function that sets the action.
 */
export function addSubmitCommand(program: Command, context: CliContext): void {
	const command = program.command('submit')
		.description('submit a job and print its answer; it is resubmitted under the same id while the outcome is unknown')
		.argument('<file>', 'file with the job as JSON; - for standard input')
		.option('--id <coordinator/key>', 'id of an earlier submission to repeat');
	context.setAction<SubmitFlags>(addCallerFlags(command), async (flags, args) => submit(context, flags, args[0]!));
}

async function submit({host}: CliContext, flags: SubmitFlags, file: string): Promise<ExitCode> {
	const read = await readJob(file);
	if (!read.ok) {
		return printResult(host, flags.json, {exitCode: exitCodes.invalid, json: {outcome: 'invalid', detail: read.detail}, error: read.detail});
	}

	const id = flags.id === undefined ? undefined : parseJobId(flags.id);
	if (flags.id !== undefined && id === undefined) {
		const detail = '--id: expected {coordinator}/{key}';
		return printResult(host, flags.json, {exitCode: exitCodes.invalid, json: {outcome: 'invalid', detail}, error: detail});
	}

	const opened = await openCaller(flags, host);
	if (!opened.ok) {
		return opened.exitCode;
	}

	const progress = startProgressReport(host, flags);
	const [coordinator, key] = flags.id?.split('/') ?? [];
	const result = await opened.caller.submitJob(read.job, {id: coordinator !== undefined && key !== undefined ? {coordinator, key} : undefined});
	progress.close();
	await opened.caller.close();
	return printResult(host, flags.json, createResult(result));
}

async function readJob(file: string): Promise<JobReadResult> {
	let content: string;
	try {
		content = file === '-' ? await text(process.stdin) : await readFile(file, 'utf8');
	} catch (err) {
		return {ok: false, detail: (err as Error).message};
	}

	const parsed = parseJobBody(new TextEncoder().encode(content));
	return parsed.ok ? {ok: true, job: JSON.parse(content) as CallerJob} : {ok: false, detail: `${file}: ${parsed.detail}`};
}

function startProgressReport(host: CliHost, {json}: SubmitFlags): Timer {
	const startedAt = host.clock.getMonotonicTime();
	return host.clock.setRepeatingTimer(() => {
		if (!json) {
			host.writeErr(`waiting for ${Math.round((host.clock.getMonotonicTime() - startedAt) / 1000)} s\n`);
		}
	}, progressIntervalMs);
}

function createResult({id, answer, calls, attempts}: SubmitResult): CommandResult {
	const idText = id === undefined ? undefined : `${id.coordinator}/${id.key}`;
	if (answer === undefined) {
		return {exitCode: exitCodes.unavailable, json: {id: idText, outcome: 'no-answer', calls}, error: 'no entry VM answers'};
	}

	const {outcome, tasks, problemType, detail} = answer;
	return {
		exitCode: getExitCode(outcome),
		json: {
			id: idText, outcome, calls, attempts, ...(outcome === 'complete' ? {tasks} : {type: problemType, detail}),
		},
		text: outcome === 'complete' ? tasks.map(({status, body}, index) => `${index} ${status} ${body}`).join('\n') : undefined,
		error: outcome === 'complete' ? undefined : `${outcome}: ${detail} (id ${idText ?? 'none'})`,
	};
}

function getExitCode(outcome: CallAnswer['outcome']): ExitCode {
	switch (outcome) {
		case 'complete': {
			return exitCodes.success;
		}

		case 'not_run': {
			return exitCodes.notRun;
		}

		case 'failed': {
			return exitCodes.failed;
		}

		case 'unknown': {
			return exitCodes.unknown;
		}
	}
}
