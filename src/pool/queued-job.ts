/**
 * A job in the hands of a pool's owner.
 */
import {type DurationEstimator} from './duration-estimator.js';
import {
	getCriticalPathMs, type JobStep, type PoolJobOutcome, type PoolJobRequest, type SubmittedJob,
} from './pool-job.js';
import {type OrderedJob} from './queue-order.js';
import {type RunHost} from './run-host.js';
import {type LinkedRun} from './upstream-link.js';

/** One task of a job. */
export type JobTask = {
	readonly name: string;
	readonly stepPosition: number;
	status: 'waiting' | 'placed' | 'done';
	/** Number of the last start, 0 for none. */
	lastRun: number;
	failures: number;
	/** Where the task's run is. */
	host: RunHost | undefined;
	run: LinkedRun | undefined;
	/** Upstreams on which a run failed or took too long, and pools that cannot hold the task. */
	readonly avoided: Set<string>;
};

/** Waits for the outcome of a job. */
export type JobListener = (outcome: PoolJobOutcome) => void;

/** Objectives after which an answer is worth nothing to its caller, by the users' rules. */
const lateObjectives = 3;

/** State of one job. */
export class QueuedJob implements OrderedJob {
	readonly req: PoolJobRequest;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	readonly tasks: readonly JobTask[];
	/** Those who wait, and whether the connection of each was lost. */
	readonly listeners = new Map<JobListener, () => boolean>();
	/** Least thousandths of a core that a task of the job needs. */
	readonly minTaskCpu: number;
	hasStarted = false;
	/** Whether the job is given up; its tasks are being stopped. */
	isAbandoned = false;
	/** Whether the job was judged a second time and keeps its place. */
	isReevaluated = false;
	/** Set while it is not known whether an earlier owner's runs go on. */
	startsDeferredUntil = 0;
	/** Longest time that a task of the job took, in milliseconds; 0 for none yet. */
	longestRunMs = 0;
	readonly #estimator: DurationEstimator;
	readonly #waitingCounts: number[];
	readonly #criticalPathMs: number;
	#doneCount = 0;

	/**
	 * @param submitted - Job as it came in.
	 * @param now - Monotonic time.
	 * @param estimator - Learnt durations.
	 */
	constructor(submitted: SubmittedJob, now: number, estimator: DurationEstimator) {
		this.req = submitted;
		this.arrivedAt = now - submitted.ageMs;
		this.deadlineAt = now + submitted.remainingMs;
		this.#estimator = estimator;
		this.#waitingCounts = submitted.steps.map(({taskCount}) => taskCount);
		this.#criticalPathMs = getCriticalPathMs(submitted.steps);
		this.minTaskCpu = Math.min(...submitted.steps.map(({needs}) => needs.cpu));
		this.tasks = submitted.steps.flatMap((step, stepPosition) => Array.from({length: step.taskCount}, (_, index) => createTask(submitted.id, stepPosition, index)));
	}

	get priority(): number {
		return this.req.rules.priority;
	}

	get criticalPathMs(): number {
		return this.#estimator.getExpectedMs(this.req.rules.route, this.#criticalPathMs);
	}

	get objectiveAt(): number {
		const {stretch, slackMs} = this.req.rules;
		return this.arrivedAt + (stretch * this.criticalPathMs) + slackMs;
	}

	/** Monotonic time until which an answer is of use: the caller waits no longer, or takes it for far too late. */
	get lastUsefulAt(): number {
		return Math.min(this.deadlineAt, this.arrivedAt + ((this.objectiveAt - this.arrivedAt) * lateObjectives));
	}

	get remainingMs(): number {
		return this.criticalPathMs;
	}

	/** Gets whether any task has not been started. */
	hasWaitingTasks(): boolean {
		return this.#waitingCounts.some(count => count > 0);
	}

	/** Core-milliseconds of the tasks that have not been started. */
	get remainingWork(): number {
		let work = 0;
		for (const [position, count] of this.#waitingCounts.entries()) {
			const {needs, estimateMs} = this.req.steps[position]!;
			work += count * needs.cpu / 1000 * this.#estimator.getExpectedMs(this.req.rules.route, estimateMs);
		}

		return work;
	}

	/**
	 * Sets how far a task has come.
	 * @param task - Task of this job.
	 * @param status - Status.
	 */
	setStatus(task: JobTask, status: JobTask['status']): void {
		this.#waitingCounts[task.stepPosition]! += Number(status === 'waiting') - Number(task.status === 'waiting');
		this.#doneCount += Number(status === 'done') - Number(task.status === 'done');
		task.status = status;
	}

	/**
	 * Gets the step of a task.
	 * @param task - Task of this job.
	 */
	getStep({stepPosition}: JobTask): JobStep {
		return this.req.steps[stepPosition]!;
	}

	/**
	 * Gets the expected duration of a task in milliseconds.
	 * @param task - Task of this job.
	 */
	getExpectedMs(task: JobTask): number {
		return this.#estimator.getExpectedMs(this.req.rules.route, this.getStep(task).estimateMs);
	}

	/**
	 * Gets the time by which a task's upstream is judged, in milliseconds: that of the job's longest run so far, or else the expected one.
	 * @param task - Task of this job.
	 */
	getReferenceMs(task: JobTask): number {
		return this.longestRunMs > 0 ? this.longestRunMs : this.getExpectedMs(task);
	}

	/** Gets the tasks that may start: those waiting whose earlier steps are done. */
	getReadyTasks(): readonly JobTask[] {
		return this.tasks.filter(task => task.status === 'waiting' && this.#isReady(this.getStep(task)));
	}

	/** Gets whether the connections of all who wait were lost: they may be gone, and callers then send the job again elsewhere. */
	isOrphaned(): boolean {
		for (const isLost of this.listeners.values()) {
			if (!isLost()) {
				return false;
			}
		}

		return this.listeners.size > 0;
	}

	/** Gets whether any task has a run. */
	hasRuns(): boolean {
		return this.tasks.some(({run}) => run !== undefined);
	}

	/** Gets whether all tasks are done. */
	isDone(): boolean {
		return this.#doneCount === this.tasks.length;
	}

	/**
	 * Counts the running tasks of a step by upstream.
	 * @param stepPosition - Step.
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
	 * Tells all who wait.
	 * @param outcome - What became of the job.
	 */
	settle(outcome: PoolJobOutcome): void {
		const listeners = [...this.listeners.keys()];
		this.listeners.clear();
		for (const listener of listeners) {
			listener(outcome);
		}
	}

	#isReady({after}: JobStep): boolean {
		return after.every(position => this.tasks.every(task => task.stepPosition !== position || task.status === 'done'));
	}
}

function createTask(id: string, stepPosition: number, index: number): JobTask {
	return {
		name: `${id}.0.${stepPosition}.${index}`, stepPosition, status: 'waiting', lastRun: 0, failures: 0, host: undefined, run: undefined, avoided: new Set(),
	};
}
