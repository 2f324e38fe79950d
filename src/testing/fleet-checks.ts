/**
 * Checks the record of a simulated fleet against the dispatcher's guarantees.
 */
import {type FleetSubmission} from './fleet-callers.js';
import {groupBy} from './group-by.js';
import {findShortGaps, type RestartGap} from './restart-gaps.js';
import {type RecordedStart} from './simulated-upstreams.js';

/** Violation of a guarantee. */
export type FleetViolation = {
	readonly rule: 'double-run' | 'refused-but-started' | 'completed-but-not-done' | 'too-many-starts' | 'over-capacity' | 'innocent-failed' | 'shared-fence' | 'early-restart' | 'evacuated-start';
	/** Identifier of the job; for `shared-fence`, the upstream and the fence. */
	readonly job: string;
	/** Runs that violate the rule. */
	readonly runs: readonly RecordedStart[];
};

/** What the callers and the upstreams of a simulation have seen. */
export type FleetRecord = {
	readonly submissions: readonly FleetSubmission[];
	readonly starts: readonly RecordedStart[];
	/** Names of the tasks that crash their upstreams. */
	readonly deadlyTasks: ReadonlySet<string>;
	/** Capacities that the entries of upstreams show. */
	readonly listedCapacities: readonly ListedCapacity[];
	/** Orders by upstream, fence and process, each once. */
	readonly orders: readonly SentOrder[];
	/** Evacuations of data centres. */
	readonly evacuations: readonly FleetEvacuation[];
};

/** Evacuation of a data centre, from the write of the item to its removal, and time after the write from which nothing may be started, in milliseconds. */
export type FleetEvacuation = {readonly dataCenter: string; readonly from: number; readonly until: number; readonly boundMs: number};

/** Process of a VM that has sent an order with a fence to an upstream. */
export type SentOrder = {readonly upstream: string; readonly fence: number; readonly process: string};

/** CPU capacity that the entry of an upstream shows from a time on. */
export type ListedCapacity = {readonly upstream: string; readonly at: number; readonly cpu: number};

/** Crashes of upstreams under a task after which it may be given up. */
const givenUpCrashes = 2;

/** Crashes of upstreams under a task from which its starts are counted, and the number of further starts that is too many. */
const countedCrashes = 3;
const tooManyStarts = 3;

/** Time for which a capacity must have been listed until it limits starts, in milliseconds: that for which a VM is in contact, and an interval of the entries. */
const capacityGraceMs = 4500;

/**
 * Finds the violations in the record of a simulation.
 * @param record - Record.
 */
export function findViolations({starts, submissions, deadlyTasks, listedCapacities, orders, evacuations}: FleetRecord): readonly FleetViolation[] {
	const capacitiesByUpstream = groupBy(listedCapacities, ({upstream}) => upstream);
	const runsByJob = groupBy(starts, ({task}) => task.slice(0, task.indexOf('.')));
	const submissionsByJob = groupBy(submissions, ({job}) => job);
	const violationsOfJobs = [...submissionsByJob].flatMap(([job, submissionsOfJob]) => {
		const runs = runsByJob.get(job) ?? [];
		return [
			...findDoubleRuns(job, runs),
			...findWrongRefusals(job, runs, submissionsOfJob),
			...findWrongCompletions(job, runs, submissionsOfJob),
			...findTooManyStarts(job, runs, deadlyTasks),
			...findStartsOverCapacity(job, runs, capacitiesByUpstream),
			...findEvacuatedStarts(job, runs, evacuations),
			...(isInnocent(job, runs, deadlyTasks) ? findWrongFailures(job, runs, submissionsOfJob) : []),
		];
	});
	return [...violationsOfJobs, ...findSharedFences(orders, starts)];
}

/** Finds fences under which several processes sent orders to an upstream: it refuses none of them. */
function findSharedFences(orders: readonly SentOrder[], starts: readonly RecordedStart[]): readonly FleetViolation[] {
	const processes = groupBy(orders, ({upstream, fence}) => `fence ${fence} on ${upstream}`);
	const shared = [...processes].filter(([, ordersOfFence]) => new Set(ordersOfFence.map(({process}) => process)).size > 1);
	return shared.map(([name, [{upstream, fence}]]) => ({
		rule: 'shared-fence' as const, job: name, runs: starts.filter(start => start.upstream === upstream && start.fence === fence),
	}));
}

/**
 * Finds starts that came sooner after the end of an earlier run than their grounds allow; runs at the same time are found by {@link findViolations}.
 * @param gaps - Starts of tasks that had been started before.
 */
export function findEarlyRestarts(gaps: ReadonlyArray<RestartGap<RecordedStart>>): readonly FleetViolation[] {
	return findShortGaps(gaps).filter(({gapMs, minGapMs}) => gapMs >= 0 && minGapMs !== undefined)
		.map(({earlier, later}) => ({rule: 'early-restart', job: later.task.slice(0, later.task.indexOf('.')), runs: [earlier, later]}));
}

