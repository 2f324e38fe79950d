/**
 * What this entry VM knows of the pools of all data centres: who owns them, and how much room and work they have.
 */
import {type Clock} from '../seams/index.js';
import {type PoolView} from './pool-choice.js';
import {type Candidate, electOwners} from './pool-election.js';
import {type JobStep, type PoolJobRequest, getStepWork} from './pool-job.js';
import {getDataCenter} from './pool-layout.js';
import {type PoolClaims} from './pool-messages.js';
import {type PoolLoad} from './pool-scheduler.js';

/** Options of {@link PoolDirectory}. */
export type PoolDirectoryOptions = {
	readonly clock: Clock;
	/** Identifier of this process. */
	readonly selfId: string;
	/** Data centre of this VM. */
	readonly dataCenter: string;
	/** Gets the names of the pools known, in the same order on all entry VMs. */
	readonly getPools: () => readonly string[];
	/** Gets all entry VMs known, this one included; the same list as long as nothing of it changed. */
	readonly getCandidates: () => readonly Candidate[];
	/** Gets the load of a pool that is owned here, which is known without being told. */
	readonly getOwnLoad?: (pool: string) => PoolLoad | undefined;
};

/** Work on its way to a pool, or just arrived there. */
type Sent = {readonly at: number; readonly sequence: number; readonly cpu: number; readonly work: number};

type Knowledge = {
	load: PoolLoad;
	heardAt: number;
	/** What was sent there and is not yet counted in the load. */
	sent: readonly Sent[];
};

/**
 * Time after which the load that a heartbeat tells counts what was sent, in milliseconds: two trips between data centres and the
 * queue of a busy process.
 */
const countedAfterMs = 8;

const noLoad: PoolLoad = {
	cores: 0, freeCpu: 0, rooms: [], queuedWork: 0,
};

/** Keeps the last loads heard and finds owners. */
export class PoolDirectory {
	readonly #options: PoolDirectoryOptions;
	readonly #knowledge = new Map<string, Knowledge>();
	readonly #fences = new Map<string, number>();
	#sequence = 0;
	/** Outcome of the last election, and what it was held among. */
	#election: Election | undefined;

	constructor(options: PoolDirectoryOptions) {
		this.#options = options;
	}

	/** Gets the names of the pools, in the same order on all entry VMs. */
	getPools(): readonly string[] {
		return this.#options.getPools();
	}

	/**
	 * Gets the VM that should own a pool.
	 * @param pool - Pool.
	 */
	getElected(pool: string): Candidate | undefined {
		return this.#elect().elected.get(pool);
	}

