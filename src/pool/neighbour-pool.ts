/**
 * Another pool as a place for tasks that find no room in their own.
 */
import {type Clock, sleep} from '../seams/index.js';
import {
	type LentTask, type LendRefusal, type PoolNeighbours,
} from './lending.js';
import {type RunHost} from './run-host.js';
import {type LinkedRun} from './upstream-link.js';
import {type RunEnd} from './upstream-orders.js';

/** What a neighbour tells the scheduler. */
export type NeighbourPoolEvents = {
	readonly onRunEnded: (host: RunHost, run: LinkedRun, end: RunEnd) => void;
	readonly onRunRefused: (host: RunHost, run: LinkedRun, reason: LendRefusal) => void;
};

/** Time for which a pool that had no room is not asked again, in milliseconds: two trips between data centres and an answer. */
const refusalSuspensionMs = 8;

/** Options of {@link NeighbourPool}. */
export type NeighbourPoolOptions = {
	readonly clock: Clock;
	readonly neighbours: PoolNeighbours;
	/** Time after which a lost run has ended, in milliseconds. */
	readonly lostRunTimeoutMs: number;
	readonly events: NeighbourPoolEvents;
};

/** Runs tasks in another pool, through its owner. */
export class NeighbourPool implements RunHost {
	readonly #options: NeighbourPoolOptions;
	/** One for each run, since a run may end by itself. */
	readonly #runControllers = new Set<AbortController>();
	#suspendedUntil = -Infinity;

	constructor(readonly name: string, options: NeighbourPoolOptions) {
		this.#options = options;
	}

	/** Gets whether it may be asked for room. */
	isAcceptingStarts(): boolean {
		return this.#options.clock.getMonotonicTime() >= this.#suspendedUntil;
	}

	/** The owner there watches its upstreams; a lost run is ended by {@link start}. */
	isSilent(): boolean {
		return false;
	}

	/**
	 * Starts a run; its end or refusal comes as an event.
	 * @param task - Task.
	 */
	start(task: LentTask): LinkedRun {
		const now = this.#options.clock.getMonotonicTime();
		const run: LinkedRun = {
			task: task.task, number: task.number, needs: task.step.needs, spec: task.spec, startedAt: now, state: 'running', confirmedAt: now, isStopRequested: false,
		};
		void this.#awaitRun(run, task);
		return run;
	}

	stop(run: LinkedRun, isOverdue = false): void {
		if (!run.isStopRequested) {
			run.isStopRequested = true;
			void this.#options.neighbours.stop(this.name, {task: run.task, number: run.number}, isOverdue);
		}
	}

	/** Ends the runs there without waiting for them. */
	close(): void {
		for (const controller of this.#runControllers) {
			controller.abort();
		}

		this.#runControllers.clear();
	}

	async #awaitRun(run: LinkedRun, task: LentTask): Promise<void> {
		const {clock, neighbours, lostRunTimeoutMs, events} = this.#options;
		const controller = new AbortController();
		this.#runControllers.add(controller);
		const outcome = await neighbours.run(this.name, task, controller.signal);
		if (outcome.kind === 'lost') {
			run.state = 'lost';
			await sleep(clock, lostRunTimeoutMs, controller.signal);
		}

		if (!this.#runControllers.delete(controller)) {
			return;
		}

		if (outcome.kind === 'refused') {
			this.#suspendedUntil = clock.getMonotonicTime() + refusalSuspensionMs;
			events.onRunRefused(this, run, outcome.reason);
		} else {
			events.onRunEnded(this, run, outcome.kind === 'ended' ? outcome.end : 'lapsed');
		}
	}
}
