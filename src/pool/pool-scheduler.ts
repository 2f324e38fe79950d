/**
 * The queue of one pool: which jobs are taken, where and when their tasks start, and what becomes of them.
 */
import {type Clock, type Timer} from '../seams/index.js';
import {type AdmissionDecision, decideAdmission, minRetryAfterMs} from './admission.js';
import {type DecisionLog} from './decision-log.js';
import {DurationEstimator} from './duration-estimator.js';
import {
	type LentTask, isSinglePoolJob, type LendOutcome, type LendRefusal, type NeighbourCapacity, type PoolNeighbours,
} from './lending.js';
import {LentRuns} from './lent-runs.js';
import {NeighbourPools} from './neighbour-pools.js';
import {OfferedLoad} from './offered-load.js';
import {isOverdue} from './overdue.js';
import {chooseUpstream, fits, type PlacementCandidate} from './placement.js';
import {
	getStepWork, type JobStep, type PoolJobOutcome, type RefusalReason, type SubmittedJob,
} from './pool-job.js';
import {sortByUrgency} from './queue-order.js';
import {type JobTask, QueuedJob} from './queued-job.js';
import {type RunHost} from './run-host.js';
import {addFailure, addSuccess, toCandidate} from './upstream-health.js';
import {type LinkedRun, UpstreamLink} from './upstream-link.js';
import {type OrderRefusal, type Run, type RunEnd} from './upstream-orders.js';

/** Options of {@link PoolScheduler}. */
export type PoolSchedulerOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Gets the links to the pool's upstreams. */
	readonly getLinks: () => readonly UpstreamLink[];
	/** Gets whether starts are held back, because the pool may have another owner. */
	readonly isHeldBack: () => boolean;
	/** Gets the monotonic time until which runs of a job by an earlier owner may go on where they are not seen. */
	readonly getUnseenUntil: (job: string) => number;
	/** The owners of the other pools. */
	readonly neighbours: PoolNeighbours;
	/** Time after which a run in a pool that cannot be asked any more has ended, in milliseconds. */
	readonly lostRunMs: number;
};

/** Load of a pool as its owner tells it. */
export type PoolLoad = {
	readonly cores: number;
	/** Thousandths of a core that are free for tasks of the usual size. */
	readonly freeCpu: number;
	/** Thousandths of a core that are free on each of the emptiest upstreams, the most first. */
	readonly rooms: readonly number[];
	/** Core-milliseconds of queued work. */
	readonly queuedWork: number;
};

/** A task that was started, as the log tells it: on an upstream of this pool or in another pool, with the room seen there before. */
type StartedTask = {
	readonly task: string;
	readonly run: number;
	readonly upstream?: string;
	readonly pool?: string;
	/** Thousandths of a core that were free; in another pool, what is left of the room. */
	readonly freeCpu: number;
};

/** Time between looks for overdue runs and hopeless jobs, in milliseconds: a fraction of the shortest task. */
const sweepMs = 20;

/** Share of the objective after which a job that waits is judged once more: soon enough for its caller to go elsewhere. */
const secondLookShare = 0.18;

/** Thousandths of a core of a task until something is known of a pool, and the weight of a new observation. */
const initialTaskCpu = 1000;
const taskCpuWeight = 0.05;

/** Least room that is told to other pools, in tasks of the usual size: few tasks are smaller. */
const leastRoom = 0.6;

/** Rooms that are told at most, which bounds a heartbeat to about 50 bytes for them. */
const maxRoomsTold = 16;

const afterThisTurn = Promise.resolve();

/** Time of a task until something is known of a pool, in milliseconds. */
const initialTaskMs = 200;

/** Runs the queue of one pool. */
export class PoolScheduler {
	readonly #options: PoolSchedulerOptions;
	readonly #estimator = new DurationEstimator();
	readonly #offered = new OfferedLoad();
	readonly #jobs = new Map<string, QueuedJob>();
	readonly #tasksByName = new Map<string, {readonly job: QueuedJob; readonly task: JobTask}>();
	readonly #neighbourPools: NeighbourPools;
	/** Runs for other pools. */
	readonly #lent: LentRuns;
	readonly #sweep: Timer;
	/** Thousandths of a core that a task takes on average. */
	#usualCpu = initialTaskCpu;
	#isScheduled = false;
	/** Whether tasks are being started: what that asks of others must not come back here before all of them are noted. */
	#isStarting = false;
	#isClosed = false;

