/**
 * The list of VMs as last read from the platform or learnt from a peer, whichever has the higher revision.
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
	/** Entries of the store that are skipped as invalid. */
	readonly invalidEntries: number;
};

/**
 * Creates a follower that reads the platform at once.
 * @param options - Platform, deployment and seams.
 */
export function createVmListFollower(options: VmListFollowerOptions): VmListFollower {
	return new VmListFollower(options);
}

/** Keeps the newest list of VMs; the last known one while the platform is away. */
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

	/** Gets the lists, beginning with the present one. */
	getStream(): Stream<VmList> {
		return this.#current.getStream();
	}

	/**
	 * Takes a list learnt from a peer if its revision is higher; gets whether it was taken.
	 * @param list - List as received.
	 */
	offerVmList(list: VmList): boolean {
		const isApplied = this.#state.setList(list);
		if (isApplied) {
			this.#publish();
		}

		return isApplied;
	}

	/** Reads the platform now; resolves to whether that worked. */
	async refresh(): Promise<boolean> {
		const hasSucceeded = await this.#follower.refresh();
		this.#publish();
		return hasSucceeded;
	}

	/** Gets the counters. */
	getStatus(): VmListFollowerStatus {
		return {...this.#follower.getStatus(), revision: this.#state.getRevision(), invalidEntries: this.#invalidEntries};
	}

	/** Ends the following; the last list stays readable. */
	close(): void {
		this.#follower.close();
		this.#current.close();
	}

	#applyChange(change: PrefixChange): boolean {
		return change.kind === 'put' ? this.#state.putKey(change.entry) : this.#state.removeKey(change.key, change.modRevision);
	}

	/** Publishes once for all changes that arrive together, so that a revision is seen whole. */
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

/** Gets whether two lists hold the same entries; those that have not changed are the same objects. */
function hasSameEntries(left: VmList, right: VmList): boolean {
	const leftVms = [...left.entryVms, ...left.upstreams];
	const rightVms = [...right.entryVms, ...right.upstreams];
	return right.revision > 0 && leftVms.length === rightVms.length && leftVms.every((vm, index) => vm === rightVms[index]);
}
