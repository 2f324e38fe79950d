/**
 * Counts of the slots of one owned upstream.
 */
import {createInvariantError} from './invariant-error.js';

/** A lease that another entry VM holds. */
export type GrantedLease = {
	readonly id: string;
	readonly holder: string;
	/** Number of the message that carries the grant; 0 when the holder claimed the lease. */
	readonly messageNumber: number;
};

/**
 * Counts the slots of one owned upstream: each is free, in use here, or leased out.
 * @internal
 */
export class OwnedSlots {
	readonly #leases = new Map<string, GrantedLease>();
	#capacity: number;
	#free: number;
	#inUse = 0;
	/** Running tasks above the capacity, after an upstream shrank or changed its owner. */
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

	/** Takes a free slot for a task of this entry VM; false when there is none. */
	takeSlot(): boolean {
		if (this.#free === 0) {
			return false;
		}

		this.#free--;
		this.#inUse++;
		return true;
	}

	/** Counts a task of this entry VM that already runs, also when no slot is free. */
	addRunningTask(): void {
		this.#inUse++;
		this.#takeFreeOrExcess();
	}

	/** Frees a slot that a task of this entry VM had. */
	releaseSlot(): void {
		if (this.#inUse === 0) {
			throw createInvariantError('A slot was released that was not in use');
		}

		this.#inUse--;
		this.#giveBack();
	}

	/**
	 * Leases a free slot out; false when there is none or the lease exists.
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
	 * Gets a lease.
	 * @param id - Identifier of the lease.
	 */
	getLease(id: string): GrantedLease | undefined {
		return this.#leases.get(id);
	}

	/**
	 * Ends a lease; false when it doesn't exist or another member holds it.
	 * @param id - Identifier of the lease.
	 * @param holder - Member that holds it.
	 */
	removeLease(id: string, holder: string): boolean {
		if (this.#leases.get(id)?.holder !== holder) {
			return false;
		}

		this.#leases.delete(id);
		this.#giveBack();
		return true;
	}

	/**
	 * Changes the number of slots; those above it end with their tasks.
	 * @param capacity - New number.
	 */
	setCapacity(capacity: number): void {
		const taken = this.#inUse + this.#leases.size;
		this.#capacity = capacity;
		this.#free = Math.max(capacity - taken, 0);
		this.#excess = Math.max(taken - capacity, 0);
	}

	/** Throws when the slots that are free, in use and leased out don't sum up to the capacity. */
	assertConsistent(): void {
		const sum = this.#free + this.#inUse + this.#leases.size;
		if (sum !== this.#capacity + this.#excess || (this.#free > 0 && this.#excess > 0) || this.#free < 0) {
			throw createInvariantError(`${this.#inUse} slots in use, ${this.#leases.size} leased out and ${this.#free} free don't make ${this.#capacity}`);
		}
	}

	#takeFreeOrExcess(): void {
		if (this.#free > 0) {
			this.#free--;
		} else {
			this.#excess++;
		}
	}

	#giveBack(): void {
		if (this.#excess > 0) {
			this.#excess--;
		} else {
			this.#free++;
		}
	}
}
