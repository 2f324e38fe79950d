/**
 * The coordinator of this incarnation's jobs: the only process that starts the tasks of these jobs.
 *
 * Each job id has one record. The record is created before the first task can start, so that a duplicate submission finds it,
 * whichever entry VM receives the duplicate. This deduplication per entity follows
 * Helland, "Life beyond Distributed Transactions: an Apostate's Opinion" (CIDR 2007).
 */
import {
	type CallerAnswer, createCoordinatorToken, createJsonAnswer, createProblemAnswer, formatCoordinatorToken,
	getFingerprint, type Header, type Job, type SubmissionContent,
} from '../request/index.js';
import {type Incarnation} from '../connection/index.js';
import {
	type Clock, type Random, sleep, type Timer,
} from '../seams/index.js';
import {type EventLog} from './events.js';
import {
	type CancelOperation, type CreateOperation, type GetOperation, type JobOperation, type SubmitOperation,
} from './job-operation.js';
import {JobRecord, type SavedRecord} from './job-record.js';
import {type JobRunner} from './job-runner.js';
import {RecordStore, type RecordStoreOptions} from './record-store.js';

/** Options of a {@link Coordinator}. */
export type CoordinatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly events: EventLog;
	readonly incarnation: Incarnation;
	readonly runner: JobRunner;
	/** Length of a record period in milliseconds. */
	readonly periodMs?: number;
	readonly records?: RecordStoreOptions;
};

/** The caller on whose behalf an operation runs. */
export type CallerContext = {
	/** Aborts when the caller disconnects. */
	readonly signal?: AbortSignal;
};

/** Counters of submissions and cancellations. */
export type CoordinatorCounters = {
	readonly submitted: number;
	readonly joined: number;
	readonly cancelled: number;
};

const defaultPeriodMs = 60_000;
const generatedKeyBytes = 12;
const minCancelledAttempt = 1;

/** Stores the job records of this incarnation and starts its jobs. */
export class Coordinator {
	readonly #options: CoordinatorOptions;
	readonly #records: RecordStore;
	readonly #periodTimer: Timer;
	/** Cache of the token that was formatted last; period 0 is never issued. */
	#lastToken = {period: 0, text: ''};
	readonly #counters = {submitted: 0, joined: 0, cancelled: 0};

