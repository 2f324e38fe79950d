/**
 * The start of waiting tasks: in the order of the queue while all of them fit, and by a plan with reservations once a job does not fit.
 */
import {
	chooseUpstream, countAllowed, defaultSchedulingOptions, getMeanRemainingMs, planStarts, type Reservation, respectsReservation, type SchedulingOptions, sortByUrgency, type WaitingTasks,
} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {excludeTooCold, getTooCold} from './cold-upstreams.js';
import {type CrashLedger} from './crash-ledger.js';
import {type DecisionLog} from './decision-log.js';
import {FreeCapacities, type UpstreamCandidate} from './free-capacities.js';
import {isSinglePoolStep, type PoolNeighbours} from './lending.js';
import {type NeighbourPools} from './neighbour-pools.js';
import {type JobStep, type TaskNeeds} from './pool-job.js';
import {type OverdueRuns} from './overdue-runs.js';
import {type ProofAges} from './proof-ages.js';
import {
	getPosition, type JobTask, type QueuedJob, type TaskStart,
} from './queued-job.js';
import {describeGround, restartMessage} from './restart-ground.js';
import {renewalAgeMs} from './sender-confirmation.js';
import {StartCounts} from './start-counts.js';
import {type SuspectPlacement, type WaitingSuspect} from './suspect-placement.js';
import {type LinkedRun, type UpstreamLink} from './upstream-link.js';

/** Options of {@link StartPass}. */
export type StartPassOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Runs that failed or were lost with their upstreams. */
	readonly ledger: CrashLedger;
	/** Counts the ages of the proofs at starts. */
	readonly proofAges: ProofAges;
	/** Gets the free capacities of the other pools. */
	readonly neighbours: Pick<PoolNeighbours, 'getCores' | 'getFreeCapacities'>;
	readonly neighbourPools: NeighbourPools;
	/** Keeps tasks under which an upstream has crashed apart from others. */
	readonly suspectPlacement: SuspectPlacement;
	/** Gets the upstreams that tasks may be started on. */
	readonly getOpenLinks: () => readonly UpstreamLink[];
	/** Gets the expected duration of a run on an average upstream, in milliseconds; `undefined` if its job is not known. */
	readonly getExpectedMs: (run: LinkedRun) => number | undefined;
	/** Knows the durations of the routes and the speeds of the upstreams. */
	readonly overdueRuns: Pick<OverdueRuns, 'createExpectation' | 'getMaxSlowness'>;
	/** Parts of the scheduling that are on; without reservations, all jobs start in their order where they fit. */
	readonly scheduling?: SchedulingOptions;
	/** Counts what the plans decide. */
	readonly startCounts?: StartCounts;
};

/** Where a task was started. */
type PlacedStart = Pick<TaskStart, 'run' | 'upstream' | 'pool' | 'freeCpu'>;

/** Ready tasks of one step of a job, as the plan sees them. */
type ReadyTasks = WaitingTasks & {readonly job: QueuedJob; readonly tasks: readonly JobTask[]};

/** Capacity of an upstream that is kept for a waiting job. */
type PoolReservation = Pick<Reservation<ReadyTasks, unknown>, 'inMs' | 'beside'> & {
	/** Monotonic time at which the capacity is expected to be free. */
	readonly at: number;
};

/** Waiting jobs of a pass by service, the most urgent first, and what was free then. */
type UnplannedJobs = {readonly byService: ReadonlyMap<string, readonly QueuedJob[]>; readonly capacities: FreeCapacities; readonly now: number};

/** Maximum number of waiting jobs that a plan examines: those further behind start only after most of these. */
const maxPlannedJobs = 64;

/** Minimum time between two lines that describe plans, in milliseconds. */
const logIntervalMs = 1000;

const noReservations: ReadonlyMap<UpstreamLink, PoolReservation> = new Map();

/** Starts the waiting tasks of a pool's jobs, and keeps the reservations of the last pass. */
export class StartPass {
	readonly #options: StartPassOptions;
	readonly #counts: StartCounts;
	/** Reservations for the jobs of the last pass. */
	#reservations = noReservations;
	/** What the last pass left waiting if nothing of it fits; its reservations are planned only when they are asked for. */
	#unplanned: UnplannedJobs | undefined;
	/** Jobs that the last plan held back. */
	#held: ReadonlySet<QueuedJob> = new Set();
	#loggedAt = -Infinity;

