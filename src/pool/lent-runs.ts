/**
 * Lent runs: runs on a pool's upstreams that belong to jobs of other pools.
 */
import {type SenderConfirmation} from '../connection/index.js';
import {chooseUpstream} from '../scheduling/index.js';
import {type Clock, sleep, type Timer} from '../seams/index.js';
import {hasColdStart, isWithinColdSlack} from './cold-upstreams.js';
import {type CrashLedger} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {type LentTask, type LendOutcome} from './lending.js';
import {type OverdueRuns} from './overdue-runs.js';
import {type ProofAges} from './proof-ages.js';
import {
	areRunsUnconfirmed, getLeaseLimit, renewalAgeMs,
} from './sender-confirmation.js';
import {recordFailure, toCandidate} from './upstream-health.js';
import {type LinkedRun, type UpstreamLink} from './upstream-link.js';
import {type Run, type RunEnd} from './upstream-orders.js';

/** Options of {@link LentRuns}. */
export type LentRunsOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Runs that failed or were lost with their upstreams. */
	readonly ledger: CrashLedger;
	/** Gets for how long the monotonic clock of this process stood still since a monotonic time, in milliseconds. */
	readonly getStoppedMsSince: (since: number) => number;
	/** Counts the ages of the proofs at starts. */
	readonly proofAges: ProofAges;
	/** Examines runs that take long. */
	readonly overdueRuns: OverdueRuns;
	/** Time after which a caller whose submission has failed submits its job again, in milliseconds. */
	readonly resendMs?: number;
};

/** Where a lent task may start, and how long it may run. */
export type LentStartOptions = {
	/** Links to the upstreams that accept new tasks. */
	readonly links: readonly UpstreamLink[];
	/** Gets whether the task respects what is reserved on an upstream; always by default. */
	readonly isUnreserved?: (link: UpstreamLink) => boolean;
	/** Aborts when the borrower disconnects; the task is then stopped. */
	readonly signal: AbortSignal;
	/** Proof that a sender of the job waits. */
	readonly confirmation: SenderConfirmation;
};

/** Run, and the function that reports its outcome to the borrower. */
type LentRun = {
	readonly run: LinkedRun;
	readonly link: UpstreamLink;
	readonly expectedMs: number;
	readonly confirmation: SenderConfirmation;
	/** Monotonic time at which the borrower was last asked for a confirmation; `-Infinity` if it was not. */
	askedAt: number;
	/** Monotonic time since which its confirmation is known to be old; `undefined` while it is not. After a pause of this process all are old at first. */
	unconfirmedSince: number | undefined;
	readonly settle: (outcome: LendOutcome) => void;
};

/** Log entry of a run that is done. */
type EndedRun = {readonly task: string; readonly run: number; readonly upstream: string; readonly ranMs: number};

/** Time for which runs that are done are gathered for one log line, in milliseconds. With a smaller value there are more lines; with a larger one more are lost when the process is killed. */
const logDelayMs = 500;

/** Maximum number of runs in one log line. */
const maxLoggedRuns = 32;

/** Interval of the checks whether recalled runs have ended, in milliseconds: a fraction of the time that a stop takes. */
const recallPollMs = 10;

/**
 * Interval at which the borrower of a run is asked for another confirmation at the earliest, in milliseconds: what it answers may be old, since it tells
 * what it knows of the sender of the job, and it asks the sender itself.
 */
const askIntervalMs = 100;

/** Interval at which the confirmations of all runs are examined, in milliseconds: a fraction of the time between the age at which they are asked for and the one at which runs are stopped. */
const sweepIntervalMs = 50;

/** Starts and stops runs for other pools, and reports their outcomes. */
export class LentRuns {
	readonly #options: LentRunsOptions;
	/** Lent runs by task. */
	readonly #runs = new Map<string, LentRun>();
	/** Runs that are done and not logged yet. */
	#ended: EndedRun[] = [];
	#logTimer: Timer | undefined;
	/** Set while there are lent runs. */
	#sweepTimer: Timer | undefined;

	constructor(options: LentRunsOptions) {
		this.#options = options;
	}

