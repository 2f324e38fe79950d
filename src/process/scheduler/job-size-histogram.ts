/**
 * Histogram of queued tasks by the size of their job.
 */

/** Number of buckets per doubling of the job size. */
const bucketsPerDoubling = 2;

/** Number of buckets; covers jobs of up to a million tasks. */
const bucketCount = 42;

/**
 * Counts queued tasks by the size of their job in logarithmic buckets, so that the work ahead of a job of a given size
 * is computed without iterating over all jobs.
 * @internal
 */
export class JobSizeHistogram {
	readonly #counts = Array.from({length: bucketCount}, () => 0);

	/**
	 * Adds tasks.
	 * @param jobSize - Number of queued tasks of their job.
	 * @param count - Number of tasks to add.
	 */
	addTasks(jobSize: number, count: number): void {
		if (count > 0) {
			this.#counts[getBucket(jobSize)]! += count;
		}
	}

	/**
	 * Removes tasks.
	 * @param jobSize - Number of queued tasks of their job when they were added.
	 * @param count - Number of tasks to remove.
	 */
	removeTasks(jobSize: number, count: number): void {
		if (count > 0) {
			this.#counts[getBucket(jobSize)]! -= count;
		}
	}

	/**
	 * Moves a job's tasks to another bucket after a change of its number of queued tasks.
	 * @param from - Previous number of queued tasks.
	 * @param to - New number of queued tasks.
	 */
	updateJobSize(from: number, to: number): void {
		this.removeTasks(from, from);
		this.addTasks(to, to);
	}

	/**
	 * Counts the tasks of jobs up to a size, rounded up to the bucket's limit.
	 * @param jobSize - Number of queued tasks of the job to compare with.
	 */
	countTasksUpToSize(jobSize: number): number {
		const lastBucket = getBucket(jobSize);
		let sum = 0;
		for (let bucket = 0; bucket <= lastBucket; bucket++) {
			sum += this.#counts[bucket]!;
		}

		return sum;
	}
}

function getBucket(jobSize: number): number {
	return Math.min(Math.floor(Math.log2(Math.max(jobSize, 1)) * bucketsPerDoubling), bucketCount - 1);
}
