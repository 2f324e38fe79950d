/**
 * Owners and loads of the pools of all data centres, as known to this entry VM.
 */
import {type PoolView} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {Evacuations} from './evacuations.js';
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
	/** Returns the names of the known pools, in the same order on all entry VMs. */
	readonly getPools: () => readonly string[];
	/** Returns all known entry VMs, including this one; the same array until one of them changes. */
	readonly getCandidates: () => readonly Candidate[];
	/** Time after which a load that another VM passed on counts as unknown, in milliseconds. */
	readonly relayedMaxAgeMs?: number;
	/** Returns the current load of a pool owned by this VM; `undefined` for other pools. */
	readonly getOwnLoad?: (pool: string) => PoolLoad | undefined;
	/** Evacuated data centres, whose pools have no cores; none by default. */
	readonly evacuations?: Evacuations;
};

/** Work sent to a pool that the pool's last load may not include. */
type InFlightWork = {readonly at: number; readonly sequence: number; readonly cpu: number; readonly work: number};

type KnownLoad = {
	load: PoolLoad;
	/** Monotonic time at which this VM, or the one that passed the load on, received it from the pool's owner; `undefined` if no load was received. */
	receivedAt?: number;
	/** Work sent to the pool that the load does not yet include. */
	inFlight: readonly InFlightWork[];
	/** View of the pool, until its load, the work sent to it, its owner or the evacuation of its data centre changes. */
	view?: PoolView;
	isEvacuated?: boolean;
};

/**
 * Time after which the load in a heartbeat includes work sent before, in milliseconds: two trips between data centres and the
 * event queue of a busy process.
 */
const loadCoverageDelayMs = 8;

/** Default of {@link PoolDirectoryOptions.relayedMaxAgeMs}. */
const defaultRelayedMaxAgeMs = 3000;

/** A load of a pool of another data centre that this VM received from the pool's owner. */
export type ReceivedLoad = {
	readonly pool: string;
	/** Highest known fence of the pool. */
	readonly fence: number;
	readonly load: PoolLoad;
	/** Monotonic time. */
	readonly receivedAt: number;
};

const noLoad: PoolLoad = {
	cores: 0, freeCpu: 0, rooms: [], queuedWork: 0,
};

/** Stores the last received loads and determines owners. */
export class PoolDirectory {
	readonly #options: PoolDirectoryOptions;
	/** Loads that this VM received from the owners. */
	readonly #loads = new Map<string, KnownLoad>();
	/** Loads of pools of other data centres that VMs of this one passed on, where they are newer. */
	readonly #relayed = new Map<string, KnownLoad>();
	readonly #fences = new Map<string, number>();
	readonly #evacuations: Evacuations;
	#sequence = 0;
	/** Result of the last election with its inputs. */
	#election: Election | undefined;

	constructor(options: PoolDirectoryOptions) {
		this.#options = options;
		this.#evacuations = options.evacuations ?? new Evacuations();
	}

	/** Gets the names of the pools, in the same order on all entry VMs. */
	getPools(): readonly string[] {
		return this.#options.getPools();
	}

	/**
	 * Gets the VM that is elected to own a pool.
	 * @param pool - Pool.
	 * @returns VM; `undefined` when no VM is eligible.
	 */
	getElected(pool: string): Candidate | undefined {
		return this.#elect().elected.get(pool);
	}

	/**
	 * Gets the VM that claims to own a pool.
	 * @param pool - Pool.
	 * @returns VM; `undefined` when no reachable VM claims the pool.
	 */
	getOwner(pool: string): Candidate | undefined {
		return this.#elect().owners.get(pool);
	}

	/**
	 * Gets the highest known fence of a pool.
	 * @param pool - Pool.
	 * @returns Fence; 0 when none is known.
	 */
	getKnownFence(pool: string): number {
		return this.#fences.get(pool) ?? 0;
	}