	/**
	 * Gets the VM that owns a pool by its own word.
	 * @param pool - Pool.
	 */
	getOwner(pool: string): Candidate | undefined {
		return this.#elect().owners.get(pool);
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
	 * @param seen - Number of the last task of this VM that the load counts.
	 */
	setLoad(pool: string, load: PoolLoad, seen?: number): void {
		const now = this.#options.clock.getMonotonicTime();
		const sent = this.#knowledge.get(pool)?.sent ?? [];
		this.#knowledge.set(pool, {
			load,
			heardAt: now,
			sent: sent.filter(({at, sequence}) => seen === undefined || sequence === 0 ? now - at < countedAfterMs : sequence > seen),
		});
	}

	/**
	 * Notes that a job goes to a pool, until its owner counts it in its load.
	 * @param pool - Pool.
	 * @param job - Job.
	 */
	addSentJob(pool: string, job: PoolJobRequest): void {
		this.#addSent(pool, 0, getInitialCpu(job), job.steps.reduce((sum, step) => sum + getStepWork(step), 0));
	}

	/**
	 * Notes that a task goes to a pool, until its owner counts it in its load.
	 * @param pool - Pool.
	 * @param step - Step of the task.
	 * @returns Number of the task among those sent to the pool, from 1 on.
	 */
	addSentTask(pool: string, {needs, estimateMs}: JobStep): number {
		this.#sequence++;
		this.#addSent(pool, this.#sequence, needs.cpu, needs.cpu / 1000 * estimateMs);
		return this.#sequence;
	}

	/**
	 * Takes the fence of a pool's owner.
	 * @param pool - Pool.
	 * @param fence - Fence.
	 */
	addFence(pool: string, fence: number): void {
		this.#fences.set(pool, Math.max(fence, this.getKnownFence(pool)));
	}

	/**
	 * Gets the pools that have an owner, with what is known of their load and its age.
	 * @param pools - Pools to look at; all where it is absent.
	 */
	getViews(pools = this.getPools()): ReadonlyArray<PoolView & {readonly ageMs: number}> {
		const {clock, dataCenter, selfId} = this.#options;
		const {owners} = this.#elect();
		return pools.flatMap(pool => {
			const owner = owners.get(pool);
			if (owner === undefined) {
				return [];
			}

			const {load, heardAt, sent} = this.#getKnowledge(pool);
			const sentCpu = sent.reduce((sum, {cpu}) => sum + cpu, 0);
			const sentWork = sent.reduce((sum, {work}) => sum + work, 0);
			const overflowWork = sentCpu > load.freeCpu ? sentWork : 0;
			return [{
				pool,
				isNear: getDataCenter(pool) === dataCenter,
				isOwn: owner.id === selfId,
				ownerId: owner.id,
				cores: load.cores,
				freeCpu: load.freeCpu - sentCpu,
				rooms: subtractSent(load.rooms, sent),
				queuedWork: load.queuedWork + overflowWork,
				ageMs: Math.round(clock.getMonotonicTime() - heardAt),
			}];
		});
	}

	#getKnowledge(pool: string): Readonly<Knowledge> {
		const own = this.#options.getOwnLoad?.(pool);
		return own === undefined
			? this.#knowledge.get(pool) ?? {load: noLoad, heardAt: 0, sent: []}
			: {load: own, heardAt: this.#options.clock.getMonotonicTime(), sent: []};
	}

	#addSent(pool: string, sequence: number, cpu: number, work: number): void {
		const known = this.#knowledge.get(pool);
		if (known !== undefined) {
			known.sent = [...known.sent, {
				at: this.#options.clock.getMonotonicTime(), sequence, cpu, work,
			}];
		}
	}

	/** Elections are asked for with each job and are costly among many VMs. */
	#elect(): Election {
		const pools = this.getPools();
		const candidates = this.#options.getCandidates();
		if (this.#election?.pools !== pools || this.#election.candidates !== candidates) {
			const elected = electOwners(pools, candidates);
			this.#election = {
				pools, candidates, elected, owners: getOwners(pools, elected, candidates),
			};
		}

		return this.#election;
	}
}

type Election = {
	readonly pools: readonly string[];
	readonly candidates: readonly Candidate[];
	readonly elected: ReadonlyMap<string, Candidate>;
	readonly owners: ReadonlyMap<string, Candidate>;
};

/** Gets who owns each pool by its own word. A VM that leaves goes on owning its pool until another one has taken it over. */
function getOwners(pools: readonly string[], elected: ReadonlyMap<string, Candidate>, candidates: readonly Candidate[]): ReadonlyMap<string, Candidate> {
	const owners = new Map<string, Candidate>();
	for (const pool of pools) {
		const next = elected.get(pool);
		const owner = next?.claims[pool] === undefined ? getLastOwner(pool, candidates) : next;
		if (owner !== undefined) {
			owners.set(pool, owner);
		}
	}

	return owners;
}

function getLastOwner(pool: string, candidates: readonly Candidate[]): Candidate | undefined {
	const claimants = candidates.filter(({isUp, claims}) => isUp && claims[pool] !== undefined);
	return claimants.toSorted((a, b) => b.claims[pool]! - a.claims[pool]!)[0];
}

/** Gets the rooms that are left once what is on its way has taken its own: the smallest that holds it, or else the largest. */
function subtractSent(rooms: readonly number[], sent: readonly Sent[]): readonly number[] {
	if (sent.length === 0 || rooms.length === 0) {
		return rooms;
	}

	const left = [...rooms];
	for (const {cpu} of sent) {
		let chosen = 0;
		for (const [position, room] of left.entries()) {
			const isBetter = room >= cpu ? left[chosen]! < cpu || room < left[chosen]! : left[chosen]! < cpu && room > left[chosen]!;
			chosen = isBetter ? position : chosen;
		}

		left[chosen]! -= cpu;
	}

	return left.filter(room => room > 0);
}

/**
 * Gets the thousandths of a core that the first tasks of a job take together.
 * @param job - Job.
 */
export function getInitialCpu(job: PoolJobRequest): number {
	return job.steps.filter(({after}) => after.length === 0).reduce((sum, {taskCount, needs}) => sum + (taskCount * needs.cpu), 0);
}
