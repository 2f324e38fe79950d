/**
 * Generates a seeded sequence of job arrivals, the same for every policy of a run.
 */
import {createSeededRandom, type Random} from '../../src/seams/index.js';

/** Arrival pattern: constant rate, bursts, half of the jobs cancelled, or sizes that do not predict the work. */
export type Scenario = 'steady' | 'bursts' | 'cancels' | 'lying';

/** A job of the workload. */
export type WorkloadJob = {
	readonly id: string;
	/** Arrival time in milliseconds from the start of the run. */
	readonly arrivesAt: number;
	/** Random number from 0 to 1 that selects the entry VM. */
	readonly entryVmDraw: number;
	readonly team: string;
	readonly isIdempotent: boolean;
	/** Durations of the tasks in milliseconds. */
	readonly taskMs: readonly number[];
	/** Time of the caller's cancellation in milliseconds from the start of the run; `undefined` for none. */
	readonly cancelsAt: number | undefined;
};

/** Options of the workload. */
export type WorkloadOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Utilization of the slots, from 0 to 1. */
	readonly load: number;
	readonly slots: number;
	readonly scenario: Scenario;
};

const meanTaskMs = 250;
/** Standard deviation of the logarithm of task durations. */
const taskSigma = 0.6;

/** Standard deviation of the logarithm of a job's mean task duration in the `lying` scenario. */
const lyingJobSigma = 1;

/** Fractions of the jobs and their ranges of task counts. */
const jobSizes = [
	{part: 0.6, min: 1, max: 4},
	{part: 0.33, min: 5, max: 34},
	{part: 0.07, min: 40, max: 199},
] as const;

/** Arrival rate during a burst as a multiple of the rate between bursts, which is lowered so that the mean load stays the same. */
const burstFactor = 10;
const burstPeriodMs = 10_000;
const burstDurationMs = 300;

const cancelPeriodMs = 5000;
const cancelledPart = 0.5;

/** Teams and their fractions of the arrivals. */
export const teams = [
	{name: 'ledger', part: 0.55},
	{name: 'desk', part: 0.25},
	{name: 'court', part: 0.15},
	{name: 'clinic', part: 0.05},
] as const;

/**
 * Creates the jobs of a run in order of arrival.
 * @param options - Options of the workload.
 */
export function createWorkload(options: WorkloadOptions): readonly WorkloadJob[] {
	const random = createSeededRandom(options.seed);
	const jobsPerMs = options.load * options.slots / meanTaskMs / getMeanJobSize();
	const jobs: WorkloadJob[] = [];
	let now = 0;
	while (now < options.durationMs) {
		now += drawExponential(random) / (jobsPerMs * getRateFactor(now, options.scenario));
		jobs.push(createJob(random, jobs.length, now, options.scenario));
	}

	return jobs;
}

function createJob(random: Random, index: number, arrivesAt: number, scenario: Scenario): WorkloadJob {
	const size = drawSize(random);
	const scale = scenario === 'lying' ? drawLogNormal(random, 1, lyingJobSigma) : 1;
	const isCancelled = scenario === 'cancels' && random.getFloat() < cancelledPart;
	const nextCancelAt = (Math.floor(arrivesAt / cancelPeriodMs) + 1) * cancelPeriodMs;
	return {
		id: `job-${index}`,
		arrivesAt,
		entryVmDraw: random.getFloat(),
		team: drawTeam(random),
		isIdempotent: random.getFloat() < 0.5,
		taskMs: Array.from({length: size}, () => drawLogNormal(random, meanTaskMs * scale, taskSigma)),
		cancelsAt: isCancelled ? nextCancelAt : undefined,
	};
}

function getMeanJobSize(): number {
	return jobSizes.reduce((sum, {part, min, max}) => sum + (part * (min + max) / 2), 0);
}

function getRateFactor(now: number, scenario: Scenario): number {
	if (scenario !== 'bursts') {
		return 1;
	}

	const burstPart = burstDurationMs / burstPeriodMs;
	const quietFactor = 1 / (1 + (burstPart * (burstFactor - 1)));
	return now % burstPeriodMs < burstDurationMs ? burstFactor * quietFactor : quietFactor;
}

function drawSize(random: Random): number {
	let remaining = random.getFloat();
	for (const {part, min, max} of jobSizes) {
		if (remaining < part) {
			return min + Math.floor(random.getFloat() * (max - min + 1));
		}

		remaining -= part;
	}

	return 1;
}

function drawTeam(random: Random): string {
	let remaining = random.getFloat();
	for (const {name, part} of teams) {
		if (remaining < part) {
			return name;
		}

		remaining -= part;
	}

	return teams[0].name;
}

function drawExponential(random: Random): number {
	return -Math.log(1 - random.getFloat());
}

function drawLogNormal(random: Random, mean: number, sigma: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) * Math.cos(2 * Math.PI * random.getFloat());
	return mean * Math.exp((sigma * normal) - (sigma * sigma / 2));
}
