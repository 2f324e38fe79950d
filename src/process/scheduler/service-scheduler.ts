/**
 * Schedules the tasks of one service on one entry VM.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {type Profile} from '../../version/index.js';
import {
	type Admission, type QueueStatus, type ScheduledJob, type UpstreamStatus,
} from '../task-scheduler.js';
import {type AdmissionPolicy, admitBeforeDeadline} from './admission.js';
import {createJobOrder, type JobOrder} from './job-order.js';
import {groupTasksByShape} from './task-groups.js';
import {type JobQueue} from './job-queue.js';
import {type JobTable} from './job-table.js';
import {LeaseBroker} from './lease-broker.js';
import {LoadEstimator} from './load-estimator.js';
import {type MemberView} from './member-view.js';
import {OutlierDetector} from './outlier-detector.js';
import {type TaskGroup, type QueuedJob} from './queued-job.js';
import {type SchedulerContext} from './scheduler-context.js';
import {defaultTuning} from './scheduler-tuning.js';
import {type ServiceSchedulerOptions} from './service-scheduler-options.js';
import {createServiceState} from './service-state.js';
import {type ServiceUpdate} from './slot-messages.js';
import {type SlotPool} from './slot-pool.js';
import {TaskRunner} from './task-runner.js';
import {chooseLeastLoaded} from './upstream-choice.js';
import {UnschedulableTaskChecker} from './unschedulable-task-checker.js';
import {type UpstreamEntry} from './upstream-entry.js';
import {type UpstreamShapes} from './upstream-shapes.js';
import {getUpstreamStatus} from './upstream-status.js';
import {WakeTimer} from './wake-timer.js';

/**
 * Queues the jobs of one service and starts their tasks when slots become free.
 * @internal
 */
export class ServiceScheduler {
	readonly #options: ServiceSchedulerOptions;
	readonly #context: SchedulerContext;
	readonly #admit: AdmissionPolicy;
	readonly #pool: SlotPool;
	readonly #queue: JobQueue;
	readonly #jobs: JobTable;
	readonly #shapes: UpstreamShapes;
	readonly #broker: LeaseBroker;
	readonly #detector: OutlierDetector;
	readonly #runner: TaskRunner;
	readonly #loadEstimator: LoadEstimator;
	readonly #unlistedWatch: UnschedulableTaskChecker;
	readonly #wakeTimer: WakeTimer;
	#profile: Profile;
	#isScheduling = false;
	#shouldScheduleAgain = false;
	#isPaused = false;

