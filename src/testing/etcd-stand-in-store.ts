/**
 * Keys of the platform's stand-in with their history by revision.
 */

/** A stored key with its value; keys are byte strings, values are base64. */
export type StoredKey = {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modRevision: number;
	readonly version: number;
	readonly lease: number;
};

/** One change of a key; `current` is undefined when the key was deleted. */
export type StoredChange = {
	readonly key: string;
	readonly revision: number;
	readonly previous: StoredKey | undefined;
	readonly current: StoredKey | undefined;
};

/** One write of a transaction. */
export type StoreWrite =
	| {readonly kind: 'put'; readonly key: string; readonly value: string; readonly lease?: number}
	| {readonly kind: 'delete'; readonly range: KeySelection};

/** One key, or all keys from `key` up to but excluding `rangeEnd`. */
export type KeySelection = {
	readonly key: string;
	readonly rangeEnd?: string;
};

/** Called with the changes of each new revision. */
export type ChangeListener = (changes: readonly StoredChange[], revision: number) => void;

/** Most changes in the history; beyond it the older half is compacted. */
const maxHistory = 20_000;

/** A key-value store with revisions. */
export class EtcdStandInStore {
	readonly #listeners = new Set<ChangeListener>();
	readonly #keys = new Map<string, StoredKey>();
	#history: StoredChange[] = [];
	#revision = 1;
	#compactRevision = 0;

	/** Gets the revision of the last write. */
	getRevision(): number {
		return this.#revision;
	}

	/** Gets the first revision that the history still holds. */
	getCompactRevision(): number {
		return this.#compactRevision;
	}

	/**
	 * Gets the current state of a key, or `undefined` when it does not exist.
	 * @param key - Key to read.
	 */
	getKey(key: string): StoredKey | undefined {
		return this.#keys.get(key);
	}

	/**
	 * Gets the selected keys as of a revision, sorted by key.
	 * @param selection - Keys to read.
	 * @param revision - Revision to read at.
	 */
	getRange(selection: KeySelection, revision = this.#revision): readonly StoredKey[] {
		const keys = revision >= this.#revision ? this.#keys : this.#getKeysAt(revision);
		return [...keys.values()].filter(({key}) => isSelected(key, selection)).sort((a, b) => a.key < b.key ? -1 : 1);
	}

	/**
	 * Gets the changes of the selected keys in the history from a revision on.
	 * @param selection - Keys to get the changes of.
	 * @param fromRevision - First revision to include.
	 */
	getChanges(selection: KeySelection, fromRevision: number): readonly StoredChange[] {
		return this.#history.filter(change => change.revision >= fromRevision && isSelected(change.key, selection));
	}

	/**
	 * Applies all writes at one new revision; without changes the revision stays.
	 * @param writes - Writes to apply.
	 * @returns Current revision.
	 */
	commit(writes: readonly StoreWrite[]): number {
		const revision = this.#revision + 1;
		const changes = writes.flatMap(write => this.#apply(write, revision));
		if (changes.length === 0) {
			return this.#revision;
		}

		this.#revision = revision;
		this.#history.push(...changes);
		if (this.#history.length > maxHistory) {
			this.compact(this.#history[this.#history.length - Math.floor(maxHistory / 2)]!.revision);
		}

		for (const listener of this.#listeners) {
			listener(changes, revision);
		}

		return revision;
	}

	/**
	 * Discards the changes before a revision.
	 * @param revision - First revision that is kept.
	 */
	compact(revision = this.#revision): void {
		this.#compactRevision = revision;
		this.#history = this.#history.filter(change => change.revision >= revision);
	}

	/**
	 * Adds a listener for new revisions; gets a function that removes it.
	 * @param listener - Function to call.
	 */
	addListener(listener: ChangeListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#apply(write: StoreWrite, revision: number): readonly StoredChange[] {
		return write.kind === 'put' ? [this.#put(write, revision)] : this.#delete(write.range, revision);
	}

	#put(write: StoreWrite & {kind: 'put'}, revision: number): StoredChange {
		const {key, value, lease = 0} = write;
		const previous = this.#keys.get(key);
		const current: StoredKey = {
			key, value, lease, modRevision: revision, createRevision: previous?.createRevision ?? revision, version: (previous?.version ?? 0) + 1,
		};
		this.#keys.set(key, current);
		return {
			key, revision, previous, current,
		};
	}

	#delete(selection: KeySelection, revision: number): readonly StoredChange[] {
		const removed = this.getRange(selection);
		for (const {key} of removed) {
			this.#keys.delete(key);
		}

		return removed.map(previous => ({
			key: previous.key, revision, previous, current: undefined,
		}));
	}

	#getKeysAt(revision: number): ReadonlyMap<string, StoredKey> {
		const keys = new Map(this.#keys);
		for (const change of this.#history.filter(({revision: changeRevision}) => changeRevision > revision).reverse()) {
			if (change.previous) {
				keys.set(change.key, change.previous);
			} else {
				keys.delete(change.key);
			}
		}

		return keys;
	}
}

function isSelected(key: string, {key: first, rangeEnd}: KeySelection): boolean {
	return rangeEnd === undefined ? key === first : key >= first && key < rangeEnd;
}
