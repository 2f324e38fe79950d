/**
 * Checks the history of a concurrent run against the guarantees to callers and operators.
 */
import {groupBy} from './group-by.js';
import {
	type AnswerRecord, type DisruptionRecord, type HistoryRecord, type LeavingRecord, type NoAnswerRecord, type StartRecord, type SubmitRecord,
} from './history.js';

/** Guarantees that the checker verifies, named by their violation. */
export type HistoryRule =
	| 'task-started-twice' | 'non-idempotent-ran-twice' | 'started-after-not-run' | 'started-unasked'
	| 'answer-not-whole' | 'answer-not-own' | 'answer-changed' | 'unknown-without-cause'
	| 'started-on-leaving' | 'stop-cut-request' | 'version-fell' | 'no-answer' | 'call-hung';

/** A violated guarantee. */
export type Violation = {
	readonly rule: HistoryRule;
	/** Task, request, call, upstream or VM that the violation concerns. */
	readonly subject: string;
	readonly detail: string;
};

/** Options of {@link checkHistory}. */
export type HistoryCheckOptions = {
	/** Time after the mark during which a leaving upstream may still start tasks, in milliseconds. */
	readonly leavingGraceMs?: number;
};

/** A request with all its calls. @internal */
type RequestHistory = {
	readonly request: string;
	readonly submits: readonly SubmitRecord[];
};

const defaultLeavingGraceMs = 5000;
const stoppedRunningSuffix = 'stopped-running';
const answerNotKeptSuffix = 'answer-not-kept';

/**
 * Gets all violations in the history of a run.
 * @param records - Records of the run, in any order.
 * @param options - Limits of the guarantees.
 */
export function checkHistory(records: readonly HistoryRecord[], options: HistoryCheckOptions = {}): readonly Violation[] {
	return new HistoryChecker(records, options).getViolations();
}

/** Indexes the history of a run and checks one guarantee after another. @internal */
class HistoryChecker {
	readonly #records: readonly HistoryRecord[];
	readonly #leavingGraceMs: number;
	readonly #violations: Violation[] = [];
	readonly #answers = new Map<number, AnswerRecord>();
	readonly #noAnswers = new Map<number, NoAnswerRecord>();
	readonly #starts: ReadonlyMap<string, readonly StartRecord[]>;
	readonly #requests: readonly RequestHistory[];
	readonly #disruptions: readonly DisruptionRecord[];
	readonly #firstStopTimes: ReadonlyMap<string, number>;

	constructor(records: readonly HistoryRecord[], options: HistoryCheckOptions) {
		this.#records = records.toSorted((left, right) => left.time - right.time);
		this.#leavingGraceMs = options.leavingGraceMs ?? defaultLeavingGraceMs;
		for (const record of this.#records) {
			if (record.kind === 'answer') {
				this.#answers.set(record.call, record);
			} else if (record.kind === 'no-answer') {
				this.#noAnswers.set(record.call, record);
			}
		}

		this.#starts = groupBy(this.#records.filter(record => record.kind === 'start'), record => record.task);
		const submits = groupBy(this.#records.filter(record => record.kind === 'submit'), record => record.request);
		this.#requests = [...submits].map(([request, calls]) => ({request, submits: calls}));
		this.#disruptions = this.#records.filter(record => record.kind === 'disruption');
		this.#firstStopTimes = getFirstTimes(this.#records.filter(record => record.kind === 'stop-began'));
	}

	getViolations(): readonly Violation[] {
		for (const request of this.#requests) {
			this.#checkStarts(request);
			this.#checkNotRun(request);
			this.#checkAnswers(request);
			this.#checkAnswersConsistent(request);
			this.#checkAnswerExists(request);
		}

		this.#checkStartsRequested();
		this.#checkLeaving();
		this.#checkStops();
		this.#checkVersions();
		return this.#violations;
	}

	#addViolation(rule: HistoryRule, subject: string, detail: string): void {
		this.#violations.push({rule, subject, detail});
	}

