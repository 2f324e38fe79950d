/**
 * Checks the history of a process soak against the guarantees to callers and upstreams.
 */
import {
	type AppliedFault, groupBy, plannedStopKind, type Recovery, type Submission, type SoakHistory, type TaskRun, stallKind,
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
	return [
		...[...runsOfTask.values()].flatMap(runs => findOverlappingRuns(runs)),
		...[...groupBy(history.sends, ({job}) => job).values()].flatMap(sends => checkJob(sends, runsOfJob.get(sends[0]!.job) ?? [])),
		...history.sends.flatMap(submission => [...checkAnswer(submission), ...checkPlannedStop(submission, history.faults, runsOfJob.get(submission.job) ?? [])]),
		...history.ends.filter(({wasTold}) => !wasTold).map(({vm, how, at}) => ({
			promise: 'ends-when-told', subject: vm, detail: how, at,
		})),
		...history.recoveries.flatMap(recovery => checkRecovery(recovery, history.faults)),
	].toSorted((a, b) => a.at - b.at);
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

function describeRun({number, upstream, startedAt, endedAt, end}: TaskRun): string {
	return `run ${number} on ${upstream} from ${Math.round(startedAt)} to ${endedAt === undefined ? '?' : Math.round(endedAt)} ${end ?? ''}`;
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
