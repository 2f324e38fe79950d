/**
 * Examination of the runs of a process's pool that take long, and what is learnt from those that end.
 */
import {type InputProgress} from '../connection/index.js';
import {
	decideOverdue, type DurationEstimator, getRemainingMs, getRunNats, hasSpeedChanged, isLate, isOverdue, learnSpeed, type ObservedRun, type OverdueDecision,
} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {hasColdStart, isWithinColdSlack} from './cold-upstreams.js';
import {getJob} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {OverdueCounts} from './overdue-counts.js';
import {OwnLateness} from './own-lateness.js';
import {type QueuedJob, type JobTask} from './queued-job.js';
import {isSuspicious, recordFailure, recordSuccess} from './upstream-health.js';
import {type LinkedRun, type RunExpectation, UpstreamLink} from './upstream-link.js';

/** Options of {@link OverdueRuns}. */
export type OverdueRunsOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Up to when this process has read its input. */
	readonly inputProgress: InputProgress;
	readonly estimator: DurationEstimator;
	/** Interval at which the runs are examined, in milliseconds. */
	readonly intervalMs: number;
	/** Whether runs are stopped on evidence against their upstream; otherwise by multiples of their expected duration. */
	readonly stopsByEvidence: boolean;
	/** Whether the slowness of upstreams is learnt by their durations relative to the route's; otherwise it is a running mean. */
	readonly learnsDurations: boolean;
	/** Counts the decisions; by default, only those made here. */
	readonly overdueCounts?: OverdueCounts;
};

/** Route under which the durations of lent runs are learnt: the borrower tells what it expects, but not the route. */
const lentRoute = '';

/** Share of its age after which a late run is examined again: the odds hardly change within less, and each examination compares all runs of the upstream. */
const reexaminationShare = 0.1;

/** Examines runs that take long. */
export class OverdueRuns {
	readonly #options: OverdueRunsOptions;
	readonly #lateness: OwnLateness;
	readonly #counts: OverdueCounts;

	constructor(options: OverdueRunsOptions) {
		this.#options = options;
		this.#counts = options.overdueCounts ?? new OverdueCounts();
		this.#lateness = new OwnLateness(options.intervalMs, options.clock.getMonotonicTime());
	}

	/** Records that the timer has called that examines the runs, by which times are known in which this process was held. */
	recordSweep(): void {
		this.#lateness.check(this.#options.clock.getMonotonicTime());
	}

	/**
	 * Creates what is kept of a run's expected duration.
	 * @param job - Job.
	 * @param task - Task.
	 */
	createExpectation(job: QueuedJob, task: JobTask): RunExpectation {
		const {estimateMs} = job.getStep(task);
		return {
			durations: this.#options.estimator.getDurations(job.request.rules.route),
			getExpectation: () => ({estimateMs, siblingMs: job.getSiblingMs(task)}),
		};
	}

	/**
	 * Gets the slowness of an upstream up to which a task is expected to end by the objective of its job.
	 * @param job - Job.
	 * @param task - Task.
	 * @returns Slowness; `undefined` if speeds are not learnt.
	 */
	getMaxSlowness(job: QueuedJob, task: JobTask): number | undefined {
		if (!this.#options.learnsDurations) {
			return undefined;
		}

		const durations = this.#options.estimator.getDurations(job.request.rules.route);
		const remainingMs = job.objectiveAt - this.#options.clock.getMonotonicTime();
		return remainingMs / durations.getLikelyMs({estimateMs: job.getStep(task).estimateMs, siblingMs: job.getSiblingMs(task)});
	}

	/**
	 * Gets for how much longer a run goes on, in milliseconds.
	 * @param link - Its upstream.
	 * @param run - Run.
	 * @param quantile - Share of such runs that take no longer, from 0 to 1: 0.5 for the typical time, others for its spread.
	 * @returns Time from now; `undefined` if nothing is known of the run, which is one of an earlier owner.
	 */
	getRemainingMs(link: UpstreamLink, run: LinkedRun, quantile: number): number | undefined {
		if (run.expectation === undefined) {
			return undefined;
		}

		const {durations, getExpectation} = run.expectation;
		const {slowness} = link.speed;
		return getRemainingMs({
			durations, expectation: getExpectation(), ageMs: this.#options.clock.getMonotonicTime() - run.startedAt, slowness,
		}, quantile);
	}

