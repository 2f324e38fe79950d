/**
 * Turns what a caller sent into a running job.
 */
import {Buffer} from 'node:buffer';
import {type UpstreamClient, type UpstreamOutcome, type UpstreamRequest} from '../connection/index.js';
import {type ListedUpstream} from '../platform/index.js';
import {
	checkMethod, checkPath, createProblemAnswer, formatJobAnswer, formatPlainAnswer, getForwardedHeaders, Job, parseJobBody, type CallerAnswer, type JobContent,
	type Header, type JobOptions, type PlainContent, type ProblemName, type SubmissionContent, type TaskBody, type TaskResult, type TaskSpec,
} from '../request/index.js';
import {type Clock} from '../seams/index.js';
import {type Configuration, type Profile} from '../version/index.js';
import {type EventLog} from './events.js';
import {type TaskScheduler} from './task-scheduler.js';

/** Told of each job that ended. */
export type JobObserver = (job: Job, answer: CallerAnswer, service: string) => void;

/** Options of a {@link JobRunner}. */
export type JobRunnerOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly scheduler: TaskScheduler;
	readonly upstreamClient: Pick<UpstreamClient, 'run'>;
	readonly getConfiguration: () => Configuration;
	/** Largest answer of one job in bytes. */
	readonly maxAnswerBytes: number;
	/** Jobs that may be in progress at the same time. */
	readonly maxJobsInFlight: number;
	readonly onJobEnded?: JobObserver;
};

/** A job that runs, or the answer that refuses it before any task started. */
export type StartResult =
	| {readonly isRunning: true; readonly job: Job; readonly profile: Profile}
	| {readonly isRunning: false; readonly answer: CallerAnswer};

/** What is needed to make a job, read out of what the caller sent. */
type JobPlan = {
	readonly service: string;
	readonly team: string;
	readonly deadlineMs: number;
	readonly profile: Profile;
	readonly tasks: readonly TaskSpec[];
	readonly formatAnswer: JobOptions['formatAnswer'];
};

type PlanResult = {readonly ok: true; readonly plan: JobPlan} | {readonly ok: false; readonly answer: CallerAnswer};

type RequestResult = {readonly ok: true; readonly req: UpstreamRequest} | {readonly ok: false; readonly detail: string};

type ProfileResult = {readonly ok: true; readonly profile: Profile} | {readonly ok: false; readonly answer: CallerAnswer};

const tooManyJobsRetryMs = 1000;

/** Makes jobs, hands them to the scheduler and counts those in progress. */
export class JobRunner {
	readonly #options: JobRunnerOptions;
	readonly #running = new Map<string, Job>();
	#isStopping = false;

	constructor(options: JobRunnerOptions) {
		this.#options = options;
	}

	/** Gets the number of jobs in progress. */
	getRunningCount(): number {
		return this.#running.size;
	}

	/**
	 * Starts a job, or gets the answer that refuses it; no task of a refused job has started or will.
	 * @param id - Job id.
	 * @param content - What the caller sent.
	 */
	startJob(id: string, content: SubmissionContent): StartResult {
		const refusal = this.#getRefusal(id, content);
		if (refusal !== undefined) {
			return {isRunning: false, answer: refusal};
		}

		const planned = this.#planJob(id, content as JobContent | PlainContent);
		if (!planned.ok) {
			return {isRunning: false, answer: planned.answer};
		}

		return this.#startPlan(id, planned.plan);
	}

	/** Refuses all new jobs from now on. */
	stop(): void {
		this.#isStopping = true;
	}

	/** Waits until no job is in progress and no task of one is running. */
	async waitUntilIdle(): Promise<void> {
		while (this.#running.size > 0) {
			await Promise.all(Array.from(this.#running.values(), async job => job.idle));
			await Promise.resolve();
		}
	}

	/**
	 * Ends all jobs in progress at once; resolves when their answers are known to all who wait for them.
	 * @param detail - Why they end.
	 */
	async abortJobs(detail: string): Promise<void> {
		const jobs = [...this.#running.values()];
		for (const job of jobs) {
			job.stop(detail);
		}

		await Promise.all(jobs.map(async job => job.answer));
	}

	#getRefusal(id: string, content: SubmissionContent): CallerAnswer | undefined {
		if (content.kind === 'refused') {
			return createProblemAnswer(content.problem, {id, detail: content.detail});
		}

		if (this.#isStopping) {
			return createProblemAnswer('stopping', {id, detail: 'take a new coordinator and submit again', retryAfterMs: 0});
		}

		if (this.#running.size >= this.#options.maxJobsInFlight) {
			const detail = `${this.#options.maxJobsInFlight} jobs are in progress`;
			return createProblemAnswer('too-many-jobs', {id, detail, retryAfterMs: tooManyJobsRetryMs});
		}

		return undefined;
	}

	#startPlan(id: string, plan: JobPlan): StartResult {
		const {clock, events, scheduler, maxAnswerBytes} = this.#options;
		const job = new Job({
			clock,
			id,
			service: plan.service,
			team: plan.team,
			deadlineMs: plan.deadlineMs,
			tasks: plan.tasks,
			maxAnswerBytes,
			formatAnswer: plan.formatAnswer,
			dropQueued() {
				scheduler.removeJob(id);
			},
			onTaskStarted(jobId, index, upstream) {
				events.addEvent('task-started', jobId, `task ${index} on ${upstream.name}`);
			},
			onTaskEnded(jobId, index, upstream, result) {
				events.addEvent('task-ended', jobId, `task ${index} on ${upstream.name}: ${result.kind}`);
			},
		});
		this.#running.set(id, job);
		events.addEvent('job-accepted', id, `${plan.tasks.length} tasks`);
		const admission = scheduler.addJob(job.getScheduledJob());
		if (!admission.admitted) {
			const {reason, detail, retryAfterMs} = admission;
			const answer = createProblemAnswer(reason, {id, detail, retryAfterMs});
			job.refuse(answer);
			this.#running.delete(id);
			events.addEvent('job-refused', id, reason);
			return {isRunning: false, answer};
		}

		void this.#watchJob(id, job, plan.service);
		return {isRunning: true, job, profile: plan.profile};
	}

	async #watchJob(id: string, job: Job, service: string): Promise<void> {
		const answer = await job.answer;
		this.#options.events.addEvent('job-ended', id, answer.problem ?? 'complete');
		this.#options.onJobEnded?.(job, answer, service);
		await job.idle;
		this.#running.delete(id);
	}

