/**
 * Runs that failed or were lost with their upstreams, known to all owners of this process and reported to other VMs. A task that crashes its upstreams
 * or fails too often is recognised by them, also by the next owner of its job.
 */
import {type Clock} from '../seams/index.js';
import {type PoolJobOutcome, type PoolJobRequest} from './pool-job.js';
import {type FailedRunRecord, TaskRecords, type TaskVerdict} from './task-records.js';
import {type Run} from './upstream-orders.js';

/**
 * Why a run failed. `refused`: its upstream refused connections, after a crash or in a network partition. `crash`: its instance has ended. `alive`: the
 * instance that refused connections has answered again. `lost`: its lease ended while the upstream could not be reached. `failed`: it ended so.
 */
export type FailedRunCause = 'refused' | 'crash' | 'alive' | 'lost' | 'failed';

/** A run that failed or was lost with its upstream. */
export type FailedRun = Run & {
	/** Identifier of the upstream; empty if only the pool that ran the task is known. */
	readonly upstream: string;
	/** Start time of the upstream's instance; 0 if unknown. */
	readonly bornMs: number;
	readonly cause: FailedRunCause;
	/** Whether no other run was on the upstream, so that a crash is this one's fault; `false` if it is unknown. */
	readonly isAlone?: boolean;
	/** Time since it was recorded, in milliseconds. */
	readonly ageMs: number;
};

/** Receives the failed runs that were added. */
export type FailedRunListener = (failedRuns: readonly FailedRun[], isOwn: boolean) => void;

/** Time for which a lost run is remembered, in milliseconds: longer than callers wait. */
const retentionMs = 60_000;

/** Maximum number of remembered runs: 50 tasks beside each of 80 crashes. */
const maxRecords = 4000;

const verdicts: readonly TaskVerdict[] = ['clear', 'suspect', 'held', 'lost', 'deadly'];

/**
 * Gets whether a task with a verdict is not started again.
 * @param verdict - Verdict.
 */
export function isGivenUp(verdict: TaskVerdict): boolean {
	return verdict === 'lost' || verdict === 'deadly';
}

/** Set of failed runs that only grows, except for old ones; adding a run again changes nothing. */
export class CrashLedger {
	readonly #clock: Clock;
	/** Records by key, the earliest first. */
	readonly #records = new Map<string, FailedRunRecord>();
	/** Records by job and task. */
	readonly #byJob = new Map<string, Map<string, TaskRecords>>();
	readonly #listeners = new Set<FailedRunListener>();
	#revision = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number that changes whenever a failed run is added or forgotten. */
	get revision(): number {
		return this.#revision;
	}