	/**
	 * Starts a task if there is free capacity now, and waits for its end.
	 * @param task - Task.
	 * @param options - Where it may start, and how long it may run.
	 */
	async start(task: LentTask, {links, isUnreserved = () => true, signal, confirmation}: LentStartOptions): Promise<LendOutcome> {
		if (signal.aborted || this.#runs.has(task.task)) {
			return {kind: 'refused', reason: 'no-room'};
		}

		const matchingLinks = links.filter(({description}) => description.service === task.service);
		const chosen = chooseUpstream(task.step, matchingLinks.filter(link => isUnreserved(link)).map(link => toCandidate(link)));
		if (chosen === undefined) {
			const fitsWhenIdle = matchingLinks.some(link => chooseUpstream(task.step, [{...toCandidate(link), free: link.description.capacity}]) !== undefined);
			return {kind: 'refused', reason: fitsWhenIdle ? 'no-room' : 'does-not-fit'};
		}

		const link = matchingLinks.find(({name}) => name === chosen.id)!;
		const now = this.#options.clock.getMonotonicTime();
		this.#options.proofAges.add('start', now - Math.min(now, confirmation.getConfirmedAt()));
		const run = link.start({
			task: task.task,
			number: task.number,
			needs: task.step.needs,
			spec: task.spec,
			getLeaseLimit: () => this.#getLeaseLimit(confirmation),
			expectation: this.#options.overdueRuns.createLentExpectation(task.expectedMs),
		});
		signal.addEventListener('abort', () => {
			link.stop(run);
		}, {once: true});
		return new Promise(resolve => {
			this.#setSweepTimer();
			this.#runs.set(task.task, {
				run, link, expectedMs: task.expectedMs, confirmation, askedAt: -Infinity, unconfirmedSince: undefined, settle: resolve,
			});
		});
	}

	/**
	 * Gets whether there are lent runs of a job.
	 * @param job - Identifier of the job.
	 */
	hasJob(job: string): boolean {
		return this.#getRunsOf(job).length > 0;
	}

	/**
	 * Gets the expected duration of a run, in milliseconds; `undefined` if it is not a lent run.
	 * @param run - Run.
	 */
	getExpectedMs(run: LinkedRun): number | undefined {
		const lent = this.#runs.get(run.task);
		return lent?.run === run ? lent.expectedMs : undefined;
	}

	/**
	 * Stops a run; its end is the outcome of `start`.
	 * @param run - Run.
	 * @param isOverdue - Whether it has exceeded its time limit, which counts as a failure of its upstream.
	 */
	stop({task, number}: Run, isOverdue: boolean): void {
		const lent = this.#runs.get(task);
		if (lent?.run.number !== number) {
			return;
		}

		if (isOverdue && hasColdStart(lent.link, lent.run)) {
			const ageMs = this.#options.clock.getMonotonicTime() - lent.run.startedAt;
			if (isWithinColdSlack(lent.link, lent.run, {ageMs, expectedMs: lent.expectedMs, siblingMs: 0})) {
				// The borrower does not know that the upstream is cold.
				return;
			}
		}

		// The lateness may be that of the borrower, or of this process.
		if (isOverdue && this.#options.overdueRuns.isEvident(lent.link)) {
			this.#addFailure(lent.link);
		}

		lent.link.stop(lent.run);
	}

	/**
	 * Stops all lent runs of a job, and resolves when they have ended.
	 * @param job - Identifier of the job.
	 */
	async recall(job: string): Promise<void> {
		const runs = this.#getRunsOf(job);
		for (const {run, link} of runs) {
			link.stop(run);
		}

		for (const {run} of runs) {
			while (this.#runs.get(run.task)?.run === run) {
				await sleep(this.#options.clock, recallPollMs);
			}
		}
	}

	/**
	 * Handles the end of a run.
	 * @param run - Run.
	 * @param end - How it ended.
	 * @returns Whether it is a lent run.
	 */
	handleRunEnded(run: LinkedRun, end: RunEnd): boolean {
		const lent = this.#runs.get(run.task);
		if (lent?.run !== run) {
			return false;
		}

		const measuredMs = this.#options.clock.getMonotonicTime() - run.startedAt;
		if (end === 'done') {
			this.#addEnded({
				task: run.task, run: run.number, upstream: lent.link.name, ranMs: Math.round(measuredMs),
			});
		} else {
			this.#options.log.info({
				task: run.task, run: run.number, upstream: lent.link.name, end, ...(end === 'lapsed' && lent.link.describeLease(run)),
			}, 'lent run ended without success');
		}

		if (end === 'done') {
			this.#options.overdueRuns.recordDone(lent.link, run, lent.expectedMs);
		} else if (end === 'failed' && !this.#options.ledger.hasFailedElsewhere(run.task, lent.link.name)) {
			this.#addFailure(lent.link);
		}

		this.#runs.delete(run.task);
		lent.settle({kind: 'ended', end});
		return true;
	}

	/**
	 * Handles the refusal of a start.
	 * @param run - Run.
	 * @returns Whether it is a lent run.
	 */
	handleRunRefused(run: LinkedRun): boolean {
		const lent = this.#runs.get(run.task);
		if (lent?.run !== run) {
			return false;
		}

		this.#runs.delete(run.task);
		lent.settle({kind: 'refused', reason: 'no-room'});
		return true;
	}

	/** Reports all lent runs as lost to their borrowers, because they are no longer tracked here. */
	close(): void {
		for (const {settle} of this.#runs.values()) {
			settle({kind: 'lost'});
		}

		this.#runs.clear();
		this.#sweepTimer?.close();
		this.#sweepTimer = undefined;
		this.#logEnded();
	}

	/** Gets the monotonic time until which a run may go on without a further confirmation. */
	#getLeaseLimit(confirmation: SenderConfirmation): number {
		const {getStoppedMsSince, resendMs} = this.#options;
		const confirmedAt = confirmation.getConfirmedAt();
		return getLeaseLimit(confirmedAt, resendMs) - getStoppedMsSince(confirmedAt);
	}

	#setSweepTimer(): void {
		this.#sweepTimer ??= this.#options.clock.setTimer(() => {
			this.#sweepTimer = undefined;
			if (this.#runs.size > 0) {
				this.#setSweepTimer();
				this.#sweep();
			}
		}, sweepIntervalMs);
	}

	/** Stops overdue runs, asks for confirmations that are old, and stops the runs whose confirmations are so old that the leases of the runs beside them are about to end. */
	#sweep(): void {
		const now = this.#options.clock.getMonotonicTime();
		for (const lent of this.#runs.values()) {
			const {run, link, confirmation} = lent;
			if (this.#options.overdueRuns.shouldStopLent(link, run)) {
				link.stop(run);
			}

			const ageMs = now - confirmation.getConfirmedAt();
			if (ageMs <= renewalAgeMs || run.isStopRequested) {
				lent.unconfirmedSince = undefined;
				continue;
			}

			lent.unconfirmedSince ??= now;
			if (areRunsUnconfirmed(ageMs, now - lent.unconfirmedSince)) {
				this.#options.log.info({
					task: run.task, run: run.number, upstream: link.name, ageMs: Math.round(ageMs),
				}, 'lent run stopped whose sender is not known to wait');
				link.stop(run);
			} else if (now - lent.askedAt >= askIntervalMs) {
				lent.askedAt = now;
				void confirmation.requestConfirmation();
			}
		}
	}

	#addEnded(run: EndedRun): void {
		this.#ended.push(run);
		if (this.#ended.length >= maxLoggedRuns) {
			this.#logEnded();
			return;
		}

		this.#logTimer ??= this.#options.clock.setTimer(() => {
			this.#logEnded();
		}, logDelayMs);
	}

	#logEnded(): void {
		this.#logTimer?.close();
		this.#logTimer = undefined;
		if (this.#ended.length > 0) {
			this.#options.log.debug({runs: this.#ended}, 'lent runs ended');
			this.#ended = [];
		}
	}

	#getRunsOf(job: string): readonly LentRun[] {
		return [...this.#runs.values()].filter(({run}) => run.task.startsWith(`${job}.`));
	}

	#addFailure(link: UpstreamLink): void {
		recordFailure(link, this.#options.clock.getMonotonicTime(), this.#options.log);
	}
}
