/**
 * Another pool as a host for tasks that do not fit into the free capacity of their own pool.
 */
import {type Clock, sleep} from '../seams/index.js';
import {
	type LentTask, type LendRefusal, type PoolNeighbours,
} from './lending.js';
import {type RunHost} from './run-host.js';
import {type LinkedRun} from './upstream-link.js';
import {type RunEnd} from './upstream-orders.js';

/** Events of a {@link NeighbourPool}. */
export type NeighbourPoolEvents = {
	readonly onRunEnded: (host: RunHost, run: LinkedRun, end: RunEnd) => void;
	readonly onRunRefused: (host: RunHost, run: LinkedRun, reason: LendRefusal) => void;
};

/** Time for which a pool that refused a task gets no further ones, in milliseconds: two trips between data centres and an answer. */
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
	/** Abort controllers of the current runs, one per run since each ends separately. */
	readonly #runControllers = new Set<AbortController>();
	#suspendedUntil = -Infinity;

	constructor(readonly name: string, options: NeighbourPoolOptions) {
		this.#options = options;
	}

	/** Gets whether tasks may be sent to the pool now. */
	isAcceptingStarts(): boolean {
		return this.#options.clock.getMonotonicTime() >= this.#suspendedUntil;
	}

	/** Always `false`: the owner there watches its upstreams, and a lost run ends after a time limit. */
	isSilent(): boolean {
		return false;
	}

	/**
	 * Starts a run; its end or refusal is reported as an event.
	 * @param task - Task.
	 * @param getConfirmedAt - Gets the monotonic time at which a sender of the job was last known to wait.
	 */
	start(task: LentTask, getConfirmedAt?: () => number): LinkedRun {
		const now = this.#options.clock.getMonotonicTime();
		const run: LinkedRun = {
			task: task.task, number: task.number, needs: task.step.needs, spec: task.spec, startedAt: now, state: 'running', confirmedAt: now, isStopRequested: false, lateAt: 0,
		};
		void this.#awaitRun(run, task, getConfirmedAt);
		return run;
	}

	stop(run: LinkedRun, isOverdue = false): void {
		if (!run.isStopRequested) {
			run.isStopRequested = true;
			void this.#options.neighbours.stop(this.name, {task: run.task, number: run.number}, isOverdue);
		}
	}

	/** Abandons all runs without waiting for their ends. */
	close(): void {
		for (const controller of this.#runControllers) {
			controller.abort();
		}

		this.#runControllers.clear();
	}

	async #awaitRun(run: LinkedRun, task: LentTask, getConfirmedAt?: () => number): Promise<void> {
		const {clock, neighbours, lostRunTimeoutMs, events} = this.#options;
		const controller = new AbortController();
		this.#runControllers.add(controller);
		const outcome = await neighbours.run(this.name, task, controller.signal, getConfirmedAt);
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
