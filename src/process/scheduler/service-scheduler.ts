import {type ListedUpstream} from '../../platform/index.js';
import {type Timer} from '../../seams/index.js';
import {type Profile} from '../../version/index.js';
import {
	type Admission, type QueueStatus, type ScheduledJob, type TaskEnd, type UpstreamStatus,
} from '../task-scheduler.js';
import {type AdmissionFunction, admitInTime} from './admission.js';
import {DecayedMean} from './decayed-mean.js';
import {createInvariantError} from './invariant-error.js';
import {createJobOrder, type JobOrderFactory} from './job-order.js';
import {JobQueue} from './job-queue.js';
import {LeaseBroker, type LocalDemand} from './lease-broker.js';
import {type MemberView} from './member-view.js';
import {OutlierDetector} from './outlier-detector.js';
import {type JobPart, QueuedJob, type QueuedTask} from './queued-job.js';
import {RankHeap} from './rank-heap.js';
import {RetryBudget} from './retry-budget.js';
import {type SchedulerContext} from './scheduler-context.js';
import {defaultTuning, type SchedulerTuning} from './scheduler-tuning.js';
import {SlotPool} from './slot-pool.js';
import {type ServiceUpdate} from './slot-messages.js';
import {type TeamLimits} from './team-quotas.js';
import {UpstreamShapes} from './upstream-shapes.js';
import {type HeldSlot, type UpstreamEntry} from './upstream-entry.js';
import {chooseLeastLoaded, type UpstreamChoice} from './upstream-choice.js';
import {WakeTimer} from './wake-timer.js';
import {WorkAhead} from './work-ahead.js';

/** Decisions that may be replaced. */
export type SchedulerDecisions = {
	readonly createOrder?: JobOrderFactory;
	readonly chooseUpstream?: UpstreamChoice;
	readonly admit?: AdmissionFunction;
};

/** Options of a {@link ServiceScheduler}. */
export type ServiceSchedulerOptions = {
	readonly service: string;
	readonly profile: Profile;
	readonly context: SchedulerContext;
	readonly limits: TeamLimits;
	readonly decisions?: SchedulerDecisions;
	readonly tuning?: SchedulerTuning;
};

/** Expected time of a task before any was observed, in milliseconds. */
const initialTaskMs = 250;

/** Number of tasks over which the observed time fades. */
const taskTimeSamples = 200;

/** Most upstreams compared for one task. */
const maxCandidates = 32;

/** Time for which queued tasks wait for an upstream that fits them after the last one left, in milliseconds. */
const noUpstreamGraceMs = 1000;

/**
 * Queues the jobs of one service and starts their tasks as slots become free.
 * @internal
 */
export class ServiceScheduler {
	readonly #options: ServiceSchedulerOptions;
	readonly #context: SchedulerContext;
	readonly #limits: TeamLimits;
	readonly #chooseUpstream: UpstreamChoice;
	readonly #pool: SlotPool;
	readonly #broker: LeaseBroker;
	readonly #detector: OutlierDetector;
	readonly #queue: JobQueue;
	readonly #shapes = new UpstreamShapes();
	readonly #ahead = new WorkAhead();
	readonly #budget = new RetryBudget();
	readonly #taskTime = new DecayedMean(initialTaskMs, taskTimeSamples);
	readonly #jobs = new Map<string, QueuedJob>();
	readonly #deadlines = new RankHeap<QueuedJob>();
	readonly #wakeTimer: WakeTimer;
	#profile: Profile;
	#sequence = 0;
	#queuedTasks = 0;
	#runningTasks = 0;
	#isPumping = false;
	#shouldPumpAgain = false;
	#isPaused = false;
	#graceTimer: Timer | undefined;

