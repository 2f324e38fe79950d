/**
 * The entry VMs as candidates for the ownership of pools. The list is cached until a member or the pools owned here change, since it is
 * read for each job and each heartbeat.
 */
import {type Incarnation, type Member, type PeerNetwork} from '../connection/index.js';
import {getHeartbeatIntervalTicks} from './heartbeat-interval.js';
import {type Candidate} from './pool-election.js';
import {type PoolLayout} from './pool-layout.js';

/** Options of {@link PoolCandidates}. */
export type PoolCandidatesOptions = {
	readonly self: Incarnation;
	/** Cores that this process may use. */
	readonly cores: number;
	readonly peers: Pick<PeerNetwork, 'getMembers'>;
	/** Layout to which the pools that VMs claim are added. */
	readonly layout: PoolLayout;
	/** Gets the pools owned here with their fences. */
	readonly getOwnedPools: () => OwnedPools;
	readonly isLeaving: () => boolean;
};

type OwnedPools = ReadonlyArray<readonly [pool: string, fence: number]>;

/** State from which the cached candidates were created. */
type CacheKey = {readonly members: readonly Member[]; readonly ownedPools: OwnedPools; readonly isLeaving: boolean};

/** Caches the candidates and the heartbeat intervals that depend on them. */
export class PoolCandidates {
	readonly #options: PoolCandidatesOptions;
	#cacheKey: CacheKey | undefined;
	#candidates: readonly Candidate[] = [];
	#heartbeatIntervals = new Map<string, number>();

	constructor(options: PoolCandidatesOptions) {
		this.#options = options;
	}

	/** Gets all VMs, this one first; the same array until one of them changes. */
	getCandidates(): readonly Candidate[] {
		const {self, peers, cores, getOwnedPools} = this.#options;
		const key: CacheKey = {members: peers.getMembers(), ownedPools: getOwnedPools(), isLeaving: this.#options.isLeaving()};
		if (this.#cacheKey === undefined || !isSameState(this.#cacheKey, key)) {
			const {members, ownedPools, isLeaving} = key;
			const selfCandidate: Candidate = {
				id: self.id, dataCenter: self.dataCenter, cores, isUp: true, isLeaving, claims: Object.fromEntries(ownedPools),
			};
			this.#cacheKey = key;
			this.#candidates = [selfCandidate, ...members.map(member => toCandidate(member))];
			this.#heartbeatIntervals = new Map();
			this.#addClaimedPools();
		}

		return this.#candidates;
	}

	/**
	 * Gets whether any VM of a data centre is up.
	 * @param dataCenter - Data centre.
	 */
	hasReachableVm(dataCenter: string): boolean {
		return this.getCandidates().some(candidate => candidate.isUp && candidate.dataCenter === dataCenter);
	}

	/** Gets the number of VMs of all data centres that are up, including this one. */
	countUp(): number {
		return this.getCandidates().filter(({isUp}) => isUp).length;
	}

	/** Gets the number of VMs of this data centre that are up and own pools. */
	countLocalOwners(): number {
		const {dataCenter} = this.#options.self;
		return this.getCandidates().filter(candidate => candidate.isUp && candidate.dataCenter === dataCenter && isOwner(candidate)).length;
	}

	/**
	 * Gets the interval between heartbeats to a VM, in ticks.
	 * @param peer - Receiver of the heartbeats.
	 */
	getHeartbeatIntervalTicks(peer: Incarnation): number {
		// Clears the cached intervals if the candidates changed.
		const candidates = this.getCandidates();
		const interval = this.#heartbeatIntervals.get(peer.id) ?? this.#createHeartbeatInterval(candidates, peer);
		this.#heartbeatIntervals.set(peer.id, interval);
		return interval;
	}

	#createHeartbeatInterval(candidates: readonly Candidate[], peer: Incarnation): number {
		const {dataCenter} = this.#options.self;
		const up = candidates.filter(({isUp}) => isUp);
		return getHeartbeatIntervalTicks({
			isSameDataCenter: peer.dataCenter === dataCenter,
			isOwner: isOwner(candidates[0]!),
			localPeerCount: up.filter(candidate => candidate.dataCenter === dataCenter).length - 1,
			vmCount: up.length,
		});
	}

	/** Adds the pools that VMs claim to the layout, so that they are known before the store lists them. */
	#addClaimedPools(): void {
		for (const {claims} of this.#candidates) {
			for (const pool of Object.keys(claims)) {
				this.#options.layout.addPool(pool);
			}
		}
	}
}

function isSameState(a: CacheKey, b: CacheKey): boolean {
	return a.members === b.members && a.isLeaving === b.isLeaving && a.ownedPools.length === b.ownedPools.length
		&& a.ownedPools.every(([pool, fence], position) => pool === b.ownedPools[position]![0] && fence === b.ownedPools[position]![1]);
}

function isOwner({claims}: Candidate): boolean {
	return Object.keys(claims).length > 0;
}

function toCandidate({incarnation, state, isLeaving, claims, cores}: Member): Candidate {
	return {
		id: incarnation.id, dataCenter: incarnation.dataCenter, cores, isUp: state === 'up', isLeaving, claims,
	};
}