	#getStarts(task: string): readonly StartRecord[] {
		return this.#starts.get(task) ?? [];
	}

	/** A higher attempt is allowed only after `not_run`, which implies no start; so the limit of one start applies to all attempts together. */
	#checkStarts({submits}: RequestHistory): void {
		const [firstSubmit] = submits;
		if (firstSubmit === undefined || firstSubmit.isIdempotent) {
			return;
		}

		for (const task of firstSubmit.tasks) {
			const starts = this.#getStarts(task);
			if (starts.length > 1) {
				const rule = firstSubmit.form === 'job' ? 'task-started-twice' : 'non-idempotent-ran-twice';
				this.#addViolation(rule, task, starts.map(start => `${start.upstream}@${start.time}`).join(', '));
			}
		}
	}

	#checkNotRun({submits}: RequestHistory): void {
		const notRunSubmits = submits.filter(submit => this.#answers.get(submit.call)?.outcome === 'not_run');
		if (notRunSubmits.length === 0) {
			return;
		}

		const highestAttempt = Math.max(...notRunSubmits.map(submit => submit.attempt));
		const nextAttemptTime = submits.find(submit => submit.attempt > highestAttempt)?.time ?? Number.POSITIVE_INFINITY;
		for (const task of submits[0]?.tasks ?? []) {
			const start = this.#getStarts(task).find(candidate => candidate.time < nextAttemptTime);
			if (start !== undefined) {
				this.#addViolation('started-after-not-run', task, `attempt ${highestAttempt} was answered not_run; ${start.upstream}@${start.time}`);
			}
		}
	}

	#checkAnswers({submits}: RequestHistory): void {
		for (const submit of submits) {
			const answer = this.#answers.get(submit.call);
			if (answer?.outcome === 'complete') {
				this.#checkCompleteAnswer(submit, answer);
			}

			if (answer?.outcome === 'unknown' && !isAnswerNotKept(answer) && !this.#isUnknownExcused(submit, answer.time)) {
				this.#addViolation('unknown-without-cause', String(submit.call), `${submit.request} at ${submit.vm}: ${answer.problemType}`);
			}
		}
	}

	/** A record is unavailable after a crash of the coordinator or of the successor of a stopped one, or during a partition of either end. */
	#isUnknownExcused({coordinator, vm}: SubmitRecord, time: number): boolean {
		const active = this.#disruptions.filter(disruption => disruption.time <= time && time <= (disruption.until ?? time));
		return active.some(disruption => disruption.vm === coordinator || disruption.vm === vm) || (isAtOrBefore(this.#firstStopTimes.get(coordinator), time) && active.length > 0);
	}

	#hasCrashed(vm: string, time: number): boolean {
		return this.#disruptions.some(disruption => disruption.vm === vm && disruption.until === undefined && disruption.time <= time);
	}

	#checkCompleteAnswer(submit: SubmitRecord, answer: AnswerRecord): void {
		if (answer.echoes.length !== submit.tasks.length) {
			this.#addViolation('answer-not-whole', String(submit.call), `${answer.echoes.length} of ${submit.tasks.length} tasks`);
			return;
		}

		const wrongIndex = submit.tasks.findIndex((task, index) => answer.echoes[index] !== task);
		if (wrongIndex !== -1) {
			this.#addViolation('answer-not-own', String(submit.call), `task ${submit.tasks[wrongIndex]} got the answer of ${answer.echoes[wrongIndex]}`);
		}
	}

	#checkAnswersConsistent({request, submits}: RequestHistory): void {
		const answers = submits.map(submit => this.#answers.get(submit.call)).filter(answer => answer !== undefined);
		const complete = answers.filter(answer => answer.outcome === 'complete');
		if (new Set(complete.map(answer => answer.hash)).size > 1) {
			this.#addViolation('answer-changed', request, `${complete.length} complete answers differ`);
			return;
		}

		const failed = answers.filter(answer => answer.outcome === 'failed' && !isAnswerNotKept(answer));
		if (complete.length > 0 && failed.length > 0) {
			this.#addViolation('answer-changed', request, 'both complete and failed');
			return;
		}

		this.#checkNotRunConsistent(request, submits, [...complete, ...failed]);
	}

	/** After `not_run`, an answer of an execution is possible only when a higher attempt was submitted. */
	#checkNotRunConsistent(request: string, submits: readonly SubmitRecord[], executedAnswers: readonly AnswerRecord[]): void {
		const notRunSubmits = submits.filter(submit => this.#answers.get(submit.call)?.outcome === 'not_run');
		for (const {attempt} of notRunSubmits) {
			const nextAttemptTime = submits.find(submit => submit.attempt > attempt)?.time ?? Number.POSITIVE_INFINITY;
			if (executedAnswers.some(answer => answer.time < nextAttemptTime)) {
				this.#addViolation('answer-changed', request, `both ran and not_run at attempt ${attempt}`);
				return;
			}
		}
	}

	#checkAnswerExists({request, submits}: RequestHistory): void {
		for (const {call, vm} of submits) {
			if (!this.#answers.has(call) && !this.#noAnswers.has(call)) {
				this.#addViolation('call-hung', String(call), `${request} at ${vm}`);
			}
		}

		if (submits.every(submit => !this.#answers.has(submit.call))) {
			this.#addViolation('no-answer', request, `${submits.length} calls`);
		}
	}

	#checkStartsRequested(): void {
		const requestedAt = new Map<string, number>();
		for (const {submits} of this.#requests) {
			for (const task of submits[0]?.tasks ?? []) {
				requestedAt.set(task, submits[0]!.time);
			}
		}

		for (const [task, starts] of this.#starts) {
			const firstStart = starts[0]!;
			if (firstStart.time < (requestedAt.get(task) ?? Number.POSITIVE_INFINITY)) {
				this.#addViolation('started-unasked', task, `${firstStart.upstream}@${firstStart.time}`);
			}
		}
	}

	#checkLeaving(): void {
		const marks = new Map<string, LeavingRecord>();
		for (const record of this.#records) {
			if (record.kind === 'leaving') {
				const mark = marks.get(record.upstream);
				marks.set(record.upstream, mark?.isLeaving && record.isLeaving ? mark : record);
			} else if (record.kind === 'start') {
				const mark = marks.get(record.upstream);
				if (mark?.isLeaving && record.time > mark.time + this.#leavingGraceMs) {
					this.#addViolation('started-on-leaving', record.task, `${record.upstream} ${record.time - mark.time} ms after its mark`);
				}
			}
		}
	}

	#checkStops(): void {
		for (const {submits} of this.#requests) {
			for (const {call, request, vm} of submits) {
				const end = this.#noAnswers.get(call);
				const answer = this.#answers.get(call);
				if (answer?.problemType.endsWith(stoppedRunningSuffix)) {
					this.#addViolation('stop-cut-request', String(call), `${request} at ${vm}: ${answer.problemType}`);
				}

				if (end?.reason === 'cut' && isAtOrBefore(this.#firstStopTimes.get(vm), end.time) && !this.#hasCrashed(vm, end.time)) {
					this.#addViolation('stop-cut-request', String(call), `${request} at ${vm}`);
				}
			}
		}
	}

	#checkVersions(): void {
		const versions = new Map<string, number>();
		for (const record of this.#records) {
			if (record.kind !== 'version') {
				continue;
			}

			const before = versions.get(record.vm) ?? 0;
			if (record.version < before) {
				this.#addViolation('version-fell', record.vm, `from ${before} to ${record.version}`);
			}

			versions.set(record.vm, record.version);
		}
	}
}

function isAnswerNotKept(answer: AnswerRecord): boolean {
	return answer.problemType.endsWith(answerNotKeptSuffix);
}

function getFirstTimes(records: ReadonlyArray<{readonly vm: string; readonly time: number}>): ReadonlyMap<string, number> {
	const times = new Map<string, number>();
	for (const {vm, time} of records) {
		times.set(vm, Math.min(time, times.get(vm) ?? time));
	}

	return times;
}

function isAtOrBefore(time: number | undefined, end: number): boolean {
	return time !== undefined && time <= end;
}
