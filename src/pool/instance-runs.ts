/**
 * The runs that may be on the current instance of an upstream, to name those that a crash has ended.
 */
import {type Run} from './upstream-orders.js';

/** Sign of the state of an instance. `refused`: it refuses connections. `crash`: it has ended. `alive`: it has answered after a refusal. */
export type InstanceSign = 'refused' | 'crash' | 'alive';

/** Log messages of the signs. */
export const instanceSignMessages: Readonly<Record<InstanceSign, string>> = {refused: 'upstream refuses connections', crash: 'upstream crashed', alive: 'upstream has not crashed'};

/** Maximum number of tasks in a log entry. */
const maxLoggedTasks = 8;

/**
 * Describes runs for the log.
 * @param runs - Runs.
 */
export function describeRuns(runs: readonly Run[]): {readonly runs: number; readonly tasks: readonly string[]} {
	return {runs: runs.length, tasks: runs.slice(0, maxLoggedTasks).map(({task}) => task)};
}

/** Options of {@link InstanceRuns}. */
export type InstanceRunsOptions = {
	/** Gets the monotonic time in milliseconds. */
	readonly getTime: () => number;
	/**
	 * Called with each new sign and the runs that may be on the instance, and again for runs that turn out to have been there; `isAlone` if there is one run
	 * in all, and nothing suggests that it was not at work there.
	 */
	readonly onSign: (sign: InstanceSign, runs: readonly Run[], isAlone: boolean) => void;
};

/** Time after the last answer of an instance from which its runs have ended before a sign that it may have ended, in milliseconds: longer than a lease. */
const maxUnseenMs = 5000;

/** Run that may be on the instance. */
type InstanceRun = Run & {
	/** Whether the instance answered its start or listed it. */
	isSeen: boolean;
	/** Monotonic time at which a stop was sent that may have been carried out; `Infinity` before. */
	stoppedAt: number;
};

/** Runs of one instance since its last answered poll, including those whose lease has ended unseen. */
export class InstanceRuns {
	readonly #options: InstanceRunsOptions;
	/** Runs by task. */
	readonly #runs = new Map<string, InstanceRun>();
	/** Last sign that the instance may have ended; the first one and its monotonic time. */
	#sign: 'refused' | 'crash' | undefined;
	#firstSign: 'refused' | 'crash' | undefined;
	#signedAt = -Infinity;
	/** Monotonic time at which the instance last answered, or a run was added. */
	#seenAt = -Infinity;

	constructor(options: InstanceRunsOptions) {
		this.#options = options;
	}

	/**
	 * Adds a run whose start may have been carried out.
	 * @param run - Run.
	 * @param isSeen - Whether the instance answered its start or listed it.
	 */
	addRun({task, number}: Run, isSeen: boolean): void {
		const known = this.#runs.get(task);
		if (known?.number === number) {
			known.isSeen ||= isSeen;
			return;
		}

		this.#runs.set(task, {
			task, number, isSeen, stoppedAt: Infinity,
		});
		this.#seenAt = this.#options.getTime();
		if (this.#sign !== undefined) {
			this.#report(this.#sign, [{task, number}]);
		}
	}

	/**
	 * Records that a run may have been stopped.
	 * @param task - Task of the run.
	 * @param sentAt - Monotonic time at which the stop was sent.
	 */
	setStopped(task: string, sentAt: number): void {
		const run = this.#runs.get(task);
		if (run !== undefined) {
			run.stoppedAt = Math.min(run.stoppedAt, sentAt);
		}
	}

	/** Reports that the instance refuses connections: it has crashed, or a network partition refuses them. */
	reportRefusal(): void {
		if (this.#sign === undefined) {
			this.#setSign('refused');
		}
	}

	/** Reports that the instance has ended. */
	reportEnd(): void {
		if (this.#sign !== 'crash') {
			this.#setSign('crash');
		}
	}

	/**
	 * Removes runs that have ended, because the instance has answered a poll.
	 * @param sentAt - Monotonic time at which the poll was sent.
	 * @param isCurrent - Gets whether a task has a run there.
	 */
	confirmAlive(sentAt: number, isCurrent: (task: string) => boolean): void {
		if (this.#sign !== undefined && sentAt <= this.#signedAt) {
			return;
		}

		if (this.#sign === 'refused') {
			this.#report('alive');
		}

		this.#sign = undefined;
		this.#seenAt = this.#options.getTime();
		for (const task of this.#runs.keys()) {
			if (!isCurrent(task)) {
				this.#runs.delete(task);
			}
		}
	}

	/**
	 * Removes all runs, because another instance has answered.
	 * @param isThere - Gets whether a run was started on the other instance.
	 */
	replaceInstance(isThere: (run: Run) => boolean): void {
		for (const run of this.#runs.values()) {
			if (isThere(run)) {
				this.#runs.delete(run.task);
			}
		}

		this.reportEnd();
		this.#runs.clear();
		this.#sign = undefined;
	}

	#setSign(sign: 'refused' | 'crash'): void {
		if (this.#sign === undefined) {
			this.#firstSign = sign;
			this.#signedAt = this.#options.getTime();
			if (this.#signedAt - this.#seenAt > maxUnseenMs) {
				this.#runs.clear();
			}
		}

		this.#sign = sign;
		this.#report(sign);
	}

	#report(sign: InstanceSign, runs: readonly Run[] = [...this.#runs.values()]): void {
		this.#options.onSign(sign, runs.map(({task, number}) => ({task, number})), this.#runs.size === 1 && [...this.#runs.values()].every(run => this.#wasAtWork(run)));
	}

	/**
	 * Gets whether a run was at work when the instance ended, as far as is known. An unanswered start may be lost; a refused connection soon after it suggests
	 * that it was carried out. A run that may have been stopped may have ended without its end being read.
	 */
	#wasAtWork({isSeen, stoppedAt}: InstanceRun): boolean {
		return (isSeen || this.#firstSign === 'refused') && stoppedAt > this.#signedAt;
	}
}
