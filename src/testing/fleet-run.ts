/**
 * Runs a simulated fleet and finds violations of the dispatcher's guarantees.
 */
import {createSeededRandom} from '../seams/index.js';
import {
	findEarlyRestarts, findViolations, type FleetRecord, type FleetViolation,
} from './fleet-checks.js';
import {
	createEvacuations, createFleetFaults, createHoldFaults, createUpstreamAnswerFaults, createWorkloadFaults, type FleetFault,
} from './fleet-faults.js';
import {type FleetLogLine} from './fleet-vm.js';
import {PoolFleet, type PoolFleetOptions} from './pool-fleet.js';
import {getRestartGaps, type RestartGap} from './restart-gaps.js';

/** Result of one simulation. */
export type FleetResult = FleetRecord & {
	readonly seed: number;
	readonly faults: readonly FleetFault[];
	readonly violations: readonly FleetViolation[];
	readonly logLines: readonly FleetLogLine[];
	/** Starts of tasks that had been started before, the shortest gap first. */
	readonly restartGaps: readonly RestartGap[];
};

/** Minimum number of faults of a simulation, and the period in which they begin, in milliseconds. */
const defaultFaultCount = 10;
const firstFaultMs = 2500;
const lastFaultMs = 9000;

/** Far from the offsets of the other sources of random numbers, so that neighbouring seeds share none. */
const upstreamAnswerSeedOffset = 500_000_000;
const workloadSeedOffset = 600_000_000;
const holdSeedOffset = 900_000_000;
const evacuationSeedOffset = 300_000_000;

/**
 * Gets the fault schedule of a seed.
 * @param seed - Seed.
 * @param count - Minimum number of faults.
 */
export function getFleetFaults(seed: number, count = defaultFaultCount): readonly FleetFault[] {
	return createFleetFaults(createSeededRandom(seed + 4), {count, firstMs: firstFaultMs, lastMs: lastFaultMs});
}

/**
 * Gets faults of a seed in what upstreams, their entries and their restarts tell; they are drawn apart from those of {@link getFleetFaults}.
 * @param seed - Seed.
 * @param count - Minimum number of faults.
 */
export function getUpstreamAnswerFaults(seed: number, count: number): readonly FleetFault[] {
	return createUpstreamAnswerFaults(createSeededRandom(seed + upstreamAnswerSeedOffset), {count, firstMs: firstFaultMs, lastMs: lastFaultMs});
}

/**
 * Gets faults of a seed in what tasks do to their upstreams and in what these can hold; they are drawn apart from the others.
 * @param seed - Seed.
 * @param count - Minimum number of faults.
 */
export function getWorkloadFaults(seed: number, count: number): readonly FleetFault[] {
	return createWorkloadFaults(createSeededRandom(seed + workloadSeedOffset), {count, firstMs: firstFaultMs, lastMs: lastFaultMs});
}

/**
 * Gets faults of a seed in which processes are held between two events; they are drawn apart from the others.
 * @param seed - Seed.
 * @param count - Minimum number of faults.
 */
export function getHoldFaults(seed: number, count: number): readonly FleetFault[] {
	return createHoldFaults(createSeededRandom(seed + holdSeedOffset), {count, firstMs: firstFaultMs, lastMs: lastFaultMs});
}

/**
 * Gets evacuations of a seed; they are drawn apart from the faults.
 * @param seed - Seed.
 * @param count - Minimum number of evacuations.
 */
export function getEvacuations(seed: number, count: number): readonly FleetFault[] {
	return createEvacuations(createSeededRandom(seed + evacuationSeedOffset), {count, firstMs: firstFaultMs, lastMs: lastFaultMs});
}

/** Options of a fleet beside its seed and its faults. */
export type FleetRunOptions = Pick<
	PoolFleetOptions,
	'hasLeavers' | 'hasResenders' | 'patientShare' | 'scheduling' | 'wrapConfirmation' | 'wrapEvacuated' | 'wrapMessage' | 'wrapOrders' | 'wrapProgress' | 'wrapUpstreams'
