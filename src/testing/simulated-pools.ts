/**
 * The owners of several pools in one process, which lend each other room over simulated links.
 */
import {
	type Candidate, type DecisionLog, noNeighbours, PoolDirectory, PoolLending, PoolOwner, type UpstreamDescription, type UpstreamOrders,
} from '../pool/index.js';
import {type Clock} from '../seams/index.js';
import {SimulatedPeers} from './simulated-peers.js';

/** Options of {@link SimulatedPools}. */
export type SimulatedPoolsOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly orders: UpstreamOrders;
	/** Upstreams; their data centres are the pools. */
	readonly upstreams: readonly UpstreamDescription[];
	/** Whether the pools lend each other room. */
	readonly isLending?: boolean;
};

type Office = {readonly vm: string; readonly pool: string; readonly fence: number; readonly owner: PoolOwner; readonly directory: PoolDirectory};

/** Time between heartbeats of the owners, in milliseconds. */
const heartbeatMs = 100;

/** Keeps one owner a pool; each is on an entry VM of its own. */
export class SimulatedPools {
	readonly peers: SimulatedPeers;
	readonly pools: readonly string[];
	/** Whether the entry VMs know the pools of all data centres. */
	isLayoutKnown = true;
	readonly #options: SimulatedPoolsOptions;
	readonly #offices = new Map<string, Office>();
	/** Directories that hear all heartbeats: those of the owners, and of entry VMs that own nothing. */
	readonly #directories = new Set<PoolDirectory>();
	#fence = 0;

	constructor(options: SimulatedPoolsOptions) {
		this.#options = options;
		this.peers = new SimulatedPeers({clock: options.clock});
		this.pools = [...new Set(options.upstreams.map(({dataCenter}) => dataCenter))].toSorted();
		for (const pool of this.pools) {
			this.replaceOwner(pool);
		}

		options.clock.setRepeatingTimer(() => {
			this.#tellClaims();
		}, heartbeatMs);
	}

	/**
	 * Gets the owner of a pool.
	 * @param pool - Pool.
	 */
	getOwner(pool: string): PoolOwner {
		return this.#offices.get(pool)!.owner;
	}

	/**
	 * Creates what an entry VM knows of the pools.
	 * @param dataCenter - Its data centre.
	 * @param selfId - Identifier of the VM.
	 * @param knownPools - Pools that it knows.
	 */
	createDirectory(dataCenter: string, selfId = '', knownPools = this.pools): PoolDirectory {
		const directory = new PoolDirectory({
			clock: this.#options.clock, selfId, dataCenter, getPools: () => knownPools, getCandidates: () => this.#getCandidates(),
		});
		this.#directories.add(directory);
		return directory;
	}

	/**
	 * Gives a pool to another entry VM; the one before goes on as it can, and is not told.
	 * @param pool - Pool.
	 * @param knownPools - Pools that the next owner knows.
	 * @returns Fence of the owner before, 0 for none.
	 */
	replaceOwner(pool: string, knownPools = this.pools): number {
		const {clock, log, orders, upstreams, isLending = true} = this.#options;
		this.#fence++;
		const fence = this.#fence;
		const vm = `${pool}-${fence}`;
		const before = this.#offices.get(pool)?.fence ?? 0;
		const directory = this.createDirectory(pool, vm, knownPools);
		const lending: PoolLending = new PoolLending({
			clock,
			log,
			selfId: vm,
			directory,
			peers: this.peers.addPeer(vm, async (request, signal) => lending.handleRequest(request, signal)),
			getOwner: name => name === pool ? owner : undefined,
			isLayoutKnown: () => this.isLayoutKnown,
		});
		const owner: PoolOwner = new PoolOwner({
			pool,
			clock,
			log,
			orders,
			getStoredFence: async () => fence,
			async onFenced() {/* The owner before stays as it is. */},
			knownFence: 0,
			isListComplete: () => true,
			maxLeaseMs: 1000,
			peerSilenceMs: 500,
			neighbours: isLending ? lending.createNeighbours(pool) : noNeighbours,
		}, upstreams.filter(({dataCenter}) => dataCenter === pool));
		this.#offices.set(pool, {
			vm, pool, fence, owner, directory,
		});
		return before;
	}

	/**
	 * Cuts the owner of a pool off from the other entry VMs.
	 * @param pool - Pool.
	 */
	isolateOwner(pool: string): void {
		this.peers.isolatePeer(this.#offices.get(pool)!.vm);
	}

	/** Tells all directories of all owners, as heartbeats do. */
	#tellClaims(): void {
		for (const {pool, fence, owner} of this.#offices.values()) {
			for (const directory of this.#directories) {
				directory.addClaims({[pool]: {fence, load: owner.getLoad()}});
			}
		}
	}

	#getCandidates(): readonly Candidate[] {
		return [...this.#offices.values()].map(({vm, pool, fence}) => ({
			id: vm, dataCenter: pool, cores: 1, isUp: true, isLeaving: false, claims: {[pool]: fence},
		}));
	}
}
