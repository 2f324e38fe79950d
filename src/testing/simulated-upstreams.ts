/**
 * In-memory upstreams that execute the orders of pool owners, for tests and measurements on a manual clock.
 */
import {
	type ListedEnd, type PollOutcome, type OrderOptions, type OrderOutcome, type Run, type RunEnd, type TaskNeeds, type UnansweredOrder, type UpstreamDescription,
	type UpstreamOrders,
} from '../pool/index.js';
import {type Clock, type Timer} from '../seams/index.js';

/** Work of a task. */
export type SimulatedWork = {
	readonly needs: TaskNeeds;
	/** Duration on an upstream with a slowness of 1, in milliseconds. */
	readonly durationMs: number;
	/** End of the task; `done` by default. */
	readonly end?: RunEnd;
	/** Time after its start at which it crashes its upstream, in milliseconds; by default, it does not. */
	readonly crashesAfterMs?: number;
};

/** Run that an upstream has started. */
export type RecordedStart = Run & {
	readonly upstream: string;
	/** Fence of the start order. */
	readonly fence: number;
	readonly startedAt: number;
	/** Needs of all runs on the upstream once this one has started, including those that are being stopped. */
	readonly used: TaskNeeds;
	/** Capacity of the upstream at the start. */
	readonly capacity: TaskNeeds;
	endedAt: number | undefined;
	end: RunEnd | undefined;
	/** Whether the upstream crashed while it ran. */
	isEndedByCrash: boolean;
	/** Task that crashed the upstream while it ran; `undefined` if none did. */
	crashedBy: string | undefined;
};

/** Faults of an upstream; a test sets them while it runs. */
export type SimulatedUpstreamFaults = {
	/** Whether it receives no orders and sends no answers. */
	isCutOff: boolean;
	/** Whether orders are executed but their answers are lost. */
	isMute: boolean;
	/** Whether tasks that start never finish. */
	isHanging: boolean;
	/** Whether all tasks fail. */
	isFailing: boolean;
	/** Factor applied to the durations of tasks. */
	slowness: number;
	/** Returns the delay of the next order, in milliseconds; a delayed order is executed but not answered. */
	getLateMs?: () => number;
	/** Whether a delayed order is executed by a later instance if the one that it was sent to has crashed. */
	reachesNextInstance?: boolean;
	/** Whether the lease of a delayed order counts from its execution. */
	grantsLeaseLate?: boolean;
	/** Returns whether the next order is executed and then answered with something that cannot be understood. */
	isAnswerOdd?: () => boolean;
	/** Returns the delay of the next answer, in milliseconds; answers may overtake each other. */
	getAnswerDelayMs?: () => number;
	/** Duration of stopping a run, in milliseconds. */
	stopMs?: number;
	/** Maximum number of ends in one answer. */
	maxListedEnds?: number;
};

type SimulatedRun = RecordedStart & {readonly work: SimulatedWork; timer: Timer | undefined; isStopping: boolean};

type UpstreamInstance = {
	description: UpstreamDescription;
	/** Time at which its clock shows 0. */
	readonly clockOriginMs: number;
	/** Whether the instance has crashed; its connections are refused. */
	isCrashed: boolean;
	readonly faults: SimulatedUpstreamFaults;
	readonly runs: Map<string, SimulatedRun>;
	readonly stopped: Map<string, number>;
	ended: ListedEnd[];
	position: number;
	fence: number;
	leaseUntil: number;
	leaseTimer: Timer | undefined;
	readonly waiters: Set<() => void>;
};

