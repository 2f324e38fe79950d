/**
 * Slot accounting of one owned upstream.
 */
import {createInvariantError} from './invariant-error.js';

/** A lease that another entry VM holds. */
export type GrantedLease = {
	readonly id: string;
	readonly holder: string;
	/** Number of the message that contains the grant; 0 when the lease was added from a claim of its holder. */
	readonly messageNumber: number;
};

/**
 * Counts the slots of one owned upstream: each is free, in use by this entry VM, or leased out.
 * @internal
 */
export class OwnedSlots {
	readonly #leases = new Map<string, GrantedLease>();
	#capacity: number;
	#free: number;
	#inUse = 0;
	/** Slots taken above the capacity, after the upstream's capacity was reduced or its owner changed. */
	#excess = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
		this.#free = capacity;
	}

	/** Gets the number of slots. */
	getCapacity(): number {
		return this.#capacity;
	}

	/** Gets the number of slots that run this entry VM's tasks. */
	getInUse(): number {
		return this.#inUse;
	}

	/** Gets the number of slots that other entry VMs hold. */
	getLeasedOut(): number {
		return this.#leases.size;
	}

	/** Gets the number of slots that are neither in use nor leased out. */
	getFree(): number {
		return this.#free;
	}

	/** Gets the leases that other entry VMs hold. */
	getLeases(): readonly GrantedLease[] {
		return [...this.#leases.values()];
	}

	/** Takes a free slot for a task of this entry VM; returns false when there is none. */
	takeSlot(): boolean {
		if (this.#free === 0) {
			return false;
		}

		this.#free--;
		this.#inUse++;
		return true;
	}

	/** Counts a task of this entry VM that is already running, even when no slot is free. */
	addRunningTask(): void {
		this.#inUse++;
		this.#occupySlot();
	}

	/** Releases a slot that a task of this entry VM used. */
	releaseSlot(): void {
		if (this.#inUse === 0) {
			throw createInvariantError('A slot that is not in use was released');
		}

		this.#inUse--;
		this.#vacateSlot();
	}

	/**
	 * Leases out a free slot; returns false when there is none or the lease already exists.
	 * @param lease - Lease to add.
	 */
	addLease(lease: GrantedLease): boolean {
		if (this.#free === 0 || this.#leases.has(lease.id)) {
			return false;
		}

		this.#free--;
		this.#leases.set(lease.id, lease);
		return true;
	}

	/**
	 * Gets a lease; `undefined` when it doesn't exist.
	 * @param id - Identifier of the lease.
	 */
	getLease(id: string): GrantedLease | undefined {
		return this.#leases.get(id);
	}

	/**
	 * Removes a lease; returns false when it doesn't exist or another member holds it.
	 * @param id - Identifier of the lease.
	 * @param holder - Member that holds it.
	 */
	removeLease(id: string, holder: string): boolean {
		if (this.#leases.get(id)?.holder !== holder) {
			return false;
		}

		this.#leases.delete(id);
		this.#vacateSlot();
		return true;
	}

	/**
	 * Changes the number of slots; taken slots above it are removed as their tasks end.
	 * @param capacity - New number of slots.
	 */
	setCapacity(capacity: number): void {
		const takenSlots = this.#inUse + this.#leases.size;
		this.#capacity = capacity;
		this.#free = Math.max(capacity - takenSlots, 0);
		this.#excess = Math.max(takenSlots - capacity, 0);
	}

	/** Throws if the free, used and leased slots don't add up to the capacity. */
	assertConsistent(): void {
		const sum = this.#free + this.#inUse + this.#leases.size;
		if (sum !== this.#capacity + this.#excess || (this.#free > 0 && this.#excess > 0) || this.#free < 0) {
			throw createInvariantError(`${this.#inUse} slots in use, ${this.#leases.size} leased out and ${this.#free} free don't add up to the capacity of ${this.#capacity}`);
		}
	}

	#occupySlot(): void {
		if (this.#free > 0) {
			this.#free--;
		} else {
			this.#excess++;
		}
	}

	#vacateSlot(): void {
		if (this.#excess > 0) {
			this.#excess--;
		} else {
			this.#free++;
		}
	}
}
