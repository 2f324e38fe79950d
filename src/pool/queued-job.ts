/**
 * The state of a job that a pool's owner has admitted.
 */
import {type ColdStart, type DurationEstimator, type OrderedJob} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {type LogFields} from './decision-log.js';
import {getJobSize} from './job-size.js';
import {
	getCriticalPathMs, type JobStep, type PoolJobOutcome, type PoolJobRequest, type SubmittedJob,
} from './pool-job.js';
import {type RestartGround} from './restart-ground.js';
import {type RunHost} from './run-host.js';
import {type JobSender} from './sender-confirmation.js';
import {type LinkedRun, type UpstreamLink} from './upstream-link.js';

/** One task of a job. */
export type JobTask = {
	readonly name: string;
	readonly stepPosition: number;
	status: 'waiting' | 'placed' | 'done';
	/** Number of the latest run, 0 for none. */
	lastRunNumber: number;
	failures: number;
	/** Upstream or pool that runs the task. */
	host: RunHost | undefined;
	run: LinkedRun | undefined;
	/** Why the task may be started again; `undefined` before the end or refusal of its first run. */
	restartGround: RestartGround | undefined;
	/** Names of upstreams and pools on which a run was unsuccessful or took too long, and of pools that the task did not fit a moment ago. */
	avoided: ReadonlySet<string>;
};

/** A start of a task for the log: on an upstream of the pool or in another pool. */
export type TaskStart = {
	/** Positions of the step and of the task within it, as at the end of its name: `STEP.INDEX`. */
	readonly task: string;
	readonly run: number;
	/** Time since the job's arrival, in milliseconds. */
	readonly afterMs: number;
	readonly upstream?: string;
	readonly pool?: string;
	/** Thousandths of a core: in this pool, what was free on the upstream before the start; in another pool, what remains free after it. */
	readonly freeCpu: number;
	/** Age of the proof that a sender of the job waits, in milliseconds, if it is old. */
	readonly proofMs?: number;
};

/** Maximum number of starts of a job that are kept for the log. */
const maxLoggedStarts = 64;

/**
 * Time for which a task is not sent to a pool that it did not fit, in milliseconds: two reads of the list of upstreams. With a smaller value, the
 * tasks of a service without upstreams there are sent in vain more often.
 */
const unfitRetryMs = 1000;

/** Receives the outcome of a job. */
export type JobListener = (outcome: PoolJobOutcome) => void;

/** Multiple of the objective after which an answer has no value to its caller, by the users' rules. */
const maxUsefulObjectives = 3;

const noNames: ReadonlySet<string> = new Set();

/** A job with its tasks and the callers that wait for it. */
export class QueuedJob implements OrderedJob {
	readonly request: PoolJobRequest;
	/** Fence of an earlier owner that may have started tasks of the job; 0 for none. */
	readonly priorFence: number;
	/** Number of tasks and steps. */
	readonly size: number;
	/** Listeners of waiting callers and the senders that they wait at. */
	readonly listeners = new Map<JobListener, JobSender>();
	/** Smallest CPU need of the job's tasks, in thousandths of a core. */
	readonly minTaskCpu: number;
	hasStarted = false;
	/** Whether the job is abandoned; its runs are being stopped. */
	isAbandoned = false;
	/** Whether the job's admission was re-evaluated for the last time; it is kept as long as its deadline can be met. */
	isReevaluated = false;
	/** Whether no job that arrives later passes this one. */
	isCommitted = false;
	/** Monotonic time until which no task is started, since runs of an earlier owner may go on; 0 for none. */
	startsDeferredUntil = 0;
	/** Whether the durations of the tasks that are done tell more of the others since these were last examined. */
	hasNewDuration = false;
	/** Longest duration of a completed task of the job, in milliseconds; 0 for none yet. */
	longestRunMs = 0;
	/** Monotonic time since which no sender of the job is known to wait; `undefined` while one is. */
	unconfirmedSince: number | undefined;
	/** Gets the monotonic time until which leases of the job's runs may last; one function for all of them, so that an upstream calls it once. */
	readonly getLeaseLimit: () => number;
	/** Fields of the decision to admit the job, for the line at its end. */
	admission: LogFields = {};
	/** Durations of the completed tasks on an upstream of average speed, relative to their estimates, in ascending order. */
	readonly #workRatios: number[] = [];
	readonly #starts: TaskStart[] = [];
	#omittedStarts = 0;
	#arrivedAt: number;
	#deadlineAt: number;
	#stoppedMs = 0;
	readonly #estimator: DurationEstimator;
	readonly #waitingCounts: number[];
	readonly #doneCounts: number[];
	readonly #criticalPathMs: number;
	#confirmedAt = -Infinity;
	#placedCount = 0;
	#doneCount = 0;
	#tasks: readonly JobTask[] | undefined;

