/**
 * The coordinator of this incarnation's jobs: the only place where the tasks of these jobs are started.
 *
 * Each id has one record. A record is made before the first task can start, so that a copy of the same submission finds it,
 * whichever entry VM the copy came through. This follows the entity that remembers the messages it has processed in
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
	/** Length of a period in milliseconds. */
	readonly periodMs?: number;
	readonly records?: RecordStoreOptions;
};

/** Tells when a caller is gone. */
export type CallerContext = {
	/** Aborts when the caller is gone. */
	readonly signal?: AbortSignal;
};

/** Counts of what happened to submissions. */
export type CoordinatorCounters = {
	readonly submitted: number;
	readonly joined: number;
	readonly cancelled: number;
};

const defaultPeriodMs = 60_000;
const generatedKeyBytes = 12;
const minCancelledAttempt = 1;

/** Keeps the records of this incarnation and starts its jobs. */
export class Coordinator {
	readonly #options: CoordinatorOptions;
	readonly #records: RecordStore;
	readonly #periodTimer: Timer;
	/** Text of the token that was last asked for. */
	#lastToken = {period: 0, text: ''};
	readonly #counters = {submitted: 0, joined: 0, cancelled: 0};

	constructor(options: CoordinatorOptions) {
		this.#options = options;
		this.#records = new RecordStore(options.records);
		this.#periodTimer = options.clock.setRepeatingTimer(() => {
			this.#records.advancePeriod();
		}, options.periodMs ?? defaultPeriodMs);
	}

	/** Gets the present token of this coordinator. */
	getToken(): string {
		return this.#getTokenText(this.#records.getPeriod());
	}

	/** Gets the records, for status and hand-over. */
	getRecords(): RecordStore {
		return this.#records;
	}

	/** Gets the counts so far. */
	getCounters(): CoordinatorCounters {
		return {...this.#counters};
	}

	/** Gets all records of ended jobs for a successor. */
	getSavedRecords(): readonly SavedRecord[] {
		return this.#records.getSavedRecords();
	}

	/** Gets a new key in the present period. */
	createKey(): string {
		return this.#options.random.getHex(generatedKeyBytes);
	}

	/**
	 * Does what a caller asks of a job of this coordinator; never rejects.
	 * @param operation - What the caller asks.
	 * @param caller - Tells when the caller is gone.
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
	 * Runs a request that has no id, so that nobody can ask for it again; never rejects.
	 * @param content - What the caller sent.
	 * @param caller - Tells when the caller is gone.
	 */
	async runOnce(content: SubmissionContent, caller: CallerContext = {}): Promise<CallerAnswer> {
		this.#counters.submitted++;
		// A colon cannot stand in a caller's key, so that no id of a caller is the same.
		const id = this.#getId(this.#records.getPeriod(), `:${this.#counters.submitted}`);
		const started = this.#options.runner.startJob(id, content);
		if (!started.isRunning) {
			return started.answer;
		}

		const {job, profile} = started;
		if (profile.cancelOnDisconnect) {
			caller.signal?.addEventListener('abort', () => {
				job.cancel('the caller disconnected');
			}, {once: true});
		}

		return job.answer;
	}

	/**
	 * Accepts a job under a key made here; never rejects. The answer names the id in `Location`.
	 * @param operation - What the caller asks.
	 * @param caller - Tells when the caller is gone.
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

	/** Ends the periods' timer. */
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
		const started = this.#options.runner.startJob(id, content);
		if (!started.isRunning) {
			this.#records.endRecord(record, started.answer);
			return;
		}

		record.job = started.job;
		record.cancelOnLastDisconnect = started.profile.cancelOnDisconnect && waitMs === undefined;
		void this.#endRecordWithJob(record, started.job.answer);
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

	/** Cancels a job, or records the refusal of one that has not come yet, so that a late copy does not run. */
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

	/** Cancels the job once the last of its callers is gone. */
	#countWaiter(record: JobRecord, job: Job, signal: AbortSignal | undefined): void {
		record.waiterCount++;
		signal?.addEventListener('abort', () => {
			record.waiterCount--;
			if (record.waiterCount === 0) {
				job.cancel('all callers disconnected');
			}
		}, {once: true});
	}

	/** Gets the answer, or nothing when the time passes first. */
	async #waitAtMost(answer: Promise<CallerAnswer>, waitMs: number): Promise<CallerAnswer | undefined> {
		const timerAbort = new AbortController();
		const first = await Promise.race([answer, sleep(this.#options.clock, waitMs, timerAbort.signal)]);
		timerAbort.abort();
		return first ?? undefined;
	}
}

/**
 * Creates the answer that tells that a job is still running.
 * @param id - Job id.
 * @param record - Its record.
 */
function createRunningAnswer(id: string, record: JobRecord): CallerAnswer {
	const progress = record.job?.getProgress();
	return createJsonAnswer(202, {id, state: 'running', progress}, [['Location', `/v1/jobs/${id}`]]);
}
