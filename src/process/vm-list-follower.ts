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
	#isPublishing = false;

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
					this.#publishSoon();
				}
			},
			onChange: change => {
				if (this.#takeChange(change)) {
					this.#publishSoon();
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
		const isTaken = this.#state.setList(list);
		if (isTaken) {
			this.#publish();
		}

		return isTaken;
	}

	/** Reads the platform now; resolves to whether that worked. */
	async refresh(): Promise<boolean> {
		const isRead = await this.#follower.refresh();
		this.#publish();
		return isRead;
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

	#takeChange(change: PrefixChange): boolean {
		return change.kind === 'put' ? this.#state.putKey(change.entry) : this.#state.removeKey(change.key, change.modRevision);
	}

	/** Publishes once for all changes that arrive together, so that a revision is seen whole. */
	#publishSoon(): void {
		if (this.#isPublishing) {
			return;
		}

		this.#isPublishing = true;
		queueMicrotask(() => {
			this.#isPublishing = false;
			this.#publish();
		});
	}

	#publish(): void {
		this.#countInvalidEntries();
		const list = this.#state.getVmList();
		const isKnown = list.revision === 0 || isSame(list, this.#current.get());
		if (!isKnown) {
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
function isSame(left: VmList, right: VmList): boolean {
	const leftVms = [...left.entryVms, ...left.upstreams];
	const rightVms = [...right.entryVms, ...right.upstreams];
	return right.revision > 0 && leftVms.length === rightVms.length && leftVms.every((vm, index) => vm === rightVms[index]);
}
