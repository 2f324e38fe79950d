/**
 * The list of VMs from the platform or from a peer, whichever has the higher revision.
 */
import {type Stream} from 'most';
import {getVmPrefix, type VmList} from '../platform/index.js';
import {CurrentValue} from './current-value.js';
import {
	type FollowerOptions, type FollowerStatus, type PrefixChange, PrefixFollower,
} from './prefix-follower.js';
import {VmListState} from './vm-list-state.js';

/** Options of a {@link VmListFollower}. */
export type VmListFollowerOptions = FollowerOptions;

/** Counters of a {@link VmListFollower}. */
export type VmListFollowerStatus = FollowerStatus & {
	readonly revision: number;
	/** Number of entries in the store that are skipped as invalid. */
	readonly invalidEntries: number;
};

/**
 * Creates a follower and starts its first read of the platform.
 * @param options - Platform, deployment, clock, random source and logging.
 */
export function createVmListFollower(options: VmListFollowerOptions): VmListFollower {
	return new VmListFollower(options);
}

/** Follows the list of VMs and keeps the newest one, also while the platform is unavailable. */
export class VmListFollower {
	readonly #options: VmListFollowerOptions;
	readonly #state: VmListState;
	readonly #current: CurrentValue<VmList>;
	readonly #follower: PrefixFollower;
	#invalidEntries = 0;
	#isPublishScheduled = false;

	constructor(options: VmListFollowerOptions) {
		const prefix = getVmPrefix(options.deployment);
		this.#options = options;
		this.#state = new VmListState(prefix);
		this.#current = new CurrentValue(this.#state.getVmList());
		this.#follower = new PrefixFollower({
			...options,
			subject: 'vms',
			prefix,
			onRange: ({revision, entries}) => {
				if (this.#state.setRange(revision, entries)) {
					this.#schedulePublish();
				}
			},
			onChange: change => {
				if (this.#applyChange(change)) {
					this.#schedulePublish();
				}
			},
		});
	}

	/** Gets the newest known list. */
	getVmList(): VmList {
		return this.#current.get();
	}

	/** Gets a stream of the lists, starting with the current one. */
	getStream(): Stream<VmList> {
		return this.#current.getStream();
	}

	/**
	 * Applies a list received from a peer if its revision is higher than the known one.
	 * @param list - List as received.
	 * @returns Whether it was applied.
	 */
	offerVmList(list: VmList): boolean {
		const isApplied = this.#state.setList(list);
		if (isApplied) {
			this.#publish();
		}

		return isApplied;
	}

	/** Reads the platform now; resolves to whether the read succeeded. */
	async refresh(): Promise<boolean> {
		const hasSucceeded = await this.#follower.refresh();
		this.#publish();
		return hasSucceeded;
	}

	/** Gets the status and the counters. */
	getStatus(): VmListFollowerStatus {
		return {...this.#follower.getStatus(), revision: this.#state.getRevision(), invalidEntries: this.#invalidEntries};
	}

	/** Stops following the platform; the last list stays readable. */
	close(): void {
		this.#follower.close();
		this.#current.close();
	}

	#applyChange(change: PrefixChange): boolean {
		return change.kind === 'put' ? this.#state.putKey(change.entry) : this.#state.removeKey(change.key, change.modRevision);
	}

	/** Publishes once for all changes that arrive together, so that subscribers never see part of a revision. */
	#schedulePublish(): void {
		if (this.#isPublishScheduled) {
			return;
		}

		this.#isPublishScheduled = true;
		queueMicrotask(() => {
			this.#isPublishScheduled = false;
			this.#publish();
		});
	}

	#publish(): void {
		this.#countInvalidEntries();
		const list = this.#state.getVmList();
		const isUnchanged = list.revision === 0 || hasSameEntries(list, this.#current.get());
		if (!isUnchanged) {
			this.#current.set(list);
		}
	}

	#countInvalidEntries(): void {
		const invalidKeys = [...this.#state.getEntries()].filter(([, {vm}]) => !vm).map(([key]) => key);
		if (invalidKeys.length > this.#invalidEntries) {
			this.#options.logger?.warn({keys: invalidKeys}, 'invalid entries of the VM list skipped');
		}

		this.#invalidEntries = invalidKeys.length;
	}
}

/** Gets whether two lists hold the same entries. Compares by reference: an unchanged entry keeps its object. */
function hasSameEntries(left: VmList, right: VmList): boolean {
	const leftVms = [...left.entryVms, ...left.upstreams];
	const rightVms = [...right.entryVms, ...right.upstreams];
	return right.revision > 0 && leftVms.length === rightVms.length && leftVms.every((vm, index) => vm === rightVms[index]);
}
