/**
 * Execution of one job: its tasks, their answers and its outcome.
 */
import {Buffer} from 'node:buffer';
import {type ListedUpstream} from '../platform/index.js';
import {
	type ScheduledJob, type ScheduledTask, type TaskEnd, type TaskNeeds,
} from '../process/task-scheduler.js';
import {type Clock, type Timer} from '../seams/index.js';
import {
	type CallerAnswer, createOutcomeHeader, createProblemAnswer, type Header, type ProblemName,
} from './caller-answer.js';

/** Answer of an upstream to a task. */
export type TaskAnswer = {
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
};

/** Result of one attempt at a task, with the answer if there is one. */
export type TaskResult =
	| {readonly kind: 'answered'; readonly answer: TaskAnswer}
	| Exclude<TaskEnd, {readonly kind: 'answered'}>;

/** One task of a job and how to send it. */
export type TaskSpec = {
	readonly needs: TaskNeeds;
	/** Whether the task may be retried after a failure with unknown outcome. */
	readonly isIdempotent: boolean;
	/** Sends the task to an upstream; never rejects. */
	readonly send: (upstream: ListedUpstream) => Promise<TaskResult>;
};

/** Options of a {@link Job}. */
export type JobOptions = {
	readonly clock: Clock;
	readonly id: string;
	readonly service: string;
	readonly team: string;
	/** Deadline in milliseconds from the creation of the job. */
	readonly deadlineMs: number;
	readonly tasks: readonly TaskSpec[];
	/** Maximum total size of the tasks' answers in bytes; larger ones fail the job. */
	readonly maxAnswerBytes: number;
	/** Creates the job's answer from the answers of its tasks, in order. */
	readonly formatAnswer: (id: string, answers: readonly TaskAnswer[]) => CallerAnswer;
	/** Removes the queued tasks of the job from the scheduler. */
	readonly dropQueuedTasks: (id: string) => void;
	readonly onTaskStarted?: (id: string, taskIndex: number, upstream: ListedUpstream) => void;
	readonly onTaskEnded?: (id: string, taskIndex: number, upstream: ListedUpstream, result: TaskResult) => void;
};

/** Progress of a job in numbers of tasks. */
export type JobProgress = {
	readonly tasks: number;
	readonly started: number;
	readonly answered: number;
};

/** Durations of a job for metrics. */
export type JobTimes = {
	/** Time from acceptance to the answer, in milliseconds. */
	readonly responseMs: number;
	/** Duration of its longest task in milliseconds, which is a lower bound of the response time. */
	readonly idealMs: number;
};

/** Runs the tasks of one job and collects their answers. */
export class Job {
	/** Resolves to the answer once it is final; never rejects. */
	readonly answer: Promise<CallerAnswer>;

	/** Resolves once the job has ended and none of its tasks is running; never rejects. */
	readonly idle: Promise<void>;

	readonly #options: JobOptions;
	readonly #acceptedAt: number;
	readonly #answers: Array<TaskAnswer | undefined>;
	readonly #deadlineTimer: Timer;
	#resolveAnswer!: (answer: CallerAnswer) => void;
	#resolveIdle!: () => void;
	#isEnded = false;
	#answeredCount = 0;
	#answerBytes = 0;
	/** Number of task attempts, running or ended, that possibly reached an upstream. */
	#startedCount = 0;
	#runningCount = 0;
	#endedAt = 0;
	#longestTaskMs = 0;