	constructor(options: StartPassOptions) {
		this.#options = options;
		this.#counts = options.startCounts ?? new StartCounts();
	}

	/**
	 * Starts tasks of waiting jobs.
	 * @param waiting - Jobs of which tasks may start.
	 */
	start(waiting: readonly QueuedJob[]): void {
		const {
			clock, getOpenLinks, neighbours, suspectPlacement, scheduling,
		} = this.#options;
		const reservesCapacity = scheduling?.reservesCapacity ?? defaultSchedulingOptions.reservesCapacity;
		this.#reservations = noReservations;
		this.#unplanned = undefined;
		if (waiting.length === 0) {
			suspectPlacement.place([]);
			return;
		}

		const now = clock.getMonotonicTime();
		const sorted = sortByUrgency(waiting, now);
		const capacities = new FreeCapacities(getOpenLinks, () => neighbours.getFreeCapacities());
		suspectPlacement.place(this.#getWaitingSuspects(sorted, capacities));
		for (const [position, job] of sorted.entries()) {
			// Skips most jobs of a long queue without examining the upstreams.
			const fitsNowhere = job.minTaskCpu > capacities.getMaxCpu(job.minTaskCpu);
			if (!fitsNowhere && !(reservesCapacity && this.#isCutShort(job, capacities)) && this.#startReadyTasks(job, capacities, now)) {
				continue;
			}

			if (reservesCapacity) {
				this.#startByPlan(sorted.slice(position), capacities, now);
				return;
			}
		}
	}

	/**
	 * Gets whether a job waits although tasks of it fit, because the last one would end too late.
	 * @param job - Job.
	 */
	isHeld(job: QueuedJob): boolean {
		return this.#held.has(job);
	}

	/**
	 * Gets whether a task of another pool may start on an upstream.
	 * @param link - Upstream.
	 * @param needs - Needs of the task.
	 * @param expectedMs - Expected duration of the task on an average upstream, in milliseconds.
	 */
	isUnreserved(link: UpstreamLink, needs: TaskNeeds, expectedMs: number): boolean {
		const reservation = this.#getReservations().get(link);
		return reservation === undefined
			|| respectsReservation(needs, expectedMs * link.slowness, {...reservation, inMs: reservation.at - this.#options.clock.getMonotonicTime()});
	}

	/**
	 * Gets the thousandths of a core of a free capacity that are not reserved.
	 * @param link - Upstream.
	 * @param freeCpu - Thousandths of a core that are free now.
	 */
	getUnreservedCpu(link: UpstreamLink, freeCpu: number): number {
		return Math.max(0, Math.min(freeCpu, this.#getReservations().get(link)?.beside.cpu ?? freeCpu));
	}

	#getReservations(): ReadonlyMap<UpstreamLink, PoolReservation> {
		if (this.#unplanned !== undefined) {
			const {byService, capacities, now} = this.#unplanned;
			this.#unplanned = undefined;
			this.#reservations = new Map([...byService].flatMap(([service, [head]]) => {
				const plan = planStarts(this.#getReady(head!, now), capacities.getUpstreams(service), {getReleases: upstream => this.#getReleases(upstream, now), holdsJobs: false});
				return toReservations(plan.reservations, now);
			}));
		}

		return this.#reservations;
	}

	/** Starts the ready tasks of a job in their order; gets whether all of them could start. */
	#startReadyTasks(job: QueuedJob, capacities: FreeCapacities, now: number): boolean {
		const placedCountsByStep = new Map<number, Map<string, number>>();
		for (const task of job.getReadyTasks()) {
			if (this.#isClear(job, task.name)) {
				const placedCounts = placedCountsByStep.get(task.stepPosition) ?? new Map(this.#getPlacedCounts(job, task));
				placedCountsByStep.set(task.stepPosition, placedCounts);
				const start = this.#startOnUpstream(job, task, capacities, placedCounts) ?? this.#startInOtherPool(job, task, capacities);
				if (start === undefined) {
					// Tasks of a step have the same needs: if one does not fit, the others do not either.
					return false;
				}

				if (start.upstream !== undefined) {
					placedCounts.set(start.upstream, (placedCounts.get(start.upstream) ?? 0) + 1);
				}

				this.#addStart(job, task, start, now);
			}
		}

		return true;
	}

	/** Gets whether not all ready tasks of a job that has not started fit now. */
	#isCutShort(job: QueuedJob, capacities: FreeCapacities): boolean {
		if (job.hasStarted || job.taskCount === 1) {
			return false;
		}

		const ready = job.request.steps.filter(({after}) => after.length === 0);
		const [step] = ready;
		if (ready.length !== 1 || step === undefined) {
			return false;
		}

		let remaining = step.taskCount;
		for (const upstream of capacities.getUpstreams(job.request.rules.service)) {
			remaining -= countAllowed(step, upstream);
			if (remaining <= 0) {
				return false;
			}
		}

		for (const {cpu} of isSinglePoolStep(step) ? [] : capacities.getOfOtherPools()) {
			remaining -= Math.max(0, Math.floor(cpu / step.needs.cpu));
		}

		return remaining > 0;
	}

	/** Starts tasks by a plan for the jobs from the first one that does not fit, the most urgent first. */
	#startByPlan(jobs: readonly QueuedJob[], capacities: FreeCapacities, now: number): void {
		const byService = this.#getPlannedJobs(jobs, capacities);
		const heads = [...byService.values()].map(([head]) => head!);
		const mayStart = (head: QueuedJob): boolean => head.minTaskCpu <= capacities.getMaxCpu(head.minTaskCpu);
		if ([...byService.values()].every(([head, next]) => next === undefined && (head!.hasStarted || !mayStart(head!)))) {
			// No job could start in the way of a head.
			for (const head of heads.filter(job => mayStart(job))) {
				this.#startReadyTasks(head, capacities, now);
			}

			this.#unplanned = {byService, capacities, now};
			return;
		}

		const held = new Set<QueuedJob>();
		const reservations = new Map<UpstreamLink, PoolReservation>();
		const freeElsewhere = capacities.getOfOtherPools().map(({cpu}) => cpu);
		// A job that waits alone takes capacity from no other, so that a late answer is better than none.
		const holdsJobs = jobs.length > 1;
		const startsPerOwnStart = this.#getStartsPerOwnStart();
		for (const [service, serviceJobs] of byService) {
			const upstreams = capacities.getUpstreams(service);
			const waiting = serviceJobs.flatMap(job => this.#getReady(job, now).map(ready => ({...ready, excluded: getTooCold(upstreams, () => job.getColdStart(ready.tasks[0]!, now))})));
			const plan = planStarts(waiting, upstreams, {
				getReleases: upstream => this.#getReleases(upstream, now), holdsJobs, freeElsewhere, startsPerOwnStart,
			});
			for (const {job} of plan.held) {
				held.add(job);
			}

			for (const [link, reservation] of toReservations(plan.reservations, now)) {
				reservations.set(link, reservation);
			}

			const started = new Map<ReadyTasks, number>();
			for (const {job: ready, upstream, isBackfilled} of plan.starts) {
				const position = started.get(ready) ?? 0;
				started.set(ready, position + 1);
				this.#addStart(ready.job, ready.tasks[position]!, this.#startOnCandidate(ready.job, ready.tasks[position]!, upstream), now);
				this.#counts.add(isBackfilled ? 'backfilled' : 'planned');
			}

			this.#startElsewhere(waiting.filter(({job}) => !held.has(job)), started, {capacities, now});
		}

		this.#held = held;
		this.#reservations = reservations;
		this.#counts.add('reservations', reservations.size);
		this.#counts.add('held', held.size);
		this.#logPlan(now, jobs);
	}

	/** Gets the ratio of the cores of all pools with a common queue to those of this one. */
	#getStartsPerOwnStart(): number {
		let ownCores = 0;
		for (const {description} of this.#options.getOpenLinks()) {
			ownCores += description.capacity.cpu / 1000;
		}

		return 1 + (this.#options.neighbours.getCores() / Math.max(1, ownCores));
	}

	/** Gets the jobs that a plan examines by service: the head, and those behind it of which a task fits. */
	#getPlannedJobs(jobs: readonly QueuedJob[], capacities: FreeCapacities): ReadonlyMap<string, readonly QueuedJob[]> {
		const byService = new Map<string, QueuedJob[]>();
		for (const job of jobs) {
			const {service} = job.request.rules;
			const planned = byService.get(service);
			if (planned === undefined) {
				byService.set(service, [job]);
			} else if (planned.length < maxPlannedJobs && job.minTaskCpu <= capacities.getMaxCpu(job.minTaskCpu)) {
				planned.push(job);
			}
		}

		return byService;
	}

	/** Starts tasks that the plan leaves waiting in other pools. */
	#startElsewhere(waiting: readonly ReadyTasks[], started: ReadonlyMap<ReadyTasks, number>, {capacities, now}: {readonly capacities: FreeCapacities; readonly now: number}): void {
		for (const ready of waiting) {
			for (const task of ready.tasks.slice(started.get(ready) ?? 0)) {
				const start = this.#startInOtherPool(ready.job, task, capacities);
				if (start === undefined) {
					break;
				}

				this.#addStart(ready.job, task, start, now);
			}
		}
	}

