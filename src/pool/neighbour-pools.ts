/**
 * The other pools as places for tasks.
 */
import {isBoundStep, type NeighbourCapacity} from './lending.js';
import {NeighbourPool, type NeighbourPoolOptions} from './neighbour-pool.js';
import {type JobStep} from './pool-job.js';

/** Keeps one place for each other pool. */
export class NeighbourPools {
	readonly #options: NeighbourPoolOptions;
	readonly #pools = new Map<string, NeighbourPool>();

	constructor(options: NeighbourPoolOptions) {
		this.#options = options;
	}

	/**
	 * Gets a pool, which is added when it is first asked for.
	 * @param name - Pool.
	 */
	getPool(name: string): NeighbourPool {
		const pool = this.#pools.get(name) ?? new NeighbourPool(name, this.#options);
		this.#pools.set(name, pool);
		return pool;
	}

	/**
	 * Chooses the smallest room that holds a task, which leaves larger ones for wider tasks.
	 * @param step - Step of the task.
	 * @param freeCapacities - Rooms of the other pools.
	 * @param avoidedPools - Pools that cannot hold the task, or where it failed.
	 */
	chooseFreeCapacity<T extends NeighbourCapacity>(step: JobStep, freeCapacities: readonly T[], avoidedPools: ReadonlySet<string>): T | undefined {
		if (isBoundStep(step)) {
			return undefined;
		}

		const fitting = freeCapacities.filter(({pool, cpu}) => cpu >= step.needs.cpu && !avoidedPools.has(pool) && this.getPool(pool).isAcceptingStarts());
		return fitting.toSorted((a, b) => a.cpu - b.cpu)[0];
	}

	/** Ends all runs there without waiting for them. */
	close(): void {
		for (const pool of this.#pools.values()) {
			pool.close();
		}
	}
}
