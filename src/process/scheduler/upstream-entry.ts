/**
 * One upstream with its slots, leases and running tasks.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {type TaskNeeds} from '../task-scheduler.js';
import {type UpstreamCandidate} from './upstream-choice.js';
import {UpstreamHealth} from './upstream-health.js';
import {OwnedSlots} from './owned-slots.js';

/** A slot that runs a task of this entry VM, or a lease that waits for one. */
export type HeldSlot = {
	readonly entry: UpstreamEntry;
	/** Lease behind the slot; absent for a slot that this entry VM owns. */
	lease: HeldLease | undefined;
};

/** Another owner's leave to run one task at a time on an upstream. */
export type HeldLease = {
	readonly id: string;
	/** Monotonic time since when the lease runs no task. */
	idleSince: number;
	/** Whether the lease ends with the task that it runs. */
	isVoid: boolean;
};

/** An upstream as the choice sees it. */
export type EntryCandidate = UpstreamCandidate & {readonly entry: UpstreamEntry};

/**
 * One upstream as this entry VM sees it, with the slots that it may use there.
 * @internal
 */
export class UpstreamEntry {
	readonly health: UpstreamHealth;
	/** Member that counts the upstream's slots. */
	owner: string | undefined;
	/** Slots, when this entry VM counts them. */
	owned: OwnedSlots | undefined;
	/** Whether leases of this upstream may be held that this entry VM doesn't know of yet. */
	isAwaitingClaims = false;
	readonly idleLeases: HeldLease[] = [];
	readonly running = new Set<HeldSlot>();

	constructor(public listed: ListedUpstream, readonly isLocal: boolean, expectedMs: number) {
		this.health = new UpstreamHealth(expectedMs);
	}

	/** Gets whether a task may start here now. */
	isAvailable(): boolean {
		return this.#takesTasks() && (this.getFreeSlots() > 0 || this.idleLeases.length > 0);
	}

	/** Gets whether a slot may be leased out now; one under probe is kept. */
	isGrantable(): boolean {
		return this.listed.state === 'live' && this.health.getState() === 'healthy' && this.getFreeSlots() > 0;
	}

	/** Gets the owned slots that are free, none while claims are awaited. */
	getFreeSlots(): number {
		return this.owned && !this.isAwaitingClaims ? this.owned.getFree() : 0;
	}

	/** Gets the leases held here, in use or not. */
	getHeldLeases(): readonly HeldLease[] {
		const used = [...this.running].flatMap(slot => slot.lease && !slot.lease.isVoid ? [slot.lease] : []);
		return [...used, ...this.idleLeases];
	}

	/** Takes a slot for a task; the entry must be available. */
	takeSlot(): HeldSlot {
		const isOwn = this.getFreeSlots() > 0 && this.owned!.takeSlot();
		const slot = {entry: this, lease: isOwn ? undefined : this.idleLeases.pop()!};
		this.running.add(slot);
		return slot;
	}

	/**
	 * Gets what the choice of an upstream sees.
	 * @param tried - Upstreams on which the task ended without an answer.
	 */
	toCandidate(tried: readonly string[]): EntryCandidate {
		return {
			entry: this,
			name: this.listed.name,
			slots: this.listed.slots,
			outstanding: this.running.size + (this.owned?.getLeasedOut() ?? 0),
			latencyMs: this.health.getLatencyMs(),
			failureRate: this.health.getFailureRate(),
			isLocal: this.isLocal,
			wasTried: tried.includes(this.listed.name),
		};
	}

	/** Starts to count the slots, with the tasks that already run. */
	startOwning(): void {
		this.owned = new OwnedSlots(this.listed.slots);
		for (const slot of this.running) {
			slot.lease = undefined;
			this.owned.addRunningTask();
		}

		this.idleLeases.length = 0;
	}

	/**
	 * Stops to count the slots; running tasks go on under leases that the new owner is told of.
	 * @param createLease - Creates a lease for a running task.
	 */
	stopOwning(createLease: () => HeldLease): void {
		this.owned = undefined;
		for (const slot of this.running) {
			slot.lease ??= createLease();
		}
	}

	#takesTasks(): boolean {
		if (this.listed.state === 'leaving') {
			return false;
		}

		switch (this.health.getState()) {
			case 'healthy': {
				return true;
			}

			case 'ejected': {
				return false;
			}

			case 'probing': {
				return this.running.size === 0;
			}
		}
	}
}

/**
 * Tells whether an upstream's resources fit a task's declared needs.
 * @param upstream - Upstream to check.
 * @param needs - Needs of the task; absent ones are not checked.
 */
export function fitsNeeds(upstream: ListedUpstream, needs: TaskNeeds): boolean {
	return (needs.cores ?? 0) <= upstream.cores
		&& (needs.memoryMb ?? 0) <= upstream.memoryMb
		&& (needs.accelerators ?? 0) <= upstream.accelerators;
}
