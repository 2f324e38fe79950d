/**
 * Checks the record of a concurrent run against the promises that callers and operators were given.
 */
import {
	type AnswerRecord, type DisruptionRecord, type HistoryRecord, type LeavingRecord, type NoAnswerRecord, type StartRecord, type SubmitRecord,
} from './history.js';

/** Promises that the checker looks after. */
export type HistoryRule =
	| 'task-started-twice' | 'non-idempotent-ran-twice' | 'started-after-not-run' | 'started-unasked'
	| 'answer-not-whole' | 'answer-not-own' | 'answer-changed' | 'unknown-without-cause'
	| 'started-on-leaving' | 'stop-cut-request' | 'version-fell' | 'no-answer' | 'call-hung';

/** A broken promise. */
export type Violation = {
	readonly rule: HistoryRule;
	/** Task, request, call, upstream or VM that the promise was broken for. */
	readonly subject: string;
	readonly detail: string;
};

/** Options of {@link checkHistory}. */
export type HistoryCheckOptions = {
	/** Time after its mark from which a leaving upstream may get no new task, in milliseconds. */
	readonly leavingGraceMs?: number;
};

/** A request with all its calls. @internal */
type RequestHistory = {
	readonly request: string;
	readonly submits: readonly SubmitRecord[];
};

const defaultLeavingBoundMs = 5000;
const stoppedRunningSuffix = 'stopped-running';
const answerNotKeptSuffix = 'answer-not-kept';

/**
 * Gets every broken promise of a run.
 * @param records - Records of the run, in any order.
 * @param options - Bounds of the promises.
 */
export function checkHistory(records: readonly HistoryRecord[], options: HistoryCheckOptions = {}): readonly Violation[] {
	return new HistoryChecker(records, options).getViolations();
}

/** Indexes a run and checks one promise after another. @internal */
class HistoryChecker {
	readonly #records: readonly HistoryRecord[];
	readonly #leavingBoundMs: number;
	readonly #violations: Violation[] = [];
	readonly #answers = new Map<number, AnswerRecord>();
	readonly #noAnswers = new Map<number, NoAnswerRecord>();
	readonly #starts: ReadonlyMap<string, readonly StartRecord[]>;
	readonly #requests: readonly RequestHistory[];
	readonly #disruptions: readonly DisruptionRecord[];
	readonly #stops: ReadonlyMap<string, number>;

	constructor(records: readonly HistoryRecord[], options: HistoryCheckOptions) {
		this.#records = records.toSorted((left, right) => left.time - right.time);
		this.#leavingBoundMs = options.leavingGraceMs ?? defaultLeavingBoundMs;
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
		this.#stops = getFirstTimes(this.#records.filter(record => record.kind === 'stop-began'));
	}

	getViolations(): readonly Violation[] {
		for (const request of this.#requests) {
			this.#checkStarts(request);
			this.#checkNotRun(request);
			this.#checkAnswers(request);
			this.#checkSameAnswer(request);
			this.#checkAnswered(request);
		}

		this.#checkUnasked();
		this.#checkLeaving();
		this.#checkStops();
		this.#checkVersions();
		return this.#violations;
	}

