/**
 * The records of a coordinator by period, within bounds of count and bytes.
 */
import {type CallerAnswer} from '../request/index.js';
import {JobRecord, type SavedRecord} from './job-record.js';

/** Bounds of a {@link RecordStore}. */
export type RecordStoreOptions = {
	/** Periods whose records are kept, the present one included. */
	readonly periodsKept?: number;
	/** Records of one period; at this number the period ends early. */
	readonly maxRecordsPerPeriod?: number;
	/** Bytes of kept answers; beyond it the oldest answers go, their records stay. */
	readonly maxAnswerBytes?: number;
	/** Present period at the start. */
	readonly firstPeriod?: number;
};

const defaultPeriodsKept = 10;
const defaultMaxRecordsPerPeriod = 20_000;
const defaultMaxAnswerBytes = 64 * 1024 * 1024;
/** Bytes that an answer takes besides its body. */
const answerOverheadBytes = 300;

/** Keeps the records of one coordinator. */
export class RecordStore {
	readonly #periodsKept: number;
	readonly #maxRecordsPerPeriod: number;
	readonly #maxAnswerBytes: number;
	readonly #periods = new Map<number, Map<string, JobRecord>>();
	/** Records with a kept answer, oldest first, from `#answersHead` on. */
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

	/** Gets the present period. */
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

	/** Gets the bytes of kept answers. */
	getAnswerBytes(): number {
		return this.#answerBytes;
	}

	/**
	 * Checks whether ids of a period may still be accepted.
	 * @param period - Period of an id.
	 */
	isPeriodKept(period: number): boolean {
		return period <= this.#period && period >= this.getOldestPeriod();
	}

	/** Begins a new period and drops the ended records of those that are too old. */
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
	 * Gets a record; `undefined` when there is none.
	 * @param period - Period of the id.
	 * @param key - Key of the id.
	 */
	getRecord(period: number, key: string): JobRecord | undefined {
		return this.#periods.get(period)?.get(key);
	}

	/**
	 * Adds the record of a new id in a kept period.
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
	 * Ends a record with its final answer.
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
	 * Opens an ended record for a higher attempt.
	 * @param record - Record of an id that was refused.
	 * @param attempt - New attempt.
	 */
	reopenRecord(record: JobRecord, attempt: number): void {
		this.#discardAnswer(record);
		record.attempt = attempt;
		record.outcome = undefined;
		record.problem = undefined;
	}

	/** Gets all ended records for a hand-over. */
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
	 * Adds an ended record that another process kept.
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

	/** Drops the used-up front of the list once it is the larger half, and entries whose answer went with their period. */
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
