/**
 * Runs that failed or were lost with their upstreams, known to all owners of this process and reported to other VMs. A task that crashes its upstreams
 * or fails too often is recognised by them, also by the next owner of its job.
 */
import {type Clock} from '../seams/index.js';
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

/**
 * What the lost runs of a task mean for it. `suspect`: an instance crashed under it or seems to have, possibly because of another task. `held`: several
 * seem to have crashed, and it is not known yet of all whether they were only cut off. `lost`: too many runs were lost, and nothing shows that the task
 * is at fault. `deadly`: several instances crashed under it.
 */
export type TaskVerdict = 'clear' | 'suspect' | 'held' | 'lost' | 'deadly';

/** Receives the failed runs that were added. */
export type FailedRunListener = (failedRuns: readonly FailedRun[], isOwn: boolean) => void;

/** Number of instances that crash under a task until it is given up, if it ran by itself on one of them, and in any case. */
export const maxCrashes = 2;
export const maxSharedCrashes = 3;

/** Number of lost runs of a task, with or without a sign of a crash, until it is given up. */
export const maxLostRuns = 5;

/**
 * Time for which an instance that refused connections may have crashed, in milliseconds: an upstream that crashed is back within a few seconds. With a
 * smaller value, a task that crashes its upstreams starts once more; with a larger one, a task whose upstreams are cut off waits for longer.
 */
const maxRefusalMs = 8000;

/** Time for which a lost run is remembered, in milliseconds: longer than callers wait. */
const retentionMs = 60_000;

/** Maximum number of remembered runs: 50 tasks beside each of 80 crashes. */
const maxRecords = 4000;

type FailedRunRecord = Omit<FailedRun, 'ageMs'> & {readonly job: string; readonly recordedAt: number};

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
	readonly #byJob = new Map<string, Map<string, FailedRunRecord>>();
	readonly #listeners = new Set<FailedRunListener>();

	constructor(clock: Clock) {
		this.#clock = clock;
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
		return this.#records.size === 0 ? 'clear' : judge(this.#getRecords(getJob(task), task), this.#clock.getMonotonicTime());
	}

	/**
	 * Gets the worst verdict on the tasks of a job.
	 * @param job - Identifier of the job.
	 */
	getJobVerdict(job: string): TaskVerdict {
		let worst = 0;
		for (const task of new Set(this.#getRecords(job).map(record => record.task))) {
			worst = Math.max(worst, verdicts.indexOf(this.getVerdict(task)));
		}

		return verdicts[worst]!;
	}

	/**
	 * Gets the number of runs of a task that ended as failed.
	 * @param task - Task.
	 */
	getFailureCount(task: string): number {
		return this.#records.size === 0 ? 0 : countDistinct(this.#getRecords(getJob(task), task), 'failed');
	}

	/**
	 * Gets whether a task has failed on another upstream, which shows that the task may be at fault.
	 * @param task - Task.
	 * @param upstream - Identifier of the upstream that ran it last.
	 */
	hasFailedElsewhere(task: string, upstream: string): boolean {
		const failures = this.#records.size === 0 ? [] : this.#getRecords(getJob(task), task).filter(({cause}) => cause === 'failed');
		const numbersHere = new Set(failures.filter(failure => failure.upstream === upstream).map(({number}) => number));
		return failures.some(failure => failure.upstream !== upstream && (failure.upstream !== '' || !numbersHere.has(failure.number)));
	}

	/**
	 * Gets the largest number of runs of one task of a job that ended as failed.
	 * @param job - Identifier of the job.
	 */
	getMaxFailureCount(job: string): number {
		const tasks = new Set(this.#getRecords(job).map(({task}) => task));
		return Math.max(0, ...[...tasks].map(task => this.getFailureCount(task)));
	}

	#getRecords(job: string, task?: string): readonly FailedRunRecord[] {
		const records = this.#byJob.get(job);
		if (records === undefined) {
			return [];
		}

		const now = this.#clock.getMonotonicTime();
		return [...records.values()].filter(record => now - record.recordedAt < retentionMs && (task === undefined || record.task === task));
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
		this.#records.set(key, record);
		const ofJob = this.#byJob.get(record.job) ?? new Map<string, FailedRunRecord>();
		this.#byJob.set(record.job, ofJob.set(key, record));
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

	#remove(key: string, {job}: FailedRunRecord): void {
		this.#records.delete(key);
		const ofJob = this.#byJob.get(job);
		ofJob?.delete(key);
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

/** Judges the records of one task. */
function judge(records: readonly FailedRunRecord[], now: number): TaskVerdict {
	const crashCount = getInstances(records, 'crash').size;
	const hasCrashedAlone = records.some(({cause, isAlone}) => cause === 'crash' && isAlone);
	if (crashCount >= (hasCrashedAlone ? maxCrashes : maxSharedCrashes)) {
		return 'deadly';
	}

	if (crashCount + countDistinct(records, 'lost') >= maxLostRuns) {
		return 'lost';
	}

	const resolved = new Set([...getInstances(records, 'crash'), ...getInstances(records, 'alive')]);
	const refused = getInstances(records.filter(({recordedAt}) => now - recordedAt < maxRefusalMs), 'refused');
	const pendingCount = [...refused].filter(instance => !resolved.has(instance)).length;
	if (pendingCount > 0 && crashCount + pendingCount >= maxCrashes) {
		return 'held';
	}

	return crashCount + pendingCount > 0 ? 'suspect' : 'clear';
}

/** Gets the instances of the records with a cause. */
function getInstances(records: readonly FailedRunRecord[], cause: FailedRunCause): Set<string> {
	return new Set(records.filter(record => record.cause === cause).map(({upstream, bornMs}) => `${upstream} ${bornMs}`));
}

/** Counts the runs of one task with a cause; one in another pool may also be known from its upstream, and a lost one as ended by a crash. */
function countDistinct(records: readonly FailedRunRecord[], cause: FailedRunCause): number {
	const isKnownBetter = ({number, upstream}: FailedRunRecord): boolean => records.some(other => other.number === number
		&& (upstream === '' ? other.upstream !== '' : cause === 'lost' && other.cause === 'crash' && other.upstream === upstream));
	const counted = records.filter(record => record.cause === cause && !isKnownBetter(record));
	return new Set(counted.map(({number, upstream, bornMs}) => `${number} ${upstream} ${bornMs}`)).size;
}