	#add(rule: HistoryRule, subject: string, detail: string): void {
		this.#violations.push({rule, subject, detail});
	}

	#getStarts(task: string): readonly StartRecord[] {
		return this.#starts.get(task) ?? [];
	}

	/** A higher attempt is allowed only after `not_run`, which means no start; so the limit holds over all attempts. */
	#checkStarts({submits}: RequestHistory): void {
		const [first] = submits;
		if (first === undefined || first.isIdempotent) {
			return;
		}

		for (const task of first.tasks) {
			const starts = this.#getStarts(task);
			if (starts.length > 1) {
				const rule = first.form === 'job' ? 'task-started-twice' : 'non-idempotent-ran-twice';
				this.#add(rule, task, starts.map(start => `${start.upstream}@${start.time}`).join(', '));
			}
		}
	}

	#checkNotRun({submits}: RequestHistory): void {
		const refused = submits.filter(submit => this.#answers.get(submit.call)?.outcome === 'not_run');
		if (refused.length === 0) {
			return;
		}

		const highest = Math.max(...refused.map(submit => submit.attempt));
		const nextSubmit = submits.find(submit => submit.attempt > highest)?.time ?? Number.POSITIVE_INFINITY;
		for (const task of submits[0]?.tasks ?? []) {
			const start = this.#getStarts(task).find(candidate => candidate.time < nextSubmit);
			if (start !== undefined) {
				this.#add('started-after-not-run', task, `attempt ${highest} was answered not_run; ${start.upstream}@${start.time}`);
			}
		}
	}

	#checkAnswers({submits}: RequestHistory): void {
		for (const submit of submits) {
			const answer = this.#answers.get(submit.call);
			if (answer?.outcome === 'complete') {
				this.#checkWhole(submit, answer);
			}

			if (answer?.outcome === 'unknown' && !isNotKept(answer) && !this.#isUnknownDue(submit, answer.time)) {
				this.#add('unknown-without-cause', String(submit.call), `${submit.request} at ${submit.vm}: ${answer.problemType}`);
			}
		}
	}

	/** Records are lost with the coordinator, with a successor of one that stopped, or behind a cut at either end. */
	#isUnknownDue({coordinator, vm}: SubmitRecord, time: number): boolean {
		const hits = this.#disruptions.filter(disruption => disruption.time <= time && time <= (disruption.until ?? time));
		return hits.some(hit => hit.vm === coordinator || hit.vm === vm) || (isBefore(this.#stops.get(coordinator), time) && hits.length > 0);
	}

	#isGone(vm: string, time: number): boolean {
		return this.#disruptions.some(disruption => disruption.vm === vm && disruption.until === undefined && disruption.time <= time);
	}

	#checkWhole(submit: SubmitRecord, answer: AnswerRecord): void {
		if (answer.echoes.length !== submit.tasks.length) {
			this.#add('answer-not-whole', String(submit.call), `${answer.echoes.length} of ${submit.tasks.length} tasks`);
			return;
		}

		const wrong = submit.tasks.findIndex((task, index) => answer.echoes[index] !== task);
		if (wrong !== -1) {
			this.#add('answer-not-own', String(submit.call), `task ${submit.tasks[wrong]} got the answer of ${answer.echoes[wrong]}`);
		}
	}

	#checkSameAnswer({request, submits}: RequestHistory): void {
		const answers = submits.map(submit => this.#answers.get(submit.call)).filter(answer => answer !== undefined);
		const complete = answers.filter(answer => answer.outcome === 'complete');
		if (new Set(complete.map(answer => answer.hash)).size > 1) {
			this.#add('answer-changed', request, `${complete.length} complete answers differ`);
			return;
		}

		const failed = answers.filter(answer => answer.outcome === 'failed' && !isNotKept(answer));
		if (complete.length > 0 && failed.length > 0) {
			this.#add('answer-changed', request, 'both complete and failed');
			return;
		}

		this.#checkNotRunStays(request, submits, [...complete, ...failed]);
	}

	/** An answer of a run cannot come before a higher attempt than the refused one was sent. */
	#checkNotRunStays(request: string, submits: readonly SubmitRecord[], ran: readonly AnswerRecord[]): void {
		const refused = submits.filter(submit => this.#answers.get(submit.call)?.outcome === 'not_run');
		for (const {attempt} of refused) {
			const nextSubmit = submits.find(submit => submit.attempt > attempt)?.time ?? Number.POSITIVE_INFINITY;
			if (ran.some(answer => answer.time < nextSubmit)) {
				this.#add('answer-changed', request, `both ran and not_run at attempt ${attempt}`);
				return;
			}
		}
	}

	#checkAnswered({request, submits}: RequestHistory): void {
		for (const {call, vm} of submits) {
			if (!this.#answers.has(call) && !this.#noAnswers.has(call)) {
				this.#add('call-hung', String(call), `${request} at ${vm}`);
			}
		}

		if (submits.every(submit => !this.#answers.has(submit.call))) {
			this.#add('no-answer', request, `${submits.length} calls`);
		}
	}

	#checkUnasked(): void {
		const asked = new Map<string, number>();
		for (const {submits} of this.#requests) {
			for (const task of submits[0]?.tasks ?? []) {
				asked.set(task, submits[0]!.time);
			}
		}

		for (const [task, starts] of this.#starts) {
			const first = starts[0]!;
			if (first.time < (asked.get(task) ?? Number.POSITIVE_INFINITY)) {
				this.#add('started-unasked', task, `${first.upstream}@${first.time}`);
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
				if (mark?.isLeaving && record.time > mark.time + this.#leavingBoundMs) {
					this.#add('started-on-leaving', record.task, `${record.upstream} ${record.time - mark.time} ms after its mark`);
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
					this.#add('stop-cut-request', String(call), `${request} at ${vm}: ${answer.problemType}`);
				}

				if (end?.reason === 'cut' && isBefore(this.#stops.get(vm), end.time) && !this.#isGone(vm, end.time)) {
					this.#add('stop-cut-request', String(call), `${request} at ${vm}`);
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
				this.#add('version-fell', record.vm, `from ${before} to ${record.version}`);
			}

			versions.set(record.vm, record.version);
		}
	}
}

function isNotKept(answer: AnswerRecord): boolean {
	return answer.problemType.endsWith(answerNotKeptSuffix);
}

function groupBy<T>(values: readonly T[], getKey: (value: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const value of values) {
		const key = getKey(value);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [value]);
		} else {
			group.push(value);
		}
	}

	return groups;
}

function getFirstTimes(records: ReadonlyArray<{readonly vm: string; readonly time: number}>): ReadonlyMap<string, number> {
	const times = new Map<string, number>();
	for (const {vm, time} of records) {
		times.set(vm, Math.min(time, times.get(vm) ?? time));
	}

	return times;
}

function isBefore(time: number | undefined, end: number): boolean {
	return time !== undefined && time <= end;
}
