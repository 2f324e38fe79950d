/**
 * The complete records of a stopped coordinator, held by its successor.
 */
import {type Incarnation} from '../connection/index.js';
import {
	type CallerAnswer, createCoordinatorToken, createProblemAnswer, formatJobId, getFingerprint,
} from '../request/index.js';
import {type JobOperation} from './job-operation.js';
import {type JobRecord, type SavedRecord} from './job-record.js';
import {RecordStore, type RecordStoreOptions} from './record-store.js';

/** The coordinator whose records are handed over. */
export type AdoptedCoordinator = {
	readonly incarnation: Incarnation;
	/** Period of the coordinator when it stopped. */
	readonly period: number;
};

/** Serves the jobs of a stopped coordinator from its records; never starts a task. */
export class AdoptedRecords {
	readonly #records: RecordStore;

	constructor(readonly coordinator: AdoptedCoordinator, saved: readonly SavedRecord[], options: RecordStoreOptions = {}) {
		this.#records = new RecordStore({...options, firstPeriod: coordinator.period, maxRecordsPerPeriod: Number.POSITIVE_INFINITY});
		for (const record of saved) {
			this.#records.addSavedRecord(record);
		}
	}

	/** Gets the number of records. */
	getRecordCount(): number {
		return this.#records.getRecordCount();
	}

	/** Gets all records, for a further hand-over. */
	getSavedRecords(): readonly SavedRecord[] {
		return this.#records.getSavedRecords();
	}

	/**
	 * Answers an operation on a job of the stopped coordinator.
	 * @param operation - Operation that the caller requested.
	 */
	performOperation(operation: JobOperation): CallerAnswer {
		const {period, key} = operation;
		const id = formatJobId({coordinator: createCoordinatorToken(this.coordinator.incarnation, period), key});
		if (!this.#records.isPeriodKept(period)) {
			return createProblemAnswer('record-expired', {id, detail: 'the record of this id is not kept or was never made; the id does not run'});
		}

		const record = this.#records.getRecord(period, key);
		if (record === undefined) {
			return createProblemAnswer('coordinator-stopped', {id, detail: 'the id was never accepted and does not run; take a new coordinator', retryAfterMs: 0});
		}

		return answerFromRecord(id, record, operation);
	}
}

function answerFromRecord(id: string, record: JobRecord, operation: JobOperation): CallerAnswer {
	const isBodyDifferent = operation.kind === 'submit' && record.fingerprint !== '' && record.fingerprint !== getFingerprint(operation.content);
	if (isBodyDifferent) {
		return createProblemAnswer('body-differs', {id, detail: 'this body does not run; the id stands for the body that came first'});
	}

	return record.getAnswer(id);
}
