/**
 * Planning of the links of this process to other data centres.
 */
import {type ListedEntryVm} from '../platform/index.js';
import {type LinkCandidate, planLinks} from './link-plan.js';
import {type MemberRecord} from './member-record.js';
import {type MemberTable} from './member-table.js';
import {type PeerMeshSettings} from './peer-mesh-options.js';

/** Options of a {@link RemoteLinkPlanner}. */
export type RemoteLinkPlannerOptions = {
	readonly settings: PeerMeshSettings;
	readonly getAddress: () => string;
	readonly table: MemberTable;
};

type Candidate = LinkCandidate & {readonly isDown: boolean};

/** Time for which an unreachable address is skipped while there are others, in milliseconds. */
const failureRetentionMs = 30_000;

/**
 * Chooses the addresses in other data centres to which this process keeps links.
 * @internal
 */
export class RemoteLinkPlanner {
	readonly #options: RemoteLinkPlannerOptions;
	readonly #failures = new Map<string, number>();
	#revision = 0;

	constructor(options: RemoteLinkPlannerOptions) {
		this.#options = options;
	}

	/** Gets a revision number that increases when a change in reachability may change the chosen addresses. */
	getRevision(): number {
		this.#removeOldFailures();
		return this.#revision;
	}

	/**
	 * Records that an address could not be reached.
	 * @param address - Address that was dialled.
	 */
	addFailure(address: string): void {
		this.#failures.set(address, this.#options.settings.clock.getMonotonicTime());
		this.#revision++;
	}

	/**
	 * Records that an address was reached.
	 * @param address - Address that was dialled.
	 */
	removeFailure(address: string): void {
		this.#revision += Number(this.#failures.delete(address));
	}

	/**
	 * Gets the addresses to keep links to.
	 * @param listed - Entry VMs in the platform's list.
	 */
	getAddresses(listed: readonly ListedEntryVm[]): readonly string[] {
		this.#removeOldFailures();
		const {settings, getAddress} = this.#options;
		const {dataCenter, vm} = settings.self;
		const self = {dataCenter, vm, address: getAddress()};
		const local = [self, ...this.#getLocalCandidates()];
		const groups = this.#getRemoteCandidates(listed).map(remote => this.#chooseReachable(remote));
		const vmCount = groups.reduce((sum, {length}) => sum + length, local.length);
		return groups.flatMap(remote => planLinks({
			self, local, remote, linkCount: vmCount <= settings.maxFullMeshVms ? local.length * remote.length : settings.remoteLinkCount,
		}));
	}

	#getLocalCandidates(): readonly LinkCandidate[] {
		const {settings, table} = this.#options;
		const records = table.getRecords().filter(({incarnation, state}) => incarnation.dataCenter === settings.self.dataCenter && state === 'up');
		return records.map(record => toCandidate(record));
	}

	/** Gets the entry VMs of each other data centre, known or listed, one for each address. */
	#getRemoteCandidates(listed: readonly ListedEntryVm[]): ReadonlyArray<readonly Candidate[]> {
		const knownCandidates = this.#options.table.getRecords().map(record => toCandidate(record));
		const listedCandidates = listed.map(({dataCenter, name, peerAddress}) => ({
			dataCenter, vm: name, address: peerAddress, isDown: false,
		}));
		const groups = new Map<string, Map<string, Candidate>>();
		// An incarnation that is not down takes precedence over others at the same address.
		for (const candidate of [...listedCandidates, ...knownCandidates.toSorted((a, b) => Number(b.isDown) - Number(a.isDown))]) {
			const group = groups.get(candidate.dataCenter) ?? new Map<string, Candidate>();
			groups.set(candidate.dataCenter, group.set(candidate.address, candidate));
		}

		groups.delete(this.#options.settings.self.dataCenter);
		return [...groups.values()].map(group => [...group.values()]);
	}

	#chooseReachable(candidates: readonly Candidate[]): readonly Candidate[] {
		const reachable = candidates.filter(({address, isDown}) => !isDown && !this.#failures.has(address));
		if (reachable.length > 0) {
			return reachable;
		}

		// No candidate is believed reachable: members marked down may be up again, and failed addresses are retried once all have failed.
		const untried = candidates.filter(({address}) => !this.#failures.has(address));
		if (untried.length > 0) {
			return untried;
		}

		for (const {address} of candidates) {
			this.#failures.delete(address);
		}

		this.#revision++;

		return candidates;
	}

	#removeOldFailures(): void {
		const now = this.#options.settings.clock.getMonotonicTime();
		for (const [address, time] of this.#failures) {
			if (now - time > failureRetentionMs) {
				this.#failures.delete(address);
				this.#revision++;
			}
		}
	}
}

function toCandidate({incarnation: {dataCenter, vm}, address, state}: MemberRecord): Candidate {
	return {
		dataCenter, vm, address, isDown: state === 'down',
	};
}