>;

/**
 * Runs a simulated fleet and checks its record.
 * @param seed - Seed of the fleet, its callers and its timing.
 * @param faults - Fault schedule; that of the seed by default.
 * @param options - Further options of the fleet.
 */
export async function runFleet(seed: number, faults = getFleetFaults(seed), options: FleetRunOptions = {}): Promise<FleetResult> {
	const fleet = new PoolFleet({seed, faults, ...options});
	await fleet.run();
	const {upstreams: {starts}, callers: {submissions}, workload: {deadlyTasks}, listedCapacities, logLines} = fleet;
	const record = {
		submissions, starts, deadlyTasks, listedCapacities, orders: fleet.getSentOrders(), evacuations: fleet.evacuations,
	};
	const restartGaps = getRestartGaps({runs: starts, submissions, logLines});
	return {
		...record, seed, faults, logLines, restartGaps, violations: [...findViolations(record), ...findEarlyRestarts(restartGaps)],
	};
}

/**
 * Removes faults one by one as long as a violation of the same rule remains.
 * @param seed - Seed.
 * @param faults - Fault schedule with a violation.
 * @param options - Further options of the fleet.
 * @returns Reduced schedule.
 */
export async function shrinkFaults(seed: number, faults: readonly FleetFault[], options: FleetRunOptions = {}): Promise<readonly FleetFault[]> {
	const {violations} = await runFleet(seed, faults, options);
	const rules = new Set(violations.map(({rule}) => rule));
	let remaining = faults;
	for (const fault of faults) {
		const candidate = remaining.filter(other => other !== fault);
		const result = await runFleet(seed, candidate, options);
		remaining = result.violations.some(({rule}) => rules.has(rule)) ? candidate : remaining;
	}

	return remaining;
}

/**
 * Describes the faults of a simulation and, for each violation, the submissions, the runs and the log lines that contain the job or
 * report a change of owners around it.
 * @param result - Result of a simulation.
 * @param limit - Maximum number of violations to describe.
 */
export function describeResult({seed, faults, violations, submissions, logLines}: FleetResult, limit = 3): string {
	const texts = [`seed ${seed}: ${violations.length} violations`, 'faults:', ...faults.map(fault => `  ${JSON.stringify(fault)}`)];
	for (const {rule, job, runs} of violations.slice(0, limit)) {
		texts.push(`${rule} ${job}`);
		for (const {vm, sentAt, endedAt, outcome} of submissions.filter(submission => submission.job === job)) {
			texts.push(`  sent to ${vm} ${sentAt.toFixed(1)}..${endedAt.toFixed(1)} ${outcome ?? 'open'}`);
		}

		for (const {task, number, upstream, startedAt, endedAt, end, isEndedByCrash, fence, used, capacity} of runs) {
			const times = `${startedAt.toFixed(1)}..${endedAt?.toFixed(1)}`;
			texts.push(`  run ${task} #${number} on ${upstream} ${times} ${isEndedByCrash ? 'crash' : end} fence ${fence} uses ${used.cpu} of ${capacity.cpu}`);
		}

		const from = Math.min(...runs.map(({startedAt}) => startedAt)) - 1500;
		const until = Math.max(...runs.map(({startedAt}) => startedAt)) + 100;
		const relevantLines = logLines.filter(({at, message, fields}) => {
			const text = JSON.stringify(fields);
			const isOwnershipChange = at > from && at < until && /pool taken|pool released|fence|upstream (?:silent|answers|added|removed)|not all pools/v.test(message);
			return text.includes(job) || isOwnershipChange;
		});
		texts.push(...relevantLines.map(({at, vm, message, fields}) => `    ${at.toFixed(1)} ${vm} ${message} ${JSON.stringify(fields)}`));
	}

	return texts.join('\n');
}
