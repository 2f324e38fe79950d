/**
 * What this entry VM knows of the pools of all data centres: who owns them, and how much room and work they have.
 */
import {type Clock} from '../seams/index.js';
import {type PoolView} from './pool-choice.js';
import {type Candidate, electOwner} from './pool-election.js';
import {type PoolJobRequest, getStepWork} from './pool-job.js';
import {type PoolClaims} from './pool-messages.js';
import {type PoolLoad} from './pool-scheduler.js';

/** Options of {@link PoolDirectory}. */
export type PoolDirectoryOptions = {
	readonly clock: Clock;
	/** Data centre of this VM. */
	readonly dataCenter: string;
	/** Data centres, each with one pool. */
	readonly pools: readonly string[];
	/** Gets all entry VMs known, this one included. */
	readonly getCandidates: () => readonly Candidate[];
};

type Knowledge = {
	load: PoolLoad;
	heardAt: number;
	/** Thousandths of a core and core-milliseconds of jobs sent there since. */
	sentCpu: number;
	sentWork: number;
};

const noLoad: PoolLoad = {cores: 0, freeCpu: 0, queuedWork: 0};

/** Keeps the last loads heard and finds owners. */
export class PoolDirectory {
	readonly #options: PoolDirectoryOptions;
	readonly #knowledge = new Map<string, Knowledge>();
	readonly #fences = new Map<string, number>();

	constructor(options: PoolDirectoryOptions) {
		this.#options = options;
	}

	/** Gets the names of the pools. */
	getPools(): readonly string[] {
		return this.#options.pools;
	}

	/**
	 * Gets the VM that should own a pool.
	 * @param pool - Pool.
	 */
	getElected(pool: string): Candidate | undefined {
		return electOwner(pool, this.#options.getCandidates());
	}

	/**
	 * Gets the VM that owns a pool by its own word.
	 * @param pool - Pool.
	 */
	getOwner(pool: string): Candidate | undefined {
		const elected = this.getElected(pool);
		return elected?.claims[pool] === undefined ? this.#getLeavingOwner(pool) : elected;
	}

	/**
	 * Gets the highest fence heard of a pool.
	 * @param pool - Pool.
	 */
	getKnownFence(pool: string): number {
		return this.#fences.get(pool) ?? 0;
	}

	/**
	 * Takes what a VM tells of its pools.
	 * @param claims - Its pools.
	 */
	addClaims(claims: PoolClaims): void {
		for (const [pool, {fence, load}] of Object.entries(claims)) {
			if (fence >= this.getKnownFence(pool)) {
				this.#fences.set(pool, fence);
				this.setLoad(pool, load);
			}
		}
	}

	/**
	 * Sets the load of a pool as its owner just told it.
	 * @param pool - Pool.
	 * @param load - Load.
	 */
	setLoad(pool: string, load: PoolLoad): void {
		this.#knowledge.set(pool, {
			load, heardAt: this.#options.clock.getMonotonicTime(), sentCpu: 0, sentWork: 0,
		});
	}

	/**
	 * Notes that a job goes to a pool, until its owner tells of its load again.
	 * @param pool - Pool.
	 * @param job - Job.
	 */
	addSent(pool: string, job: PoolJobRequest): void {
		const known = this.#knowledge.get(pool);
		if (known !== undefined) {
			known.sentCpu += getFirstCpu(job);
			known.sentWork += job.steps.reduce((sum, step) => sum + getStepWork(step), 0);
		}
	}

	/** Gets the pools that have an owner, with what is known of their load and its age. */
	getViews(): ReadonlyArray<PoolView & {readonly ageMs: number}> {
		const {clock, dataCenter, pools} = this.#options;
		return pools.flatMap(pool => {
			const owner = this.getOwner(pool);
			if (owner === undefined) {
				return [];
			}

			const {load, heardAt, sentCpu, sentWork} = this.#knowledge.get(pool) ?? {
				load: noLoad, heardAt: 0, sentCpu: 0, sentWork: 0,
			};
			const overflowWork = sentCpu > load.freeCpu ? sentWork : 0;
			return [{
				pool,
				isNear: pool === dataCenter,
				ownerId: owner.id,
				cores: load.cores,
				freeCpu: load.freeCpu - sentCpu,
				queuedWork: load.queuedWork + overflowWork,
				ageMs: Math.round(clock.getMonotonicTime() - heardAt),
			}];
		});
	}

	/** A VM that leaves goes on owning its pool until another one has taken it over. */
	#getLeavingOwner(pool: string): Candidate | undefined {
		const claimants = this.#options.getCandidates().filter(({isUp, claims}) => isUp && claims[pool] !== undefined);
		return claimants.toSorted((a, b) => b.claims[pool]! - a.claims[pool]!)[0];
	}
}

/**
 * Gets the thousandths of a core that the first tasks of a job take together.
 * @param job - Job.
 */
export function getFirstCpu(job: PoolJobRequest): number {
	return job.steps.filter(({after}) => after.length === 0).reduce((sum, {taskCount, needs}) => sum + (taskCount * needs.cpu), 0);
}