/** Options of {@link SimulatedUpstreams}. */
export type SimulatedUpstreamsOptions = {
	readonly clock: Clock;
	/** Returns the work of a task. */
	readonly getWork: (task: string) => SimulatedWork;
	/** One-way latency to an upstream, in milliseconds. */
	readonly oneWayLatencyMs?: number;
	/** Maximum lease that an upstream grants, in milliseconds. */
	readonly maxLeaseMs?: number;
	/** Duration of stopping a run, in milliseconds. */
	readonly stopMs?: number;
	/** Rate of the upstreams' clocks; below 1 they are slow. */
	readonly clockRate?: number;
	/** Whether orders reach only the instance at the address that they are sent to; otherwise the newest one of the upstream. */
	readonly isRoutedByAddress?: boolean;
	/** Whether the upstreams refuse what exceeds their capacity, as they do by default; otherwise they start whatever they are told to. */
	readonly isGuarded?: boolean;
	/** Called with an upstream that a task has crashed. */
	readonly onTaskCrashed?: (upstream: UpstreamDescription) => void;
};

type OrderFailure =
	| {readonly kind: 'refused'; readonly reason: 'fenced' | 'wrong-instance'}
	| UnansweredOrder;

/** Executes an order; `lateMs` is added to its lease. */
type Operation<T> = (instance: UpstreamInstance, lateMs: number) => T | Promise<T>;

/** Detail of the outcome of an order that was executed and whose answer cannot be understood. */
export const oddAnswerDetail = 'the answer cannot be understood';

const defaultOneWayLatencyMs = 0.4;
const defaultMaxLeaseMs = 1000;

/** Minimum delay of the timer that ends a lease, in milliseconds, so that time passes until it is set again. */
const minLeaseTimerMs = 0.001;

/** Executes orders and records all started runs. */
export class SimulatedUpstreams implements UpstreamOrders {
	readonly starts: RecordedStart[] = [];
	readonly #options: SimulatedUpstreamsOptions;
	/** Newest instance of each upstream. */
	readonly #instances = new Map<string, UpstreamInstance>();
	/** Earlier instances that work on at another address, by address. */
	readonly #formerInstances = new Map<string, UpstreamInstance>();
	#pollCount = 0;

	constructor(options: SimulatedUpstreamsOptions) {
		this.#options = options;
	}