	/**
	 * @param submitted - Job as submitted.
	 * @param now - Monotonic time.
	 * @param estimator - Corrects the caller's estimates.
	 * @param getLeaseLimit - Gets the monotonic time until which leases of a job's runs may last; without a limit by default.
	 */
	constructor(submitted: SubmittedJob, now: number, estimator: DurationEstimator, getLeaseLimit: (job: QueuedJob) => number = () => Infinity) {
		this.request = submitted;
		this.getLeaseLimit = () => getLeaseLimit(this);
		this.priorFence = submitted.priorFence;
		this.#arrivedAt = now - submitted.ageMs;
		this.#deadlineAt = now + submitted.remainingMs;
		this.#estimator = estimator;
		this.#waitingCounts = submitted.steps.map(({taskCount}) => taskCount);
		this.#criticalPathMs = getCriticalPathMs(submitted.steps);
		this.minTaskCpu = Math.min(...submitted.steps.map(({needs}) => needs.cpu));
		this.#doneCounts = submitted.steps.map(() => 0);
		this.size = getJobSize(submitted.steps);
	}

	/** Tasks of the job, which are created at the first use: a job that is refused needs none. */
	get tasks(): readonly JobTask[] {
		const {id, steps} = this.request;
		this.#tasks ??= steps.flatMap((step, stepPosition) => Array.from({length: step.taskCount}, (_, index) => createTask(id, stepPosition, index)));
		return this.#tasks;
	}

	/** Number of tasks. */
	get taskCount(): number {
		return this.size - this.request.steps.length;
	}

	get arrivedAt(): number {
		return this.#arrivedAt;
	}

	get deadlineAt(): number {
		return this.#deadlineAt;
	}

	get priority(): number {
		return this.request.rules.priority;
	}

	get criticalPathMs(): number {
		return this.#estimator.getExpectedMs(this.request.rules.route, this.#criticalPathMs);
	}

	get objectiveAt(): number {
		const {stretch, slackMs} = this.request.rules;
		return this.arrivedAt + (stretch * this.criticalPathMs) + slackMs;
	}

	/** Monotonic time until which an answer has value: the caller's deadline, or a multiple of the objective if that is earlier. */
	get lastUsefulAt(): number {
		return Math.min(this.deadlineAt, this.arrivedAt + ((this.objectiveAt - this.arrivedAt) * maxUsefulObjectives));
	}

	get remainingMs(): number {
		return this.criticalPathMs;
	}

	/**
	 * Adds time that passed for the callers while the monotonic clock stood still.
	 * @param stoppedMs - Time in milliseconds.
	 */
	addStoppedTime(stoppedMs: number): void {
		this.#stoppedMs += stoppedMs;
		this.#arrivedAt -= stoppedMs;
		this.#deadlineAt -= stoppedMs;
	}

	/**
	 * Gets whether the deadline passed while the monotonic clock stood still or the wall clock was set; the callers may have gone unnoticed, unless their
	 * sender on another VM has confirmed since that it waits.
	 * @param now - Monotonic time.
	 * @param since - Monotonic time since which a sender must have been confirmed.
	 */
	hasLapsed(now: number, since: number): boolean {
		const isConfirmed = (sender: JobSender): boolean => !sender.isDisconnected() && sender.isLocal !== true && sender.getConfirmedAt() >= since;
		return this.#stoppedMs > 0 && now > this.#deadlineAt && ![...this.listeners.values()].some(sender => isConfirmed(sender));
	}

	/** Gets whether any task is waiting to be started. */
	hasWaitingTasks(): boolean {
		return this.#waitingCounts.some(count => count > 0);
	}