	/**
	 * Records the claims of a VM; those with a fence lower than the known one are ignored.
	 * @param claims - Fence and load by pool name.
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
	 * Records the load of a pool as just reported by its owner.
	 * @param pool - Pool.
	 * @param load - Load.
	 * @param lastCounted - Number of the last task from this VM that the load includes; `undefined` when not reported.
	 */
	setLoad(pool: string, load: PoolLoad, lastCounted?: number): void {
		const now = this.#options.clock.getMonotonicTime();
		const inFlight = this.#loads.get(pool)?.inFlight ?? [];
		this.#loads.set(pool, {
			load,
			receivedAt: now,
			inFlight: inFlight.filter(({at, sequence}) => lastCounted === undefined || sequence === 0 ? now - at < loadCoverageDelayMs : sequence > lastCounted),
		});
		this.#relayed.delete(pool);
	}

	/**
	 * Records the load of a pool of another data centre that a VM of this one received and passed on. It is ignored if a newer load or a newer owner is known,
	 * or if it is too old.
	 * @param report - Load, with the time at which that VM received it.
	 * @returns Whether the load was recorded.
	 */
	addRelayedLoad({pool, fence, load, receivedAt}: ReceivedLoad): boolean {
		const {dataCenter} = this.#options;
		const known = this.#relayed.get(pool) ?? this.#loads.get(pool);
		const isKnownPool = getDataCenter(pool) !== dataCenter && this.getPools().includes(pool);
		if (!isKnownPool || fence < this.getKnownFence(pool) || receivedAt <= (known?.receivedAt ?? -Infinity) || this.#isTooOld(receivedAt)) {
			return false;
		}

		this.#relayed.set(pool, {load, receivedAt, inFlight: (known?.inFlight ?? []).filter(({at}) => receivedAt - at < loadCoverageDelayMs)});
		return true;
	}

	/** Gets the loads of pools of other data centres that this VM itself received from their owners and that are not too old. */
	getReceivedRemoteLoads(): readonly ReceivedLoad[] {
		const {dataCenter} = this.#options;
		return this.getPools().flatMap(pool => {
			const known = this.#loads.get(pool);
			return known?.receivedAt === undefined || this.#relayed.has(pool) || getDataCenter(pool) === dataCenter || this.#isTooOld(known.receivedAt)
				? []
				: {
					pool, fence: this.getKnownFence(pool), load: known.load, receivedAt: known.receivedAt,
				};
		});
	}

	/**
	 * Adds a job to the load of a pool until its owner reports a load that includes it.
	 * @param pool - Pool.
	 * @param job - Job.
	 */
	addSentJob(pool: string, job: PoolJobRequest): void {
		this.#addInFlight(pool, 0, getInitialCpu(job), job.steps.reduce((sum, step) => sum + getStepWork(step), 0));
	}

	/**
	 * Adds a task to the load of a pool until its owner reports a load that includes it.
	 * @param pool - Pool.
	 * @param step - Step of the task.
	 * @returns Sequence number of the task, from 1.
	 */
	addSentTask(pool: string, {needs, estimateMs}: JobStep): number {
		this.#sequence++;
		this.#addInFlight(pool, this.#sequence, needs.cpu, needs.cpu / 1000 * estimateMs);
		return this.#sequence;
	}

	/**
	 * Records a fence of a pool; a fence lower than the known one is ignored.
	 * @param pool - Pool.
	 * @param fence - Fence.
	 */
	addFence(pool: string, fence: number): void {
		this.#fences.set(pool, Math.max(fence, this.getKnownFence(pool)));
	}

	/**
	 * Gets the pools that have an owner, with their last known load.
	 * @param pools - Names of the pools to include; all by default.
	 */
	getViews(pools = this.getPools()): readonly PoolView[] {
		return this.#getViews(pools, pool => this.#getKnownLoad(pool));
	}

	/**
	 * Gets the pools that have an owner, with the last load that this VM received from it. What other VMs passed on is left out: owners that lend each other
	 * capacity send their loads to the pools whose queue they know, and more known queues would mean more messages between data centres.
	 * @param pools - Names of the pools to include.
	 */
	getReceivedViews(pools: readonly string[]): readonly PoolView[] {
		return this.#getViews(pools, pool => this.#getOwnLoad(pool) ?? this.#loads.get(pool) ?? {load: noLoad, inFlight: []});
	}

	/**
	 * Gets the age of the known load of a pool, in milliseconds; since the start of the clock if no load was received.
	 * @param pool - Pool.
	 */
	getAgeMs(pool: string): number {
		return Math.round(this.#options.clock.getMonotonicTime() - (this.#getKnownLoad(pool).receivedAt ?? 0));
	}

	#getViews(pools: readonly string[], getKnownLoad: (pool: string) => KnownLoad): readonly PoolView[] {
		const {owners} = this.#elect();
		const views: PoolView[] = [];
		for (const pool of pools) {
			const owner = owners.get(pool);
			if (owner !== undefined) {
				views.push(this.#getView(pool, owner.id, getKnownLoad(pool)));
			}
		}

		return views;
	}

	/** Caches the view: views of many pools are needed for each job and each task that another pool gets. */
	#getView(pool: string, ownerId: string, known: KnownLoad): PoolView {
		const isEvacuated = this.#evacuations.hasPool(pool);
		if (known.view?.ownerId !== ownerId || known.isEvacuated !== isEvacuated) {
			known.view = this.#createView(pool, ownerId, isEvacuated ? {...known, load: {...noLoad, queuedWork: known.load.queuedWork}} : known);
			known.isEvacuated = isEvacuated;
		}

		return known.view;
	}

	#createView(pool: string, ownerId: string, {load, inFlight, receivedAt}: Readonly<KnownLoad>): PoolView {
		const {dataCenter, selfId} = this.#options;
		const inFlightCpu = inFlight.reduce((sum, {cpu}) => sum + cpu, 0);
		const inFlightWork = inFlight.reduce((sum, {work}) => sum + work, 0);
		const overflowWork = inFlightCpu > load.freeCpu ? inFlightWork : 0;
		return {
			pool,
			isNear: getDataCenter(pool) === dataCenter,
			isOwn: ownerId === selfId,
			ownerId,
			cores: load.cores,
			freeCpu: load.freeCpu - inFlightCpu,
			rooms: subtractInFlight(load.rooms, inFlight),
			queuedWork: load.queuedWork + overflowWork,
			dataCenter: getDataCenter(pool),
			reportedAt: receivedAt,
			sentCpu: inFlightCpu,
		};
	}

	#getKnownLoad(pool: string): KnownLoad {
		return this.#getOwnLoad(pool) ?? this.#getReceivedLoad(pool) ?? {load: noLoad, inFlight: []};
	}

	#getOwnLoad(pool: string): KnownLoad | undefined {
		const load = this.#options.getOwnLoad?.(pool);
		return load && {load, receivedAt: this.#options.clock.getMonotonicTime(), inFlight: []};
	}

	/** Gets the last load of a pool; one that was passed on expires, since nothing tells this VM that its owner can no longer be reached. */
	#getReceivedLoad(pool: string): KnownLoad | undefined {
		const relayed = this.#relayed.get(pool);
		if (relayed === undefined) {
			return this.#loads.get(pool);
		}

		return this.#isTooOld(relayed.receivedAt!) ? undefined : relayed;
	}

	#isTooOld(receivedAt: number): boolean {
		const {clock, relayedMaxAgeMs = defaultRelayedMaxAgeMs} = this.#options;
		return clock.getMonotonicTime() - receivedAt > relayedMaxAgeMs;
	}

	#addInFlight(pool: string, sequence: number, cpu: number, work: number): void {
		for (const knownLoad of [this.#loads.get(pool), this.#relayed.get(pool)]) {
			if (knownLoad === undefined) {
				continue;
			}

			knownLoad.inFlight = [...knownLoad.inFlight, {
				at: this.#options.clock.getMonotonicTime(), sequence, cpu, work,
			}];
			knownLoad.view = undefined;
		}
	}

	/** Caches the result: elections are needed for each job and are costly among many VMs. */
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

