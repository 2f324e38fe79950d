/**
 * Keeps the evacuated data centres up to date from the store and from peers.
 */
import {type DecisionLog, type Evacuation, type Evacuations} from '../pool/index.js';
import {type StoredChange, type StoredItem} from './store-client.js';

/** Prefix of the operator's items; a data centre is evacuated while an item of this prefix and its name exists, whatever its value. */
export const evacuationPrefix = 'op/evacuate/';

/** Options of {@link EvacuationWatch}. */
export type EvacuationWatchOptions = {
	readonly log: DecisionLog;
	/** Data centres of the deployment; items that name others are ignored. */
	readonly dataCenters: readonly string[];
	/** Receives each newer state. */
	readonly evacuations: Evacuations;
};

/** Maximum number of keys that are remembered as ignored. */
const maxIgnoredKeys = 1000;

/**
 * Applies what is read of the operator's items. A state says which data centres are evacuated at a revision of the store; a full read gives one, a change
 * turns it into the next, and peers send theirs. All of them are states of one store, so that of two states the one with the higher revision is right.
 */
export class EvacuationWatch {
	readonly #options: EvacuationWatchOptions;
	readonly #ignoredKeys = new Set<string>();

	constructor(options: EvacuationWatchOptions) {
		this.#options = options;
	}

	/** Gets the state for heartbeats; `undefined` if no VM is known to have ever known an evacuation. */
	getPublishedState(): Evacuation | undefined {
		const {evacuations} = this.#options;
		return evacuations.hasBeenSet() ? evacuations.getState() : undefined;
	}

	/**
	 * Applies a full read of the operator's items.
	 * @param items - Items, including those of other prefixes.
	 * @param revision - Revision of the store at which they were read.
	 */
	setItems(items: ReadonlyArray<Pick<StoredItem, 'key'>>, revision: number): void {
		this.#setState({revision, dataCenters: items.flatMap(({key}) => this.#getDataCenter(key) ?? [])}, 'store');
	}

	/**
	 * Applies changes of the operator's items; those that the state includes are ignored.
	 * @param changes - Changes in the order of their revisions, including those of other prefixes.
	 */
	addChanges(changes: readonly StoredChange[]): void {
		for (const {key, value, revision} of changes) {
			const dataCenter = this.#getDataCenter(key);
			if (dataCenter !== undefined) {
				const others = this.#options.evacuations.getState().dataCenters.filter(name => name !== dataCenter);
				this.#setState({revision, dataCenters: value === undefined ? others : [...others, dataCenter]}, 'store');
			}
		}
	}

	/**
	 * Applies the state that a peer's heartbeat carries.
	 * @param state - State.
	 * @param peer - Identifier of the peer.
	 */
	addPeerState({revision, dataCenters}: Evacuation, peer: string): void {
		// Peers publish a state only if a VM has known an evacuation.
		this.#options.evacuations.setHasBeenSet();
		// Called with each heartbeat; most carry a known state.
		if (revision > this.#options.evacuations.getState().revision) {
			this.#setState({revision, dataCenters: dataCenters.filter(name => this.#options.dataCenters.includes(name))}, peer);
		}
	}

	#setState(state: Evacuation, source: string): void {
		const {evacuations, log} = this.#options;
		const before = evacuations.getState();
		if (!evacuations.setState(state)) {
			return;
		}

		const {revision, dataCenters} = evacuations.getState();
		const began = dataCenters.filter(name => !before.dataCenters.includes(name));
		const ended = before.dataCenters.filter(name => !dataCenters.includes(name));
		log.warn({
			revision, revisionBefore: before.revision, source, dataCenters, began, ended,
		}, 'evacuated data centres changed');
	}

	/** Gets the data centre that an item names; `undefined` for an item of another prefix or of an unknown data centre, which is logged once. */
	#getDataCenter(key: string): string | undefined {
		if (!key.startsWith(evacuationPrefix)) {
			return undefined;
		}

		const name = key.slice(evacuationPrefix.length);
		if (this.#options.dataCenters.includes(name)) {
			return name;
		}

		if (!this.#ignoredKeys.has(key) && this.#ignoredKeys.size < maxIgnoredKeys) {
			this.#ignoredKeys.add(key);
			this.#options.log.warn({key}, 'evacuation of an unknown data centre ignored');
		}

		return undefined;
	}
}
