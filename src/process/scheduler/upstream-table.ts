/**
 * Upstreams of one service.
 */
import {type Clock} from '../../seams/index.js';
import {type UpstreamEntry} from './upstream-entry.js';

/** Time for which the number of usable slots is cached, in milliseconds. */
const usableSlotsCacheMs = 5;

/**
 * Stores the upstreams of one service and sums up their slots. The set of available upstreams is maintained, so that the
 * start of a task doesn't check the others.
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
	 * Gets an upstream; `undefined` when it is not listed.
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
	 * Removes all upstreams except the named ones.
	 * @param names - Names of the upstreams to keep.
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

	/** Invalidates the set of available upstreams; it is computed again when next read. */
	invalidateAvailable(): void {
		this.#isAvailableStale = true;
	}

	/**
	 * Updates whether an upstream is in the set of available ones.
	 * @param entry - Upstream that changed.
	 */
	updateAvailable(entry: UpstreamEntry): void {
		if (entry.isAvailable() && this.#entries.get(entry.listed.name) === entry) {
			this.#available.add(entry);
		} else {
			this.#available.delete(entry);
		}
	}

	/** Gets the number of slots, free or in use, that this entry VM has for its own tasks; the value may be a few milliseconds old. */
	getUsableSlots(): number {
		const now = this.#clock.getMonotonicTime();
		if (now - this.#usableCountedAt >= usableSlotsCacheMs) {
			this.#usableCountedAt = now;
			this.#usableSlots = this.#countUsableSlots();
		}

		return this.#usableSlots;
	}

	/** Gets the number of slots that this entry VM owns. */
	getOwnedSlots(): number {
		return this.getEntries().reduce((sum, entry) => sum + (entry.owned?.getCapacity() ?? 0), 0);
	}

	/** Gets the number of slots of the live upstreams of this data centre. */
	getLocalSlots(): number {
		const local = this.getEntries().filter(({isLocal, listed}) => isLocal && listed.state === 'live');
		return local.reduce((sum, {listed}) => sum + listed.slots, 0);
	}

	/** Gets the number of slots that may be leased out now. */
	getGrantableSlots(): number {
		let sum = 0;
		for (const entry of this.#entries.values()) {
			sum += entry.isGrantable() ? entry.getFreeSlots() : 0;
		}

		return sum;
	}

	/** Gets the upstream with the most slots that may be leased out now; `undefined` when there is none. */
	getMostGrantable(): UpstreamEntry | undefined {
		let best: UpstreamEntry | undefined;
		for (const entry of this.#entries.values()) {
			if (entry.isGrantable() && (!best || entry.getFreeSlots() > best.getFreeSlots())) {
				best = entry;
			}
		}

		return best;
	}

	/** Gets the members that hold leases granted by this entry VM, whether they are up or not. */
	getHolders(): ReadonlySet<string> {
		return new Set(this.getEntries().flatMap(entry => entry.owned?.getLeases() ?? []).map(lease => lease.holder));
	}

	/** Gets the monotonic time at which the longest idle lease became idle; `undefined` when no available upstream has one. */
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
