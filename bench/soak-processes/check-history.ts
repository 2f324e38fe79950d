/**
 * Checks what was seen in a soak of processes against the promises to callers and upstreams.
 */
import {
	type AppliedFault, groupBy, plannedStopKind, type Recovery, type Submission, type SoakHistory, type TaskRun, stallKind,
} from './history.js';

/** A promise that was broken. */
export type Violation = {readonly promise: string; readonly subject: string; readonly detail: string; readonly at: number};

/** Time before a request in which a fault excuses that a planned stop breaks it off, in milliseconds; the pages' `contact_ms`. */
const contactMs = 3000;

/** Time after its last byte in which a request may be broken off that was not passed on, in milliseconds; the pages' `loss_slack_ms`. */
const lossSlackMs = 200;

/** Time after the stop signal that belongs to a planned stop, in milliseconds: the pages' `grace_s` and 1 s. */
const stopSpanMs = 7000;

/** Time in which normal service returns, in milliseconds. */
export const maxRecoveryMs = 15_000;

const refusals = new Set([429, 503]);
const knownStatuses = new Set([200, 404, 429, 502, 503, 504]);
const states = new Set(['completed', 'failed']);

/** Gets the broken promises of a history. */
export function checkHistory(history: SoakHistory): readonly Violation[] {
	const runsOfTask = groupBy(history.runs, ({task}) => task);
	const runsOfJob = groupBy(history.runs, ({task}) => task.split('.')[0]!);
	return [
		...[...runsOfTask.values()].flatMap(runs => findDoubleRuns(runs)),
		...[...groupBy(history.sends, ({job}) => job).values()].flatMap(sends => checkJob(sends, runsOfJob.get(sends[0]!.job) ?? [])),
		...history.sends.flatMap(send => [...checkAnswer(send), ...checkPlannedStop(send, history.faults, runsOfJob.get(send.job) ?? [])]),
		...history.ends.filter(({wasTold}) => !wasTold).map(({vm, how, at}) => ({
			promise: 'ends-when-told', subject: vm, detail: how, at,
		})),
		...history.recoveries.flatMap(recovery => checkRecovery(recovery, history.faults)),
	].toSorted((a, b) => a.at - b.at);
}

/** Gets the time from which normal service is due: the end of the faults, and of a stall of the stand-ins after them. */
export function getRecoveryStart({from, servedAt = Infinity}: Recovery, faults: readonly AppliedFault[]): number {
	return Math.max(from, ...faults.filter(({kind, until}) => kind === stallKind && until <= servedAt).map(({until}) => until));
}

function checkRecovery(recovery: Recovery, faults: readonly AppliedFault[]): Violation[] {
	const {vm, from, servedAt} = recovery;
	const isKept = servedAt !== undefined && servedAt - getRecoveryStart(recovery, faults) <= maxRecoveryMs;
	return isKept
		? []
		: [{
			promise: 'recovery', subject: vm, detail: servedAt === undefined ? 'not served' : `served after ${Math.round(servedAt - from)} ms`, at: from,
		}];
}

/** Two runs of a task at the same time. */
function findDoubleRuns(runs: readonly TaskRun[]): Violation[] {
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
	const wasRefused = sends.every(({end, status}) => end === 'answered' && refusals.has(status!));
	const refused = wasRefused && first
		? [{
			promise: 'refused-not-run', subject: job, detail: describeRun(first), at: first.startedAt,
		}]
		: [];
	const done = new Set(runs.filter(({end}) => end === 'done').map(({task}) => task)).size;
	const untrue = sends.filter(({state}) => state === 'completed' && done < taskCount).map(({endedAt}) => ({
		promise: 'answer-true', subject: job, detail: `completed with ${done} of ${taskCount} tasks done`, at: endedAt,
	}));
	return [...refused, ...untrue];
}

function checkAnswer({job, vm, end, status, state, endedAt}: Submission): Violation[] {
	const isWhole = end !== 'cut' && (end !== 'answered' || (knownStatuses.has(status!) && (status !== 200 || states.has(state ?? ''))));
	return isWhole
		? []
		: [{
			promise: 'answer-whole', subject: job, detail: `${vm}: ${end} ${status ?? ''} ${state ?? ''}`, at: endedAt,
		}];
}

/** A request that a stopping process read ends without an answer, with no other fault near. */
function checkPlannedStop({job, vm, end, sentAt, endedAt}: Submission, faults: readonly AppliedFault[], runs: readonly TaskRun[]): Violation[] {
	const stop = faults.find(fault => fault.kind === plannedStopKind && fault.target === vm && endedAt >= fault.at && sentAt <= Math.min(fault.until, fault.at + stopSpanMs));
	const wasRead = endedAt - sentAt > lossSlackMs || runs.some(({startedAt}) => startedAt >= sentAt && startedAt <= endedAt);
	const isExcused = faults.some(({kind, at, until}) => kind !== plannedStopKind && at <= endedAt && until >= sentAt - contactMs);
	return end !== 'broken' || stop === undefined || !wasRead || isExcused
		? []
		: [{
			promise: 'stop-breaks-nothing', subject: job, detail: `${vm}: broken off ${Math.round(endedAt - sentAt)} ms after it was sent, ${Math.round(endedAt - stop.at)} ms after the signal`, at: endedAt,
		}];
}