	#planJob(id: string, content: JobContent | PlainContent): PlanResult {
		return content.kind === 'job' ? this.#planBody(id, content) : this.#planPlain(id, content);
	}

	#planBody(id: string, content: JobContent): PlanResult {
		const parsed = parseJobBody(content.body);
		if (!parsed.ok) {
			return refuse('invalid-request', id, parsed.detail);
		}

		const {service, team, tasks, deadlineMs} = parsed.body;
		const found = this.#findProfile(id, service, deadlineMs);
		if (!found.ok) {
			return found;
		}

		const {profile} = found;
		const specs: TaskSpec[] = [];
		for (const [index, task] of tasks.entries()) {
			const created = createTaskRequest(id, index, task);
			if (!created.ok) {
				return refuse('invalid-request', id, `tasks.${index}: ${created.detail}`);
			}

			specs.push(this.#createTaskSpec(created.req, task.needs, task.isIdempotent, profile));
		}

		return {
			ok: true,
			plan: {
				service, team, profile, tasks: specs, formatAnswer: formatJobAnswer, deadlineMs: deadlineMs ?? profile.defaultDeadlineMs,
			},
		};
	}

	#planPlain(id: string, content: PlainContent): PlanResult {
		const {service, team, method, path, headers, body, isIdempotent, deadlineMs} = content;
		const found = this.#findProfile(id, service, deadlineMs);
		if (!found.ok) {
			return found;
		}

		const created = createUpstreamRequest(method, path, headers, body);
		if (!created.ok) {
			return refuse('invalid-request', id, created.detail);
		}

		const {profile} = found;
		const task = this.#createTaskSpec(created.req, {}, isIdempotent, profile);
		return {
			ok: true,
			plan: {
				service, team, profile, tasks: [task], formatAnswer: formatPlainAnswer, deadlineMs: deadlineMs ?? profile.defaultDeadlineMs,
			},
		};
	}

	#findProfile(id: string, serviceName: string, deadlineMs: number | undefined): ProfileResult {
		const {services, profiles} = this.#options.getConfiguration().declarations;
		const service = Object.hasOwn(services, serviceName) ? services[serviceName] : undefined;
		const profile = service === undefined ? undefined : profiles[service.profile];
		if (profile === undefined) {
			return refuse('unknown-service', id, `service "${serviceName}" is not declared`);
		}

		if (deadlineMs !== undefined && deadlineMs > profile.maxDeadlineMs) {
			return refuse('invalid-request', id, `deadlineMs: at most ${profile.maxDeadlineMs} for service "${serviceName}"`);
		}

		return {ok: true, profile};
	}

	#createTaskSpec(req: UpstreamRequest, needs: TaskBody['needs'], isIdempotent: boolean, profile: Profile): TaskSpec {
		const {taskTimeoutMs, notStartedStatuses, idleConnectionMs} = profile;
		return {
			needs,
			isIdempotent,
			send: async (upstream: ListedUpstream) => {
				const outcome = await this.#options.upstreamClient.run(upstream, req, {
					timeoutMs: taskTimeoutMs, notStartedStatuses, idleConnectionMs,
				});
				return getTaskResult(outcome);
			},
		};
	}
}

function refuse(problem: ProblemName, id: string, detail: string): {readonly ok: false; readonly answer: CallerAnswer} {
	return {ok: false, answer: createProblemAnswer(problem, {id, detail})};
}

function createTaskRequest(id: string, index: number, task: TaskBody): RequestResult {
	const created = createUpstreamRequest(task.method, task.path, Object.entries(task.headers), Buffer.from(task.body, task.bodyEncoding));
	if (!created.ok) {
		return created;
	}

	const taskHeader: Header = ['Endivemill-Task', `${id}/${index}`];
	return {ok: true, req: {...created.req, headers: [...created.req.headers, taskHeader]}};
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
