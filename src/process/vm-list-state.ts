/**
 * Merges complete lists of VMs and single changes, which may arrive in any order, into the newest list.
 */
import {
	type KeyValue, type ListedEntryVm, type ListedUpstream, type ListedVm, parseListedVm, type VmList,
} from '../platform/index.js';

/** Entry of one key of the list. */
export type VmListEntry = {
	readonly modRevision: number;
	/** Absent when the entry is invalid. */
	readonly vm: ListedVm | undefined;
};

type EntryChange = {
	readonly modRevision: number;
	/** Absent when the key was removed. */
	readonly entry: VmListEntry | undefined;
};

/** Merges complete lists and single changes by their revisions. */
export class VmListState {
	readonly #prefix: string;
	#base: ReadonlyMap<string, VmListEntry> = new Map();
	#baseRevision = 0;
	/** The last change of each key after the revision of the base. */
	readonly #changes = new Map<string, EntryChange>();

	/**
	 * Creates an empty state.
	 * @param prefix - Prefix of the VMs' keys.
	 */
	constructor(prefix: string) {
		this.#prefix = prefix;
	}

	/** Gets the highest known revision; 0 before the first complete list. */
	getRevision(): number {
		if (this.#baseRevision === 0) {
			return 0;
		}

		return Math.max(this.#baseRevision, ...[...this.#changes.values()].map(({modRevision}) => modRevision));
	}

	/** Gets the current keys and their entries. */
	getEntries(): ReadonlyMap<string, VmListEntry> {
		const entries = new Map(this.#base);
		for (const [key, {entry}] of this.#changes) {
			if (entry) {
				entries.set(key, entry);
			} else {
				entries.delete(key);
			}
		}

		return entries;
	}

	/** Gets the list of valid VMs, sorted by data centre and name. */
	getVmList(): VmList {
		const vms = [...this.getEntries().values()].flatMap(({vm}) => vm ?? []).sort(compareVms);
		return {
			revision: this.getRevision(),
			entryVms: vms.filter((vm): vm is ListedEntryVm => vm.kind === 'entry'),
			upstreams: vms.filter((vm): vm is ListedUpstream => vm.kind === 'upstream'),
		};
	}

	/**
	 * Applies a complete list from the platform unless it is older than the last complete list.
	 * @param revision - Revision at which the list was read.
	 * @param keys - Keys of the list.
	 * @returns Whether it was applied.
	 */
	setRange(revision: number, keys: readonly KeyValue[]): boolean {
		const knownEntries = this.getEntries();
		return this.#setBase(revision, () => new Map(keys.map(key => [key.key, this.#parse(key, knownEntries)])));
	}

	/**
	 * Applies a complete list from a peer if it is newer than the highest known revision.
	 * @param list - List of the peer.
	 * @returns Whether it was applied.
	 */
	setList(list: VmList): boolean {
		if (list.revision <= this.getRevision()) {
			return false;
		}

		const vms = [...list.entryVms, ...list.upstreams];
		return this.#setBase(list.revision, () => new Map(vms.map(vm => [this.#getKey(vm), {modRevision: list.revision, vm}])));
	}

	/**
	 * Applies a written key if the write is newer than the known state of the key.
	 * @param entry - Key and value as written.
	 * @returns Whether it was applied.
	 */
	putKey(entry: KeyValue): boolean {
		return this.#setChange(entry.key, {modRevision: entry.modRevision, entry: this.#parse(entry, this.#base)});
	}

	/**
	 * Applies the removal of a key if it is newer than the known state of the key.
	 * @param key - Removed key.
	 * @param modRevision - Revision of the removal.
	 * @returns Whether it was applied.
	 */
	removeKey(key: string, modRevision: number): boolean {
		return this.#setChange(key, {modRevision, entry: undefined});
	}

	#setBase(revision: number, createBase: () => ReadonlyMap<string, VmListEntry>): boolean {
		if (revision < this.#baseRevision) {
			return false;
		}

		this.#base = createBase();
		this.#baseRevision = revision;
		for (const [key, change] of this.#changes) {
			if (change.modRevision <= revision) {
				this.#changes.delete(key);
			}
		}

		return true;
	}

	#setChange(key: string, change: EntryChange): boolean {
		const knownRevision = Math.max(this.#baseRevision, this.#changes.get(key)?.modRevision ?? 0);
		if (change.modRevision <= knownRevision) {
			return false;
		}

		this.#changes.set(key, change);
		return true;
	}

	#parse({key, value, modRevision}: KeyValue, knownEntries: ReadonlyMap<string, VmListEntry>): VmListEntry {
		const knownEntry = knownEntries.get(key);
		if (knownEntry?.modRevision === modRevision) {
			return knownEntry;
		}

		const vm = parseListedVm(value);
		return {modRevision, vm: vm && this.#getKey(vm) === key ? vm : undefined};
	}

	#getKey({dataCenter, name}: ListedVm): string {
		return `${this.#prefix}${dataCenter}/${name}`;
	}
}

function compareVms(left: ListedVm, right: ListedVm): number {
	return `${left.dataCenter}/${left.name}` < `${right.dataCenter}/${right.name}` ? -1 : 1;
}
