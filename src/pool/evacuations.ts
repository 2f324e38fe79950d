/**
 * The evacuated data centres, on whose upstreams no task may be started.
 */
import {getDataCenter} from './pool-layout.js';

/** The evacuated data centres at a revision of the store; a state with a higher revision is newer. */
export type Evacuation = {
	readonly revision: number;
	/** Names of the data centres, sorted. */
	readonly dataCenters: readonly string[];
};

/** Numbers of what evacuations have caused in this process. */
export type EvacuationCounts = {
	/** Jobs that had not started and were released to be submitted to other pools. */
	readonly movedJobs: number;
	/** Starts that were refused to other pools or withdrawn, and jobs that were refused on arrival. */
	readonly withheldStarts: number;
};

/** Evacuation as it concerns one pool. */
export type PoolEvacuation = {
	/** Gets whether the data centre of the pool is evacuated. */
	readonly isEvacuated: () => boolean;
	/** Calls a function after each change; returns a function that ends this. */
	readonly subscribe: (listener: () => void) => () => void;
	/** Gets whether a start must be withheld since the data centre is evacuated, and counts it then. */
	readonly withholdStart: () => boolean;
	/** Counts jobs that are released to be submitted to other pools. */
	readonly addMovedJobs: (count: number) => void;
};

/** Evacuation of a pool whose data centre is never evacuated. */
export const neverEvacuated: PoolEvacuation = {
	isEvacuated: () => false,
	subscribe: () => () => {/* Nothing was subscribed. */},
	withholdStart: () => false,
	addMovedJobs() {/* Nothing is counted. */},
};

/** Holds the newest known state; its revision never decreases. */
export class Evacuations {
	#state: Evacuation = {revision: 0, dataCenters: []};
	#names: ReadonlySet<string> = new Set();
	#hasBeenSet = false;
	#movedJobs = 0;
	#withheldStarts = 0;
	readonly #listeners = new Set<() => void>();

	/** Gets the newest state; revision 0 and no data centres before any is known. */
	getState(): Evacuation {
		return this.#state;
	}

	/** Gets whether any VM is known to have known an evacuation; tasks may be lent between pools that are no neighbours otherwise. */
	hasBeenSet(): boolean {
		return this.#hasBeenSet;
	}

	/** Records that a VM has known an evacuation. */
	setHasBeenSet(): void {
		this.#hasBeenSet = true;
	}

	/** Gets the counts of this process. */
	getCounts(): EvacuationCounts {
		return {movedJobs: this.#movedJobs, withheldStarts: this.#withheldStarts};
	}

	/**
	 * Gets whether a data centre is evacuated.
	 * @param dataCenter - Data centre.
	 */
	isEvacuated(dataCenter: string): boolean {
		return this.#names.has(dataCenter);
	}

	/**
	 * Gets whether the data centre of a pool is evacuated.
	 * @param pool - Pool.
	 */
	hasPool(pool: string): boolean {
		// Called for each view of a pool; most deployments have no evacuation.
		return this.#names.size > 0 && this.#names.has(getDataCenter(pool));
	}

	/**
	 * Sets the state if its revision is higher than that of the current one.
	 * @param state - State.
	 * @returns Whether the evacuated data centres have changed.
	 */
	setState({revision, dataCenters}: Evacuation): boolean {
		if (revision <= this.#state.revision) {
			return false;
		}

		const names = new Set(dataCenters);
		this.#hasBeenSet ||= names.size > 0;
		const hasChanged = names.size !== this.#names.size || [...names].some(name => !this.#names.has(name));
		this.#state = {revision, dataCenters: hasChanged ? [...names].toSorted() : this.#state.dataCenters};
		if (hasChanged) {
			this.#names = names;
			for (const listener of this.#listeners) {
				listener();
			}
		}

		return hasChanged;
	}

	/**
	 * Creates the view of one pool.
	 * @param dataCenter - Data centre of the pool.
	 */
	createView(dataCenter: string): PoolEvacuation {
		return {
			isEvacuated: () => this.isEvacuated(dataCenter),
			subscribe: listener => {
				this.#listeners.add(listener);
				return () => {
					this.#listeners.delete(listener);
				};
			},
			withholdStart: () => {
				const isEvacuated = this.isEvacuated(dataCenter);
				this.#withheldStarts += Number(isEvacuated);
				return isEvacuated;
			},
			addMovedJobs: count => {
				this.#movedJobs += count;
			},
		};
	}
}
