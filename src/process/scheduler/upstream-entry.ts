/**
 * Upstream with its slots, leases and running tasks.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {type TaskNeeds} from '../task-scheduler.js';
import {type UpstreamCandidate} from './upstream-choice.js';
import {UpstreamHealth} from './upstream-health.js';
import {OwnedSlots} from './owned-slots.js';

/** A slot that runs a task of this entry VM. */
export type HeldSlot = {
	readonly entry: UpstreamEntry;
	/** Lease that the slot is used under; `undefined` for a slot that this entry VM owns. */
	lease: HeldLease | undefined;
};

/** Permission of another owner to run one task at a time on an upstream. */
export type HeldLease = {
	readonly id: string;
	/** Monotonic time at which the lease became idle, in milliseconds. */
	idleSince: number;
	/** Whether the lease ends with its current task. */
	isVoid: boolean;
};

/** Candidate of the upstream choice with its entry. */
export type EntryCandidate = UpstreamCandidate & {readonly entry: UpstreamEntry};

/**
 * One upstream, with the slots that this entry VM owns or leases there and its own running tasks.
 * @internal
 */
export class UpstreamEntry {
	readonly health: UpstreamHealth;
	/** Identifier of the member that owns the upstream. */
	owner: string | undefined;
	/** Slot accounting; `undefined` when another member owns the upstream. */
	owned: OwnedSlots | undefined;
	/** Whether claims are awaited: other members may hold leases that this owner has not recorded yet. */
	isAwaitingClaims = false;
	readonly idleLeases: HeldLease[] = [];
	readonly running = new Set<HeldSlot>();

	constructor(public listed: ListedUpstream, readonly isLocal: boolean, expectedMs: number) {
		this.health = new UpstreamHealth(expectedMs);
	}

	/** Gets whether a task may start on the upstream now. */
	isAvailable(): boolean {
		return this.#acceptsTasks() && (this.getFreeSlots() > 0 || this.idleLeases.length > 0);
	}

	/** Gets whether a slot may be leased out now; slots of an upstream that is probed are not. */
	isGrantable(): boolean {
		return this.listed.state === 'live' && this.health.getState() === 'healthy' && this.getFreeSlots() > 0;
	}

	/** Gets the number of free owned slots; 0 while claims are awaited. */
	getFreeSlots(): number {
		return this.owned && !this.isAwaitingClaims ? this.owned.getFree() : 0;
	}

	/** Gets the held leases, in use or idle, without void ones. */
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
	 * Creates a candidate for the upstream choice.
	 * @param tried - Names of the upstreams on which the task ended without an answer.
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

	/** Starts the slot accounting, which includes the tasks already running. */
	startOwning(): void {
		this.owned = new OwnedSlots(this.listed.slots);
		for (const slot of this.running) {
			slot.lease = undefined;
			this.owned.addRunningTask();
		}

		this.idleLeases.length = 0;
	}

	/**
	 * Stops the slot accounting; running tasks continue under leases that are claimed at the new owner.
	 * @param createLease - Creates a lease for a running task.
	 */
	stopOwning(createLease: () => HeldLease): void {
		this.owned = undefined;
		for (const slot of this.running) {
			slot.lease ??= createLease();
		}
	}

	#acceptsTasks(): boolean {
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
 * Gets whether an upstream's resources satisfy a task's declared needs.
 * @param upstream - Upstream to check.
 * @param needs - Needs of the task; missing ones are not checked.
 */
export function fitsNeeds(upstream: ListedUpstream, needs: TaskNeeds): boolean {
	return (needs.cores ?? 0) <= upstream.cores
		&& (needs.memoryMb ?? 0) <= upstream.memoryMb
		&& (needs.accelerators ?? 0) <= upstream.accelerators;
}
