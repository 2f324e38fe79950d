/**
 * The record that a coordinator keeps of one job id.
 */
import {
	type CallerAnswer, createProblemAnswer, type Job, type Outcome, type ProblemName,
} from '../request/index.js';

/** An ended record in the form in which it is handed over to a successor. */
export type SavedRecord = {
	readonly key: string;
	readonly period: number;
	readonly attempt: number;
	readonly fingerprint: string;
	readonly outcome: Outcome;
	readonly problem?: ProblemName;
	/** Absent when the answer was evicted to limit memory. */
	readonly answer?: CallerAnswer;
};

/** The record of one job id: the running job, or its outcome. */
export class JobRecord {
	/** The running job; `undefined` once it has ended. */
	job: Job | undefined;

	/** Number of callers that are waiting for the answer. */
	waiterCount = 0;

	/** Whether the job is cancelled when the last waiting caller disconnects. */
	cancelOnLastDisconnect = false;

	/** Outcome; `undefined` until the job has ended. */
	outcome: Outcome | undefined;

	/** Problem with which the job ended; `undefined` when its tasks were answered. */
	problem: ProblemName | undefined;

	/** Final answer; `undefined` until the job has ended, and after eviction. */
	answer: CallerAnswer | undefined;

	/**
	 * @param key - Key of the id.
	 * @param period - Period of the id.
	 * @param attempt - Highest attempt that was accepted or refused.
	 * @param fingerprint - Digest of the submitted content; empty for one that was refused unread or cancelled before it was submitted.
	 */
	constructor(
		readonly key: string,
		readonly period: number,
		public attempt: number,
		public fingerprint: string,
	) {}

	/** Gets whether the current attempt has its final outcome. */
	isEnded(): boolean {
		return this.outcome !== undefined;
	}

	/**
	 * Gets the final answer, or a problem answer if it was evicted. Call only for an ended record.
	 * @param id - Job id for the problem answer.
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

	/** Gets the record in the form for a hand-over. Call only for an ended record. */
	getSavedRecord(): SavedRecord {
		const {key, period, attempt, fingerprint, outcome, problem, answer} = this;
		return {
			key, period, attempt, fingerprint, outcome: outcome ?? 'unknown', problem, answer,
		};
	}
}
