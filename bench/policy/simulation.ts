/**
 * Simulates one workload with one dispatcher on a virtual clock.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {type ListedUpstream} from '../../src/platform/index.js';
import {type ScheduledJob, type TaskEnd} from '../../src/process/index.js';
import {ManualClock, settlePromises} from '../../src/testing/manual-clock.js';
import {type Dispatcher} from './dispatchers.js';
import {SimulatedUpstream, type UpstreamFault} from './simulated-upstream.js';
import {type WorkloadJob} from './workload.js';

/** Result of one run. Response times are ratios to the duration of the job's longest task. */
export type RunResult = {
	readonly mean: number;
	readonly p50: number;
	readonly p99: number;
	readonly messagesPerTask: Readonly<Record<string, number>>;
	/** Fraction of the jobs that were refused or expired. */
	readonly shedPart: number;
	/** Fraction of the tasks that were abandoned. */
	readonly lostPart: number;
	/** Fraction of the jobs that failed. */
	readonly failedJobPart: number;
	/** Ratio of the highest to the lowest mean response time of a team. */
	readonly teamSpread: number;
	/** Real time that the simulation took, in milliseconds. */
	readonly wallMs: number;
};

/** Options of a run. */
export type SimulationOptions = {
	readonly jobs: readonly WorkloadJob[];
	readonly upstreamCount: number;
	readonly slots: number;
	readonly faults: readonly UpstreamFault[];
	readonly createDispatcher: (clock: ManualClock, upstreams: readonly SimulatedUpstream[]) => Dispatcher;
};

/** Time before which arriving jobs are not counted, in milliseconds. */
const warmUpMs = 5000;
const deadlineMs = 30_000;

/** Time after the last arrival until the simulation ends, in milliseconds. */
const drainMs = 60_000;

/** Scale factor of the ratios in the histogram, which records integers. */
const ratioScale = 1000;

/** Totals of the counted jobs of a run. */
type RunTotals = {
	readonly histogram: Histogram;
	readonly teams: Map<string, {sum: number; count: number}>;
	sum: number;
	tasks: number;
	lostTasks: number;
	jobs: number;
	refusedJobs: number;
	failedJobs: number;
	endedJobs: number;
};

/** Simulates a workload. */
export async function simulate(options: SimulationOptions): Promise<RunResult> {
	const startedAt = performance.now();
	const clock = new ManualClock();
	const upstreams = Array.from({length: options.upstreamCount}, (_, index) =>
		new SimulatedUpstream(`up${index}`, options.slots, options.faults[index] ?? 'none', clock));
	const byName = new Map(upstreams.map(upstream => [upstream.listed.name, upstream]));
	const dispatcher = options.createDispatcher(clock, upstreams);
	const totals = createRunTotals();
	scheduleArrivals(options.jobs, clock, job => {
		addJob({
			job, clock, dispatcher, totals, run: async (upstream, durationMs) => byName.get(upstream.name)!.run(durationMs),
		});
	});
	const end = (options.jobs.at(-1)?.arrivesAt ?? 0) + drainMs;
	while (clock.runNext(end)) {
		await settlePromises();
	}

	const result = summarize(totals, dispatcher, performance.now() - startedAt);
	await dispatcher.close();
	return result;
}

function scheduleArrivals(jobs: readonly WorkloadJob[], clock: ManualClock, arrive: (job: WorkloadJob) => void): void {
	for (const job of jobs) {
		clock.setTimer(() => {
			arrive(job);
		}, job.arrivesAt);
	}
}

/** A job with the environment in which it is simulated. */
type JobContext = {
	readonly job: WorkloadJob;
	readonly clock: ManualClock;
	readonly dispatcher: Dispatcher;
	readonly totals: RunTotals;
	readonly run: (upstream: ListedUpstream, durationMs: number) => Promise<TaskEnd>;
};

function addJob({job, clock, dispatcher, totals, run}: JobContext): void {
	const isCounted = job.arrivesAt >= warmUpMs;
	let pendingTasks = job.taskMs.length;
	let isSettled = false;
	const settleJob = (kind: 'ended' | 'failed' | 'cancelled'): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		if (isCounted && kind === 'ended') {
			addResponse(totals, job, clock.getMonotonicTime() - job.arrivesAt);
		}

		if (isCounted && kind === 'failed') {
			totals.failedJobs++;
		}
	};

	const scheduled: ScheduledJob = {
		id: job.id,
		service: 'seats',
		team: job.team,
		deadline: clock.getMonotonicTime() + deadlineMs,
		expire() {
			totals.refusedJobs += isCounted ? 1 : 0;
			settleJob('cancelled');
		},
		tasks: job.taskMs.map(durationMs => ({
			needs: {},
			isIdempotent: job.isIdempotent,
			async run(upstream) {
				const end = await run(upstream, durationMs);
				if (end.kind === 'answered') {
					pendingTasks--;
					if (pendingTasks === 0) {
						settleJob('ended');
					}
				}

				return end;
			},
			abandon() {
				totals.lostTasks += isCounted ? 1 : 0;
				settleJob('failed');
				dispatcher.removeJob(job.id);
			},
		})),
	};
	totals.jobs += isCounted ? 1 : 0;
	totals.tasks += isCounted ? job.taskMs.length : 0;
	if (!dispatcher.addJob(scheduled, job.entryVmDraw)) {
		totals.refusedJobs += isCounted ? 1 : 0;
		return;
	}

	if (job.cancelsAt !== undefined) {
		clock.setTimer(() => {
			if (!isSettled) {
				settleJob('cancelled');
				dispatcher.removeJob(job.id);
			}
		}, job.cancelsAt - job.arrivesAt);
	}
}

function addResponse(totals: RunTotals, job: WorkloadJob, responseMs: number): void {
	const ratio = responseMs / Math.max(...job.taskMs);
	totals.sum += ratio;
	totals.endedJobs++;
	totals.histogram.recordValue(Math.round(ratio * ratioScale));
	const team = totals.teams.get(job.team) ?? {sum: 0, count: 0};
	team.sum += ratio;
	team.count++;
	totals.teams.set(job.team, team);
}

function createRunTotals(): RunTotals {
	const histogram = build({highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3});
	return {
		histogram, teams: new Map(), sum: 0, tasks: 0, lostTasks: 0, jobs: 0, refusedJobs: 0, failedJobs: 0, endedJobs: 0,
	};
}

function summarize(totals: RunTotals, dispatcher: Dispatcher, wallMs: number): RunResult {
	const messages = dispatcher.getMessages();
	const means = [...totals.teams.values()].map(team => team.sum / team.count);
	return {
		mean: totals.sum / totals.endedJobs,
		p50: totals.histogram.getValueAtPercentile(50) / ratioScale,
		p99: totals.histogram.getValueAtPercentile(99) / ratioScale,
		messagesPerTask: Object.fromEntries(Object.entries(messages).map(([kind, count]) => [kind, count / Math.max(messages.starts ?? 1, 1)])),
		shedPart: totals.refusedJobs / totals.jobs,
		lostPart: totals.lostTasks / totals.tasks,
		failedJobPart: totals.failedJobs / totals.jobs,
		teamSpread: Math.max(...means) / Math.min(...means),
		wallMs,
	};
}