function findDoubleRuns(job: string, runs: readonly RecordedStart[]): readonly FleetViolation[] {
	return [...groupBy(runs, ({task}) => task).values()].flatMap(runsOfTask => runsOfTask.flatMap((run, position) =>
		runsOfTask.slice(position + 1)
			.filter(later => run.endedAt === undefined || later.startedAt < run.endedAt)
			.map(later => ({rule: 'double-run' as const, job, runs: [run, later]}))));
}

/** Finds refused jobs with started runs, unless an earlier submission of the job may have started them. */
function findWrongRefusals(job: string, runs: readonly RecordedStart[], submissions: readonly FleetSubmission[]): readonly FleetViolation[] {
	const refused = submissions.find(({outcome}) => outcome === 'refused');
	const isFirst = refused === submissions[0];
	const started = runs.filter(({startedAt}) => isFirst || submissions.every(({sentAt}) => startedAt > sentAt));
	return refused !== undefined && started.length > 0 && (isFirst || started.length === runs.length) ? [{rule: 'refused-but-started', job, runs: started}] : [];
}

function findWrongCompletions(job: string, runs: readonly RecordedStart[], submissions: readonly FleetSubmission[]): readonly FleetViolation[] {
	const isCompleted = submissions.some(({outcome}) => outcome === 'completed');
	const done = new Set(runs.filter(({end}) => end === 'done').map(({task}) => task));
	return isCompleted && done.size < submissions[0]!.taskCount ? [{rule: 'completed-but-not-done', job, runs}] : [];
}

/** Finds tasks that crash their upstreams and are started on and on, whichever owner or lender starts them. */
function findTooManyStarts(job: string, runs: readonly RecordedStart[], deadlyTasks: ReadonlySet<string>): readonly FleetViolation[] {
	return [...groupBy(runs.filter(({task}) => deadlyTasks.has(task)), ({task}) => task).values()].flatMap(runsOfTask => {
		const crashes = runsOfTask.filter(({isEndedByCrash}) => isEndedByCrash).map(({endedAt}) => endedAt!).toSorted((a, b) => a - b);
		const countedFrom = crashes[countedCrashes - 1] ?? Infinity;
		const isExceeded = runsOfTask.filter(({startedAt}) => startedAt > countedFrom).length >= tooManyStarts;
		return isExceeded ? [{rule: 'too-many-starts' as const, job, runs: runsOfTask}] : [];
	});
}

/** Finds starts that bring an upstream over all capacities that its entry has shown for a while. */
function findStartsOverCapacity(job: string, runs: readonly RecordedStart[], listed: ReadonlyMap<string, readonly ListedCapacity[]>): readonly FleetViolation[] {
	const over = runs.filter(({upstream, startedAt, used}) => {
		const shown = (listed.get(upstream) ?? []).filter(({at}) => at <= startedAt);
		const firstPosition = shown.findLastIndex(({at}) => at <= startedAt - capacityGraceMs);
		return shown.length > 0 && shown.slice(Math.max(0, firstPosition)).every(({cpu}) => used.cpu > cpu);
	});
	return over.length === 0 ? [] : [{rule: 'over-capacity', job, runs: over}];
}

/** Finds starts in a data centre that all VMs should have known to be evacuated. */
function findEvacuatedStarts(job: string, runs: readonly RecordedStart[], evacuations: readonly FleetEvacuation[]): readonly FleetViolation[] {
	const wrong = runs.filter(({upstream, startedAt}) => evacuations.some(({dataCenter, from, until, boundMs}) =>
		upstream.startsWith(`${dataCenter}-`) && startedAt > from + boundMs && startedAt < until));
	return wrong.length === 0 ? [] : [{rule: 'evacuated-start', job, runs: wrong}];
}

/**
 * Gets whether a job could be done and looked so: no task crashes its upstream, no run has failed, and under no task two upstreams have crashed of which
 * one did so without any task's fault.
 */
function isInnocent(job: string, runs: readonly RecordedStart[], deadlyTasks: ReadonlySet<string>): boolean {
	const crashesByTask = groupBy(runs.filter(({isEndedByCrash}) => isEndedByCrash), ({task}) => task);
	const looksDeadly = [...crashesByTask.values()].some(crashes => crashes.length >= givenUpCrashes && crashes.some(({crashedBy}) => crashedBy === undefined));
	return [...deadlyTasks].every(task => !task.startsWith(`${job}.`)) && runs.every(({end}) => end !== 'failed') && !looksDeadly;
}

function findWrongFailures(job: string, runs: readonly RecordedStart[], submissions: readonly FleetSubmission[]): readonly FleetViolation[] {
	return submissions.some(({outcome}) => outcome === 'failed') ? [{rule: 'innocent-failed', job, runs}] : [];
}
