/**
 * The entry VMs as candidates for the ownership of pools, made anew only when a member or what is owned here changes: they are asked
 * for with each job and each heartbeat.
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
	/** Takes the pools that other VMs say they own. */
	readonly layout: PoolLayout;
	/** Gets the fences of the pools owned here. */
	readonly getOwned: () => ReadonlyArray<readonly [pool: string, fence: number]>;
	readonly isLeaving: () => boolean;
};

/** What the candidates were made of. */
type Source = {readonly members: readonly Member[]; readonly ownKey: string};

/** Keeps the candidates and what follows from them. */
export class PoolCandidates {
	readonly #options: PoolCandidatesOptions;
	#source: Source | undefined;
	#list: readonly Candidate[] = [];
	#beatFactors = new Map<string, number>();

	constructor(options: PoolCandidatesOptions) {
		this.#options = options;
	}

	/** Gets all VMs, this one first; the same list until one of them changes. */
	getList(): readonly Candidate[] {
		const {self, peers, cores, getOwned, isLeaving} = this.#options;
		const members = peers.getMembers();
		const owned = getOwned();
		const ownKey = `${isLeaving()} ${owned.join(' ')}`;
		if (this.#source?.members !== members || this.#source.ownKey !== ownKey) {
			const own: Candidate = {
				id: self.id, dataCenter: self.dataCenter, cores, isUp: true, isLeaving: isLeaving(), claims: Object.fromEntries(owned),
			};
			this.#source = {members, ownKey};
			this.#list = [own, ...members.map(member => toCandidate(member))];
			this.#beatFactors = new Map();
			this.#learnPools();
		}

		return this.#list;
	}

	/**
	 * Gets whether a VM of a data centre is up.
	 * @param dataCenter - Data centre.
	 */
	isInhabited(dataCenter: string): boolean {
		return this.getList().some(candidate => candidate.isUp && candidate.dataCenter === dataCenter);
	}

	/** Gets the number of VMs of this data centre that are up and own pools. */
	countNearOwners(): number {
		const {dataCenter} = this.#options.self;
		return this.getList().filter(candidate => candidate.isUp && candidate.dataCenter === dataCenter && isOwner(candidate)).length;
	}

	/**
	 * Gets every how many ticks a heartbeat goes to a VM.
	 * @param peer - The VM.
	 */
	getBeatFactor(peer: Incarnation): number {
		// A changed list empties what was worked out from the one before.
		const list = this.getList();
		const factor = this.#beatFactors.get(peer.id) ?? this.#createBeatFactor(list, peer);
		this.#beatFactors.set(peer.id, factor);
		return factor;
	}

	#createBeatFactor(list: readonly Candidate[], peer: Incarnation): number {
		const {dataCenter} = this.#options.self;
		const up = list.filter(({isUp}) => isUp);
		return getHeartbeatIntervalTicks({
			isSameDataCenter: peer.dataCenter === dataCenter,
			isOwner: isOwner(list[0]!),
			localPeerCount: up.filter(candidate => candidate.dataCenter === dataCenter).length - 1,
			vmCount: up.length,
		});
	}

	/** Pools that other VMs own are known here even if the store has not told of them. */
	#learnPools(): void {
		for (const {claims} of this.#list) {
			for (const pool of Object.keys(claims)) {
				this.#options.layout.addPool(pool);
			}
		}
	}
}

function isOwner({claims}: Candidate): boolean {
	return Object.keys(claims).length > 0;
}

function toCandidate({incarnation, state, isLeaving, claims, cores}: Member): Candidate {
	return {
		id: incarnation.id, dataCenter: incarnation.dataCenter, cores, isUp: state === 'up', isLeaving, claims,
	};
}
