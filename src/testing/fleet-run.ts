/**
 * One run of a simulated fleet and what is wrong with it.
 */
import {createSeededRandom} from '../seams/index.js';
import {type FleetSubmission} from './fleet-callers.js';
import {createFleetFaults, type FleetFault} from './fleet-faults.js';
import {type FleetLogLine} from './fleet-vm.js';
import {PoolFleet} from './pool-fleet.js';
import {type RecordedStart} from './simulated-upstreams.js';

/** A promise that was broken. */
export type FleetViolation = {
	readonly rule: 'double-run' | 'refused-but-started' | 'completed-but-not-done';
	readonly job: string;
	/** The runs concerned. */
	readonly runs: readonly RecordedStart[];
};

/** Result of a run. */
export type FleetResult = {
	readonly seed: number;
	readonly faults: readonly FleetFault[];
	readonly violations: readonly FleetViolation[];
	readonly submissions: readonly FleetSubmission[];
	readonly starts: readonly RecordedStart[];
	readonly logLines: readonly FleetLogLine[];
};

/** Faults of a run at least, and the time in which they begin, in milliseconds. */
const defaultFaultCount = 10;
const firstFaultMs = 2500;
const lastFaultMs = 9000;

/**
 * Gets the faults of a seed.
 * @param seed - Seed.
 * @param count - Number of faults, at least.
 */
export function getFleetFaults(seed: number, count = defaultFaultCount): readonly FleetFault[] {
	return createFleetFaults(createSeededRandom(seed + 4), {count, firstMs: firstFaultMs, lastMs: lastFaultMs});
}

/**
 * Runs a fleet and checks it.
 * @param seed - Seed of the fleet, its callers and its times.
 * @param faults - Faults; those of the seed where it is absent.
 */
export async function runFleet(seed: number, faults = getFleetFaults(seed)): Promise<FleetResult> {
	const fleet = new PoolFleet({seed, faults});
	await fleet.run();
	const {upstreams: {starts}, callers: {submissions: sends}, logLines: lines} = fleet;
	return {
		seed, faults, submissions: sends, starts, logLines: lines, violations: findViolations(starts, sends),
	};
}

/**
 * Leaves out faults one by one as long as a promise of the same kind is still broken.
 * @param seed - Seed.
 * @param faults - Faults to begin with.
 */
export async function shrinkFaults(seed: number, faults: readonly FleetFault[]): Promise<readonly FleetFault[]> {
	const {violations} = await runFleet(seed, faults);
	const rules = new Set(violations.map(({rule}) => rule));
	let left = faults;
	for (const fault of faults) {
		const fewer = left.filter(other => other !== fault);
		const result = await runFleet(seed, fewer);
		left = result.violations.some(({rule}) => rules.has(rule)) ? fewer : left;
	}

	return left;
}

function findViolations(starts: readonly RecordedStart[], sends: readonly FleetSubmission[]): readonly FleetViolation[] {
	const runsByJob = groupBy(starts, ({task}) => task.slice(0, task.indexOf('.')));
	const sendsByJob = groupBy(sends, ({job}) => job);
	return [...sendsByJob].flatMap(([job, sent]) => {
		const runs = runsByJob.get(job) ?? [];
		return [...findDoubleRuns(job, runs), ...findWrongRefusals(job, runs, sent), ...findWrongCompletions(job, runs, sent)];
	});
}

function findDoubleRuns(job: string, runs: readonly RecordedStart[]): readonly FleetViolation[] {
	return [...groupBy(runs, ({task}) => task).values()].flatMap(sameTask => sameTask.flatMap((run, position) =>
		sameTask.slice(position + 1)
			.filter(later => run.endedAt === undefined || later.startedAt < run.endedAt)
			.map(later => ({rule: 'double-run' as const, job, runs: [run, later]}))));
}

/** A job that was refused had no start, unless an earlier send may have been the cause. */
function findWrongRefusals(job: string, runs: readonly RecordedStart[], sends: readonly FleetSubmission[]): readonly FleetViolation[] {
	const refused = sends.find(({outcome}) => outcome === 'refused');
	const isFirst = refused === sends[0];
	const started = runs.filter(({startedAt}) => isFirst || sends.every(({sentAt}) => startedAt > sentAt));
	return refused !== undefined && started.length > 0 && (isFirst || started.length === runs.length) ? [{rule: 'refused-but-started', job, runs: started}] : [];
}

function findWrongCompletions(job: string, runs: readonly RecordedStart[], sends: readonly FleetSubmission[]): readonly FleetViolation[] {
	const isCompleted = sends.some(({outcome}) => outcome === 'completed');
	const done = new Set(runs.filter(({end}) => end === 'done').map(({task}) => task));
	return isCompleted && done.size < sends[0]!.taskCount ? [{rule: 'completed-but-not-done', job, runs}] : [];
}

/**
 * Describes what is wrong with a run: faults, and for each broken promise the sends, the runs and the log lines that name the job or
 * the change of owners around it.
 * @param result - Result of a run.
 * @param limit - Most promises described.
 */
export function describeResult({seed, faults, violations, submissions: sends, logLines: lines}: FleetResult, limit = 3): string {
	const texts = [`seed ${seed}: ${violations.length} broken promises`, 'faults:', ...faults.map(fault => `  ${JSON.stringify(fault)}`)];
	for (const {rule, job, runs} of violations.slice(0, limit)) {
		texts.push(`${rule} ${job}`);
		for (const {vm, sentAt, endedAt, outcome} of sends.filter(send => send.job === job)) {
			texts.push(`  sent to ${vm} ${sentAt.toFixed(1)}..${endedAt.toFixed(1)} ${outcome ?? 'open'}`);
		}

		for (const run of runs) {
			texts.push(`  run ${run.task} #${run.number} on ${run.upstream} ${run.startedAt.toFixed(1)}..${run.endedAt?.toFixed(1)} ${run.end} fence ${run.fence}`);
		}

		const from = Math.min(...runs.map(({startedAt}) => startedAt)) - 1500;
		const until = Math.max(...runs.map(({startedAt}) => startedAt)) + 100;
		const near = lines.filter(({at, message, fields}) => {
			const text = JSON.stringify(fields);
			const isOfOwners = at > from && at < until && /pool taken|pool given|fence|upstream (?:silent|answers|added|removed)|not all pools/v.test(message);
			return text.includes(job) || isOfOwners;
		});
		texts.push(...near.map(({at, vm, message, fields}) => `    ${at.toFixed(1)} ${vm} ${message} ${JSON.stringify(fields)}`));
	}

	return texts.join('\n');
}

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const group = groups.get(getKey(item)) ?? [];
		group.push(item);
		groups.set(getKey(item), group);
	}

	return groups;
}
