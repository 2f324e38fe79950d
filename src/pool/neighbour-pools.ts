/**
 * The neighbour pools as hosts for tasks.
 */
import {isSinglePoolStep, type NeighbourCapacity} from './lending.js';
import {NeighbourPool, type NeighbourPoolOptions} from './neighbour-pool.js';
import {type JobStep} from './pool-job.js';

/** Holds the neighbour pools and chooses among their free capacities. */
export class NeighbourPools {
	readonly #options: NeighbourPoolOptions;
	readonly #pools = new Map<string, NeighbourPool>();

	constructor(options: NeighbourPoolOptions) {
		this.#options = options;
	}

	/**
	 * Gets a pool; it is created at the first call.
	 * @param name - Name of the pool.
	 */
	getPool(name: string): NeighbourPool {
		const pool = this.#pools.get(name) ?? new NeighbourPool(name, this.#options);
		this.#pools.set(name, pool);
		return pool;
	}

	/**
	 * Chooses the smallest free capacity that holds a task, which leaves larger ones for larger tasks.
	 * @param step - Step of the task.
	 * @param getFreeCapacities - Gets the free capacities of the other pools' upstreams; not called for a task that can run only in its own pool.
	 * @param avoidedPools - Pools that cannot hold the task, or where it failed.
	 * @returns The free capacity; `undefined` if none holds the task or it can run only in its own pool.
	 */
	chooseFreeCapacity(step: JobStep, getFreeCapacities: () => readonly NeighbourCapacity[], avoidedPools: ReadonlySet<string>): NeighbourCapacity | undefined {
		if (isSinglePoolStep(step)) {
			return undefined;
		}

		let smallest: NeighbourCapacity | undefined;
		for (const capacity of getFreeCapacities()) {
			const isSmaller = capacity.cpu >= step.needs.cpu && (smallest === undefined || capacity.cpu < smallest.cpu);
			if (isSmaller && !avoidedPools.has(capacity.pool) && this.getPool(capacity.pool).isAcceptingStarts()) {
				smallest = capacity;
			}
		}

		return smallest;
	}

	/** Abandons all runs in other pools without waiting for their ends. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}
}
