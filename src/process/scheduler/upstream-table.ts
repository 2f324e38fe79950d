/**
 * Upstreams of one service.
 */
import {type Clock} from '../../seams/index.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** Time for which a count of the usable slots is good enough, in milliseconds. */
const usableValidMs = 5;

/**
 * The upstreams of one service, with counts over all of them. Those on which a task may start are kept, so that a
 * start needn't look at the others.
 * @internal
 */
export class UpstreamTable {
	readonly #clock: Clock;
	readonly #entries = new Map<string, UpstreamEntry>();
	readonly #available = new Set<UpstreamEntry>();
	#isAvailableStale = true;
	#usableSlots = 0;
	#usableCountedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Gets the upstreams. */
	getEntries(): readonly UpstreamEntry[] {
		return [...this.#entries.values()];
	}

	/**
	 * Gets an upstream.
	 * @param name - Name of the upstream.
	 */
	getEntry(name: string): UpstreamEntry | undefined {
		return this.#entries.get(name);
	}

	/**
	 * Adds an upstream.
	 * @param entry - Upstream to add.
	 */
	addEntry(entry: UpstreamEntry): void {
		this.#entries.set(entry.listed.name, entry);
	}

	/**
	 * Removes all upstreams but some.
	 * @param names - Names of those to keep.
	 */
	keepOnly(names: ReadonlySet<string>): void {
		for (const name of this.#entries.keys()) {
			if (!names.has(name)) {
				this.#entries.delete(name);
			}
		}
	}

	/** Gets the upstreams on which a task may start now. */
	getAvailable(): readonly UpstreamEntry[] {
		if (this.#isAvailableStale) {
			this.#isAvailableStale = false;
			this.#available.clear();
			for (const entry of this.#entries.values()) {
				this.updateAvailable(entry);
			}
		}

		return [...this.#available];
	}

	/** Tells that many upstreams may have become available, or ceased to be. */
	invalidateAvailable(): void {
		this.#isAvailableStale = true;
	}

	/**
	 * Tells that an upstream may have become available, or ceased to be.
	 * @param entry - Upstream that changed.
	 */
	updateAvailable(entry: UpstreamEntry): void {
		if (entry.isAvailable() && this.#entries.get(entry.listed.name) === entry) {
			this.#available.add(entry);
		} else {
			this.#available.delete(entry);
		}
	}

	/** Gets the number of slots that this entry VM has for its own tasks, free or in use, as of a moment ago. */
	getUsableSlots(): number {
		const now = this.#clock.getMonotonicTime();
		if (now - this.#usableCountedAt >= usableValidMs) {
			this.#usableCountedAt = now;
			this.#usableSlots = this.#countUsableSlots();
		}

		return this.#usableSlots;
	}

	/** Gets the number of slots that this entry VM counts. */
	getOwnedSlots(): number {
		return this.getEntries().reduce((sum, entry) => sum + (entry.owned?.getCapacity() ?? 0), 0);
	}

	/** Gets the number of slots of this data centre. */
	getLocalSlots(): number {
		const local = this.getEntries().filter(({isLocal, listed}) => isLocal && listed.state === 'live');
		return local.reduce((sum, {listed}) => sum + listed.slots, 0);
	}

	/** Gets the number of slots that could be leased out now. */
	getGrantableSlots(): number {
		let sum = 0;
		for (const entry of this.#entries.values()) {
			sum += entry.isGrantable() ? entry.getFreeSlots() : 0;
		}

		return sum;
	}

	/** Gets the upstream with the most slots that could be leased out now. */
	getMostGrantable(): UpstreamEntry | undefined {
		let best: UpstreamEntry | undefined;
		for (const entry of this.#entries.values()) {
			if (entry.isGrantable() && (!best || entry.getFreeSlots() > best.getFreeSlots())) {
				best = entry;
			}
		}

		return best;
	}

	/** Gets the members that hold leases of this entry VM, up or not. */
	getHolders(): ReadonlySet<string> {
		return new Set(this.getEntries().flatMap(entry => entry.owned?.getLeases() ?? []).map(lease => lease.holder));
	}

	/** Gets the earliest time since when a lease runs no task. */
	getOldestIdleTime(): number | undefined {
		let oldest: number | undefined;
		for (const entry of this.getAvailable()) {
			for (const {idleSince} of entry.idleLeases) {
				oldest = Math.min(oldest ?? idleSince, idleSince);
			}
		}

		return oldest;
	}

	#countUsableSlots(): number {
		let sum = 0;
		for (const entry of this.#entries.values()) {
			if (entry.listed.state === 'live' && entry.health.getState() === 'healthy') {
				sum += entry.owned ? entry.owned.getCapacity() - entry.owned.getLeasedOut() : entry.getHeldLeases().length;
			}
		}

		return sum;
	}
}
