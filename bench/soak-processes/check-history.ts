/**
 * Checks the history of a process soak against the guarantees to callers and upstreams.
 */
import {groupBy} from '../../src/testing/group-by.js';
import {
	type AppliedFault, type ListedCapacity, plannedStopKind, type Recovery, type Submission, type SoakHistory, type TaskRun, stallKind,
} from './history.js';

/** A violated guarantee; `at` is in milliseconds of the shared clock. */
export type Violation = {readonly promise: string; readonly subject: string; readonly detail: string; readonly at: number};

/** Time before a request in which another fault excuses that a planned stop breaks it off, in milliseconds; the documented `contact_ms`. */
const excuseWindowMs = 3000;

/** Time after its last byte in which a request that was not passed on may be broken off, in milliseconds; the documented `loss_slack_ms`. */
const maxUnreadMs = 200;

/** Longest time from the stop signal that counts as a planned stop, in milliseconds: the documented `grace_s` plus 1 s. */
const maxPlannedStopMs = 7000;

/** Time within which normal service must return, in milliseconds. */
export const maxRecoveryMs = 15_000;

/** Crashes of upstreams under a task after which it may be given up, also if one of them was no task's fault. */
const givenUpCrashes = 2;

/** Crashes of upstreams under a task from which its starts are counted, and the number of further starts that is too many. */
const countedCrashes = 3;
const tooManyStarts = 3;

/** Time for which a capacity must have been listed until it limits starts, in milliseconds: the documented `contact_ms` and an interval of the entries. */
const capacityGraceMs = 4500;

/** Faults in which an owner may not know the capacities, or an order of it may be carried out late. */
const capacityExcuses: ReadonlySet<string> = new Set([
	stallKind, 'freeze', 'store-away', 'store-silent', 'store-slow', 'store-loses-answers', 'store-forgets', 'orders-late', 'odd-entries',
]);

/** Longest time from the end of a submission to the end of the runs that it left, in milliseconds: the documented `resend_ms` less a margin of 150 ms. */
export const maxOverhangMs = 1150;

/** Statuses after which a caller submits again. */
const resubmittedStatuses = new Set([502, 504]);

const refusalStatuses = new Set([429, 503]);
const knownStatuses = new Set([200, 404, 429, 502, 503, 504]);
const knownStates = new Set(['completed', 'failed']);

/**
 * Gets the violations in a history, by time.
 * @param history - Observations of the soak.
 */
export function checkHistory(history: SoakHistory): readonly Violation[] {
	const runsOfTask = groupBy(history.runs, ({task}) => task);
	const runsOfJob = groupBy(history.runs, ({task}) => task.split('.')[0]!);
	const capacities = groupBy(history.capacities, ({upstream}) => upstream);
	return [
		...[...runsOfTask.values()].flatMap(runs => findOverlappingRuns(runs)),
		...getOverhangs(history).filter(({endMs}) => endMs > maxOverhangMs).map(({run, startMs, endMs}) => ({
			promise: 'ends-in-time', subject: run.task, detail: `${describeRun(run)}: ${Math.round(startMs)} to ${Math.round(endMs)} ms after its submission ended`, at: run.startedAt,
		})),
		...history.deadlyTasks.flatMap(task => findTooManyStarts(runsOfTask.get(task) ?? [])),
		...history.runs.flatMap(run => checkCapacity(run, capacities.get(run.upstream) ?? [], history.faults)),
		...[...groupBy(history.sends, ({job}) => job).values()].flatMap(sends => [
			...checkJob(sends, runsOfJob.get(sends[0].job) ?? []),
			...checkFailures(sends, runsOfJob.get(sends[0].job) ?? [], history.deadlyTasks),
		]),
		...history.sends.flatMap(submission => [...checkAnswer(submission), ...checkPlannedStop(submission, history.faults, runsOfJob.get(submission.job) ?? [])]),
		...history.changedSpecs.map(({task, at, spec}) => ({
			promise: 'same-spec', subject: task, detail: `started with ${JSON.stringify(spec)}`, at,
		})),
		...history.ends.filter(({wasTold}) => !wasTold).map(({vm, how, at}) => ({
			promise: 'ends-when-told', subject: vm, detail: how, at,
		})),
		...history.recoveries.flatMap(recovery => checkRecovery(recovery, history.faults)),
	].toSorted((a, b) => a.at - b.at);
}

