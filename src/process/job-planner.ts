/**
 * Parses and validates a submission and turns it into the plan of a job.
 */
import {Buffer} from 'node:buffer';
import {type UpstreamClient, type UpstreamOutcome, type UpstreamRequest} from '../connection/index.js';
import {type ListedUpstream} from '../platform/index.js';
import {
	type CallerAnswer, checkMethod, checkPath, createProblemAnswer, formatJobAnswer, formatPlainAnswer, getForwardedHeaders, type Header,
	type JobContent, type JobOptions, parseJobBody, type PlainContent, type ProblemName, type TaskBody, type TaskResult, type TaskSpec,
} from '../request/index.js';
import {type Configuration, type Profile} from '../version/index.js';

/** Options of a {@link JobPlanner}. */
export type JobPlannerOptions = {
	readonly upstreamClient: Pick<UpstreamClient, 'run'>;
	readonly getConfiguration: () => Configuration;
};

/** The parameters and tasks from which a job is created. */
export type JobPlan = {
	readonly service: string;
	readonly team: string;
	readonly deadlineMs: number;
	readonly profile: Profile;
	readonly tasks: readonly TaskSpec[];
	readonly formatAnswer: JobOptions['formatAnswer'];
};

/** A plan, or the answer that refuses the submission. */
export type PlanResult = {readonly ok: true; readonly plan: JobPlan} | {readonly ok: false; readonly answer: CallerAnswer};

/** Parameters of a submission besides its tasks. */
type JobParameters = {
	readonly service: string;
	readonly team: string;
	readonly deadlineMs?: number;
};

type SendTask = (upstream: ListedUpstream, req: UpstreamRequest) => Promise<TaskResult>;

type RequestResult = {readonly ok: true; readonly req: UpstreamRequest} | {readonly ok: false; readonly detail: string};

type ProfileResult = {readonly ok: true; readonly profile: Profile} | {readonly ok: false; readonly answer: CallerAnswer};

/** Plans jobs according to the configuration in force. */
export class JobPlanner {
	readonly #options: JobPlannerOptions;

	constructor(options: JobPlannerOptions) {
		this.#options = options;
	}

	/**
	 * Plans a job.
	 * @param id - Job id.
	 * @param content - Content of the submission.
	 * @returns The plan, or the refusal of an invalid submission.
	 */
	planJob(id: string, content: JobContent | PlainContent): PlanResult {
		return content.kind === 'job' ? this.#planBody(id, content) : this.#planPlain(id, content);
	}

	#planBody(id: string, content: JobContent): PlanResult {
		const parsed = parseJobBody(content.body);
		if (!parsed.ok) {
			return refuse('invalid-request', id, parsed.detail);
		}

		const {service, team, tasks, deadlineMs} = parsed.body;
		const profileResult = this.#findProfile(id, {service, team, deadlineMs});
		if (!profileResult.ok) {
			return profileResult;
		}

		const {profile} = profileResult;
		const send = this.#createSend(profile);
		const taskSpecs: TaskSpec[] = [];
		for (const [index, task] of tasks.entries()) {
			const requestResult = createTaskRequest(id, index, task);
			if (!requestResult.ok) {
				return refuse('invalid-request', id, `tasks.${index}: ${requestResult.detail}`);
			}

			const {req} = requestResult;
			taskSpecs.push({needs: task.needs, isIdempotent: task.isIdempotent, send: async upstream => send(upstream, req)});
		}

		return {
			ok: true,
			plan: {
				service, team, profile, tasks: taskSpecs, formatAnswer: formatJobAnswer, deadlineMs: deadlineMs ?? profile.defaultDeadlineMs,
			},
		};
	}

	#planPlain(id: string, content: PlainContent): PlanResult {
		const {service, team, method, path, headers, body, isIdempotent, deadlineMs} = content;
		const profileResult = this.#findProfile(id, {service, team, deadlineMs});
		if (!profileResult.ok) {
			return profileResult;
		}

		const requestResult = createUpstreamRequest(method, path, headers, body);
		if (!requestResult.ok) {
			return refuse('invalid-request', id, requestResult.detail);
		}

		const {profile} = profileResult;
		const {req} = requestResult;
		const send = this.#createSend(profile);
		const task: TaskSpec = {needs: {}, isIdempotent, send: async upstream => send(upstream, req)};
		return {
			ok: true,
			plan: {
				service, team, profile, tasks: [task], formatAnswer: formatPlainAnswer, deadlineMs: deadlineMs ?? profile.defaultDeadlineMs,
			},
		};
	}

	#findProfile(id: string, {service, team, deadlineMs}: JobParameters): ProfileResult {
		const {services, profiles, teams} = this.#options.getConfiguration().declarations;
		const declaration = Object.hasOwn(services, service) ? services[service] : undefined;
		const profile = declaration === undefined ? undefined : profiles[declaration.profile];
		if (profile === undefined) {
			return refuse('unknown-service', id, `service "${service}" is not declared`);
		}

		if (team !== '' && !Object.hasOwn(teams, team)) {
			return refuse('unknown-team', id, `team "${team}" is not declared`);
		}

		if (deadlineMs !== undefined && deadlineMs > profile.maxDeadlineMs) {
			return refuse('invalid-request', id, `deadlineMs: at most ${profile.maxDeadlineMs} for service "${service}"`);
		}

		return {ok: true, profile};
	}

	#createSend(profile: Profile): SendTask {
		const {taskTimeoutMs, notStartedStatuses, idleConnectionMs} = profile;
		const runOptions = {timeoutMs: taskTimeoutMs, notStartedStatuses, idleConnectionMs};
		return async (upstream, req) => {
			const outcome = await this.#options.upstreamClient.run(upstream, req, runOptions);
			return getTaskResult(outcome);
		};
	}
}

function refuse(problem: ProblemName, id: string, detail: string): {readonly ok: false; readonly answer: CallerAnswer} {
	return {ok: false, answer: createProblemAnswer(problem, {id, detail})};
}

function createTaskRequest(id: string, index: number, task: TaskBody): RequestResult {
	const requestResult = createUpstreamRequest(task.method, task.path, Object.entries(task.headers), Buffer.from(task.body, task.bodyEncoding));
	if (!requestResult.ok) {
		return requestResult;
	}

	const taskHeader: Header = ['Endivemill-Task', `${id}/${index}`];
	return {ok: true, req: {...requestResult.req, headers: [...requestResult.req.headers, taskHeader]}};
}

function createUpstreamRequest(method: string, path: string, headers: readonly Header[], body: Uint8Array): RequestResult {
	const forwarded = getForwardedHeaders(headers);
	if (!forwarded.ok) {
		return forwarded;
	}

	for (const result of [checkMethod(method), checkPath(path)]) {
		if (!result.ok) {
			return result;
		}
	}

	return {
		ok: true,
		req: {
			method, path, headers: forwarded.headers, body,
		},
	};
}

function getTaskResult(outcome: UpstreamOutcome): TaskResult {
	if (outcome.kind === 'answered') {
		const {status, headers, body} = outcome;
		return {kind: 'answered', answer: {status, headers, body}};
	}

	return outcome;
}
