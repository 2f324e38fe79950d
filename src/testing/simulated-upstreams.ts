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
	readonly startedAt: number;
	endedAt: number | undefined;
	end: RunEnd | undefined;
};

/** Faults of one upstream, to be set while a test runs. */
export type SimulatedFaults = {
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
};

type SimulatedRun = RecordedStart & {readonly work: SimulatedWork; timer: Timer | undefined};

type Life = {
	readonly description: UpstreamDescription;
	readonly faults: SimulatedFaults;
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
	readonly travelMs?: number;
	readonly maxLeaseMs?: number;
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
	 * Adds an upstream.
	 * @param description - Upstream.
	 */
	addUpstream(description: UpstreamDescription): SimulatedFaults {
		const faults: SimulatedFaults = {
			isCutOff: false, isMute: false, isHanging: false, isFailing: false, slowness: 1,
		};
		this.#lives.set(description.id, {
			description, faults, runs: new Map(), stopped: new Map(), ended: [], position: 0, fence: 0, leaseUntil: 0, leaseTimer: undefined, waiters: new Set(),
		});
		return faults;
	}

	/** Gets the number of looks so far. */
	getLookCount(): number {
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
			this.#extendLease(life, options.leaseUntilMs);
			return this.#start(life, options.run);
		});
	}

	async stopRun(options: OrderOptions & {readonly run: Run}): Promise<OrderOutcome> {
		return this.#carryOut(options, life => {
			const {task, number} = options.run;
			life.stopped.set(task, Math.max(number, life.stopped.get(task) ?? 0));
			const run = life.runs.get(task);
			if (run?.number === number) {
				this.#end(life, run, 'stopped');
			}

			return this.#createDone();
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
				upstreamTimeMs: this.#options.clock.getMonotonicTime(),
				running: [...life.runs.values()].map(({task, number}) => ({task, number})),
				ended: [...life.ended],
			};
		});
	}

	async #carryOut<T extends OrderOutcome | LookOutcome>(options: OrderOptions, act: (life: Life) => T | Promise<T>): Promise<T | NoOutcome> {
		const {clock, travelMs = defaultTravelMs} = this.#options;
		const life = this.#lives.get(options.upstream.id);
		const unanswered = {kind: 'unanswered', detail: 'no answer'} as const;
		await this.#wait(travelMs);
		if (life === undefined || life.faults.isCutOff) {
			await this.#wait(options.timeoutMs - travelMs);
			return unanswered;
		}

		if (options.fence < life.fence) {
			return {kind: 'refused', reason: 'fenced'};
		}

		life.fence = options.fence;
		const startedAt = clock.getMonotonicTime();
		const outcome = await act(life);
		await this.#wait(travelMs);
		if (life.faults.isCutOff || life.faults.isMute) {
			await this.#wait(Math.max(0, options.timeoutMs - (clock.getMonotonicTime() - startedAt)));
			return unanswered;
		}

		return outcome;
	}

	#start(life: Life, {task, number}: Run): OrderOutcome {
		const running = life.runs.get(task);
		if (running !== undefined) {
			return running.number === number ? this.#createDone() : {kind: 'refused', reason: 'stale-run'};
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
			task, number, upstream: life.description.id, startedAt: this.#options.clock.getMonotonicTime(), endedAt: undefined, end: undefined, work, timer: undefined,
		};
		if (!life.faults.isHanging) {
			run.timer = this.#options.clock.setTimer(() => {
				this.#end(life, run, life.faults.isFailing ? 'failed' : work.end ?? 'done');
			}, work.durationMs * life.faults.slowness);
		}

		life.runs.set(task, run);
		this.starts.push(run);
		return this.#createDone();
	}

	#end(life: Life, run: SimulatedRun, end: RunEnd): void {
		run.timer?.close();
		run.endedAt = this.#options.clock.getMonotonicTime();
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
		const {clock, maxLeaseMs = defaultMaxLeaseMs} = this.#options;
		const now = clock.getMonotonicTime();
		life.leaseUntil = Math.max(life.leaseUntil, Math.min(untilMs, now + maxLeaseMs));
		life.leaseTimer?.close();
		life.leaseTimer = clock.setTimer(() => {
			for (const run of life.runs.values()) {
				this.#end(life, run, 'lapsed');
			}
		}, life.leaseUntil - now);
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

	#createDone(): OrderOutcome {
		return {kind: 'done', upstreamTimeMs: this.#options.clock.getMonotonicTime()};
	}
}
