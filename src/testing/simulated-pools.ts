/**
 * The owners of several pools in one process, which lend each other free capacity over simulated peer connections.
 */
import {createImmediateProgress} from '../connection/index.js';
import {
	type Candidate, CrashLedger, CrashReports, type DecisionLog, failedRunsTopic, createLocalSender, type Evacuations, getConfirmedSince, noNeighbours, PoolDirectory, PoolLending, PoolOwner,
	type UpstreamDescription, type UpstreamOrders,
} from '../pool/index.js';
import {type SchedulingOptions} from '../scheduling/index.js';
import {type Clock} from '../seams/index.js';
import {SimulatedPeers} from './simulated-peers.js';

/** Options of {@link SimulatedPools}. */
export type SimulatedPoolsOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly orders: UpstreamOrders;
	/** Upstreams; each of their data centres is a pool. */
	readonly upstreams: readonly UpstreamDescription[];
	/** Whether the pools lend each other free capacity; true by default. */
	readonly isLending?: boolean;
	/** Whether owners report failed runs to each other at once; true by default. */
	readonly isReporting?: boolean;
	/** Switches of the scheduling; all parts are on by default. */
	readonly scheduling?: SchedulingOptions;
	/** Evacuated data centres, known to all owners; none by default. */
	readonly evacuations?: Evacuations;
};

type OwnerEntry = {readonly vm: string; readonly pool: string; readonly fence: number; readonly owner: PoolOwner; readonly directory: PoolDirectory; readonly ledger: CrashLedger};

/** Interval of the owners' heartbeats, in milliseconds. */
const heartbeatIntervalMs = 100;

/** Holds one owner for each pool, each on its own entry VM. */
export class SimulatedPools {
	readonly peers: SimulatedPeers;
	readonly pools: readonly string[];
	/** Whether the pools of all data centres are known to the entry VMs. */
	isLayoutKnown = true;
	readonly #options: SimulatedPoolsOptions;
	readonly #owners = new Map<string, OwnerEntry>();
	/** Directories that receive all heartbeats: those of the owners and of entry VMs that own no pool. */
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
			this.#publishClaims();
		}, heartbeatIntervalMs);
	}

	/**
	 * Gets the owner of a pool.
	 * @param pool - Pool.
	 */
	getOwner(pool: string): PoolOwner {
		return this.#owners.get(pool)!.owner;
	}

	/**
	 * Gets the failed runs that the owner of a pool knows of.
	 * @param pool - Pool.
	 */
	getLedger(pool: string): CrashLedger {
		return this.#owners.get(pool)!.ledger;
	}

	/**
	 * Creates the pool directory of an entry VM.
	 * @param dataCenter - Data centre of the VM.
	 * @param selfId - Identifier of the VM.
	 * @param knownPools - Pools that are known to the VM.
	 */
	createDirectory(dataCenter: string, selfId = '', knownPools = this.pools): PoolDirectory {
		const directory = new PoolDirectory({
			clock: this.#options.clock, selfId, dataCenter, getPools: () => knownPools, getCandidates: () => this.#getCandidates(),
			evacuations: this.#options.evacuations,
		});
		this.#directories.add(directory);
		return directory;
	}

	/**
	 * Transfers a pool to another entry VM. The previous owner is not notified and continues as far as it can.
	 * @param pool - Pool.
	 * @param knownPools - Pools that are known to the next owner.
	 * @returns Fence of the previous owner; 0 when there was none.
	 */
	replaceOwner(pool: string, knownPools = this.pools): number {
		const {clock, log, orders, upstreams, isLending = true, isReporting = true} = this.#options;
		this.#fence++;
		const fence = this.#fence;
		const vm = `${pool}-${fence}`;
		const previousFence = this.#owners.get(pool)?.fence ?? 0;
		const directory = this.createDirectory(pool, vm, knownPools);
		const ledger = new CrashLedger(clock);
		const inputProgress = createImmediateProgress(clock);
		const peers = this.peers.addPeer(vm, async (request, signal) => {
			if (request.topic !== failedRunsTopic) {
				return lending.handleRequest(request, signal, createLocalSender(inputProgress));
			}

			reports.handleReport(request.body);
			return {};
		});
		const reports = new CrashReports({
			clock, ledger, peers, log,
		});
		if (!isReporting) {
			reports.close();
		}

		const lending: PoolLending = new PoolLending({
			clock,
			log,
			selfId: vm,
			directory,
			ledger,
			peers,
			inputProgress,
			getOwner: name => name === pool ? owner : undefined,
			isLayoutKnown: () => this.isLayoutKnown,
			getConfirmedSince: () => getConfirmedSince(clock.getMonotonicTime(), -Infinity),
			evacuations: this.#options.evacuations,
		});
		const owner: PoolOwner = new PoolOwner({
			pool,
			clock,
			log,
			orders,
			scheduling: this.#options.scheduling,
			getStoredFence: async () => fence,
			async onFenced() {/* The previous owner is left unchanged. */},
			knownFence: 0,
			isListComplete: () => true,
			maxLeaseMs: 1000,
			peerSilenceMs: 500,
			ledger,
			neighbours: isLending ? lending.createNeighbours(pool) : noNeighbours,
			evacuation: this.#options.evacuations?.createView(pool),
		}, upstreams.filter(({dataCenter}) => dataCenter === pool));
		this.#owners.set(pool, {
			vm, pool, fence, owner, directory, ledger,
		});
		return previousFence;
	}

	/**
	 * Cuts the connections between the owner of a pool and all other entry VMs.
	 * @param pool - Pool.
	 */
	isolateOwner(pool: string): void {
		this.peers.isolatePeer(this.#owners.get(pool)!.vm);
	}

	/** Adds the claims of all owners to all directories, as heartbeats do. */
	#publishClaims(): void {
		for (const {pool, fence, owner} of this.#owners.values()) {
			for (const directory of this.#directories) {
				directory.addClaims({[pool]: {fence, load: owner.getLoad()}});
			}
		}
	}

	#getCandidates(): readonly Candidate[] {
		return [...this.#owners.values()].map(({vm, pool, fence}) => ({
			id: vm, dataCenter: pool, cores: 1, isUp: true, isLeaving: false, claims: {[pool]: fence},
		}));
	}
}
