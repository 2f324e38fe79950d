/**
 * Runs to which something happened recently, the latest run of each task.
 */
import {type Run} from './upstream-orders.js';

/** A remembered run. */
export type RecentRun = Run & {
	/** Monotonic time of what happened. */
	readonly at: number;
};

/** Remembers the latest run of each task for a time; older ones are removed as others are added. */
export class RecentRuns {
	readonly #retentionMs: number;
	/** In the order of their times. */
	readonly #runs = new Map<string, RecentRun>();

	/**
	 * @param retentionMs - Time for which a run is remembered at least, in milliseconds.
	 */
	constructor(retentionMs: number) {
		this.#retentionMs = retentionMs;
	}

	/**
	 * Adds a run.
	 * @param run - Run; replaces an earlier one of its task.
	 * @param at - Monotonic time, not before that of the run added last.
	 */
	addRun({task, number}: Run, at: number): void {
		for (const earlier of this.#runs.values()) {
			if (at - earlier.at < this.#retentionMs) {
				break;
			}

			this.#runs.delete(earlier.task);
		}

		this.#runs.delete(task);
		this.#runs.set(task, {task, number, at});
	}

	/**
	 * Gets the remembered run of a task; `undefined` if there is none.
	 * @param task - Task.
	 */
	getRun(task: string): RecentRun | undefined {
		return this.#runs.get(task);
	}

	/** Gets all remembered runs. */
	getRuns(): Iterable<RecentRun> {
		return this.#runs.values();
	}
}
