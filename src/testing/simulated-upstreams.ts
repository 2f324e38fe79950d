/**
 * Upstreams in memory that carry out the orders of pool owners, for tests and measurements on a manual clock.
 */
import {
	type ListedEnd, type LookOutcome, type OrderOptions, type OrderOutcome, type Run, type RunEnd, type TaskNeeds, type UpstreamDescription, type UpstreamOrders,
} from '../pool/index.js';
import {type Clock, type Timer} from '../seams/index.js';

/** What the stand-in knows of a task's work. */
export type SimulatedWork = {
	readonly needs: TaskNeeds;
	/** Duration on an upstream of usual speed, in milliseconds. */
	readonly durationMs: number;
	/** How the task ends; `done` where it is absent. */
	readonly end?: RunEnd;
};

/** One start that an upstream carried out. */
export type RecordedStart = Run & {
	readonly upstream: string;
	/** Fence of the order. */
	readonly fence: number;
	readonly startedAt: number;
	endedAt: number | undefined;
	end: RunEnd | undefined;
};

/** Faults of one upstream, to be set while a test runs. */
export type SimulatedUpstreamFaults = {
	/** Whether it gets nothing and answers nothing. */
	isCutOff: boolean;
	/** Whether answers are lost while orders are carried out. */
	isMute: boolean;
	/** Whether tasks that start stand still. */
	isHanging: boolean;
	/** Whether all tasks fail. */
	isFailing: boolean;
	/** Factor of all durations. */
	slowness: number;
	/** Gets the time by which an order is carried out late, in milliseconds; such an order is not answered. */
	getLateMs?: () => number;
};

type SimulatedRun = RecordedStart & {readonly work: SimulatedWork; timer: Timer | undefined; isStopping: boolean};

type Life = {
	readonly description: UpstreamDescription;
	/** Time at which its clock shows 0. */
	readonly clockOriginMs: number;
	/** Whether the life has ended; connections are refused. */
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
	/** Gets the work of a task by its name. */
	readonly getWork: (task: string) => SimulatedWork;
	/** Time of one way to an upstream, in milliseconds. */
	readonly oneWayLatencyMs?: number;
	readonly maxLeaseMs?: number;
	/** Time that a stop takes, in milliseconds. */
	readonly stopMs?: number;
	/** Speed of the upstreams' clocks; below 1 they are slow. */
	readonly clockRate?: number;
};

type NoOutcome =
	| {readonly kind: 'refused'; readonly reason: 'fenced'}
	| {readonly kind: 'unanswered'; readonly detail: string};

const defaultTravelMs = 0.4;
const defaultMaxLeaseMs = 1000;

/** Carries out orders and keeps a record of all starts. */
export class SimulatedUpstreams implements UpstreamOrders {
	readonly starts: RecordedStart[] = [];
	readonly #options: SimulatedUpstreamsOptions;
	readonly #lives = new Map<string, Life>();
	#looks = 0;

	constructor(options: SimulatedUpstreamsOptions) {
		this.#options = options;
	}

