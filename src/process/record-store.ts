/**
 * The job records of a coordinator, grouped by period and bounded in number and bytes.
 */
import {type CallerAnswer} from '../request/index.js';
import {JobRecord, type SavedRecord} from './job-record.js';

/** Limits of a {@link RecordStore}. */
export type RecordStoreOptions = {
	/** Number of periods whose records are kept, including the current one. */
	readonly periodsKept?: number;
	/** Maximum number of records in one period; the period ends early when it is reached. */
	readonly maxRecordsPerPeriod?: number;
	/** Maximum total size of kept answers in bytes; beyond it the oldest answers are evicted, but their records stay. */
	readonly maxAnswerBytes?: number;
	/** Current period of the new store. */
	readonly firstPeriod?: number;
};

const defaultPeriodsKept = 10;
const defaultMaxRecordsPerPeriod = 20_000;
const defaultMaxAnswerBytes = 64 * 1024 * 1024;
/** Estimated size in bytes of an answer besides its body. */
const answerOverheadBytes = 300;

/** Stores the job records of one coordinator. */
export class RecordStore {
	readonly #periodsKept: number;
	readonly #maxRecordsPerPeriod: number;
	readonly #maxAnswerBytes: number;
	readonly #periods = new Map<number, Map<string, JobRecord>>();
	/** Records in the order in which their answers were added; entries before `#firstAnswerIndex` are already evicted. */
	#recordsWithAnswer: JobRecord[] = [];
	#firstAnswerIndex = 0;
	#answerBytes = 0;
	#period: number;
	#recordCount = 0;

	constructor(options: RecordStoreOptions = {}) {
		this.#periodsKept = options.periodsKept ?? defaultPeriodsKept;
		this.#maxRecordsPerPeriod = options.maxRecordsPerPeriod ?? defaultMaxRecordsPerPeriod;
		this.#maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
		this.#period = options.firstPeriod ?? 1;
		this.#periods.set(this.#period, new Map());
	}

	/** Gets the current period. */
	getPeriod(): number {
		return this.#period;
	}