	constructor(options: JobOptions) {
		this.#options = options;
		this.#acceptedAt = options.clock.getMonotonicTime();
		this.#answers = Array.from({length: options.tasks.length});
		// eslint-disable-next-line promise/param-names
		this.answer = new Promise(resolveAnswer => {
			this.#resolveAnswer = resolveAnswer;
		});
		// eslint-disable-next-line promise/param-names
		this.idle = new Promise(resolveIdle => {
			this.#resolveIdle = resolveIdle;
		});
		this.#deadlineTimer = options.clock.setTimer(() => {
			this.#abandon('deadline-passed', 'deadline-exceeded', `the deadline of ${options.deadlineMs} ms passed`);
		}, options.deadlineMs);
	}

	/** Gets whether the outcome is final. */
	isEnded(): boolean {
		return this.#isEnded;
	}

	/** Gets the current progress. */
	getProgress(): JobProgress {
		return {tasks: this.#answers.length, started: this.#startedCount, answered: this.#answeredCount};
	}

	/** Gets the durations; valid once the job has ended. */
	getTimes(): JobTimes {
		return {responseMs: this.#endedAt - this.#acceptedAt, idealMs: this.#longestTaskMs};
	}

	/** Creates the job's representation for the scheduler. */
	getScheduledJob(): ScheduledJob {
		const {id, service, team, deadlineMs, tasks} = this.#options;
		return {
			id,
			service,
			team,
			deadline: this.#acceptedAt + deadlineMs,
			tasks: tasks.map((task, index) => this.#createScheduledTask(task, index)),
			expire: () => {
				this.#abandon('deadline-passed', 'deadline-exceeded', `the deadline of ${deadlineMs} ms passed`);
			},
		};
	}

	/**
	 * Ends the job with a refusal; must not be called after a task was dispatched.
	 * @param answer - Answer with the reason.
	 */
	refuse(answer: CallerAnswer): void {
		this.#end(answer);
	}

	/**
	 * Ends the job immediately and removes its queued tasks.
	 * @param detail - Reason for the cancellation.
	 */
	cancel(detail: string): void {
		this.#abandon('cancelled', 'cancelled-running', detail);
	}

	/**
	 * Ends the job because the entry VM stops before the job completes.
	 * @param detail - Reason reported to the caller.
	 */
	stop(detail: string): void {
		this.#abandon('stopping', 'stopped-running', detail);
	}

	#createScheduledTask(task: TaskSpec, index: number): ScheduledTask {
		return {
			needs: task.needs,
			isIdempotent: task.isIdempotent,
			run: async upstream => this.#runTask(task, index, upstream),
			abandon: end => {
				this.#handleAbandonedTask(end, index);
			},
		};
	}

	async #runTask(task: TaskSpec, index: number, upstream: ListedUpstream): Promise<TaskEnd> {
		if (this.#isEnded) {
			return {kind: 'not_started', detail: 'the job has ended', isUnreachable: false};
		}

		const {clock, id, onTaskStarted, onTaskEnded} = this.#options;
		const startedAt = clock.getMonotonicTime();
		this.#startedCount++;
		this.#runningCount++;
		onTaskStarted?.(id, index, upstream);
		const result = await task.send(upstream);
		this.#runningCount--;
		if (result.kind === 'not_started') {
			this.#startedCount--;
		}

		onTaskEnded?.(id, index, upstream, result);
		this.#addResult(index, result, clock.getMonotonicTime() - startedAt);
		this.#resolveIfIdle();
		return result.kind === 'answered' ? {kind: 'answered', status: result.answer.status} : result;
	}

	#addResult(index: number, result: TaskResult, runMs: number): void {
		if (this.#isEnded || result.kind !== 'answered') {
			return;
		}

		this.#answers[index] = result.answer;
		this.#answeredCount++;
		this.#answerBytes += result.answer.body.length;
		this.#longestTaskMs = Math.max(this.#longestTaskMs, runMs);
		if (this.#answerBytes > this.#options.maxAnswerBytes) {
			this.#abandon('internal-error', 'answer-too-large', `the tasks answered more than ${this.#options.maxAnswerBytes} bytes`);
			return;
		}

		if (this.#answeredCount === this.#answers.length) {
			this.#end(this.#options.formatAnswer(this.#options.id, this.#answers as TaskAnswer[]));
		}
	}

	#handleAbandonedTask(end: TaskEnd, index: number): void {
		const detail = end.kind === 'answered' ? 'the scheduler gave it up' : end.detail;
		this.#abandon('upstream-refused', 'task-failed', `task ${index}: ${detail}`);
	}

	/** Ends the job without its tasks' answers: as `not_run` only if none of its tasks was possibly executed. */
	#abandon(notRunProblem: ProblemName, failedProblem: ProblemName, detail: string): void {
		if (this.#isEnded) {
			return;
		}

		const {id, dropQueuedTasks} = this.#options;
		const problem = this.#startedCount === 0 ? notRunProblem : failedProblem;
		this.#end(createProblemAnswer(problem, {id, detail}));
		dropQueuedTasks(id);
	}

	#end(answer: CallerAnswer): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#endedAt = this.#options.clock.getMonotonicTime();
		this.#deadlineTimer.close();
		this.#answers.length = 0;
		this.#resolveAnswer(answer);
		this.#resolveIfIdle();
	}

	#resolveIfIdle(): void {
		if (this.#isEnded && this.#runningCount === 0) {
			this.#resolveIdle();
		}
	}
}

/**
 * Creates the answer to a job submission: a JSON body with one entry per task, in order.
 * @param id - Id of the job.
 * @param answers - Answers of the tasks, in order.
 */
export function formatJobAnswer(id: string, answers: readonly TaskAnswer[]): CallerAnswer {
	const tasks = answers.map(({status, headers, body}) => ({status, headers: formatHeaders(headers), ...formatBody(body)}));
	return {
		outcome: 'complete',
		status: 200,
		headers: [['Content-Type', 'application/json'], createOutcomeHeader('complete')],
		body: Buffer.from(JSON.stringify({outcome: 'complete', id, tasks})),
	};
}

/**
 * Creates the answer to a plain request, which is that of the upstream plus the outcome header.
 * @param _id - Id of the job.
 * @param answers - Answer of the only task.
 */
export function formatPlainAnswer(_id: string, answers: readonly TaskAnswer[]): CallerAnswer {
	const {status, headers, body} = answers[0]!;
	return {
		outcome: 'complete', status, headers: [...headers, createOutcomeHeader('complete')], body,
	};
}

function formatHeaders(headers: readonly Header[]): Record<string, string | string[]> {
	const formatted = Object.create(null) as Record<string, string | string[]>;
	for (const [name, value] of headers) {
		const key = name.toLowerCase();
		const existing = formatted[key];
		formatted[key] = existing === undefined ? value : [existing, value].flat();
	}

	return formatted;
}

function formatBody(body: Uint8Array): {readonly body: string; readonly bodyEncoding?: 'base64'} {
	const buffer = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
	const text = buffer.toString('utf8');
	const isUtf8 = Buffer.byteLength(text) === buffer.length && !text.includes('\uFFFD');
	return isUtf8 ? {body: text} : {body: buffer.toString('base64'), bodyEncoding: 'base64'};
}
