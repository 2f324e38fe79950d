/**
 * Counts of queued tasks by the size of their job.
 */

/** Doubling of the number of tasks that one counter stands for, divided into this many steps. */
const stepsPerDoubling = 2;

/** Counters; enough for jobs of a million tasks. */
const counterCount = 42;

/**
 * Counts queued tasks by the size of their job, so that the work ahead of a job of some size is known without a
 * look at each job.
 * @internal
 */
export class JobSizeHistogram {
	readonly #counts = Array.from({length: counterCount}, () => 0);

	/**
	 * Adds tasks.
	 * @param remaining - Queued tasks of their job.
	 * @param count - Number of tasks.
	 */
	addTasks(remaining: number, count: number): void {
		if (count > 0) {
			this.#counts[getCounter(remaining)]! += count;
		}
	}

	/**
	 * Removes tasks.
	 * @param remaining - Queued tasks of their job.
	 * @param count - Number of tasks.
	 */
	removeTasks(remaining: number, count: number): void {
		if (count > 0) {
			this.#counts[getCounter(remaining)]! -= count;
		}
	}

	/**
	 * Counts a job again after a change of its number of queued tasks.
	 * @param from - Number before.
	 * @param to - Number after.
	 */
	updateJobSize(from: number, to: number): void {
		this.removeTasks(from, from);
		this.addTasks(to, to);
	}

	/**
	 * Gets the number of tasks in jobs that have about as many tasks or fewer.
	 * @param remaining - Queued tasks of the job to compare with.
	 */
	countTasksUpToSize(remaining: number): number {
		const last = getCounter(remaining);
		let sum = 0;
		for (let counter = 0; counter <= last; counter++) {
			sum += this.#counts[counter]!;
		}

		return sum;
	}
}

function getCounter(remaining: number): number {
	return Math.min(Math.floor(Math.log2(Math.max(remaining, 1)) * stepsPerDoubling), counterCount - 1);
}