	/** Gets the steps with the number of their tasks that wait to be started. */
	getWaitingSteps(): ReadonlyArray<{readonly step: JobStep; readonly count: number}> {
		return this.request.steps.map((step, position) => ({step, count: this.#waitingCounts[position]!}));
	}

	/** Expected core-milliseconds of the tasks that wait to be started. */
	get remainingWork(): number {
		let work = 0;
		for (const [position, count] of this.#waitingCounts.entries()) {
			const {needs, estimateMs} = this.request.steps[position]!;
			work += count * needs.cpu / 1000 * this.#estimator.getExpectedMs(this.request.rules.route, estimateMs);
		}

		return work;
	}

	/**
	 * Sets the status of a task.
	 * @param task - Task of this job.
	 * @param status - Status.
	 */
	setStatus(task: JobTask, status: JobTask['status']): void {
		this.#waitingCounts[task.stepPosition]! += Number(status === 'waiting') - Number(task.status === 'waiting');
		this.#doneCounts[task.stepPosition]! += Number(status === 'done') - Number(task.status === 'done');
		this.#placedCount += Number(status === 'placed') - Number(task.status === 'placed');
		this.#doneCount += Number(status === 'done') - Number(task.status === 'done');
		task.status = status;
	}

	/**
	 * Gets the step of a task.
	 * @param task - Task of this job.
	 */
	getStep({stepPosition}: JobTask): JobStep {
		return this.request.steps[stepPosition]!;
	}

	/**
	 * Gets the expected duration of a task in milliseconds.
	 * @param task - Task of this job.
	 */
	getExpectedMs(task: JobTask): number {
		return this.#estimator.getExpectedMs(this.request.rules.route, this.getStep(task).estimateMs);
	}

	/**
	 * Gets the times that decide whether a task may start on a cold upstream.
	 * @param task - Task of this job.
	 * @param now - Monotonic time.
	 */
	getColdStart(task: JobTask, now: number): ColdStart {
		return {
			now, warmMs: this.getExpectedMs(task), objectiveAt: this.objectiveAt, lastUsefulAt: this.lastUsefulAt,
		};
	}

	/**
	 * Gets the duration with which a run is compared to rate its upstream, in milliseconds: that of the job's longest run so far, or the expected one if there is none.
	 * @param task - Task of this job.
	 */
	getReferenceMs(task: JobTask): number {
		return this.longestRunMs > 0 ? this.longestRunMs : this.getExpectedMs(task);
	}

	/**
	 * Gets the duration of a task by those of the tasks of the job that are done, on an upstream of average speed, in milliseconds; 0 if none is.
	 * @param task - Task of this job.
	 */
	getSiblingMs(task: JobTask): number {
		return this.#workRatios.length === 0 ? 0 : this.#workRatios[Math.floor(this.#workRatios.length / 2)]! * this.getStep(task).estimateMs;
	}

	/**
	 * Records the duration of a task that is done.
	 * @param task - Task of this job.
	 * @param measuredMs - Duration in milliseconds.
	 * @param workMs - Duration on an upstream of average speed, in milliseconds.
	 */
	addDuration(task: JobTask, measuredMs: number, workMs: number): void {
		this.longestRunMs = Math.max(this.longestRunMs, measuredMs);
		const ratio = workMs / Math.max(1, this.getStep(task).estimateMs);
		const position = this.#workRatios.findIndex(other => other > ratio);
		this.#workRatios.splice(position === -1 ? this.#workRatios.length : position, 0, ratio);
		// Their median changes little with further ones.
		this.hasNewDuration ||= Number.isInteger(Math.log2(this.#workRatios.length));
	}

	/** Gets the waiting tasks whose preceding steps are done. */
	getReadyTasks(): readonly JobTask[] {
		const areReady = this.request.steps.map(step => this.#isReady(step));
		return this.tasks.filter(({status, stepPosition}) => status === 'waiting' && areReady[stepPosition]);
	}

	/**
	 * Gets whether any sender of the job is known to wait; the callers of other senders may submit the job again elsewhere.
	 * @param since - Monotonic time since which it must have been confirmed.
	 */
	hasConfirmedSender(since: number): boolean {
		for (const sender of this.listeners.values()) {
			if (!sender.isDisconnected() && sender.getConfirmedAt() >= since) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Gets the monotonic time at which a sender of the job was last known to wait, also after it has gone.
	 * @param now - Monotonic time.
	 */
	getConfirmedAt(now: number): number {
		for (const sender of this.listeners.values()) {
			this.#confirmedAt = Math.max(this.#confirmedAt, Math.min(now, sender.getConfirmedAt()));
		}

		return this.#confirmedAt;
	}

	/**
	 * Records a start for the log.
	 * @param start - Start.
	 */
	addStart(start: TaskStart): void {
		if (this.#starts.length < maxLoggedStarts) {
			this.#starts.push(start);
		} else {
			this.#omittedStarts++;
		}
	}

	/** Gets what is logged of the job at its end: how it was admitted and what was started. */
	getLogFields(): LogFields {
		return {
			job: this.request.id, route: this.request.rules.route, ...this.admission,
			...(this.#starts.length > 0 && {started: this.#starts}),
			...(this.#omittedStarts > 0 && {omittedStarts: this.#omittedStarts}),
		};
	}

	/** Gets the number of tasks that have a run. */
	getRunCount(): number {
		return this.#placedCount;
	}

	/** Gets whether any task has a run. */
	hasRuns(): boolean {
		return this.#placedCount > 0;
	}

	/** Gets whether no task has run or may run: none was started, or all starts were refused. */
	hasNeverRun(): boolean {
		const areUnknownRunsExcluded = this.priorFence === 0 && this.startsDeferredUntil === 0;
		return areUnknownRunsExcluded && (!this.hasStarted || this.tasks.every(({status, run, restartGround}) => status === 'waiting' && run === undefined && (restartGround?.after ?? 0) === 0));
	}

	/** Gets whether all tasks are done. */
	isDone(): boolean {
		return this.#doneCount === this.taskCount;
	}

	/**
	 * Counts the running tasks of a step by upstream.
	 * @param stepPosition - Position of the step.
	 */
	getPlacedCounts(stepPosition: number): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const {host, stepPosition: position} of this.tasks) {
			if (host !== undefined && position === stepPosition) {
				counts.set(host.name, (counts.get(host.name) ?? 0) + 1);
			}
		}

		return counts;
	}

	/**
	 * Reports the outcome to all waiting callers and removes their listeners.
	 * @param outcome - Outcome of the job.
	 */
	settle(outcome: PoolJobOutcome): void {
		const listeners = [...this.listeners.keys()];
		this.listeners.clear();
		for (const listener of listeners) {
			listener(outcome);
		}
	}

	#isReady({after}: JobStep): boolean {
		return after.every(position => this.#isStepDone(position));
	}

	#isStepDone(position: number): boolean {
		return this.#doneCounts[position] === this.request.steps[position]?.taskCount;
	}
}

function createTask(id: string, stepPosition: number, index: number): JobTask {
	return {
		name: `${id}.0.${stepPosition}.${index}`, stepPosition, status: 'waiting', lastRunNumber: 0, failures: 0, host: undefined, run: undefined, restartGround: undefined, avoided: noNames,
	};
}

/**
 * Gets the positions of a task's step and of the task within it.
 * @param task - Task.
 */
export function getPosition({name}: JobTask): string {
	return name.split('.').slice(2).join('.');
}

/**
 * Starts a task elsewhere than on a host as far as possible.
 * @param task - Task.
 * @param host - Host to avoid.
 */
export function avoidHost(task: JobTask, {name}: RunHost): void {
	task.avoided = new Set([...task.avoided, name]);
}

/**
 * Sends a task to no pool that it does not fit until the upstreams there may have changed.
 * @param clock - Clock.
 * @param task - Task.
 * @param host - Pool.
 */
export function avoidTemporarily(clock: Clock, task: JobTask, host: RunHost): void {
	avoidHost(task, host);
	clock.setTimer(() => {
		task.avoided = new Set([...task.avoided].filter(name => name !== host.name));
	}, unfitRetryMs);
}

/**
 * Gets whether an upstream belongs to the service of a job's route.
 * @param link - Upstream.
 * @param job - Job.
 */
export function servesJob({description}: UpstreamLink, {request: req}: QueuedJob): boolean {
	return description.service === req.rules.service;
}