	constructor(options: ServiceSchedulerOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#profile = options.profile;
		this.#admit = options.policies?.admit ?? admitBeforeDeadline;
		const onChange = (): void => {
			this.schedule();
		};

		this.#wakeTimer = new WakeTimer(options.context.clock, onChange);
		const state = createServiceState({
			service: options.service,
			context: options.context,
			limits: options.limits,
			getProfile: () => this.#profile,
			order: this.#createOrder(),
			view,
			onChange,
		});
		this.#pool = state.pool;
		this.#queue = state.queue;
		this.#jobs = state.jobs;
		this.#shapes = state.shapes;
		this.#unlistedWatch = new UnschedulableTaskChecker(state);
		const {service, context, pool, getProfile} = state;
		this.#broker = new LeaseBroker({
			service, context, pool, getProfile, tuning: options.tuning ?? defaultTuning,
		}, view);
		this.#detector = new OutlierDetector({
			context,
			getProfile,
			getEntries: () => pool.getUpstreamTable().getEntries(),
			onChange() {
				pool.handleHealthChange();
			},
		});
		this.#runner = new TaskRunner({
			state, detector: this.#detector, chooseUpstream: options.policies?.chooseUpstream ?? chooseLeastLoaded, onChange,
		});
		this.#loadEstimator = new LoadEstimator({state, getRunningTaskCount: () => this.#runner.getRunningTaskCount()});
	}

	/** Gets the current profile. */
	getProfile(): Profile {
		return this.#profile;
	}

	/** Gets the slot pool of the service. */
	getPool(): SlotPool {
		return this.#pool;
	}

	/**
	 * Replaces the profile and re-ranks the queue.
	 * @param profile - New profile.
	 */
	setProfile(profile: Profile): void {
		this.#profile = profile;
		this.#queue.setOrder(this.#createOrder());
		this.schedule();
	}

	/**
	 * Replaces the list of the service's upstreams.
	 * @param upstreams - Upstreams that this entry VM may use.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#pool.setUpstreams(upstreams);
		if (this.#shapes.setUpstreams(upstreams)) {
			this.#queue.updateShapes(group => this.#shapes.getShape(group.ready.at(-1)!.task.needs));
		}

		this.#unlistedWatch.check();
		this.schedule();
	}

	/**
	 * Replaces the view of the membership.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#pool.setMembers(view);
		this.#broker.setMembers(view);
		this.schedule();
	}

	/**
	 * Handles an update about the service from another member.
	 * @param update - Demands, grants and returns of the service's slots.
	 * @param from - Incarnation ID of the sender.
	 * @param lastReceived - Number of the last message from this entry VM that the sender had processed.
	 */
	handleUpdate(update: ServiceUpdate, from: string, lastReceived: number): void {
		this.#broker.handleUpdate(update, from, lastReceived, this.#queue.getOrder());
		this.schedule();
	}

	/**
	 * Admits a job as a whole and queues its tasks, or refuses it.
	 * @param source - Job to run.
	 */
	addJob(source: ScheduledJob): Admission {
		const now = this.#context.clock.getMonotonicTime();
		const admission = this.#admit(this.#loadEstimator.getAdmissionRequest(source, now));
		if (!admission.admitted) {
			return admission;
		}

		this.#enqueue(this.#jobs.addJob(source, now));
		this.schedule();
		return admission;
	}

	/**
	 * Drops the queued tasks of a job.
	 * @param jobId - ID of the job.
	 * @returns The number of tasks dropped; 0 when the job is unknown.
	 */
	removeJob(jobId: string): number {
		const job = this.#jobs.getJob(jobId);
		return job ? this.#jobs.removeJob(job) : 0;
	}

	/** Stops starting tasks and voids the leases held by this entry VM. */
	handlePause(): void {
		this.#isPaused = true;
		this.#pool.getHeldLeases().voidAll();
	}

	/** Resumes starting tasks; owned slots are used again once the other members have reported their leases. */
	confirmView(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#pool.collectClaims();
			this.schedule();
		}
	}

	/** Gets the status of the queue. */
	getQueueStatus(): QueueStatus {
		return this.#loadEstimator.getQueueStatus();
	}

	/** Gets the status of each upstream. */
	getUpstreamStatus(): readonly UpstreamStatus[] {
		return this.#pool.getUpstreamTable().getEntries().map(entry => getUpstreamStatus(entry));
	}

	/** Drops all queued tasks and returns all leases. */
	close(): void {
		for (const job of this.#jobs.getJobs()) {
			this.#jobs.removeJob(job);
		}

		this.#isPaused = true;
		this.#wakeTimer.close();
		this.#unlistedWatch.close();
		this.#pool.close();
	}

	/** Starts tasks and grants leases until no more is possible; a nested call repeats the pass instead of recursing. */
	schedule(): void {
		if (this.#isScheduling || this.#isPaused) {
			this.#shouldScheduleAgain = true;
			return;
		}

		this.#isScheduling = true;
		do {
			this.#shouldScheduleAgain = false;
			this.#scheduleOnce();
		} while (this.#shouldScheduleAgain);

		this.#isScheduling = false;
	}

	#scheduleOnce(): void {
		this.#expireJobs();
		const probeTime = this.#detector.startProbes();
		this.#broker.returnLeases(this.#loadEstimator.getLocalDemand());
		while (this.#startOrLeaseOne()) {
			// Each iteration uses one slot.
		}

		const local = this.#loadEstimator.getLocalDemand();
		this.#broker.returnLeases(local);
		const times = [probeTime, this.#broker.sendDemand(local), this.#broker.getReturnTime(), this.#jobs.getFirstDeadline()];
		this.#wakeTimer.wakeAt(Math.min(...times.filter(time => time !== undefined)));
	}

	/** Starts one task or grants one lease; returns false when neither is possible now. */
	#startOrLeaseOne(): boolean {
		const available = this.#pool.getUpstreamTable().getAvailable();
		const nextGroup = this.#getNextGroup(available);
		if (this.#broker.tryGrantLease(nextGroup, this.#queue.getOrder())) {
			return true;
		}

		if (!nextGroup) {
			return false;
		}

		this.#runner.startTask(this.#queue.takeTask(nextGroup), available);
		return true;
	}

	#getNextGroup(available: readonly UpstreamEntry[]): TaskGroup | undefined {
		if (available.length === 0 || this.#queue.getReadyTaskCount() === 0) {
			return undefined;
		}

		return this.#queue.getNextGroup((shape, team) => this.#shapes.fitsAny(shape, available) && this.#options.limits.mayStart(team));
	}

	#enqueue(job: QueuedJob): void {
		const newGroups = groupTasksByShape(job, needs => this.#shapes.getShape(needs));
		job.groups = newGroups.map(({group}) => group);
		for (const {group, tasks} of newGroups) {
			this.#queue.addTasks(group, tasks);
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

	#createOrder(): JobOrder {
		return (this.#options.policies?.createOrder ?? createJobOrder)(this.#profile);
	}
}
