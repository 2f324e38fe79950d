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
	 * @param freeCapacities - Free capacities of the other pools' upstreams.
	 * @param avoidedPools - Pools that cannot hold the task, or where it failed.
	 * @returns The free capacity; `undefined` if none holds the task or it can run only in its own pool.
	 */
	chooseFreeCapacity<T extends NeighbourCapacity>(step: JobStep, freeCapacities: readonly T[], avoidedPools: ReadonlySet<string>): T | undefined {
		if (isSinglePoolStep(step)) {
			return undefined;
		}

		const fitting = freeCapacities.filter(({pool, cpu}) => cpu >= step.needs.cpu && !avoidedPools.has(pool) && this.getPool(pool).isAcceptingStarts());
		return fitting.toSorted((a, b) => a.cpu - b.cpu)[0];
	}

	/** Abandons all runs in other pools without waiting for their ends. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}
}