	constructor(options: ServiceSchedulerOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#limits = options.limits;
		this.#wakeTimer = new WakeTimer(options.context.clock, () => {
			this.pump();
		});
		this.#profile = options.profile;
		this.#chooseUpstream = options.decisions?.chooseUpstream ?? chooseLeastLoaded;
		const {service, context} = options;
		this.#pool = new SlotPool({
			service,
			context,
			getTaskMs: () => this.#taskTime.getMean(),
			getTaskTimeoutMs: () => this.#profile.taskTimeoutMs,
			onChange: () => {
				this.pump();
			},
		}, view);
		this.#broker = new LeaseBroker({
			service, context, pool: this.#pool, tuning: options.tuning ?? defaultTuning, getProfile: () => this.#profile,
		}, view);
		this.#detector = new OutlierDetector({
			context, getProfile: () => this.#profile, getEntries: () => this.#pool.getEntries(), onChange: () => {
				this.#pool.handleHealthChange();
			},
		});
		this.#queue = new JobQueue({order: this.#createOrder(), getWeight: team => options.limits.getWeight(team)});
	}

	/** Gets the profile in force. */
	getProfile(): Profile {
		return this.#profile;
	}

	/** Gets the slots of the service. */
	getPool(): SlotPool {
		return this.#pool;
	}

	/**
	 * Puts another profile in force.
	 * @param profile - New profile.
	 */
	setProfile(profile: Profile): void {
		this.#profile = profile;
		this.#queue.setOrder(this.#createOrder());
		this.pump();
	}

	/**
	 * Takes a new list of the service's upstreams.
	 * @param upstreams - Upstreams that this entry VM may use.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#pool.setUpstreams(upstreams);
		if (this.#shapes.setUpstreams(upstreams)) {
			this.#queue.updateShapes(part => this.#shapes.getShape(part.ready.at(-1)!.task.needs));
		}

		if (this.#queue.getParts().some(part => !this.#shapes.isListed(part.shape))) {
			this.#graceTimer ??= this.#context.clock.setTimer(() => {
				this.#graceTimer = undefined;
				this.#giveUpUnlisted();
			}, noUpstreamGraceMs);
		}

		this.pump();
	}

	/**
	 * Takes a new view of the members.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#pool.setMembers(view);
		this.#broker.setMembers(view);
		this.pump();
	}

	/**
	 * Takes what another member says about the service.
	 * @param update - What it says.
	 * @param from - The member.
	 * @param lastReceived - Number of the last message that it had taken from here.
	 */
	takeUpdate(update: ServiceUpdate, from: string, lastReceived: number): void {
		this.#broker.takeUpdate(update, from, lastReceived, this.#queue.getOrder());
		this.pump();
	}

	/**
	 * Admits a job as a whole or refuses it.
	 * @param source - Job to run.
	 */
	addJob(source: ScheduledJob): Admission {
		if (this.#jobs.has(source.id)) {
			throw createInvariantError(`Job ${source.id} is scheduled already`);
		}

		const now = this.#context.clock.getMonotonicTime();
		this.#sequence++;
		const job = new QueuedJob(source, now, this.#sequence, () => this.#taskTime.getMean());
		const admission = this.#admit(job, now);
		if (!admission.admitted) {
			return admission;
		}

		this.#jobs.set(source.id, job);
		this.#deadlines.addItem(job);
		this.#addQueued(job, source.tasks.length);
		this.#ahead.addTasks(source.tasks.length, source.tasks.length);
		this.#enqueue(job);
		this.pump();
		return admission;
	}

	/**
	 * Drops the queued tasks of a job; gets their number.
	 * @param jobId - Job to drop.
	 */
	removeJob(jobId: string): number {
		const job = this.#jobs.get(jobId);
		return job ? this.#removeJob(job) : 0;
	}

	/** Stops all starts, and makes leases in hand void. */
	handlePause(): void {
		this.#isPaused = true;
		this.#pool.voidLeases();
	}

	/** Starts tasks again, on owned slots once the other members have told their leases. */
	confirmView(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#pool.reclaimOwned();
			this.pump();
		}
	}

	/** Gets the state of the queue. */
	getQueueStatus(): QueueStatus {
		return {
			service: this.#options.service,
			queuedTasks: this.#queuedTasks,
			runningTasks: this.#runningTasks,
			expectedWaitMs: this.#queuedTasks * this.#getMsPerTask(),
		};
	}

	/** Gets the state of the upstreams. */
	getUpstreamStatus(): readonly UpstreamStatus[] {
		return this.#pool.getEntries().map(entry => getStatus(entry));
	}

	/** Drops all queued tasks and gives back all leases. */
	close(): void {
		for (const job of this.#jobs.values()) {
			this.#removeJob(job);
		}

		this.#isPaused = true;
		this.#wakeTimer.close();
		this.#graceTimer?.close();
		this.#pool.close();
	}

	/** Starts and leases what can be started and leased now. */
	pump(): void {
		if (this.#isPumping || this.#isPaused) {
			this.#shouldPumpAgain = true;
			return;
		}

		this.#isPumping = true;
		do {
			this.#shouldPumpAgain = false;
			this.#pumpOnce();
		} while (this.#shouldPumpAgain);

		this.#isPumping = false;
	}

	#pumpOnce(): void {
		this.#expireJobs();
		const probeTime = this.#detector.startProbes();
		this.#broker.returnLeases(this.#getLocalDemand());
		while (this.#step()) {
			// Each step starts or leases one slot.
		}

		const local = this.#getLocalDemand();
		this.#broker.returnLeases(local);
		const times = [probeTime, this.#broker.tellDemand(local), this.#broker.getReturnTime(), this.#deadlines.getFirst()?.rank];
		this.#wakeTimer.wakeAt(Math.min(...times.filter(time => time !== undefined)));
	}

	#step(): boolean {
		const available = this.#pool.getAvailable();
		const next = this.#getNext(available);
		if (this.#broker.grantOne(next, this.#queue.getOrder())) {
			return true;
		}

		if (!next) {
			return false;
		}

		this.#start(this.#queue.takeTask(next), available);
		return true;
	}

	#getNext(available: readonly UpstreamEntry[]): JobPart | undefined {
		if (available.length === 0 || this.#queue.getReadyTasks() === 0) {
			return undefined;
		}

		return this.#queue.getNextPart((shape, team) => this.#shapes.isServed(shape, available) && this.#limits.mayStart(team));
	}

	#start(queued: QueuedTask, available: readonly UpstreamEntry[]): void {
		const {task, job} = queued;
		const candidates = this.#getCandidates(queued, available);
		const {entry} = this.#chooseUpstream(candidates);
		const slot = this.#pool.takeSlot(entry);
		queued.attempts++;
		this.#countStart(queued, slot);
		this.#ahead.moveTasks(job.queuedTasks, job.queuedTasks - 1);
		job.queuedTasks--;
		job.runningTasks++;
		this.#queue.updateRank(job);
		void this.#run(queued, slot, task.run(entry.listed, queued.attempts));
	}

	#getCandidates(queued: QueuedTask, available: readonly UpstreamEntry[]): ReadonlyArray<ReturnType<UpstreamEntry['toCandidate']>> {
		const candidates: Array<ReturnType<UpstreamEntry['toCandidate']>> = [];
		for (const entry of available) {
			if (this.#shapes.fits(queued.part.shape, entry.listed)) {
				candidates.push(entry.toCandidate(queued.triedUpstreams));
			}

			if (candidates.length === maxCandidates) {
				break;
			}
		}

		return candidates;
	}

	#countStart(queued: QueuedTask, slot: HeldSlot): void {
		const {counters} = this.#context;
		counters.starts++;
		counters.leasedStarts += slot.lease ? 1 : 0;
		this.#addQueued(queued.job, -1);
		this.#runningTasks++;
		this.#limits.addStart(queued.job.source.team);
		if (queued.attempts === 1) {
			this.#budget.addFirstTry(this.#profile.retryPercent);
		}
	}

	async #run(queued: QueuedTask, slot: HeldSlot, running: Promise<TaskEnd>): Promise<void> {
		const startedAt = this.#context.clock.getMonotonicTime();
		const end = await running;
		const durationMs = this.#context.clock.getMonotonicTime() - startedAt;
		const {job} = queued;
		job.runningTasks--;
		this.#runningTasks--;
		this.#limits.addEnd(job.source.team);
		this.#detector.addEnd(slot.entry, end, durationMs);
		this.#pool.releaseSlot(slot);
		if (end.kind === 'answered') {
			this.#taskTime.addValue(durationMs);
			job.addTaskTime(durationMs);
			this.#queue.updateRank(job);
		} else {
			this.#retryOrGiveUp(queued, slot.entry.listed.name, end);
		}

		this.#forgetIfEnded(job);
		this.pump();
	}

	#retryOrGiveUp(queued: QueuedTask, upstream: string, end: TaskEnd): void {
		const {task, job} = queued;
		const delayMs = this.#getBackoffMs(queued.attempts);
		const now = this.#context.clock.getMonotonicTime();
		const mayRunAgain = end.kind === 'not_started' || task.isIdempotent;
		const isInTime = now + delayMs < job.source.deadline && queued.attempts < this.#profile.maxTries;
		if (!mayRunAgain || job.isRemoved || !isInTime) {
			task.giveUp(end);
			return;
		}

		if (!this.#budget.takeRetry(this.#profile.retryPercent)) {
			this.#context.counters.deniedRetries++;
			task.giveUp(end);
			return;
		}

		this.#context.counters.retries++;
		queued.triedUpstreams = [...queued.triedUpstreams, upstream];
		this.#addQueued(job, 1);
		job.queuedTasks++;
		this.#ahead.moveTasks(job.queuedTasks - 1, job.queuedTasks);
		this.#context.events.addEvent('task-retried', job.source.id, `attempt ${queued.attempts + 1}, after ${upstream}`);
		this.#context.clock.setTimer(() => {
			this.#enqueueRetry(queued);
		}, delayMs);
	}

	#enqueueRetry(queued: QueuedTask): void {
		if (queued.job.isRemoved) {
			return;
		}

		if (queued.part.heapIndex < 0) {
			queued.part.shape = this.#shapes.getShape(queued.task.needs);
		}

		this.#queue.addTasks(queued.part, [queued]);
		this.pump();
	}

	#getBackoffMs(attempts: number): number {
		const jitter = 0.5 + this.#context.random.getFloat();
		return this.#profile.retryBackoffMs * (2 ** (attempts - 1)) * jitter;
	}

	#enqueue(job: QueuedJob): void {
		const parts = new Map<string, JobPart>();
		const tasks = new Map<JobPart, QueuedTask[]>();
		for (const task of job.source.tasks) {
			const shape = this.#shapes.getShape(task.needs);
			const part = parts.get(shape) ?? {
				job, shape, ready: [], heap: undefined, heapIndex: -1, rank: 0, sequence: job.sequence,
			};
			parts.set(shape, part);
			const queued = {
				task, job, part, attempts: 0, triedUpstreams: [],
			};
			const known = tasks.get(part);
			if (known) {
				known.push(queued);
			} else {
				tasks.set(part, [queued]);
			}
		}

		job.parts = [...parts.values()];
		for (const [part, queued] of tasks) {
			this.#queue.addTasks(part, queued);
		}
	}

	#admit(job: QueuedJob, now: number): Admission {
		const {tasks, team, deadline} = job.source;
		const admit = this.#options.decisions?.admit ?? admitInTime;
		return admit({
			taskCount: tasks.length,
			remainingMs: deadline - now,
			hasUpstream: this.#shapes.hasLiveUpstream(),
			isRunnable: tasks.every(task => this.#shapes.isRunnable(task.needs)),
			queuedTasks: this.#queuedTasks,
			maxQueuedTasks: this.#profile.maxQueuedTasks,
			tasksAhead: this.#getTasksAhead(tasks.length),
			msPerTask: this.#getMsPerTask(),
			quotaWaitMs: this.#limits.getWaitMs(team, tasks.length, this.#taskTime.getMean()),
		});
	}

	#getTasksAhead(taskCount: number): number {
		const ahead = this.#profile.order === 'shortest-remaining' ? this.#ahead.getTasksUpTo(taskCount) : this.#queuedTasks;
		return Math.max(ahead + taskCount - this.#pool.getUsableSlots() + this.#runningTasks, 0);
	}

	#getMsPerTask(): number {
		return this.#taskTime.getMean() / Math.max(this.#pool.getUsableSlots(), this.#pool.getEvenShare(), 1);
	}

	#getLocalDemand(): LocalDemand {
		const readyTasks = this.#queue.getReadyTasks();
		const next = readyTasks > 0 ? this.#queue.getNextPart((shape, team) => this.#shapes.isListed(shape) && this.#limits.mayStart(team)) : undefined;
		const msPerTask = this.#taskTime.getMean() / Math.max(this.#pool.getUsableSlots(), 1);
		const waitMs = readyTasks * msPerTask;
		const maySpill = this.#profile.spillToOtherDataCenters && waitMs > this.#profile.spillWaitMs;
		const urgentTasks = next ? Math.min(this.#getUrgentTasks(next), readyTasks) : 0;
		return {
			order: this.#queue.getOrder(),
			readyTasks,
			next,
			waitMs,
			urgentTasks,
			urgentWaitMs: urgentTasks * msPerTask,
			maySpill,
			hasSlots: this.#pool.getUsableSlots() > 0,
		};
	}

	#getUrgentTasks(next: JobPart): number {
		return this.#profile.order === 'shortest-remaining' ? this.#ahead.getTasksUpTo(next.job.queuedTasks) : next.job.queuedTasks;
	}

	/** Gives up the tasks that no listed upstream fits any more. */
	#giveUpUnlisted(): void {
		for (const part of this.#queue.getParts().filter(({shape}) => !this.#shapes.isListed(shape))) {
			const {job} = part;
			const tasks = this.#queue.removePart(part);
			this.#ahead.moveTasks(job.queuedTasks, job.queuedTasks - tasks.length);
			this.#addQueued(job, -tasks.length);
			job.queuedTasks -= tasks.length;
			for (const {task} of tasks) {
				task.giveUp({kind: 'not_started', detail: 'No listed upstream fits the task any more', isUnreachable: true});
			}

			this.#forgetIfEnded(job);
		}
	}

	#removeJob(job: QueuedJob): number {
		const dropped = job.queuedTasks;
		job.isRemoved = true;
		this.#queue.removeJob(job);
		this.#ahead.removeTasks(dropped, dropped);
		this.#addQueued(job, -dropped);
		job.queuedTasks = 0;
		this.#deadlines.removeItem(job);
		this.#jobs.delete(job.source.id);
		return dropped;
	}

	#addQueued(job: QueuedJob, count: number): void {
		this.#queuedTasks += count;
		this.#limits.addQueued(job.source.team, count);
	}

	#forgetIfEnded(job: QueuedJob): void {
		if (job.queuedTasks === 0 && job.runningTasks === 0 && !job.isRemoved) {
			this.#removeJob(job);
		}
	}

	#expireJobs(): void {
		const now = this.#context.clock.getMonotonicTime();
		for (let job = this.#deadlines.getFirst(); job && job.rank <= now; job = this.#deadlines.getFirst()) {
			const dropped = this.#removeJob(job);
			if (dropped > 0) {
				this.#context.counters.expiredJobs++;
				job.source.expire();
			}
		}
	}

	#createOrder(): ReturnType<JobOrderFactory> {
		return (this.#options.decisions?.createOrder ?? createJobOrder)(this.#profile);
	}
}

function getStatus(entry: UpstreamEntry): UpstreamStatus {
	const health = entry.health.getState();
	const state = entry.listed.state === 'leaving' ? 'leaving' : (health === 'healthy' ? 'live' : health);
	return {
		name: entry.listed.name,
		service: entry.listed.service,
		state,
		isOwned: entry.owned !== undefined,
		slots: entry.listed.slots,
		inUse: entry.running.size,
		leasedOut: entry.owned?.getLeasedOut() ?? 0,
		free: entry.owned?.getFree() ?? 0,
		held: entry.getHeldLeases().length,
		failurePercent: entry.health.getFailureRate() * 100,
		latencyMs: entry.health.getLatencyMs(),
	};
}