	/**
	 * Adds an upstream, or a new life of one that has crashed, whose clock starts anew.
	 * @param description - Upstream.
	 */
	addUpstream(description: UpstreamDescription): SimulatedUpstreamFaults {
		const last = this.#lives.get(description.id);
		const faults: SimulatedUpstreamFaults = last?.faults ?? {
			isCutOff: false, isMute: false, isHanging: false, isFailing: false, slowness: 1,
		};
		const clockOriginMs = last === undefined ? 0 : this.#options.clock.getMonotonicTime();
		this.#lives.set(description.id, {
			description, faults, clockOriginMs, isCrashed: false, runs: new Map(), stopped: new Map(), ended: [], position: 0, fence: 0, leaseUntil: 0, leaseTimer: undefined, waiters: new Set(),
		});
		return faults;
	}

	/**
	 * Ends the life of an upstream; what runs there ends with it, and nobody hears of it.
	 * @param id - Upstream.
	 */
	crash(id: string): void {
		const life = this.#lives.get(id)!;
		life.isCrashed = true;
		life.leaseTimer?.close();
		for (const run of life.runs.values()) {
			this.#end(life, run, 'lapsed');
		}
	}

	/** Gets the number of looks so far. */
	getPollCount(): number {
		return this.#looks;
	}

	/** Gets the tasks that had two runs at the same time. */
	getDoubleRuns(): readonly string[] {
		const byTask = new Map<string, RecordedStart[]>();
		for (const start of this.starts) {
			byTask.set(start.task, [...(byTask.get(start.task) ?? []), start]);
		}

		return [...byTask].filter(([, runs]) => runs.some((run, position) => runs.slice(position + 1).some(later => run.endedAt === undefined || later.startedAt < run.endedAt))).map(([task]) => task);
	}

	async startRun(options: OrderOptions & {readonly run: Run; readonly leaseUntilMs: number}): Promise<OrderOutcome> {
		return this.#carryOut(options, life => {
			if (options.leaseUntilMs <= this.#getTime(life)) {
				return {kind: 'refused', reason: 'late'};
			}

			this.#extendLease(life, options.leaseUntilMs);
			return this.#start(life, options.run, options.fence);
		});
	}

	async stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome> {
		return this.#carryOut(options, life => {
			const {task, number} = options.run;
			life.stopped.set(task, Math.max(number, life.stopped.get(task) ?? 0));
			const run = life.runs.get(task);
			if (run?.number === number) {
				this.#stop(life, run);
			}

			return this.#createDone(life);
		});
	}

	async look(options: OrderOptions & {readonly acknowledged: number; readonly leaseUntilMs?: number; readonly waitMs: number}): Promise<LookOutcome> {
		this.#looks++;
		return this.#carryOut<LookOutcome>(options, async life => {
			life.ended = life.ended.filter(({position}) => position > options.acknowledged);
			if (options.leaseUntilMs !== undefined) {
				this.#extendLease(life, options.leaseUntilMs);
			}

			if (life.ended.length === 0 && options.waitMs > 0) {
				await this.#waitForEnd(life, options.waitMs);
			}

			return {
				kind: 'seen',
				bornMs: life.description.bornMs,
				upstreamTimeMs: this.#getTime(life),
				running: [...life.runs.values()].map(({task, number}) => ({task, number})),
				ended: [...life.ended],
			};
		});
	}

	async #carryOut<T extends OrderOutcome | LookOutcome>(options: OrderOptions, act: (life: Life) => T | Promise<T>): Promise<T | NoOutcome> {
		const {clock, oneWayLatencyMs: travelMs = defaultTravelMs} = this.#options;
		const unanswered = {kind: 'unanswered', detail: 'no answer'} as const;
		await this.#wait(travelMs);
		const life = this.#lives.get(options.upstream.id);
		if (life?.isCrashed) {
			return unanswered;
		}

		if (life === undefined || life.faults.isCutOff) {
			await this.#wait(options.timeoutMs - travelMs);
			return unanswered;
		}

		const lateMs = life.faults.getLateMs?.() ?? 0;
		if (lateMs > 0) {
			void this.#carryOutLate(life, options, act, lateMs);
			await this.#wait(options.timeoutMs - travelMs);
			return unanswered;
		}

		this.#endLapsed(life);
		if (options.fence < life.fence) {
			return {kind: 'refused', reason: 'fenced'};
		}

		life.fence = options.fence;
		const startedAt = clock.getMonotonicTime();
		const outcome = await act(life);
		await this.#wait(travelMs);
		if (life.faults.isCutOff || life.faults.isMute || life.isCrashed) {
			await this.#wait(Math.max(0, options.timeoutMs - (clock.getMonotonicTime() - startedAt)));
			return unanswered;
		}

		return outcome;
	}

	async #carryOutLate<T>(life: Life, {fence}: OrderOptions, act: (life: Life) => T | Promise<T>, lateMs: number): Promise<void> {
		await this.#wait(lateMs);
		if (!life.isCrashed && fence >= life.fence) {
			this.#endLapsed(life);
			life.fence = fence;
			await act(life);
		}
	}

	#start(life: Life, {task, number}: Run, fence: number): OrderOutcome {
		const running = life.runs.get(task);
		if (running !== undefined) {
			return running.number === number ? this.#createDone(life) : {kind: 'refused', reason: 'stale-run'};
		}

		if (number <= (life.stopped.get(task) ?? 0)) {
			return {kind: 'refused', reason: 'stale-run'};
		}

		const work = this.#options.getWork(task);
		let {cpu} = life.description.capacity;
		for (const other of life.runs.values()) {
			cpu -= other.work.needs.cpu;
		}

		if (work.needs.cpu > cpu) {
			return {kind: 'refused', reason: 'no-room'};
		}

		const run: SimulatedRun = {
			task,
			number,
			fence,
			upstream: life.description.id,
			startedAt: this.#options.clock.getMonotonicTime(),
			endedAt: undefined,
			end: undefined,
			work,
			timer: undefined,
			isStopping: false,
		};
		if (!life.faults.isHanging) {
			run.timer = this.#options.clock.setTimer(() => {
				this.#endLapsed(life);
				if (run.endedAt !== undefined) {
					return;
				}

				this.#end(life, run, life.faults.isFailing ? 'failed' : work.end ?? 'done');
			}, work.durationMs * life.faults.slowness);
		}

		life.runs.set(task, run);
		this.starts.push(run);
		return this.#createDone(life);
	}

	#stop(life: Life, run: SimulatedRun): void {
		const {clock, stopMs = 0} = this.#options;
		if (stopMs === 0) {
			this.#end(life, run, 'stopped');
		} else if (!run.isStopping) {
			run.isStopping = true;
			run.timer?.close();
			run.timer = clock.setTimer(() => {
				this.#end(life, run, 'stopped');
			}, stopMs);
		}
	}

	#end(life: Life, run: SimulatedRun, end: RunEnd, endedAt = this.#options.clock.getMonotonicTime()): void {
		run.timer?.close();
		run.endedAt = endedAt;
		run.end = end;
		life.runs.delete(run.task);
		life.stopped.set(run.task, Math.max(run.number, life.stopped.get(run.task) ?? 0));
		life.position++;
		life.ended.push({
			position: life.position, task: run.task, number: run.number, end,
		});
		for (const waiter of life.waiters) {
			waiter();
		}
	}

	#extendLease(life: Life, untilMs: number): void {
		const {clock, maxLeaseMs = defaultMaxLeaseMs, clockRate = 1} = this.#options;
		const now = this.#getTime(life);
		life.leaseUntil = Math.max(life.leaseUntil, Math.min(untilMs, now + maxLeaseMs));
		life.leaseTimer?.close();
		life.leaseTimer = clock.setTimer(() => {
			this.#endLapsed(life);
		}, (life.leaseUntil - now) / clockRate);
	}

	/** Ends what runs when the lease is over; a timer that is late does not prolong it. */
	#endLapsed(life: Life): void {
		const {clockRate = 1} = this.#options;
		if (life.leaseUntil > this.#getTime(life)) {
			return;
		}

		for (const run of life.runs.values()) {
			this.#end(life, run, 'lapsed', life.clockOriginMs + (life.leaseUntil / clockRate));
		}
	}

	async #waitForEnd(life: Life, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = (): void => {
				timer.close();
				life.waiters.delete(finish);
				resolve();
			};

			const timer = this.#options.clock.setTimer(finish, waitMs);
			life.waiters.add(finish);
		});
	}

	async #wait(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#options.clock.setTimer(resolve, Math.max(0, delayMs));
		});
	}

	/** Gets the time on an upstream's own clock. */
	#getTime({clockOriginMs}: Life): number {
		const {clock, clockRate = 1} = this.#options;
		return (clock.getMonotonicTime() - clockOriginMs) * clockRate;
	}

	#createDone(life: Life): OrderOutcome {
		return {kind: 'done', upstreamTimeMs: this.#getTime(life)};
	}
}
