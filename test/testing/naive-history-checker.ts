/**
 * A second implementation of the guarantees, each as a search over all records, to compare the checker against.
 */
import {
	type AnswerRecord, type HistoryRecord, type HistoryRule, type StartRecord, type SubmitRecord,
} from '../../src/testing/index.js';

/**
 * Gets the violations as `rule subject`, without duplicates and sorted.
 * @param unsorted - Records of the run, in any order.
 * @param leavingGraceMs - Time during which a leaving upstream may still start tasks, in milliseconds.
 */
export function checkHistoryNaively(unsorted: readonly HistoryRecord[], leavingGraceMs: number): readonly string[] {
	const records = unsorted.toSorted((left, right) => left.time - right.time);
	const found = new Set<string>();
	const add = (rule: HistoryRule, subject: number | string): void => {
		found.add(`${rule} ${subject}`);
	};

	for (const submit of getSubmits(records)) {
		checkAnswersConsistent(records, submit, add);
		checkAnswer(records, submit, add);
		checkNoAnswer(records, submit, add);
	}

	for (const start of records.filter(record => record.kind === 'start')) {
		checkStart(records, start, leavingGraceMs, add);
	}

	const versions = records.filter(record => record.kind === 'version');
	for (const [index, version] of versions.entries()) {
		const earlier = versions.slice(0, index).findLast(other => other.vm === version.vm);
		if (earlier !== undefined && earlier.version > version.version) {
			add('version-fell', version.vm);
		}
	}

	return [...found].toSorted();
}

type AddViolation = (rule: HistoryRule, subject: number | string) => void;

function getSubmits(records: readonly HistoryRecord[], request?: string): readonly SubmitRecord[] {
	return records.filter(record => record.kind === 'submit').filter(record => request === undefined || record.request === request);
}

function getAnswer(records: readonly HistoryRecord[], submit: SubmitRecord): AnswerRecord | undefined {
	return records.filter(record => record.kind === 'answer').findLast(answer => answer.call === submit.call);
}

function isAnswerNotKept(answer: AnswerRecord): boolean {
	return answer.problemType.endsWith('answer-not-kept');
}

function getExecutedAnswers(records: readonly HistoryRecord[], request: string): readonly AnswerRecord[] {
	return getSubmits(records, request)
		.map(submit => getAnswer(records, submit))
		.filter(answer => answer !== undefined)
		.filter(answer => answer.outcome === 'complete' || (answer.outcome === 'failed' && !isAnswerNotKept(answer)));
}

function getNextAttemptTime(records: readonly HistoryRecord[], submit: SubmitRecord): number {
	return getSubmits(records, submit.request).find(other => other.attempt > submit.attempt)?.time ?? Number.POSITIVE_INFINITY;
}

function isDisrupted(records: readonly HistoryRecord[], time: number, vm?: string): boolean {
	return records.some(record => record.kind === 'disruption' && record.time <= time && (record.until === undefined || record.until >= time)
		&& (vm === undefined || record.vm === vm));
}

function hasCrashed(records: readonly HistoryRecord[], time: number, vm: string): boolean {
	return records.some(record => record.kind === 'disruption' && record.time <= time && record.until === undefined && record.vm === vm);
}

function checkStart(records: readonly HistoryRecord[], start: StartRecord, leavingGraceMs: number, add: AddViolation): void {
	const starts = records.filter(record => record.kind === 'start').filter(other => other.task === start.task);
	const submit = getSubmits(records).find(submit => submit.tasks.includes(start.task));
	if (submit === undefined || starts.some(other => other.time < submit.time)) {
		add('started-unasked', start.task);
	}

	if (submit !== undefined && !submit.isIdempotent && starts.length > 1) {
		add(submit.form === 'job' ? 'task-started-twice' : 'non-idempotent-ran-twice', start.task);
	}

	const marks = records.slice(0, records.indexOf(start))
		.filter(record => record.kind === 'leaving')
		.filter(record => record.upstream === start.upstream);
	const mark = marks[marks.findLastIndex(record => !record.isLeaving) + 1];
	if (mark !== undefined && start.time > mark.time + leavingGraceMs) {
		add('started-on-leaving', start.task);
	}
}

function checkAnswersConsistent(records: readonly HistoryRecord[], submit: SubmitRecord, add: AddViolation): void {
	const executedAnswers = getExecutedAnswers(records, submit.request);
	const isSame = executedAnswers.every(one => executedAnswers.every(other =>
		one.outcome === other.outcome && (one.outcome === 'failed' || one.hash === other.hash)));
	if (!isSame) {
		add('answer-changed', submit.request);
	}

	if (getAnswer(records, submit)?.outcome !== 'not_run') {
		return;
	}

	const nextAttemptTime = getNextAttemptTime(records, submit);
	for (const record of records) {
		if (record.kind === 'start' && record.time < nextAttemptTime && submit.tasks.includes(record.task)) {
			add('started-after-not-run', record.task);
		}
	}

	if (executedAnswers.some(answer => answer.time < nextAttemptTime)) {
		add('answer-changed', submit.request);
	}
}

function checkAnswer(records: readonly HistoryRecord[], submit: SubmitRecord, add: AddViolation): void {
	const answer = getAnswer(records, submit);
	if (answer?.outcome === 'complete' && answer.echoes.length !== submit.tasks.length) {
		add('answer-not-whole', submit.call);
	} else if (answer?.outcome === 'complete' && answer.echoes.some((echo, index) => echo !== submit.tasks[index])) {
		add('answer-not-own', submit.call);
	}

	if (answer?.outcome !== 'unknown' || isAnswerNotKept(answer)) {
		return;
	}

	const {coordinator, vm} = submit;
	const hasStopped = records.some(record => record.kind === 'stop-began' && record.vm === coordinator && record.time <= answer.time);
	const isExcused = isDisrupted(records, answer.time, vm) || isDisrupted(records, answer.time, coordinator)
		|| (hasStopped && isDisrupted(records, answer.time));
	if (!isExcused) {
		add('unknown-without-cause', submit.call);
	}
}

function checkNoAnswer(records: readonly HistoryRecord[], submit: SubmitRecord, add: AddViolation): void {
	if (getAnswer(records, submit)?.problemType.endsWith('stopped-running')) {
		add('stop-cut-request', submit.call);
	}

	if (getSubmits(records, submit.request).every(other => getAnswer(records, other) === undefined)) {
		add('no-answer', submit.request);
	}

	const noAnswer = records.filter(record => record.kind === 'no-answer').findLast(record => record.call === submit.call);
	if (noAnswer === undefined) {
		if (getAnswer(records, submit) === undefined) {
			add('call-hung', submit.call);
		}

		return;
	}

	const isStopping = records.some(record => record.kind === 'stop-began' && record.vm === submit.vm && record.time <= noAnswer.time);
	if (noAnswer.reason === 'cut' && isStopping && !hasCrashed(records, noAnswer.time, submit.vm)) {
		add('stop-cut-request', submit.call);
	}
}
