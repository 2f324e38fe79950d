/**
 * What a coordinator remembers of one id.
 */
import {
	type CallerAnswer, createProblemAnswer, type Job, type Outcome, type ProblemName,
} from '../request/index.js';

/** The part of a record that outlives the coordinator when it hands its records over. */
export type SavedRecord = {
	readonly key: string;
	readonly period: number;
	readonly attempt: number;
	readonly fingerprint: string;
	readonly outcome: Outcome;
	readonly problem?: ProblemName;
	/** Absent when the answer was dropped to bound memory. */
	readonly answer?: CallerAnswer;
};

/** The record of one id: a running job, or how it ended. */
export class JobRecord {
	/** The run; absent once ended. */
	job: Job | undefined;

	/** Callers that wait for the answer now. */
	waiterCount = 0;

	/** Whether the job is cancelled once no caller waits for it any more. */
	cancelOnLastDisconnect = false;

	/** Outcome once ended. */
	outcome: Outcome | undefined;

	/** Kind of problem once ended without an answer of the tasks. */
	problem: ProblemName | undefined;

	/** Answer once ended, while it is kept. */
	answer: CallerAnswer | undefined;

	/**
	 * @param key - The caller's key.
	 * @param period - Period of the id.
	 * @param attempt - Highest attempt that was accepted or refused.
	 * @param fingerprint - Digest of what was sent; empty after a refusal that was not read whole.
	 */
	constructor(
		readonly key: string,
		readonly period: number,
		public attempt: number,
		public fingerprint: string,
	) {}

	/** Gets whether the outcome is final for the present attempt. */
	isEnded(): boolean {
		return this.outcome !== undefined;
	}

	/**
	 * Gets the kept answer, or the one that tells that it is no longer kept; only for an ended record.
	 * @param id - Job id that the answer names.
	 */
	getAnswer(id: string): CallerAnswer {
		if (this.answer !== undefined) {
			return this.answer;
		}

		if (this.problem !== undefined) {
			return createProblemAnswer(this.problem, {id, detail: 'the details of this outcome are no longer kept'});
		}

		return createProblemAnswer('answer-not-kept', {id, detail: 'the job was complete; it does not run again'});
	}

	/** Gets the part that is handed over; only for an ended record. */
	getSavedRecord(): SavedRecord {
		const {key, period, attempt, fingerprint, outcome, problem, answer} = this;
		return {
			key, period, attempt, fingerprint, outcome: outcome ?? 'unknown', problem, answer,
		};
	}
}
