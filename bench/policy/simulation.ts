/**
 * Runs one workload through one dispatcher on a virtual clock.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {type ListedUpstream} from '../../src/platform/index.js';
import {type ScheduledJob, type TaskEnd} from '../../src/process/index.js';
import {ManualClock, settlePromises} from '../../src/testing/manual-clock.js';
import {type Dispatcher} from './dispatchers.js';
import {SimulatedUpstream, type UpstreamFault} from './simulated-upstream.js';
import {type WorkloadJob} from './workload.js';

/** Result of one run. */
export type RunResult = {
	readonly mean: number;
	readonly p50: number;
	readonly p99: number;
	readonly messagesPerTask: Readonly<Record<string, number>>;
	/** Part of the jobs that were refused or ran out of time. */
	readonly shedPart: number;
	/** Part of the tasks that failed for good. */
	readonly lostPart: number;
	/** Jobs that failed, of those admitted. */
	readonly failedJobPart: number;
	/** Highest mean response of a team divided by the lowest. */
	readonly teamSpread: number;
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

/** Jobs that arrive earlier are not counted, in milliseconds. */
const warmUpMs = 5000;
const deadlineMs = 30_000;

/** Time after the last arrival in which jobs may end, in milliseconds. */
const drainMs = 60_000;

/** Unit of the histograms' whole numbers. */
const ratioScale = 1000;

/** State of a run. */
type Tally = {
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

/** Runs a workload. */
export async function simulate(options: SimulationOptions): Promise<RunResult> {
	const startedAt = performance.now();
	const clock = new ManualClock();
	const upstreams = Array.from({length: options.upstreamCount}, (_, index) =>
		new SimulatedUpstream(`up${index}`, options.slots, options.faults[index] ?? 'none', clock));
	const byName = new Map(upstreams.map(upstream => [upstream.listed.name, upstream]));
	const dispatcher = options.createDispatcher(clock, upstreams);
	const tally = createTally();
	scheduleArrivals(options.jobs, clock, job => {
		addJob({
			job, clock, dispatcher, tally, run: async (upstream, durationMs) => byName.get(upstream.name)!.run(durationMs),
		});
	});
	const end = (options.jobs.at(-1)?.arrivesAt ?? 0) + drainMs;
	while (clock.runNext(end)) {
		await settlePromises();
	}

	const result = summarize(tally, dispatcher, performance.now() - startedAt);
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

/** What a job needs on its way. */
type JobRun = {
	readonly job: WorkloadJob;
	readonly clock: ManualClock;
	readonly dispatcher: Dispatcher;
	readonly tally: Tally;
	readonly run: (upstream: ListedUpstream, durationMs: number) => Promise<TaskEnd>;
};

function addJob({job, clock, dispatcher, tally, run}: JobRun): void {
	const isCounted = job.arrivesAt >= warmUpMs;
	let open = job.taskMs.length;
	let isOver = false;
	const endJob = (kind: 'ended' | 'failed' | 'cancelled'): void => {
		if (isOver) {
			return;
		}

		isOver = true;
		if (isCounted && kind === 'ended') {
			addResponse(tally, job, clock.getMonotonicTime() - job.arrivesAt);
		}

		if (isCounted && kind === 'failed') {
			tally.failedJobs++;
		}
	};

	const scheduled: ScheduledJob = {
		id: job.id,
		service: 'seats',
		team: job.team,
		deadline: clock.getMonotonicTime() + deadlineMs,
		expire() {
			tally.refusedJobs += isCounted ? 1 : 0;
			endJob('cancelled');
		},
		tasks: job.taskMs.map(durationMs => ({
			needs: {},
			isIdempotent: job.isIdempotent,
			async run(upstream) {
				const end = await run(upstream, durationMs);
				if (end.kind === 'answered') {
					open--;
					if (open === 0) {
						endJob('ended');
					}
				}

				return end;
			},
			abandon() {
				tally.lostTasks += isCounted ? 1 : 0;
				endJob('failed');
				dispatcher.removeJob(job.id);
			},
		})),
	};
	tally.jobs += isCounted ? 1 : 0;
	tally.tasks += isCounted ? job.taskMs.length : 0;
	if (!dispatcher.addJob(scheduled, job.balance)) {
		tally.refusedJobs += isCounted ? 1 : 0;
		return;
	}

	if (job.cancelsAt !== undefined) {
		clock.setTimer(() => {
			if (!isOver) {
				endJob('cancelled');
				dispatcher.removeJob(job.id);
			}
		}, job.cancelsAt - job.arrivesAt);
	}
}

function addResponse(tally: Tally, job: WorkloadJob, responseMs: number): void {
	const ratio = responseMs / Math.max(...job.taskMs);
	tally.sum += ratio;
	tally.endedJobs++;
	tally.histogram.recordValue(Math.round(ratio * ratioScale));
	const team = tally.teams.get(job.team) ?? {sum: 0, count: 0};
	team.sum += ratio;
	team.count++;
	tally.teams.set(job.team, team);
}

function createTally(): Tally {
	const histogram = build({highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3});
	return {
		histogram, teams: new Map(), sum: 0, tasks: 0, lostTasks: 0, jobs: 0, refusedJobs: 0, failedJobs: 0, endedJobs: 0,
	};
}

function summarize(tally: Tally, dispatcher: Dispatcher, wallMs: number): RunResult {
	const messages = dispatcher.getMessages();
	const means = [...tally.teams.values()].map(team => team.sum / team.count);
	return {
		mean: tally.sum / tally.endedJobs,
		p50: tally.histogram.getValueAtPercentile(50) / ratioScale,
		p99: tally.histogram.getValueAtPercentile(99) / ratioScale,
		messagesPerTask: Object.fromEntries(Object.entries(messages).map(([kind, count]) => [kind, count / Math.max(messages.starts ?? 1, 1)])),
		shedPart: tally.refusedJobs / tally.jobs,
		lostPart: tally.lostTasks / tally.tasks,
		failedJobPart: tally.failedJobs / tally.jobs,
		teamSpread: Math.max(...means) / Math.min(...means),
		wallMs,
	};
}