/** A run that went on after the submission had ended that it was started for; both times count from that end, in milliseconds. */
export type Overhang = {readonly run: TaskRun; readonly startMs: number; readonly endMs: number};

/**
 * Gets the runs that went on after the submission before them had ended and the caller was about to submit again.
 * @param history - Observations of the soak.
 */
export function getOverhangs({sends, runs}: SoakHistory): readonly Overhang[] {
	const sendsOfJob = groupBy(sends, ({job}) => job);
	const observedUntil = Math.max(...sends.map(({endedAt}) => endedAt));
	return runs.flatMap(run => {
		const earlier = (sendsOfJob.get(run.task.split('.')[0]!) ?? []).filter(({sentAt}) => sentAt <= run.startedAt);
		const last = earlier.toSorted((a, b) => a.sentAt - b.sentAt).at(-1);
		const isOver = last !== undefined && (last.end !== 'answered' || resubmittedStatuses.has(last.status!));
		const endMs = (run.endedAt ?? observedUntil) - (last?.endedAt ?? 0);
		return isOver && endMs > 0 ? [{run, startMs: run.startedAt - last.endedAt, endMs}] : [];
	});
}

/**
 * Gets the time from which the recovery time counts: the end of the faults or, when later, of a stall of the stand-ins
 * that ended before service returned.
 * @param recovery - Recovery of a VM.
 * @param faults - Faults and stalls of the soak.
 */
export function getRecoveryStart({from, servedAt = Infinity}: Recovery, faults: readonly AppliedFault[]): number {
	return Math.max(from, ...faults.filter(({kind, until}) => kind === stallKind && until <= servedAt).map(({until}) => until));
}

function checkRecovery(recovery: Recovery, faults: readonly AppliedFault[]): Violation[] {
	const {vm, from, servedAt} = recovery;
	const isInTime = servedAt !== undefined && servedAt - getRecoveryStart(recovery, faults) <= maxRecoveryMs;
	return isInTime
		? []
		: [{
			promise: 'recovery', subject: vm, detail: servedAt === undefined ? 'not served' : `served after ${Math.round(servedAt - from)} ms`, at: from,
		}];
}

/** Finds runs of a task that overlap in time. */
function findOverlappingRuns(runs: readonly TaskRun[]): Violation[] {
	const sorted = runs.toSorted((a, b) => a.startedAt - b.startedAt);
	return sorted.flatMap((later, position) => sorted.slice(0, position)
		.filter(({endedAt = Infinity}) => later.startedAt < endedAt)
		.map(earlier => ({
			promise: 'one-run', subject: later.task, detail: `${describeRun(earlier)}, ${describeRun(later)}`, at: later.startedAt,
		})));
}

/** Finds a task that crashes its upstreams and is started on and on. */
function findTooManyStarts(runs: readonly TaskRun[]): Violation[] {
	const crashes = runs.filter(({isEndedByCrash}) => isEndedByCrash).map(({endedAt}) => endedAt!).toSorted((a, b) => a - b);
	const countedFrom = crashes[countedCrashes - 1] ?? Infinity;
	const further = runs.filter(({startedAt}) => startedAt > countedFrom).toSorted((a, b) => a.startedAt - b.startedAt);
	const tooMany = further[tooManyStarts - 1];
	return tooMany === undefined
		? []
		: [{
			promise: 'given-up', subject: tooMany.task, detail: `${describeRun(tooMany)}, ${further.length} starts after ${countedCrashes} crashes`, at: tooMany.startedAt,
		}];
}

/** Finds a start that brings an upstream over all capacities that its entry has shown for a while. */
function checkCapacity(run: TaskRun, capacities: readonly ListedCapacity[], faults: readonly AppliedFault[]): Violation[] {
	const {startedAt, usedCpu} = run;
	const shown = capacities.filter(({at}) => at <= startedAt);
	const firstPosition = shown.findLastIndex(({at}) => at <= startedAt - capacityGraceMs);
	const isExceeded = shown.length > 0 && shown.slice(Math.max(0, firstPosition)).every(({cpu}) => usedCpu > cpu);
	const isExcused = (): boolean => faults.some(({kind, at, until}) => capacityExcuses.has(kind) && at <= startedAt && until >= startedAt - excuseWindowMs);
	return !isExceeded || isExcused()
		? []
		: [{
			promise: 'within-capacity', subject: run.task, detail: `${describeRun(run)} uses ${usedCpu} of ${shown.at(-1)!.cpu}`, at: startedAt,
		}];
}