	/**
	 * Creates what is kept of the expected duration of another pool's run.
	 * @param expectedMs - What the borrower expects, in milliseconds.
	 */
	createLentExpectation(expectedMs: number): RunExpectation {
		return {durations: this.#options.estimator.getDurations(lentRoute), getExpectation: () => ({estimateMs: expectedMs, siblingMs: 0})};
	}

	/**
	 * Records what a run that is done shows of its upstream.
	 * @param link - Upstream.
	 * @param run - Run.
	 * @param referenceMs - Duration with which it is compared if speeds are not learnt, in milliseconds.
	 * @returns Its duration on an upstream of average speed, in milliseconds.
	 */
	recordDone(link: UpstreamLink, run: LinkedRun, referenceMs: number): number {
		const now = this.#options.clock.getMonotonicTime();
		const measuredMs = now - run.startedAt;
		if (hasColdStart(link, run)) {
			recordSuccess(link);
			return measuredMs;
		}

		recordSuccess(link, this.#options.learnsDurations ? undefined : measuredMs / Math.max(1, referenceMs));
		if (run.expectation === undefined) {
			return measuredMs / link.speed.slowness;
		}

		const observed = this.#observe(link, run, run.expectation, {now, unreadMs: 0});
		const {durations, expectation, ageMs} = observed;
		const slowness = link.speed.cautiousSlowness;
		if (isLate(observed, slowness)) {
			link.lateNats += getRunNats(observed, slowness);
		} else {
			link.lateNats = 0;
			link.faultProbability = 0;
			link.normalEndAt = now;
		}

		const workMs = ageMs / link.speed.slowness;
		const earlier = link.speed;
		link.speed = learnSpeed(earlier, durations.compare(expectation, ageMs));
		if (hasSpeedChanged(earlier, link.speed)) {
			this.#options.log.info({upstream: link.name, slowness: round(link.speed.slowness), earlierSlowness: round(earlier.slowness)}, 'upstream changed its speed');
		}

		if (this.#options.learnsDurations) {
			link.slowness = link.speed.slowness;
		}

		durations.add(expectation, workMs);
		return workMs;
	}

	/**
	 * Examines the runs of a job.
	 * @param job - Job.
	 * @param now - Monotonic time.
	 */
	examineJob(job: QueuedJob, now: number): void {
		for (const task of job.tasks) {
			const {host, run} = task;
			if (run !== undefined && job.hasNewDuration) {
				run.lateAt = 0;
			}

			if (host === undefined || run === undefined || now < run.lateAt || run.isStopRequested || run.state !== 'running' || host.isSilent()) {
				continue;
			}

			if (!this.#options.stopsByEvidence) {
				this.#stopByMultiples(job, task, now);
			} else if (host instanceof UpstreamLink && this.examineRun(host, run, now, job.deadlineAt - now)) {
				// The owners of other pools examine their upstreams' runs themselves.
				task.avoided = new Set([...task.avoided, host.name]);
				host.stop(run);
			}
		}

		job.hasNewDuration = false;
	}

	/**
	 * Decides whether another pool's run is stopped.
	 * @param link - Upstream.
	 * @param run - Run.
	 */
	shouldStopLent(link: UpstreamLink, run: LinkedRun): boolean {
		return this.#options.stopsByEvidence && !run.isStopRequested && run.state === 'running' && !link.isSilent() && this.examineRun(link, run, this.#options.clock.getMonotonicTime(), Infinity);
	}

	/**
	 * Gets whether there is evidence here that an upstream is at fault, or whether none is asked for.
	 * @param link - Upstream.
	 */
	isEvident(link: UpstreamLink): boolean {
		return !this.#options.stopsByEvidence || link.consecutiveFailures > 0;
	}

	/**
	 * Decides whether a run is stopped, and records the failure of its upstream if it is at fault.
	 * @param link - Upstream.
	 * @param run - Run.
	 * @param now - Monotonic time.
	 * @param remainingMs - Time until the caller stops waiting, in milliseconds; `Infinity` if that is not known.
	 */
	examineRun(link: UpstreamLink, run: LinkedRun, now: number, remainingMs: number): boolean {
		const {log, inputProgress} = this.#options;
		if (run.expectation === undefined || !this.#mayBeLate(link, run, run.expectation, now)) {
			return false;
		}

		run.lateAt = now + ((now - run.startedAt) * reexaminationShare);
		const {estimateMs, siblingMs} = run.expectation.getExpectation();
		if (isWithinColdSlack(link, run, {ageMs: now - run.startedAt, expectedMs: estimateMs, siblingMs})) {
			return false;
		}

		let decision = this.#decide(link, run, {remainingMs, now, unreadMs: 0});
		const unreadMs = now - inputProgress.getReadUntil();
		if (unreadMs > 0 && (decision.verdict === 'stop' || decision.verdict === 'too-late')) {
			// Its end may have arrived and not been read.
			void inputProgress.waitUntilRead();
			decision = this.#decide(link, run, {remainingMs, now, unreadMs});
		}

		const {verdict, observed, faultProbability} = decision;
		if (isSuspicious(faultProbability) && !isSuspicious(link.faultProbability)) {
			// Shows whether anything listens there yet, and the progress of the runs.
			void link.pollImmediately();
			log.info({
				upstream: link.name, faultProbability: round(faultProbability), task: run.task, run: run.number, ageMs: Math.round(observed.ageMs), slowness: round(link.speed.slowness),
			}, 'upstream suspected');
		}

		link.faultProbability = faultProbability;
		if (verdict === 'not-late' || run.verdict === verdict) {
			return false;
		}

		run.verdict = verdict;
		this.#counts.add(verdict);
		log[verdict === 'long-task' ? 'debug' : 'info']({
			task: run.task, run: run.number, upstream: link.name, verdict, ageMs: Math.round(observed.ageMs), heldMs: Math.round(now - run.startedAt - observed.ageMs),
			...observed.expectation, slowness: round(link.speed.slowness), faultProbability: round(faultProbability),
			normalEndMsAgo: Math.round(now - link.normalEndAt), newRunMs: Math.round(decision.newRunMs), remainingMs: Math.round(remainingMs),
		}, verdict === 'stop' ? 'run overdue' : 'run late');
		if (verdict !== 'long-task' && verdict !== 'proceeds') {
			recordFailure(link, now, log);
		}

		if (verdict !== 'stop') {
			return false;
		}

		link.lateNats += getRunNats(observed, link.speed.cautiousSlowness);
		return true;
	}

	/** Stops a run by multiples of what was expected, as before evidence was used. */
	#stopByMultiples(job: QueuedJob, task: JobTask, now: number): void {
		const {host, run} = task;
		const age = {ageMs: now - run!.startedAt, expectedMs: job.getExpectedMs(task), siblingMs: job.longestRunMs};
		if (isOverdue(age) && !isWithinColdSlack(host!, run!, age)) {
			this.#counts.add('stop');
			this.#options.log.info({task: task.name, upstream: host!.name, ...age}, 'run overdue');
			task.avoided = new Set([...task.avoided, host!.name]);
			if (host instanceof UpstreamLink) {
				recordFailure(host, now, this.#options.log);
			}

			host!.stop(run!, true);
		}
	}

	/** Gets whether a run may be late, and keeps the time from which it may be, as it is examined many times. */
	#mayBeLate({speed}: UpstreamLink, run: LinkedRun, {durations, getExpectation}: RunExpectation, now: number): boolean {
		if (now >= run.lateAt) {
			run.lateAt = run.startedAt + (durations.getLateMs(getExpectation()) * speed.cautiousSlowness);
		}

		return now >= run.lateAt;
	}

	#decide(link: UpstreamLink, run: LinkedRun, {remainingMs, now, unreadMs}: {readonly remainingMs: number; readonly now: number; readonly unreadMs: number}): OverdueDecision & {readonly observed: ObservedRun} {
		const runs: ObservedRun[] = [];
		for (const other of link.getRuns()) {
			if (other.expectation !== undefined && !other.isStopRequested && other.state === 'running' && !hasColdStart(link, other)) {
				runs.push(this.#observe(link, other, other.expectation, {now, unreadMs}));
			}
		}

		const observed = this.#observe(link, run, run.expectation!, {now, unreadMs});
		return {...decideOverdue(observed, {slowness: link.speed.cautiousSlowness, endedNats: link.lateNats, runs}, remainingMs), observed};
	}

	/** Gets a run with its age as far as this process would know its end, less the times in which it was held. */
	#observe(link: UpstreamLink, run: LinkedRun, {durations, getExpectation}: RunExpectation, {now, unreadMs}: {readonly now: number; readonly unreadMs: number}): ObservedRun {
		const expectation = getExpectation();
		const ageMs = Math.max(0, now - run.startedAt - Math.max(this.#lateness.getHeldMsSince(run.startedAt, now), unreadMs));
		return {
			durations, expectation, ageMs, earlierAgeMs: ageMs - (now - link.normalEndAt), progress: run.progress, job: getJob(run.task),
		};
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