	/**
	 * Calls a listener with all failed runs that are added from now on.
	 * @param listener - Listener.
	 * @returns Removes the listener.
	 */
	subscribe(listener: FailedRunListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Adds runs that failed or were lost on upstreams of this process's pools.
	 * @param failedRuns - Failed runs.
	 */
	addFailedRuns(failedRuns: ReadonlyArray<Omit<FailedRun, 'ageMs'>>): void {
		this.#addAll(failedRuns.map(failedRun => ({...failedRun, ageMs: 0})), true);
	}

	/**
	 * Adds what is known now of an instance that refused connections to the runs that were there.
	 * @param upstream - Identifier of the upstream.
	 * @param bornMs - Start time of the instance.
	 * @param cause - Whether it has crashed, or answers again.
	 */
	resolveRefusals(upstream: string, bornMs: number, cause: 'crash' | 'alive'): void {
		const refused = [...this.#records.values()].filter(record => record.cause === 'refused' && record.upstream === upstream && record.bornMs === bornMs);
		this.addFailedRuns(refused.map(({task, number, isAlone}) => ({
			task, number, upstream, bornMs, cause, isAlone,
		})));
	}

	/**
	 * Adds failed runs that another VM reported.
	 * @param failedRuns - Failed runs.
	 */
	mergeFailedRuns(failedRuns: readonly FailedRun[]): void {
		this.#addAll(failedRuns, false);
	}

	/**
	 * Gets the failed runs of a job.
	 * @param job - Identifier of the job.
	 * @param task - Task of the job; all tasks by default.
	 */
	getFailedRuns(job: string, task?: string): readonly FailedRun[] {
		return this.#toFailedRuns(this.#getRecords(job, task));
	}

	/**
	 * Gets the failed runs that were recorded last.
	 * @param maxCount - Maximum number of runs.
	 */
	getLastFailedRuns(maxCount: number): readonly FailedRun[] {
		this.#removeOld();
		return this.#toFailedRuns([...this.#records.values()].slice(-maxCount));
	}

	/**
	 * Gets whether failed runs of a job are known; cheaper than a verdict.
	 * @param job - Identifier of the job.
	 */
	hasFailedRuns(job: string): boolean {
		this.#removeOld();
		return this.#byJob.has(job);
	}

	/** Gets whether no run is known that failed or was lost lately. */
	isEmpty(): boolean {
		this.#removeOld();
		return this.#records.size === 0;
	}

	/**
	 * Gets what the lost runs of a task mean for it.
	 * @param task - Task.
	 */
	getVerdict(task: string): TaskVerdict {
		this.#removeOld();
		return this.#getTaskRecords(task)?.getVerdict(this.#clock.getMonotonicTime()) ?? 'clear';
	}

	/**
	 * Gets the worst verdict on the tasks of a job.
	 * @param job - Identifier of the job.
	 */
	getJobVerdict(job: string): TaskVerdict {
		this.#removeOld();
		const now = this.#clock.getMonotonicTime();
		let worst = 0;
		for (const records of this.#byJob.get(job)?.values() ?? []) {
			worst = Math.max(worst, verdicts.indexOf(records.getVerdict(now)));
		}

		return verdicts[worst]!;
	}

	/**
	 * Gets the number of runs of a task that ended as failed.
	 * @param task - Task.
	 */
	getFailureCount(task: string): number {
		return this.#getTaskRecords(task)?.getFailureCount(this.#clock.getMonotonicTime()) ?? 0;
	}

	/**
	 * Gets whether a task has failed on another upstream, which shows that the task may be at fault.
	 * @param task - Task.
	 * @param upstream - Identifier of the upstream that ran it last.
	 */
	hasFailedElsewhere(task: string, upstream: string): boolean {
		const failures = this.#getRecords(getJob(task), task).filter(({cause}) => cause === 'failed');
		const numbersHere = new Set(failures.filter(failure => failure.upstream === upstream).map(({number}) => number));
		return failures.some(failure => failure.upstream !== upstream && (failure.upstream !== '' || !numbersHere.has(failure.number)));
	}

	/**
	 * Gets the largest number of runs of one task of a job that ended as failed.
	 * @param job - Identifier of the job.
	 */
	getMaxFailureCount(job: string): number {
		const now = this.#clock.getMonotonicTime();
		let largest = 0;
		for (const records of this.#byJob.get(job)?.values() ?? []) {
			largest = Math.max(largest, records.getFailureCount(now));
		}

		return largest;
	}

	/**
	 * Gets the outcome of a job that is given up, because one of its tasks failed or was lost too often.
	 * @param job - Job.
	 * @returns The outcome; `undefined` if the job is not given up.
	 */
	getGivenUpOutcome({id, rules}: Pick<PoolJobRequest, 'id' | 'rules'>): PoolJobOutcome | undefined {
		if (this.getMaxFailureCount(id) >= rules.maxAttempts) {
			return {kind: 'failed'};
		}

		switch (this.getJobVerdict(id)) {
			case 'deadly': {
				return {kind: 'failed'};
			}

			case 'lost': {
				return {kind: 'interrupted', reason: 'a task was lost with its upstreams too often'};
			}

			case 'clear':
			case 'suspect':
			case 'held': {
				return undefined;
			}
		}
	}

	#getTaskRecords(task: string): TaskRecords | undefined {
		return this.#records.size === 0 ? undefined : this.#byJob.get(getJob(task))?.get(task);
	}

	#getRecords(job: string, task?: string): readonly FailedRunRecord[] {
		const now = this.#clock.getMonotonicTime();
		const byTask = this.#byJob.get(job);
		const ofTasks = task === undefined ? [...byTask?.values() ?? []] : [byTask?.get(task)];
		return ofTasks.flatMap(records => records?.getAll(now) ?? []);
	}

	#addAll(failedRuns: readonly FailedRun[], isOwn: boolean): void {
		const added = failedRuns.filter(failedRun => this.#add(failedRun));
		if (added.length === 0) {
			return;
		}

		for (const listener of this.#listeners) {
			listener(added, isOwn);
		}
	}

	#add({ageMs, ...failedRun}: FailedRun): boolean {
		const {task, number, upstream, bornMs, cause} = failedRun;
		const key = [task, number, upstream, bornMs, cause].join(' ');
		if (ageMs >= retentionMs || this.#records.has(key)) {
			return false;
		}

		this.#removeOld(1);
		const now = this.#clock.getMonotonicTime();
		const record = {...failedRun, job: getJob(task), recordedAt: now - ageMs};
		this.#revision++;
		this.#records.set(key, record);
		const ofJob = this.#byJob.get(record.job) ?? new Map<string, TaskRecords>();
		const ofTask = ofJob.get(task) ?? new TaskRecords(retentionMs);
		ofTask.add(key, record);
		this.#byJob.set(record.job, ofJob.set(task, ofTask));
		return true;
	}

	#toFailedRuns(records: readonly FailedRunRecord[]): readonly FailedRun[] {
		const now = this.#clock.getMonotonicTime();
		return records.map(({job: _job, recordedAt, ...failedRun}) => ({...failedRun, ageMs: Math.max(0, now - recordedAt)}));
	}

	/** Removes the records that are too old, and the oldest ones until there is room for others. */
	#removeOld(otherCount = 0): void {
		if (this.#records.size === 0) {
			return;
		}

		const now = this.#clock.getMonotonicTime();
		for (const [key, record] of this.#records) {
			if (now - record.recordedAt < retentionMs && this.#records.size + otherCount <= maxRecords) {
				break;
			}

			this.#remove(key, record);
		}
	}

	#remove(key: string, {job, task}: FailedRunRecord): void {
		this.#revision++;
		this.#records.delete(key);
		const ofJob = this.#byJob.get(job);
		const ofTask = ofJob?.get(task);
		ofTask?.remove(key);
		if (ofTask?.isEmpty()) {
			ofJob!.delete(task);
		}

		if (ofJob?.size === 0) {
			this.#byJob.delete(job);
		}
	}
}

/**
 * Gets the job of a task.
 * @param task - Task.
 */
export function getJob(task: string): string {
	return task.slice(0, task.indexOf('.'));
}