/** Gets the owner of each pool according to the claims. A VM that is leaving owns its pool until another VM has claimed it. */
function getOwners(pools: readonly string[], elected: ReadonlyMap<string, Candidate>, candidates: readonly Candidate[]): ReadonlyMap<string, Candidate> {
	const owners = new Map<string, Candidate>();
	for (const pool of pools) {
		const electedOwner = elected.get(pool);
		const owner = electedOwner?.claims[pool] === undefined ? getLatestClaimant(pool, candidates) : electedOwner;
		if (owner !== undefined) {
			owners.set(pool, owner);
		}
	}

	return owners;
}

function getLatestClaimant(pool: string, candidates: readonly Candidate[]): Candidate | undefined {
	const claimants = candidates.filter(({isUp, claims}) => isUp && claims[pool] !== undefined);
	return claimants.toSorted((a, b) => b.claims[pool]! - a.claims[pool]!)[0];
}

/** Subtracts each item of in-flight work from the smallest free capacity that fits it, or else from the largest. */
function subtractInFlight(freeCapacities: readonly number[], inFlight: readonly InFlightWork[]): readonly number[] {
	if (inFlight.length === 0 || freeCapacities.length === 0) {
		return freeCapacities;
	}

	const remaining = [...freeCapacities];
	for (const {cpu} of inFlight) {
		let bestPosition = 0;
		for (const [position, capacity] of remaining.entries()) {
			const isBetter = capacity >= cpu ? remaining[bestPosition]! < cpu || capacity < remaining[bestPosition]! : remaining[bestPosition]! < cpu && capacity > remaining[bestPosition]!;
			bestPosition = isBetter ? position : bestPosition;
		}

		remaining[bestPosition]! -= cpu;
	}

	return remaining.filter(capacity => capacity > 0);
}

/**
 * Gets the total CPU demand of the tasks of a job that have no predecessors, in thousandths of a core.
 * @param job - Job.
 */
export function getInitialCpu(job: PoolJobRequest): number {
	return job.steps.filter(({after}) => after.length === 0).reduce((sum, {taskCount, needs}) => sum + (taskCount * needs.cpu), 0);
}
