/**
 * The failed runs of one task that are remembered, and what they mean for it.
 */
import {type FailedRun, type FailedRunCause} from './crash-ledger.js';

/**
 * What the lost runs of a task mean for it. `suspect`: an instance crashed under it or seems to have, possibly because of another task. `held`: several
 * seem to have crashed, and it is not known yet of all whether they were only cut off. `lost`: too many runs were lost, and nothing shows that the task
 * is at fault. `deadly`: several instances crashed under it.
 */
export type TaskVerdict = 'clear' | 'suspect' | 'held' | 'lost' | 'deadly';

/** A failed run with the time at which it was recorded. */
export type FailedRunRecord = Omit<FailedRun, 'ageMs'> & {readonly job: string; readonly recordedAt: number};

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

/** What the records mean until one is added or removed, and until a monotonic time. */
type Judgement = {readonly verdict: TaskVerdict; readonly failureCount: number; readonly validUntil: number};

/** Holds the records of one task. Many tasks are asked for again and again, so that what the records mean is kept. */
export class TaskRecords {
	readonly #retentionMs: number;
	readonly #records = new Map<string, FailedRunRecord>();
	#judgement: Judgement | undefined;

	/**
	 * @param retentionMs - Time for which a record counts, in milliseconds.
	 */
	constructor(retentionMs: number) {
		this.#retentionMs = retentionMs;
	}

	/** Gets whether there are no records. */
	isEmpty(): boolean {
		return this.#records.size === 0;
	}

	/**
	 * Adds a record.
	 * @param key - Key of the record.
	 * @param record - Record.
	 */
	add(key: string, record: FailedRunRecord): void {
		this.#records.set(key, record);
		this.#judgement = undefined;
	}

	/**
	 * Removes a record.
	 * @param key - Key of the record.
	 */
	remove(key: string): void {
		this.#records.delete(key);
		this.#judgement = undefined;
	}

	/**
	 * Gets the records that count.
	 * @param now - Monotonic time.
	 */
	getAll(now: number): readonly FailedRunRecord[] {
		return [...this.#records.values()].filter(({recordedAt}) => now - recordedAt < this.#retentionMs);
	}

	/**
	 * Gets what the lost runs mean for the task.
	 * @param now - Monotonic time.
	 */
	getVerdict(now: number): TaskVerdict {
		return this.#judge(now).verdict;
	}

	/**
	 * Gets the number of runs that ended as failed.
	 * @param now - Monotonic time.
	 */
	getFailureCount(now: number): number {
		return this.#judge(now).failureCount;
	}

	#judge(now: number): Judgement {
		if (this.#judgement === undefined || now >= this.#judgement.validUntil) {
			const records = this.getAll(now);
			this.#judgement = {verdict: judge(records, now), failureCount: countDistinct(records, 'failed'), validUntil: this.#getNextExpiry(records, now)};
		}

		return this.#judgement;
	}

	/** Gets the monotonic time from which one of the records means something else. */
	#getNextExpiry(records: readonly FailedRunRecord[], now: number): number {
		let nextExpiry = Infinity;
		for (const {recordedAt, cause} of records) {
			const refusalEnd = recordedAt + maxRefusalMs;
			nextExpiry = Math.min(nextExpiry, cause === 'refused' && refusalEnd > now ? refusalEnd : recordedAt + this.#retentionMs);
		}

		return nextExpiry;
	}
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