/** Finds a job that could be done and was answered as failed. */
function checkFailures(sends: readonly Submission[], runs: readonly TaskRun[], deadlyTasks: readonly string[]): Violation[] {
	const failed = sends.find(({state}) => state === 'failed');
	const crashesByTask = groupBy(runs.filter(({isEndedByCrash}) => isEndedByCrash), ({task}) => task);
	const looksDeadly = [...crashesByTask.values()].some(crashes => crashes.length >= givenUpCrashes && crashes.some(({crashedBy}) => crashedBy === undefined));
	const hasCause = looksDeadly || runs.some(({end}) => end === 'failed') || deadlyTasks.some(task => task.startsWith(`${sends[0]!.job}.`));
	return failed === undefined || hasCause
		? []
		: [{
			promise: 'failed-for-cause', subject: failed.job, detail: runs.map(run => describeRun(run)).join(', '), at: failed.endedAt,
		}];
}

function describeRun({number, upstream, startedAt, endedAt, end, isEndedByCrash}: TaskRun): string {
	const until = endedAt === undefined ? '?' : Math.round(endedAt);
	return `run ${number} on ${upstream} from ${Math.round(startedAt)} to ${until} ${isEndedByCrash ? 'crashed' : end ?? ''}`;
}

function checkJob(sends: readonly Submission[], runs: readonly TaskRun[]): Violation[] {
	const {job, taskCount} = sends[0]!;
	const [first] = runs;
	const wasRefused = sends.every(({end, status}) => end === 'answered' && refusalStatuses.has(status!));
	const startedAfterRefusal = wasRefused && first
		? [{
			promise: 'refused-not-run', subject: job, detail: describeRun(first), at: first.startedAt,
		}]
		: [];
	const doneTaskCount = new Set(runs.filter(({end}) => end === 'done').map(({task}) => task)).size;
	const falselyCompleted = sends.filter(({state}) => state === 'completed' && doneTaskCount < taskCount).map(({endedAt}) => ({
		promise: 'answer-true', subject: job, detail: `completed with ${doneTaskCount} of ${taskCount} tasks done`, at: endedAt,
	}));
	return [...startedAfterRefusal, ...falselyCompleted];
}

function checkAnswer({job, vm, end, status, state, endedAt}: Submission): Violation[] {
	const isValid = end !== 'cut' && (end !== 'answered' || (knownStatuses.has(status!) && (status !== 200 || knownStates.has(state ?? ''))));
	return isValid
		? []
		: [{
			promise: 'answer-whole', subject: job, detail: `${vm}: ${end} ${status ?? ''} ${state ?? ''}`, at: endedAt,
		}];
}

/** Finds a request that a stopping process had received and that ended without an answer, when no other fault explains it. */
function checkPlannedStop({job, vm, end, sentAt, endedAt}: Submission, faults: readonly AppliedFault[], runs: readonly TaskRun[]): Violation[] {
	const stop = faults.find(fault => fault.kind === plannedStopKind && fault.target === vm && endedAt >= fault.at && sentAt <= Math.min(fault.until, fault.at + maxPlannedStopMs));
	const wasReceived = endedAt - sentAt > maxUnreadMs || runs.some(({startedAt}) => startedAt >= sentAt && startedAt <= endedAt);
	const isExcused = faults.some(({kind, at, until}) => kind !== plannedStopKind && at <= endedAt && until >= sentAt - excuseWindowMs);
	return end !== 'broken' || stop === undefined || !wasReceived || isExcused
		? []
		: [{
			promise: 'stop-breaks-nothing', subject: job, detail: `${vm}: broken off ${Math.round(endedAt - sentAt)} ms after it was sent, ${Math.round(endedAt - stop.at)} ms after the signal`, at: endedAt,
		}];
}