	constructor(options: CoordinatorOptions) {
		this.#options = options;
		this.#records = new RecordStore(options.records);
		this.#periodTimer = options.clock.setRepeatingTimer(() => {
			this.#records.advancePeriod();
		}, options.periodMs ?? defaultPeriodMs);
	}

	/** Gets the token of this coordinator for the current period. */
	getToken(): string {
		return this.#getTokenText(this.#records.getPeriod());
	}

	/** Gets the record store, for status and hand-over. */
	getRecords(): RecordStore {
		return this.#records;
	}

	/** Gets a copy of the counters. */
	getCounters(): CoordinatorCounters {
		return {...this.#counters};
	}

	/** Gets the records of all ended jobs, for a hand-over to a successor. */
	getSavedRecords(): readonly SavedRecord[] {
		return this.#records.getSavedRecords();
	}

	/** Creates a random key for a job that is submitted without an id. */
	createKey(): string {
		return this.#options.random.getHex(generatedKeyBytes);
	}

	/**
	 * Performs an operation on a job of this coordinator. The promise never rejects.
	 * @param operation - Operation that the caller requested.
	 * @param caller - The caller, whose disconnection may cancel the job.
	 * @returns The answer for the caller.
	 */
	async performOperation(operation: JobOperation, caller: CallerContext = {}): Promise<CallerAnswer> {
		const id = this.#getId(operation.period, operation.key);
		if (!this.#records.isPeriodKept(operation.period) && this.#records.getRecord(operation.period, operation.key) === undefined) {
			return createProblemAnswer('record-expired', {id, detail: 'the record of this id is not kept or was never made; the id does not run'});
		}

		switch (operation.kind) {
			case 'submit': {
				return this.#submit(id, operation, caller);
			}

			case 'get': {
				return this.#get(id, operation, caller);
			}

			case 'cancel': {
				return this.#cancel(id, operation);
			}
		}
	}

	/**
	 * Runs a request without an id; it cannot be resubmitted or polled. The promise never rejects.
	 * @param content - Content of the submission.
	 * @param caller - The caller, whose disconnection may cancel the job.
	 * @returns The answer for the caller.
	 */
	async runOnce(content: SubmissionContent, caller: CallerContext = {}): Promise<CallerAnswer> {
		this.#counters.submitted++;
		// Callers' keys cannot contain a colon, so this id never equals that of a submitted job.
		const id = this.#getId(this.#records.getPeriod(), `:${this.#counters.submitted}`);
		const startResult = this.#options.runner.startJob(id, content);
		if (!startResult.isRunning) {
			return startResult.answer;
		}

		const {job, profile} = startResult;
		if (profile.cancelOnDisconnect) {
			caller.signal?.addEventListener('abort', () => {
				job.cancel('the caller disconnected');
			}, {once: true});
		}

		return job.answer;
	}

	/**
	 * Submits a job under a generated key. The promise never rejects.
	 * @param operation - Content of the job and the longest wait for its answer.
	 * @param caller - The caller, whose disconnection may cancel the job.
	 * @returns The answer, with the URL of the job in its `Location` header.
	 */
	async createJob(operation: CreateOperation, caller: CallerContext = {}): Promise<CallerAnswer> {
		const period = this.#records.getPeriod();
		const key = this.createKey();
		const answer = await this.performOperation({
			kind: 'submit', period, key, attempt: 1, content: operation.content, waitMs: operation.waitMs,
		}, caller);
		const location: Header = ['Location', `/v1/jobs/${this.#getId(period, key)}`];
		return {...answer, headers: [...answer.headers.filter(([name]) => name !== 'Location'), location]};
	}

	/** Stops the timer that advances the period. */
	close(): void {
		this.#periodTimer.close();
	}

	#getId(period: number, key: string): string {
		return `${this.#getTokenText(period)}/${key}`;
	}

	#getTokenText(period: number): string {
		if (this.#lastToken.period !== period) {
			this.#lastToken = {period, text: formatCoordinatorToken(createCoordinatorToken(this.#options.incarnation, period))};
		}

		return this.#lastToken.text;
	}

	async #submit(id: string, operation: SubmitOperation, caller: CallerContext): Promise<CallerAnswer> {
		const {period, key, attempt, content, waitMs} = operation;
		const fingerprint = getFingerprint(content);
		const existing = this.#records.getRecord(period, key);
		if (existing === undefined) {
			const record = new JobRecord(key, period, attempt, fingerprint);
			this.#records.addRecord(record);
			this.#start(id, record, operation);
			return this.#wait(id, record, waitMs, caller);
		}

		if (existing.outcome === 'not_run' && attempt > existing.attempt) {
			this.#records.reopenRecord(existing, attempt);
			existing.fingerprint = fingerprint;
			this.#start(id, existing, operation);
			return this.#wait(id, existing, waitMs, caller);
		}

		if (existing.fingerprint !== '' && existing.fingerprint !== fingerprint) {
			return createProblemAnswer('body-differs', {id, detail: 'this body does not run; the id stands for the body that came first'});
		}

		this.#counters.joined++;
		this.#options.events.addEvent('job-joined', id);
		return this.#wait(id, existing, waitMs, caller);
	}

	#start(id: string, record: JobRecord, {content, waitMs}: SubmitOperation): void {
		this.#counters.submitted++;
		const startResult = this.#options.runner.startJob(id, content);
		if (!startResult.isRunning) {
			this.#records.endRecord(record, startResult.answer);
			return;
		}

		record.job = startResult.job;
		record.cancelOnLastDisconnect = startResult.profile.cancelOnDisconnect && waitMs === undefined;
		void this.#endRecordWithJob(record, startResult.job.answer);
	}

	async #endRecordWithJob(record: JobRecord, answer: Promise<CallerAnswer>): Promise<void> {
		this.#records.endRecord(record, await answer);
	}

	async #get(id: string, operation: GetOperation, caller: CallerContext): Promise<CallerAnswer> {
		const record = this.#records.getRecord(operation.period, operation.key);
		if (record === undefined) {
			return createProblemAnswer('no-such-job', {id, detail: 'nothing was submitted under this id so far'});
		}

		return this.#wait(id, record, operation.waitMs, caller);
	}

	/** Cancels a job. For an id that was not submitted yet it records a refusal, so that a late submission does not run. */
	async #cancel(id: string, operation: CancelOperation): Promise<CallerAnswer> {
		const {period, key, attempt} = operation;
		this.#counters.cancelled++;
		this.#options.events.addEvent('job-cancelled', id);
		const record = this.#records.getRecord(period, key);
		if (record?.job !== undefined) {
			record.job.cancel('cancelled by the caller');
			return record.job.answer;
		}

		if (record !== undefined && (record.outcome !== 'not_run' || record.attempt >= attempt)) {
			return record.getAnswer(id);
		}

		const refusedRecord = record ?? new JobRecord(key, period, Math.max(attempt, minCancelledAttempt), '');
		const answer = createProblemAnswer('cancelled', {id, detail: 'cancelled by the caller before it was submitted'});
		if (record === undefined) {
			this.#records.addRecord(refusedRecord);
		} else {
			this.#records.reopenRecord(refusedRecord, attempt);
		}

		this.#records.endRecord(refusedRecord, answer);
		return answer;
	}

	async #wait(id: string, record: JobRecord, waitMs: number | undefined, caller: CallerContext): Promise<CallerAnswer> {
		const {job} = record;
		if (job === undefined) {
			return record.getAnswer(id);
		}

		if (waitMs === 0) {
			return createRunningAnswer(id, record);
		}

		if (record.cancelOnLastDisconnect) {
			this.#countWaiter(record, job, caller.signal);
		}

		if (waitMs === undefined) {
			return job.answer;
		}

		const answer = await this.#waitAtMost(job.answer, waitMs);
		return answer ?? createRunningAnswer(id, record);
	}

	/** Counts a waiting caller, and cancels the job when the last waiting caller disconnects. */
	#countWaiter(record: JobRecord, job: Job, signal: AbortSignal | undefined): void {
		record.waiterCount++;
		signal?.addEventListener('abort', () => {
			record.waiterCount--;
			if (record.waiterCount === 0) {
				job.cancel('all callers disconnected');
			}
		}, {once: true});
	}

	/** Waits for the answer; resolves to `undefined` on timeout. */
	async #waitAtMost(answer: Promise<CallerAnswer>, waitMs: number): Promise<CallerAnswer | undefined> {
		const timerAbort = new AbortController();
		const answerOrTimeout = await Promise.race([answer, sleep(this.#options.clock, waitMs, timerAbort.signal)]);
		timerAbort.abort();
		return answerOrTimeout ?? undefined;
	}
}

/**
 * Creates the answer for a job that is still running, with its progress.
 * @param id - Job id.
 * @param record - Record of the job.
 */
function createRunningAnswer(id: string, record: JobRecord): CallerAnswer {
	const progress = record.job?.getProgress();
	return createJsonAnswer(202, {id, state: 'running', progress}, [['Location', `/v1/jobs/${id}`]]);
}