	constructor(options: PoolSchedulerOptions) {
		this.#options = options;
		this.#lent = new LentRuns(options);
		this.#neighbourPools = new NeighbourPools({
			clock: options.clock,
			neighbours: options.neighbours,
			lostRunTimeoutMs: options.lostRunMs,
			events: {
				onRunEnded: (host, run, end) => {
					this.handleRunEnded(host, run, end);
				},
				onRunRefused: (host, run, reason) => {
					this.handleRunRefused(host, run, reason);
				},
			},
		});
		this.#sweep = options.clock.setRepeatingTimer(() => {
			this.#sweepJobs();
		}, sweepMs);
	}

	/** Gets the load. */
	getLoad(): PoolLoad {
		let cores = 0;
		let freeCpu = 0;
		const rooms: number[] = [];
		for (const link of this.#options.getLinks()) {
			if (link.isAcceptingStarts()) {
				cores += link.description.capacity.cpu / 1000;
				// What is left over beside tasks of the usual size takes no further one.
				const free = Math.max(0, link.getFreeCapacity().cpu);
				freeCpu += Math.floor(free / this.#usualCpu) * this.#usualCpu;
				rooms.push(free);
			}
		}

		let queuedWork = 0;
		for (const job of this.#jobs.values()) {
			queuedWork += job.isEnding ? 0 : job.remainingWork;
		}

		return {
			cores, freeCpu, rooms: rooms.filter(room => room >= this.#usualCpu * leastRoom).sort((a, b) => b - a).slice(0, maxRoomsTold), queuedWork,
		};
	}

	/** Gets whether work waits for room. */
	hasQueue(): boolean {
		for (const job of this.#jobs.values()) {
			if (!job.isEnding && job.hasWaitingTasks()) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Gets whether a job is in hand.
	 * @param id - Identifier.
	 */
	hasJob(id: string): boolean {
		return this.#jobs.has(id);
	}

	/**
	 * Gets whether upstreams list runs of a job that is not in hand, which an earlier owner left.
	 * @param id - Identifier of the job.
	 */
	hasStrayRuns(id: string): boolean {
		return !this.#jobs.has(id) && this.#options.getLinks().some(link => link.hasUnclaimed(id));
	}

	/** Gets whether jobs are in hand or tasks run for other pools. */
	hasWork(): boolean {
		return this.#jobs.size > 0 || this.#lent.hasRuns();
	}

	/** Gets the identifiers of the jobs in hand. */
	getJobs(): readonly string[] {
		return [...this.#jobs.keys()];
	}

	/** Takes over what another owner left of the jobs in hand. */
	adoptRuns(): void {
		for (const job of this.#jobs.values()) {
			if (!job.isEnding) {
				this.#adoptRuns(job);
				this.#advance(job);
			}
		}
	}

	/** Gets the number of jobs in hand. */
	getJobCount(): number {
		return this.#jobs.size;
	}

	/**
	 * Takes a job or refuses it; a copy of a job in hand joins it.
	 * @param submitted - Job.
	 * @param signal - Aborts when nobody waits any more; the job is then given up.
	 * @param isLost - Gets whether the connection of who waits was lost; no task is started while it is.
	 */
	async submit(submitted: SubmittedJob, signal?: AbortSignal, isLost = () => false): Promise<PoolJobOutcome> {
		const existing = this.#jobs.get(submitted.id);
		if (existing !== undefined) {
			return this.#join(existing, signal, isLost);
		}

		if (this.#lent.hasJob(submitted.id)) {
			return {kind: 'interrupted', reason: 'an earlier copy of the job runs here for another pool'};
		}

		const job = new QueuedJob(submitted, this.#options.clock.getMonotonicTime(), this.#estimator);
		if (submitted.priorFence > 0 || this.hasStrayRuns(submitted.id)) {
			this.#adoptRuns(job);
		}

		const decision = this.#decide(job);
		this.#options.log.info({
			job: job.req.id,
			route: job.req.rules.route,
			tasks: job.tasks.length,
			ageMs: Math.round(submitted.ageMs),
			priorFence: submitted.priorFence,
			adopted: job.tasks.filter(({run}) => run !== undefined).length,
			...decision,
		}, decision.isAdmitted ? 'job admitted' : 'job refused');
		if (!decision.isAdmitted) {
			return {kind: 'refused', reason: decision.reason, retryAfterMs: decision.retryAfterMs};
		}

		this.#jobs.set(job.req.id, job);
		this.#observeNeeds(job.req.steps[0]!);
		this.#offered.addWork(job.priority, job.remainingWork, this.#options.clock.getMonotonicTime());
		for (const task of job.tasks) {
			this.#tasksByName.set(task.name, {job, task});
		}

		if (job.isDone()) {
			this.#settle(job, {kind: 'completed'});
			return {kind: 'completed'};
		}

		const outcome = this.#join(job, signal, isLost);
		this.schedule();
		return outcome;
	}

	/** Starts what has room, at the end of this turn. */
	schedule(): void {
		if (this.#isScheduled || this.#isClosed) {
			return;
		}

		this.#isScheduled = true;
		void this.#startSoon();
	}

	/**
	 * Starts a task of another pool's job if there is room now, and waits for its end.
	 * @param task - Task.
	 * @param signal - Aborts when the borrower is gone; the task is then stopped.
	 */
	async lendRoom(task: LentTask, signal: AbortSignal): Promise<LendOutcome> {
		if (this.#isClosed || this.#isStarting || this.#options.isHeldBack()) {
			return {kind: 'refused', reason: 'no-room'};
		}

		const job = task.task.slice(0, task.task.indexOf('.'));
		if (this.#jobs.has(job) || this.hasStrayRuns(job)) {
			// A copy of a job that is in hand here, or of which an earlier owner left runs.
			return {kind: 'refused', reason: 'no-room'};
		}

		if (this.#isScheduled) {
			// Tasks of this pool's jobs that came before in this turn get their room first.
			this.#startTasks();
		}

		this.#observeNeeds(task.step);
		return this.#lent.start(task, this.#getOpenLinks(), signal);
	}

	/**
	 * Stops a run for another pool; its end comes as the outcome of `lendRoom`.
	 * @param run - Run.
	 * @param isOverdue - Whether it has taken too long.
	 */
	stopLent(run: Run, isOverdue: boolean): void {
		this.#lent.stop(run, isOverdue);
	}

	/**
	 * Stops all runs of another pool's job; resolves when none is left.
	 * @param job - Identifier of the job.
	 */
	async recallLent(job: string): Promise<void> {
		await this.#lent.recall(job);
	}

	/**
	 * Takes the end of a run.
	 * @param host - Where it ran.
	 * @param run - Run.
	 * @param end - How it ended.
	 */
	handleRunEnded(host: RunHost, run: LinkedRun, end: RunEnd): void {
		if (this.#lent.handleRunEnded(run, end)) {
			this.schedule();
			return;
		}

		const found = this.#tasksByName.get(run.task);
		if (found?.task.run !== run) {
			this.schedule();
			return;
		}

		const {job, task} = found;
		task.run = undefined;
		task.host = undefined;
		if (end === 'done') {
			this.#observe(host, job, task, run);
			job.setStatus(task, 'done');
		} else {
			job.setStatus(task, 'waiting');
			this.#handleUndone(job, task, host, end);
		}

		this.#advance(job);
		this.schedule();
	}

	/**
	 * Takes the refusal of a start.
	 * @param host - Where it was refused.
	 * @param run - Run.
	 * @param reason - Why.
	 */
	handleRunRefused(host: RunHost, run: LinkedRun, reason: OrderRefusal | LendRefusal): void {
		const found = this.#tasksByName.get(run.task);
		const fields = {
			task: run.task, run: run.number, upstream: host.name, reason,
		};
		if (host instanceof UpstreamLink) {
			this.#options.log.info(fields, 'start refused');
		} else {
			// Room elsewhere is often gone when a task comes for it; there may be hundreds of these a second.
			this.#options.log.debug(fields, 'start refused by another pool');
		}

		if (reason === 'unhealthy') {
			this.#addFailure(host);
		}

		if (this.#lent.handleRunRefused(run)) {
			this.schedule();
			return;
		}

		if (found?.task.run === run) {
			const {task} = found;
			task.run = undefined;
			task.host = undefined;
			if (reason === 'does-not-fit') {
				task.avoided.add(host.name);
			}

			found.job.setStatus(task, 'waiting');
			this.#advance(found.job);
		}

		this.schedule();
	}

	/** Gives up all jobs, because another entry VM owns the pool now or this one ends; those who wait are told so. */
	close(): void {
		this.#isClosed = true;
		this.#sweep.close();
		for (const job of this.#jobs.values()) {
			job.settle({kind: 'moved', hasStarted: job.hasStarted});
		}

		this.#jobs.clear();
		this.#tasksByName.clear();
		this.#lent.close();
		this.#neighbourPools.close();
	}

	/** Starts what has room after this turn; a promise costs less than `queueMicrotask`, which keeps an asynchronous context for each call. */
	async #startSoon(): Promise<void> {
		await afterThisTurn;
		this.#isScheduled = false;
		if (!this.#isClosed && !this.#options.isHeldBack()) {
			this.#startTasks();
			this.#options.neighbours.publishLoad();
		}
	}

	#observeNeeds({needs}: JobStep): void {
		this.#usualCpu += (Math.max(1, needs.cpu) - this.#usualCpu) * taskCpuWeight;
	}

	async #join(job: QueuedJob, signal: AbortSignal | undefined, isLost: () => boolean): Promise<PoolJobOutcome> {
		if (job.isEnding) {
			return {kind: 'interrupted', reason: 'the job is being stopped'};
		}

		return new Promise(resolve => {
			const listener = (outcome: PoolJobOutcome): void => {
				signal?.removeEventListener('abort', leave);
				resolve(outcome);
			};

			const leave = (): void => {
				job.listeners.delete(listener);
				resolve({kind: 'interrupted', reason: 'nobody waits for the job'});
				if (job.listeners.size === 0) {
					this.#giveUp(job, 'nobody waits for the job');
				}
			};

			job.listeners.set(listener, isLost);
			if (signal?.aborted) {
				leave();
			} else {
				signal?.addEventListener('abort', leave, {once: true});
			}
		});
	}

	/** Finds the runs and ends that an earlier owner left. */
	#adoptRuns(job: QueuedJob): void {
		for (const task of job.tasks.filter(({status}) => status === 'waiting')) {
			for (const link of this.#options.getLinks()) {
				const end = link.getRecentEnd(task.name);
				if (end !== undefined) {
					task.lastRun = Math.max(task.lastRun, end.number);
					if (end.end === 'done') {
						job.setStatus(task, 'done');
					}
				}

				const run = link.adopt(task.name, job.getStep(task).needs, job.req.spec);
				if (run !== undefined) {
					task.lastRun = Math.max(task.lastRun, run.number);
					job.setStatus(task, 'placed');
					task.run = run;
					task.host = link;
				}
			}
		}

		// The earlier owner may have started tasks, so that the job cannot be refused as one that has not run.
		job.hasStarted = true;

		job.heldUntil = this.#options.getUnseenUntil(job.req.id);
	}

	#decide(job: QueuedJob): AdmissionDecision {
		const now = this.#options.clock.getMonotonicTime();
		if (job.hasStarted) {
			return {isAdmitted: true, expectedWaitMs: 0};
		}

		if (this.#isScheduled && !this.#options.isHeldBack()) {
			// What came before in this turn gets its room first; that may be this job, where it is judged a second time.
			this.#startTasks();
			if (job.hasStarted) {
				return {isAdmitted: true, expectedWaitMs: 0};
			}
		}

		const largest = job.req.steps.map(({needs}) => needs).toSorted((a, b) => b.cpu - a.cpu)[0]!;
		const open = this.#getOpenLinks().filter(link => isForJob(link, job));
		const ownCores = open.reduce((sum, {description}) => sum + (description.capacity.cpu / 1000), 0);
		const otherCores = isSinglePoolJob(job.req) ? 0 : this.#options.neighbours.getCores();
		const fittingUpstreams = open.filter(({description}) => fits(largest, description.capacity)).length;
		return decideAdmission({
			// Without upstreams of its own, a pool relies on those of the others.
			fittingUpstreams: open.length === 0 && otherCores > 0 ? 1 : fittingUpstreams,
			workAhead: this.#getWorkAhead(job, now),
			work: job.req.steps.reduce((sum, step) => sum + getStepWork(step), 0),
			cores: ownCores + otherCores,
			coresAbove: this.#offered.getCoresAbove(job.priority, now),
			unplacedWork: this.#getUnplacedWork(job, open),
			chainMs: job.chainMs,
			objectiveMs: job.objectiveAt - now,
			deadlineMs: job.lastUsefulAt - now,
			nextEndMs: this.#getNextEndMs(now),
		});
	}

	/** Gets the queued work that comes before a job, and half of that which may come in between. */
	#getWorkAhead(job: QueuedJob, now: number): number {
		const others = [...this.#jobs.values()].filter(other => !other.isEnding && other.remainingWork > 0);
		let work = 0;
		for (const other of sortByUrgency([...others, job], now)) {
			if (other === job) {
				break;
			}

			work += other.remainingWork;
		}

		return work;
	}

	/** Gets the work of a job's tasks that find no room beside what runs now. */
	#getUnplacedWork(job: QueuedJob, open: readonly UpstreamLink[]): number {
		const rooms = this.#getRooms(job).map(({cpu}) => ({cpu, memoryMb: Infinity, accelerators: 0}));
		const free = [...open.map(link => ({...link.getFreeCapacity()})), ...rooms];
		let work = 0;
		for (const task of job.tasks) {
			const {needs, estimateMs} = job.getStep(task);
			const room = free.find(candidate => fits(needs, candidate));
			if (room === undefined) {
				work += needs.cpu / 1000 * estimateMs;
				continue;
			}

			room.cpu -= needs.cpu;
			room.memoryMb -= needs.memoryMb;
			room.accelerators -= needs.accelerators;
		}

		return work;
	}

	/** Gets the expected time until a running task ends. */
	#getNextEndMs(now: number): number {
		let nearest = initialTaskMs;
		for (const {job, task} of this.#tasksByName.values()) {
			if (task.run !== undefined) {
				nearest = Math.min(nearest, Math.max(0, task.run.startedAt + job.getExpectedMs(task) - now));
			}
		}

		return nearest;
	}

	#startTasks(): void {
		if (this.#isStarting) {
			return;
		}

		this.#isStarting = true;
		try {
			this.#startWaiting();
		} finally {
			this.#isStarting = false;
		}
	}

	#startWaiting(): void {
		const now = this.#options.clock.getMonotonicTime();
		const waiting = [...this.#jobs.values()].filter(job => !job.isEnding && job.heldUntil <= now && job.hasWaitingTasks() && !job.isOrphaned());
		if (waiting.length === 0) {
			return;
		}

		const candidates = new Map(this.#getOpenLinks().map(link => [link, toCandidate(link)]));
		const rooms = this.#options.neighbours.getFreeCapacities().map(room => ({...room}));
		let largestRoom = getLargestRoom(candidates, rooms);
		for (const job of sortByUrgency(waiting, now)) {
			// Most jobs of a long queue are passed over here, before the upstreams are gone through for them.
			if (job.smallestCpu > largestRoom) {
				continue;
			}

			const started: StartedTask[] = [];
			for (const task of job.getReadyTasks()) {
				const start = this.#place(job, task, candidates) ?? this.#borrow(job, task, rooms);
				if (start === undefined) {
					// Tasks of a step are alike: where one has no room the others have none.
					break;
				}

				started.push(start);
			}

			if (started.length > 0) {
				this.#options.log.debug({job: job.req.id, waitedMs: Math.round(now - job.arrivedAt), started}, 'tasks started');
			}

			largestRoom = getLargestRoom(candidates, rooms);
		}
	}

	/** Gets the room of other pools that the tasks of a job may use. */
	#getRooms(job: QueuedJob): readonly NeighbourCapacity[] {
		return isSinglePoolJob(job.req) ? [] : this.#options.neighbours.getFreeCapacities();
	}

	/** Starts a task in the smallest room of other pools that holds it, where there is one; the rooms are counted down. */
	#borrow(job: QueuedJob, task: JobTask, rooms: Array<NeighbourCapacity & {cpu: number}>): StartedTask | undefined {
		const step = job.getStep(task);
		const room = this.#neighbourPools.chooseFreeCapacity(step, rooms, task.avoided);
		if (room === undefined) {
			return undefined;
		}

		room.cpu -= step.needs.cpu;
		const host = this.#neighbourPools.getPool(room.pool);
		task.lastRun++;
		job.setStatus(task, 'placed');
		task.host = host;
		job.hasStarted = true;
		task.run = host.start({
			task: task.name, number: task.lastRun, spec: job.req.spec, service: job.req.rules.service, step, expectedMs: job.getComparableMs(task),
		});
		return {
			task: task.name, run: task.lastRun, pool: room.pool, freeCpu: room.cpu,
		};
	}

	#getOpenLinks(): readonly UpstreamLink[] {
		return this.#options.getLinks().filter(link => link.isAcceptingStarts());
	}

	/** Starts a task on an upstream of this pool, where one has room. */
	#place(job: QueuedJob, task: JobTask, candidates: Map<UpstreamLink, PlacementCandidate>): StartedTask | undefined {
		const step = job.getStep(task);
		const placed = step.maxPerUpstream === undefined ? undefined : job.getPlacedCounts(task.stepPosition);
		const allowed = [...candidates].flatMap(([link, candidate]) => isForJob(link, job) ? candidate : []);
		const preferred = allowed.filter(({id}) => !task.avoided.has(id));
		const chosen = chooseUpstream(step, preferred.length > 0 ? preferred : allowed, placed);
		if (chosen === undefined) {
			return undefined;
		}

		const link = [...candidates.keys()].find(({description}) => description.id === chosen.id)!;
		task.lastRun++;
		job.setStatus(task, 'placed');
		task.host = link;
		job.hasStarted = true;
		task.run = link.start({
			task: task.name, number: task.lastRun, needs: step.needs, spec: job.req.spec,
		});
		candidates.set(link, toCandidate(link));
		return {
			task: task.name, run: task.lastRun, upstream: chosen.id, freeCpu: chosen.free.cpu,
		};
	}

	#observe(host: RunHost, job: QueuedJob, task: JobTask, run: LinkedRun): void {
		const measuredMs = this.#options.clock.getMonotonicTime() - run.startedAt;
		const {estimateMs} = job.getStep(task);
		// Before the estimator learns from this very run.
		const comparableMs = job.getComparableMs(task);
		this.#estimator.addDuration(job.req.rules.route, estimateMs, measuredMs);
		if (host instanceof UpstreamLink) {
			addSuccess(host, measuredMs, comparableMs);
		}

		job.longestRunMs = Math.max(job.longestRunMs, measuredMs);
	}

	#handleUndone(job: QueuedJob, task: JobTask, host: RunHost, end: RunEnd): void {
		if (end === 'failed') {
			task.failures++;
			task.avoided.add(host.name);
			this.#addFailure(host);
		}

		if (!job.isEnding) {
			this.#options.log.info({
				job: job.req.id, task: task.name, upstream: host.name, end, failures: task.failures,
			}, 'run ended without success');
		}
	}

	/** Counts a failure against an upstream; the owner of another pool counts those of its own. */
	#addFailure(host: RunHost): void {
		if (host instanceof UpstreamLink) {
			addFailure(host, this.#options.clock.getMonotonicTime(), this.#options.log);
		}
	}

	/** Ends a job that is done, has failed or is given up and has no runs left. */
	#advance(job: QueuedJob): void {
		if (job.isEnding) {
			if (!job.hasRuns()) {
				this.#remove(job);
			}

			return;
		}

		if (job.isDone()) {
			this.#settle(job, {kind: 'completed'});
			return;
		}

		if (job.tasks.some(({failures}) => failures >= job.req.rules.maxAttempts)) {
			this.#options.log.info({job: job.req.id, route: job.req.rules.route}, 'job failed');
			job.settle({kind: 'failed'});
			this.#giveUp(job, 'a task failed too often');
		}
	}

	#settle(job: QueuedJob, outcome: PoolJobOutcome): void {
		this.#remove(job);
		this.#options.log.info({
			job: job.req.id, outcome: outcome.kind, totalMs: Math.round(this.#options.clock.getMonotonicTime() - job.arrivedAt),
		}, 'job ended');
		job.settle(outcome);
	}

	#remove(job: QueuedJob): void {
		this.#jobs.delete(job.req.id);
		for (const {name} of job.tasks) {
			this.#tasksByName.delete(name);
		}
	}

	#giveUp(job: QueuedJob, reason: string): void {
		if (job.isEnding || this.#isClosed) {
			return;
		}

		job.isEnding = true;
		this.#options.log.info({job: job.req.id, reason}, 'job given up');
		for (const {host, run} of job.tasks) {
			if (host !== undefined && run !== undefined) {
				host.stop(run);
			}
		}

		this.#advance(job);
		this.schedule();
	}

	/** Stops overdue runs to start them elsewhere, and refuses jobs that have not begun and cannot be in time any more. */
	#sweepJobs(): void {
		if (this.#jobs.size === 0) {
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		for (const job of this.#jobs.values()) {
			if (job.isEnding) {
				continue;
			}

			if (!job.hasStarted && this.#isHopeless(job, now)) {
				continue;
			}

			this.#stopOverdueRuns(job, now);
		}

		this.schedule();
	}

	/**
	 * Refuses a job that cannot be in time. Early on, the queue is judged once more by what has come since; later the job keeps
	 * its place as long as its deadline can be met.
	 */
	#isHopeless(job: QueuedJob, now: number): boolean {
		if (now + job.chainMs > job.lastUsefulAt) {
			this.#refuse(job, 'deadline');
			return true;
		}

		if (job.isSettled || now - job.arrivedAt < (job.objectiveAt - job.arrivedAt) * secondLookShare) {
			return false;
		}

		job.isSettled = true;
		const decision = this.#decide(job);
		if (!decision.isAdmitted) {
			this.#refuse(job, decision.reason);
		}

		return !decision.isAdmitted;
	}

	#stopOverdueRuns(job: QueuedJob, now: number): void {
		for (const task of job.tasks) {
			const {host, run} = task;
			if (host === undefined || run === undefined || run.isStopRequested || run.state !== 'running' || host.isSilent()) {
				continue;
			}

			const age = {ageMs: now - run.startedAt, expectedMs: job.getExpectedMs(task), siblingMs: job.longestRunMs};
			if (isOverdue(age)) {
				this.#options.log.info({task: task.name, upstream: host.name, ...age}, 'run overdue');
				task.avoided.add(host.name);
				this.#addFailure(host);
				host.stop(run, true);
			}
		}
	}

	#refuse(job: QueuedJob, reason: RefusalReason): void {
		const {queuedWork, cores} = this.getLoad();
		this.#options.log.info({
			job: job.req.id, reason, queuedWork: Math.round(queuedWork), cores,
		}, 'queued job refused');
		this.#remove(job);
		job.settle({kind: 'refused', reason, retryAfterMs: Math.max(minRetryAfterMs, queuedWork / Math.max(1, cores))});
	}
}

/** Gets whether an upstream belongs to the service that the job's route names. */
function isForJob({description}: UpstreamLink, {req}: QueuedJob): boolean {
	return description.service === req.rules.service;
}

function getLargestRoom(candidates: ReadonlyMap<UpstreamLink, PlacementCandidate>, rooms: readonly NeighbourCapacity[]): number {
	let largest = 0;
	for (const {free} of candidates.values()) {
		largest = Math.max(largest, free.cpu);
	}

	for (const {cpu} of rooms) {
		largest = Math.max(largest, cpu);
	}

	return largest;
}