	/** Gets the oldest period whose records are kept. */
	getOldestPeriod(): number {
		return Math.max(1, this.#period - this.#periodsKept + 1);
	}

	/** Gets the number of records. */
	getRecordCount(): number {
		return this.#recordCount;
	}

	/** Gets the total size of the kept answers in bytes. */
	getAnswerBytes(): number {
		return this.#answerBytes;
	}

	/**
	 * Gets whether ids of a period may still be accepted.
	 * @param period - Period of an id.
	 */
	isPeriodKept(period: number): boolean {
		return period <= this.#period && period >= this.getOldestPeriod();
	}

	/** Starts a new period and removes the ended records of expired periods; running jobs keep their records. */
	advancePeriod(): void {
		this.#period++;
		this.#periods.set(this.#period, new Map());
		for (const [period, records] of this.#periods) {
			if (period < this.getOldestPeriod()) {
				this.#removeEnded(period, records);
			}
		}
	}

	/**
	 * Gets the record of an id.
	 * @param period - Period of the id.
	 * @param key - Key of the id.
	 * @returns The record; `undefined` when there is none.
	 */
	getRecord(period: number, key: string): JobRecord | undefined {
		return this.#periods.get(period)?.get(key);
	}

	/**
	 * Adds the record of a new id, whose period must still be kept.
	 * @param record - Record to add.
	 */
	addRecord(record: JobRecord): void {
		const records = this.#getOrCreatePeriod(record.period);
		records.set(record.key, record);
		this.#recordCount++;
		if (record.period === this.#period && records.size >= this.#maxRecordsPerPeriod) {
			this.advancePeriod();
		}
	}

	/**
	 * Sets the final answer of a record, and removes the record if its period has expired.
	 * @param record - Record to end.
	 * @param answer - Final answer.
	 */
	endRecord(record: JobRecord, answer: CallerAnswer): void {
		record.job = undefined;
		record.outcome = answer.outcome ?? 'unknown';
		record.problem = answer.problem;
		record.answer = answer;
		if (record.period < this.getOldestPeriod()) {
			this.#removeRecord(record);
			return;
		}

		this.#recordsWithAnswer.push(record);
		this.#answerBytes += getAnswerBytes(answer);
		this.#evictAnswers();
	}

	/**
	 * Resets an ended record for a higher attempt.
	 * @param record - Record of a refused id.
	 * @param attempt - Number of the new attempt.
	 */
	reopenRecord(record: JobRecord, attempt: number): void {
		this.#discardAnswer(record);
		record.attempt = attempt;
		record.outcome = undefined;
		record.problem = undefined;
	}

	/** Gets all ended records, for a hand-over. */
	getSavedRecords(): readonly SavedRecord[] {
		const saved: SavedRecord[] = [];
		for (const records of this.#periods.values()) {
			for (const record of records.values()) {
				if (record.isEnded()) {
					saved.push(record.getSavedRecord());
				}
			}
		}

		return saved;
	}

	/**
	 * Adds an ended record that another process handed over.
	 * @param saved - Record to add.
	 */
	addSavedRecord(saved: SavedRecord): void {
		const record = new JobRecord(saved.key, saved.period, saved.attempt, saved.fingerprint);
		record.outcome = saved.outcome;
		record.problem = saved.problem;
		record.answer = saved.answer;
		this.#getOrCreatePeriod(saved.period).set(saved.key, record);
		this.#recordCount++;
		if (saved.answer !== undefined) {
			this.#recordsWithAnswer.push(record);
			this.#answerBytes += getAnswerBytes(saved.answer);
			this.#evictAnswers();
		}
	}

	#getOrCreatePeriod(period: number): Map<string, JobRecord> {
		let records = this.#periods.get(period);
		if (records === undefined) {
			records = new Map();
			this.#periods.set(period, records);
		}

		return records;
	}

	#removeEnded(period: number, records: Map<string, JobRecord>): void {
		for (const record of records.values()) {
			if (record.isEnded()) {
				this.#removeRecord(record);
			}
		}

		if (records.size === 0) {
			this.#periods.delete(period);
		}
	}

	#removeRecord(record: JobRecord): void {
		this.#discardAnswer(record);
		const records = this.#periods.get(record.period);
		if (records?.delete(record.key)) {
			this.#recordCount--;
		}

		if (records?.size === 0 && record.period < this.getOldestPeriod()) {
			this.#periods.delete(record.period);
		}
	}

	#discardAnswer(record: JobRecord): void {
		if (record.answer !== undefined) {
			this.#answerBytes -= getAnswerBytes(record.answer);
			record.answer = undefined;
		}
	}

	#evictAnswers(): void {
		while (this.#answerBytes > this.#maxAnswerBytes && this.#firstAnswerIndex < this.#recordsWithAnswer.length) {
			this.#discardAnswer(this.#recordsWithAnswer[this.#firstAnswerIndex]!);
			this.#firstAnswerIndex++;
		}

		this.#compactRecordsWithAnswer();
	}

	/** Skips entries whose answer was discarded with their period, and frees the evicted entries once they are over half of the list. */
	#compactRecordsWithAnswer(): void {
		while (this.#firstAnswerIndex < this.#recordsWithAnswer.length && this.#recordsWithAnswer[this.#firstAnswerIndex]!.answer === undefined) {
			this.#firstAnswerIndex++;
		}

		if (this.#firstAnswerIndex > this.#recordsWithAnswer.length / 2) {
			this.#recordsWithAnswer = this.#recordsWithAnswer.slice(this.#firstAnswerIndex);
			this.#firstAnswerIndex = 0;
		}
	}
}

function getAnswerBytes(answer: CallerAnswer): number {
	return answer.body.length + answerOverheadBytes;
}