	/** Gets the ready tasks of a job by step. */
	#getReady(job: QueuedJob, now: number): readonly ReadyTasks[] {
		const byStep = new Map<JobStep, JobTask[]>();
		for (const task of job.getReadyTasks()) {
			if (this.#isClear(job, task.name)) {
				const step = job.getStep(task);
				const tasks = byStep.get(step) ?? [];
				tasks.push(task);
				byStep.set(step, tasks);
			}
		}

		// A job that cannot meet its objective by itself still has value until later.
		const endsBy = now + job.criticalPathMs > job.objectiveAt ? job.lastUsefulAt : job.objectiveAt;
		return [...byStep].map(([step, tasks]) => {
			const expectedMs = job.getReferenceMs(tasks[0]!);
			return {
				job, step, tasks, count: tasks.length, expectedMs, hasStarted: job.hasStarted,
				slackMs: endsBy - now - Math.max(0, job.criticalPathMs - job.getExpectedMs(tasks[0]!)),
				avoided: tasks[0]!.avoided,
				...(step.maxPerUpstream !== undefined && {placedCounts: job.getPlacedCounts(tasks[0]!.stepPosition)}),
			};
		});
	}

	#getReleases({link, slowness}: UpstreamCandidate, now: number): ReadonlyArray<{readonly inMs: number; readonly needs: TaskNeeds}> {
		return [...link.getRuns()].map(run => {
			const ageMs = now - run.startedAt;
			// A run of unknown length is taken to last about as long again.
			const expectedMs = (this.#options.getExpectedMs(run) ?? ageMs) * slowness;
			return {inMs: getMeanRemainingMs(ageMs, expectedMs), needs: run.needs};
		});
	}

	#addStart(job: QueuedJob, task: JobTask, start: PlacedStart, now: number): void {
		const proofMs = now - job.getConfirmedAt(now);
		job.addStart({
			...start, task: getPosition(task), afterMs: Math.round(now - job.arrivedAt), ...(proofMs > renewalAgeMs && {proofMs: Math.round(proofMs)}),
		});
	}

	#logPlan(now: number, jobs: readonly QueuedJob[]): void {
		if (now - this.#loggedAt < logIntervalMs) {
			return;
		}

		this.#loggedAt = now;
		const reservedInMs = [...this.#getReservations().values()].map(({inMs}) => Math.round(inMs)).slice(0, 8);
		this.#options.log.info({
			head: jobs[0]!.request.id, waiting: jobs.length, heldNow: this.#held.size, reservedInMs, ...this.#counts.getAll(),
		}, 'waiting tasks planned');
	}

	#isClear(job: QueuedJob, task: string): boolean {
		const {ledger} = this.#options;
		return !ledger.hasFailedRuns(job.request.id) || ledger.getVerdict(task) === 'clear';
	}

	/** Gets the ready tasks of jobs that start by themselves, since an upstream has crashed under them. */
	#getWaitingSuspects(jobs: readonly QueuedJob[], capacities: FreeCapacities): readonly WaitingSuspect[] {
		const affected = jobs.filter(job => this.#options.ledger.hasFailedRuns(job.request.id));
		return affected.flatMap(job => job.getReadyTasks().filter(({name}) => this.#options.ledger.getVerdict(name) === 'suspect').map(task => ({
			step: job.getStep(task),
			service: job.request.rules.service,
			avoided: task.avoided,
			start: link => {
				this.#startOnLink(job, task, link);
				this.#options.log.info({task: task.name, run: task.lastRunNumber, upstream: link.name}, 'suspect started by itself');
			},
			lend: () => {
				this.#startInOtherPool(job, task, capacities);
			},
		})));
	}

	/** Starts a task in the smallest sufficient free capacity of other pools and reduces that capacity; `undefined` if it fits nowhere. */
	#startInOtherPool(job: QueuedJob, task: JobTask, capacities: FreeCapacities): PlacedStart | undefined {
		const step = job.getStep(task);
		const capacity = this.#options.neighbourPools.chooseFreeCapacity(step, () => capacities.getOfOtherPools(), task.avoided);
		if (capacity === undefined) {
			return undefined;
		}

		capacities.reduceOther(capacity, step.needs.cpu);
		const failedRuns = this.#options.ledger.getFailedRuns(job.request.id, task.name);
		const host = this.#options.neighbourPools.getPool(capacity.pool);
		task.lastRunNumber++;
		job.setStatus(task, 'placed');
		task.host = host;
		job.hasStarted = true;
		this.#logRestart(job, task, {pool: capacity.pool});
		task.run = host.start({
			task: task.name, number: task.lastRunNumber, spec: job.request.spec, service: job.request.rules.service, step, expectedMs: job.getReferenceMs(task),
			...(failedRuns.length > 0 && {failedRuns}),
		}, () => job.getConfirmedAt(this.#options.clock.getMonotonicTime()));
		return {run: task.lastRunNumber, pool: capacity.pool, freeCpu: capacity.cpu};
	}

	/** Counts the running tasks of a task's step by upstream, if the step limits them. */
	#getPlacedCounts(job: QueuedJob, task: JobTask): ReadonlyMap<string, number> | undefined {
		return job.getStep(task).maxPerUpstream === undefined ? undefined : job.getPlacedCounts(task.stepPosition);
	}

	/** Starts a task on an upstream of this pool; `undefined` if none has enough free capacity. */
	#startOnUpstream(job: QueuedJob, task: JobTask, capacities: FreeCapacities, placedCounts: ReadonlyMap<string, number>): PlacedStart | undefined {
		const step = job.getStep(task);
		const allowed = capacities.getUpstreams(job.request.rules.service);
		const preferred = task.avoided.size === 0 ? allowed : allowed.filter(({id}) => !task.avoided.has(id));
		const warmEnough = excludeTooCold(preferred.length > 0 ? preferred : allowed, () => job.getColdStart(task, this.#options.clock.getMonotonicTime()));
		const chosen = chooseUpstream(step, warmEnough, placedCounts, this.#options.overdueRuns.getMaxSlowness(job, task));
		if (chosen === undefined) {
			return undefined;
		}

		const start = this.#startOnCandidate(job, task, chosen);
		capacities.update(chosen);
		return start;
	}

	#startOnCandidate(job: QueuedJob, task: JobTask, {link}: UpstreamCandidate): PlacedStart {
		const {cpu: freeCpu} = link.getFreeCapacity();
		this.#startOnLink(job, task, link);
		return {run: task.lastRunNumber, upstream: link.name, freeCpu};
	}

	#startOnLink(job: QueuedJob, task: JobTask, link: UpstreamLink): void {
		const now = this.#options.clock.getMonotonicTime();
		this.#options.proofAges.add('start', now - job.getConfirmedAt(now));
		task.lastRunNumber++;
		job.setStatus(task, 'placed');
		task.host = link;
		job.hasStarted = true;
		this.#logRestart(job, task, {upstream: link.name});
		task.run = link.start({
			task: task.name, number: task.lastRunNumber, needs: job.getStep(task).needs, spec: job.request.spec, getLeaseLimit: job.getLeaseLimit,
			expectation: this.#options.overdueRuns.createExpectation(job, task),
		});
	}

	/** Logs why a task is started that may have been started before, by this owner or an earlier one. */
	#logRestart({priorFence, arrivedAt}: QueuedJob, {name, lastRunNumber: run, restartGround}: JobTask, place: Pick<TaskStart, 'upstream' | 'pool'>): void {
		if (restartGround === undefined && priorFence === 0) {
			return;
		}

		const now = this.#options.clock.getMonotonicTime();
		const fields = {
			task: name, run, ...place, afterMs: Math.round(now - arrivedAt), ...(priorFence > 0 && {priorFence}), ...(restartGround && describeGround(restartGround, now)),
		};
		// Other pools may refuse hundreds of starts a second, and an earlier owner may have left hundreds of tasks.
		const isRare = restartGround?.grounds !== undefined && restartGround.isRefusedElsewhere !== true;
		this.#options.log[isRare ? 'info' : 'debug'](fields, restartMessage);
	}
}

function toReservations(reservations: ReadonlyArray<Reservation<ReadyTasks, UpstreamCandidate>>, now: number): ReadonlyArray<[UpstreamLink, PoolReservation]> {
	return reservations.map(({upstream, inMs, beside}) => [upstream.link, {inMs, beside, at: now + inMs}]);
}
