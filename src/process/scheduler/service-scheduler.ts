import {type ListedUpstream} from '../../platform/index.js';
import {type Timer} from '../../seams/index.js';
import {type Profile} from '../../version/index.js';
import {
	type Admission, type QueueStatus, type ScheduledJob, type TaskEnd, type UpstreamStatus,
} from '../task-scheduler.js';
import {admitInTime} from './admission.js';
import {DecayedMean} from './decayed-mean.js';
import {createJobOrder, type JobOrderFactory} from './job-order.js';
import {JobQueue} from './job-queue.js';
import {JobTable} from './job-table.js';
import {LeaseBroker, type LocalDemand} from './lease-broker.js';
import {type MemberView} from './member-view.js';
import {OutlierDetector} from './outlier-detector.js';
import {type JobPart, type QueuedJob, type QueuedTask} from './queued-job.js';
import {RetryPlanner} from './retry-planner.js';
import {type ServiceSchedulerOptions} from './service-scheduler-options.js';
import {getUpstreamStatus} from './upstream-status.js';
import {type SchedulerContext} from './scheduler-context.js';
import {defaultTuning} from './scheduler-tuning.js';
import {SlotPool} from './slot-pool.js';
import {type ServiceUpdate} from './slot-messages.js';
import {type TeamLimits} from './team-quotas.js';
import {UpstreamShapes} from './upstream-shapes.js';
import {type HeldSlot, type UpstreamEntry} from './upstream-entry.js';
import {chooseLeastLoaded, type UpstreamChoice} from './upstream-choice.js';
import {WakeTimer} from './wake-timer.js';

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
	readonly #retries: RetryPlanner;
	readonly #taskTime = new DecayedMean(initialTaskMs, taskTimeSamples);
	readonly #jobs: JobTable;
	readonly #wakeTimer: WakeTimer;
	#profile: Profile;
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
			context, getProfile: () => this.#profile, getEntries: () => this.#pool.getTable().getEntries(), onChange: () => {
				this.#pool.handleHealthChange();
			},
		});
		this.#retries = new RetryPlanner({context, getProfile: () => this.#profile});
		this.#queue = new JobQueue({order: this.#createOrder(), getWeight: team => options.limits.getWeight(team)});
		this.#jobs = new JobTable({queue: this.#queue, limits: options.limits, getTaskMs: () => this.#taskTime.getMean()});
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
		const now = this.#context.clock.getMonotonicTime();
		const admission = this.#admit(source, now);
		if (!admission.admitted) {
			return admission;
		}

		this.#enqueue(this.#jobs.addJob(source, now));
		this.pump();
		return admission;
	}

	/**
	 * Drops the queued tasks of a job; gets their number.
	 * @param jobId - Job to drop.
	 */
	removeJob(jobId: string): number {
		const job = this.#jobs.getJob(jobId);
		return job ? this.#jobs.removeJob(job) : 0;
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
			queuedTasks: this.#jobs.getQueuedTasks(),
			runningTasks: this.#runningTasks,
			expectedWaitMs: this.#jobs.getQueuedTasks() * this.#getMsPerTask(),
		};
	}

	/** Gets the state of the upstreams. */
	getUpstreamStatus(): readonly UpstreamStatus[] {
		return this.#pool.getTable().getEntries().map(entry => getUpstreamStatus(entry));
	}

	/** Drops all queued tasks and gives back all leases. */
	close(): void {
		for (const job of this.#jobs.getJobs()) {
			this.#jobs.removeJob(job);
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
		const times = [probeTime, this.#broker.tellDemand(local), this.#broker.getReturnTime(), this.#jobs.getFirstDeadline()];
		this.#wakeTimer.wakeAt(Math.min(...times.filter(time => time !== undefined)));
	}

	#step(): boolean {
		const available = this.#pool.getTable().getAvailable();
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
		this.#jobs.addQueued(queued.job, -1);
		this.#runningTasks++;
		this.#limits.addStart(queued.job.source.team);
		if (queued.attempts === 1) {
			this.#retries.addFirstTry();
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

		this.#jobs.removeIfEnded(job);
		this.pump();
	}

	#retryOrGiveUp(queued: QueuedTask, upstream: string, end: TaskEnd): void {
		const delayMs = this.#retries.planRetry(queued, end);
		if (delayMs === undefined) {
			queued.task.giveUp(end);
			return;
		}

		queued.triedUpstreams = [...queued.triedUpstreams, upstream];
		this.#jobs.addQueued(queued.job, 1);
		this.#context.events.addEvent('task-retried', queued.job.source.id, `attempt ${queued.attempts + 1}, after ${upstream}`);
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

	#admit({tasks, team, deadline}: ScheduledJob, now: number): Admission {
		const admit = this.#options.decisions?.admit ?? admitInTime;
		return admit({
			taskCount: tasks.length,
			remainingMs: deadline - now,
			hasUpstream: this.#shapes.hasLiveUpstream(),
			isRunnable: tasks.every(task => this.#shapes.isRunnable(task.needs)),
			queuedTasks: this.#jobs.getQueuedTasks(),
			maxQueuedTasks: this.#profile.maxQueuedTasks,
			tasksAhead: this.#getTasksAhead(tasks.length),
			msPerTask: this.#getMsPerTask(),
			quotaWaitMs: this.#limits.getWaitMs(team, tasks.length, this.#taskTime.getMean()),
		});
	}

	#getTasksAhead(taskCount: number): number {
		const ahead = this.#profile.order === 'shortest-remaining' ? this.#jobs.getTasksUpTo(taskCount) : this.#jobs.getQueuedTasks();
		return Math.max(ahead + taskCount - this.#pool.getTable().getUsableSlots() + this.#runningTasks, 0);
	}

	#getMsPerTask(): number {
		return this.#taskTime.getMean() / Math.max(this.#pool.getTable().getUsableSlots(), this.#pool.getEvenShare(), 1);
	}

	#getLocalDemand(): LocalDemand {
		const readyTasks = this.#queue.getReadyTasks();
		const next = readyTasks > 0 ? this.#queue.getNextPart((shape, team) => this.#shapes.isListed(shape) && this.#limits.mayStart(team)) : undefined;
		const msPerTask = this.#taskTime.getMean() / Math.max(this.#pool.getTable().getUsableSlots(), 1);
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
			hasSlots: this.#pool.getTable().getUsableSlots() > 0,
		};
	}

	#getUrgentTasks(next: JobPart): number {
		return this.#profile.order === 'shortest-remaining' ? this.#jobs.getTasksUpTo(next.job.queuedTasks) : next.job.queuedTasks;
	}

	/** Gives up the tasks that no listed upstream fits any more. */
	#giveUpUnlisted(): void {
		for (const part of this.#queue.getParts().filter(({shape}) => !this.#shapes.isListed(shape))) {
			const {job} = part;
			const tasks = this.#queue.removePart(part);
			this.#jobs.addQueued(job, -tasks.length);
			for (const {task} of tasks) {
				task.giveUp({kind: 'not_started', detail: 'No listed upstream fits the task any more', isUnreachable: true});
			}

			this.#jobs.removeIfEnded(job);
		}
	}

	#expireJobs(): void {
		const now = this.#context.clock.getMonotonicTime();
		for (let expired = this.#jobs.takeExpired(now); expired; expired = this.#jobs.takeExpired(now)) {
			if (expired.dropped > 0) {
				this.#context.counters.expiredJobs++;
				expired.job.source.expire();
			}
		}
	}

	#createOrder(): ReturnType<JobOrderFactory> {
		return (this.#options.decisions?.createOrder ?? createJobOrder)(this.#profile);
	}
}