	/**
	 * Adds an upstream, or a new instance of one, whose clock restarts at 0. An earlier instance that has not crashed works on at its address.
	 * @param description - Upstream.
	 * @returns Faults of the upstream, to be changed by the test; those of the earlier instance stay in force.
	 */
	addUpstream(description: UpstreamDescription): SimulatedUpstreamFaults {
		const previousInstance = this.#instances.get(description.id);
		const faults: SimulatedUpstreamFaults = previousInstance?.faults ?? {
			isCutOff: false, isMute: false, isHanging: false, isFailing: false, slowness: 1,
		};
		if (previousInstance?.isCrashed === false) {
			this.#formerInstances.set(previousInstance.description.address, previousInstance);
		}

		const clockOriginMs = previousInstance === undefined ? 0 : this.#options.clock.getMonotonicTime();
		this.#instances.set(description.id, {
			description, faults, clockOriginMs, isCrashed: false, runs: new Map(), stopped: new Map(), ended: [], position: 0, fence: 0, leaseUntil: 0, leaseTimer: undefined, waiters: new Set(),
		});
		return faults;
	}

	/**
	 * Crashes an upstream; its runs end and their end is not reported.
	 * @param id - Identifier of the upstream.
	 */
	crash(id: string): void {
		this.#crash(this.#instances.get(id)!);
	}

	/**
	 * Crashes an earlier instance that works on; its runs end and their end is not reported.
	 * @param address - Address of the instance.
	 */
	crashFormer(address: string): void {
		const instance = this.#formerInstances.get(address);
		if (instance !== undefined) {
			this.#formerInstances.delete(address);
			this.#crash(instance);
		}
	}

	/**
	 * Changes the capacity of an upstream. Its runs go on, even if they exceed it.
	 * @param id - Identifier of the upstream.
	 * @param capacity - New capacity.
	 * @returns The description that the upstream registers from now on.
	 */
	setCapacity(id: string, capacity: TaskNeeds): UpstreamDescription {
		const instance = this.#instances.get(id)!;
		instance.description = {...instance.description, capacity};
		return instance.description;
	}

	/** Gets the number of polls so far. */
	getPollCount(): number {
		return this.#pollCount;
	}

	/** Gets the tasks that had two concurrent runs. */
	getDoubleRuns(): readonly string[] {
		const byTask = new Map<string, RecordedStart[]>();
		for (const start of this.starts) {
			byTask.set(start.task, [...(byTask.get(start.task) ?? []), start]);
		}

		return [...byTask].filter(([, runs]) => runs.some((run, position) => runs.slice(position + 1).some(later => run.endedAt === undefined || later.startedAt < run.endedAt))).map(([task]) => task);
	}

	async startRun(options: OrderOptions & {readonly run: Run; readonly leaseUntilMs: number}): Promise<OrderOutcome> {
		return this.#execute(options, (instance, lateMs) => {
			const leaseUntilMs = options.leaseUntilMs + lateMs;
			if (leaseUntilMs <= this.#getTime(instance)) {
				return {kind: 'refused', reason: 'late'};
			}

			this.#extendLease(instance, leaseUntilMs);
			return this.#start(instance, options.run, options.fence);
		});
	}

	async stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome> {
		return this.#execute(options, instance => {
			const {task, number} = options.run;
			instance.stopped.set(task, Math.max(number, instance.stopped.get(task) ?? 0));
			const run = instance.runs.get(task);
			if (run?.number === number) {
				this.#stop(instance, run);
			}

			return this.#createDone(instance);
		});
	}

	async poll(options: OrderOptions & {readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): Promise<PollOutcome> {
		this.#pollCount++;
		return this.#execute<PollOutcome>(options, async (instance, lateMs) => {
			instance.ended = instance.ended.filter(({position}) => position > options.acknowledged);
			if (options.leaseUntilMs !== undefined) {
				this.#extendLease(instance, options.leaseUntilMs + lateMs);
			}

			if (instance.ended.length === 0 && options.waitMs > 0) {
				await this.#waitForEnd(instance, options.waitMs);
			}

			return {
				kind: 'seen',
				bornMs: instance.description.bornMs,
				upstreamTimeMs: this.#getTime(instance),
				running: [...instance.runs.values()].map(({task, number}) => ({task, number})),
				ended: instance.ended.slice(0, instance.faults.maxListedEnds),
				isEndListComplete: instance.ended.length <= (instance.faults.maxListedEnds ?? Infinity),
			};
		});
	}

	async #execute<T extends OrderOutcome | PollOutcome>(options: OrderOptions, operation: Operation<T>): Promise<T | OrderFailure> {
		const {clock, oneWayLatencyMs = defaultOneWayLatencyMs} = this.#options;
		const unanswered = {kind: 'unanswered', detail: 'no answer'} as const;
		const connectionRefused = {kind: 'unanswered', detail: 'connection refused', isRefused: true} as const;
		await this.#wait(oneWayLatencyMs);
		const instance = this.#getInstance(options);
		const isAbsent = instance?.isCrashed ?? this.#options.isRoutedByAddress;
		if (isAbsent && !instance?.faults.isCutOff) {
			return this.#options.isRoutedByAddress && this.#isAddressInUse(options.upstream.address) ? {kind: 'refused', reason: 'wrong-instance'} : connectionRefused;
		}

		if (instance === undefined || instance.faults.isCutOff) {
			await this.#wait(options.timeoutMs - oneWayLatencyMs);
			return unanswered;
		}

		const delayMs = instance.faults.getLateMs?.() ?? 0;
		if (delayMs > 0) {
			void this.#executeLate(instance, options, operation, delayMs);
			await this.#wait(options.timeoutMs - oneWayLatencyMs);
			return unanswered;
		}

		this.#endExpiredRuns(instance);
		if (options.fence < instance.fence) {
			return {kind: 'refused', reason: 'fenced'};
		}

		instance.fence = options.fence;
		const startedAt = clock.getMonotonicTime();
		const outcome = await operation(instance, 0);
		if (!await this.#deliverAnswer(instance, oneWayLatencyMs)) {
			await this.#wait(Math.max(0, options.timeoutMs - (clock.getMonotonicTime() - startedAt)));
			return unanswered;
		}

		return instance.faults.isAnswerOdd?.() ? {kind: 'unanswered', detail: oddAnswerDetail} : outcome;
	}

	/** Waits until an answer arrives; returns whether it does. A delayed answer arrives even if the instance crashes meanwhile. */
	async #deliverAnswer(instance: UpstreamInstance, oneWayLatencyMs: number): Promise<boolean> {
		const {faults, isCrashed} = instance;
		const delayMs = faults.getAnswerDelayMs?.() ?? 0;
		await this.#wait(oneWayLatencyMs + delayMs);
		return !faults.isCutOff && !faults.isMute && !(delayMs > 0 ? isCrashed : instance.isCrashed);
	}

	async #executeLate<T>(recipient: UpstreamInstance, {fence}: OrderOptions, operation: Operation<T>, delayMs: number): Promise<void> {
		const {reachesNextInstance = false, grantsLeaseLate = false} = recipient.faults;
		await this.#wait(delayMs);
		const {id, address} = recipient.description;
		const newest = this.#instances.get(id)!;
		const instance = reachesNextInstance && recipient.isCrashed && newest.description.address === address ? newest : recipient;
		if (!instance.isCrashed && fence >= instance.fence) {
			this.#endExpiredRuns(instance);
			instance.fence = fence;
			await operation(instance, grantsLeaseLate ? delayMs : 0);
		}
	}

	#getInstance({upstream: {id, address}}: OrderOptions): UpstreamInstance | undefined {
		const newest = this.#instances.get(id);
		if (!this.#options.isRoutedByAddress || newest?.description.address === address) {
			return newest;
		}

		const former = this.#formerInstances.get(address);
		return former?.description.id === id ? former : undefined;
	}

	#isAddressInUse(address: string): boolean {
		return [...this.#instances.values()].some(({description, isCrashed}) => description.address === address && !isCrashed);
	}

	/** Ends an instance and its runs; `task` is the one that crashed it, if any did. */
	#crash(instance: UpstreamInstance, task?: string): void {
		instance.isCrashed = true;
		instance.leaseTimer?.close();
		for (const run of instance.runs.values()) {
			run.isEndedByCrash = true;
			run.crashedBy = task;
			this.#end(instance, run, 'lapsed');
		}
	}

	#start(instance: UpstreamInstance, {task, number}: Run, fence: number): OrderOutcome {
		const running = instance.runs.get(task);
		if (running !== undefined) {
			return running.number === number ? this.#createDone(instance) : {kind: 'refused', reason: 'stale-run'};
		}

		if (number <= (instance.stopped.get(task) ?? 0)) {
			return {kind: 'refused', reason: 'stale-run'};
		}

		const work = this.#options.getWork(task);
		const {capacity} = instance.description;
		const used = getSum([...instance.runs.values(), {work}].map(({work: {needs}}) => needs));
		if (used.cpu > capacity.cpu && (this.#options.isGuarded ?? true)) {
			return {kind: 'refused', reason: 'no-room'};
		}

		const run: SimulatedRun = {
			task,
			number,
			fence,
			upstream: instance.description.id,
			startedAt: this.#options.clock.getMonotonicTime(),
			used,
			capacity,
			endedAt: undefined,
			end: undefined,
			isEndedByCrash: false,
			crashedBy: undefined,
			work,
			timer: undefined,
			isStopping: false,
		};
		if (work.crashesAfterMs !== undefined) {
			run.timer = this.#options.clock.setTimer(() => {
				this.#endExpiredRuns(instance);
				if (run.endedAt === undefined) {
					this.#crash(instance, task);
					this.#options.onTaskCrashed?.(instance.description);
				}
			}, work.crashesAfterMs);
		} else if (!instance.faults.isHanging) {
			run.timer = this.#options.clock.setTimer(() => {
				this.#endExpiredRuns(instance);
				if (run.endedAt !== undefined) {
					return;
				}

				this.#end(instance, run, instance.faults.isFailing ? 'failed' : work.end ?? 'done');
			}, work.durationMs * instance.faults.slowness);
		}

		instance.runs.set(task, run);
		this.starts.push(run);
		return this.#createDone(instance);
	}

	#stop(instance: UpstreamInstance, run: SimulatedRun): void {
		const {clock} = this.#options;
		const stopMs = instance.faults.stopMs ?? this.#options.stopMs ?? 0;
		if (stopMs === 0) {
			this.#end(instance, run, 'stopped');
		} else if (!run.isStopping) {
			run.isStopping = true;
			run.timer?.close();
			run.timer = clock.setTimer(() => {
				this.#end(instance, run, 'stopped');
			}, stopMs);
		}
	}

	#end(instance: UpstreamInstance, run: SimulatedRun, end: RunEnd, endedAt = this.#options.clock.getMonotonicTime()): void {
		run.timer?.close();
		run.endedAt = endedAt;
		run.end = end;
		instance.runs.delete(run.task);
		instance.stopped.set(run.task, Math.max(run.number, instance.stopped.get(run.task) ?? 0));
		instance.position++;
		instance.ended.push({
			position: instance.position, task: run.task, number: run.number, end,
		});
		for (const waiter of instance.waiters) {
			waiter();
		}
	}

	#extendLease(instance: UpstreamInstance, untilMs: number): void {
		const {maxLeaseMs = defaultMaxLeaseMs} = this.#options;
		instance.leaseUntil = Math.max(instance.leaseUntil, Math.min(untilMs, this.#getTime(instance) + maxLeaseMs));
		this.#setLeaseTimer(instance);
	}

	#setLeaseTimer(instance: UpstreamInstance): void {
		const {clock, clockRate = 1} = this.#options;
		instance.leaseTimer?.close();
		instance.leaseTimer = clock.setTimer(() => {
			this.#endExpiredRuns(instance);
			// Rounding may make the timer early by the upstream's clock.
			if (instance.leaseUntil > this.#getTime(instance)) {
				this.#setLeaseTimer(instance);
			}
		}, Math.max(minLeaseTimerMs, (instance.leaseUntil - this.#getTime(instance)) / clockRate));
	}

	/** Ends all runs when the lease has expired, as of its expiry: a late timer does not prolong the lease. */
	#endExpiredRuns(instance: UpstreamInstance): void {
		const {clockRate = 1} = this.#options;
		if (instance.leaseUntil > this.#getTime(instance)) {
			return;
		}

		for (const run of instance.runs.values()) {
			this.#end(instance, run, 'lapsed', instance.clockOriginMs + (instance.leaseUntil / clockRate));
		}
	}

	async #waitForEnd(instance: UpstreamInstance, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				timer.close();
				instance.waiters.delete(finish);
				resolve();
			};

			const timer = this.#options.clock.setTimer(finish, waitMs);
			instance.waiters.add(finish);
		});
	}

	async #wait(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.setTimer(resolve, Math.max(0, delayMs));
		});
	}

	/** Gets the time on an upstream's own clock. */
	#getTime({clockOriginMs}: UpstreamInstance): number {
		const {clock, clockRate = 1} = this.#options;
		return (clock.getMonotonicTime() - clockOriginMs) * clockRate;
	}

	#createDone(instance: UpstreamInstance): OrderOutcome {
		return {kind: 'done', upstreamTimeMs: this.#getTime(instance)};
	}
}

function getSum(needs: readonly TaskNeeds[]): TaskNeeds {
	const sum = {cpu: 0, memoryMb: 0, accelerators: 0};
	for (const {cpu, memoryMb, accelerators} of needs) {
		sum.cpu += cpu;
		sum.memoryMb += memoryMb;
		sum.accelerators += accelerators;
	}

	return sum;
}
