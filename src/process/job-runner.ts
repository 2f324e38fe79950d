/**
 * Creates jobs from submissions and runs them.
 */
import {type UpstreamClient} from '../connection/index.js';
import {
	type CallerAnswer, createProblemAnswer, Job, type JobContent, type PlainContent, type SubmissionContent,
} from '../request/index.js';
import {type Clock} from '../seams/index.js';
import {type Configuration, type Profile} from '../version/index.js';
import {type EventLog} from './events.js';
import {type JobPlan, JobPlanner} from './job-planner.js';
import {type TaskScheduler} from './task-scheduler.js';

/** Called for each job that ended. */
export type JobObserver = (job: Job, answer: CallerAnswer, service: string) => void;

/** Options of a {@link JobRunner}. */
export type JobRunnerOptions = {
	readonly clock: Clock;
	readonly events: EventLog;
	readonly scheduler: TaskScheduler;
	readonly upstreamClient: Pick<UpstreamClient, 'run'>;
	readonly getConfiguration: () => Configuration;
	/** Maximum size of one job's answer in bytes. */
	readonly maxAnswerBytes: number;
	/** Maximum number of jobs in progress at the same time. */
	readonly maxJobsInFlight: number;
	readonly onJobEnded?: JobObserver;
};

/** A started job, or the answer that refuses it before any task started. */
export type StartResult =
	| {readonly isRunning: true; readonly job: Job; readonly profile: Profile}
	| {readonly isRunning: false; readonly answer: CallerAnswer};

const tooManyJobsRetryAfterMs = 1000;

/** Creates jobs, adds them to the scheduler and tracks those in progress. */
export class JobRunner {
	readonly #options: JobRunnerOptions;
	readonly #planner: JobPlanner;
	readonly #running = new Map<string, Job>();
	#isStopping = false;

	constructor(options: JobRunnerOptions) {
		this.#options = options;
		this.#planner = new JobPlanner(options);
	}

	/** Gets the number of jobs in progress. */
	getRunningCount(): number {
		return this.#running.size;
	}

	/**
	 * Starts a job unless it is refused. No task of a refused job has started or will start.
	 * @param id - Job id.
	 * @param content - Content of the submission.
	 * @returns The started job, or the answer that refuses it.
	 */
	startJob(id: string, content: SubmissionContent): StartResult {
		const refusal = this.#getRefusal(id, content);
		if (refusal !== undefined) {
			return {isRunning: false, answer: refusal};
		}

		const planResult = this.#planner.planJob(id, content as JobContent | PlainContent);
		if (!planResult.ok) {
			return {isRunning: false, answer: planResult.answer};
		}

		return this.#startPlan(id, planResult.plan);
	}

	/** Makes all later calls of {@link JobRunner.startJob} refuse their jobs. */
	stop(): void {
		this.#isStopping = true;
	}

	/** Resolves when no job is in progress and none of their tasks is running. */
	async waitUntilIdle(): Promise<void> {
		while (this.#running.size > 0) {
			await Promise.all(Array.from(this.#running.values(), async job => job.idle));
			await Promise.resolve();
		}
	}

	/**
	 * Ends all jobs in progress immediately; resolves when their answers are available.
	 * @param detail - Reason, for the answers.
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
			return createProblemAnswer('too-many-jobs', {id, detail, retryAfterMs: tooManyJobsRetryAfterMs});
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
			dropQueuedTasks() {
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

		void this.#trackJob(id, job, plan.service);
		return {isRunning: true, job, profile: plan.profile};
	}

	async #trackJob(id: string, job: Job, service: string): Promise<void> {
		const answer = await job.answer;
		this.#options.events.addEvent('job-ended', id, answer.problem ?? 'complete');
		this.#options.onJobEnded?.(job, answer, service);
		await job.idle;
		if (this.#running.get(id) === job) {
			this.#running.delete(id);
		}
	}
}
