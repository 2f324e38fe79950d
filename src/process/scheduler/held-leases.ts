/**
 * Leases that this entry VM holds on the upstreams of other owners.
 */
import {isLeaseGrantedBy} from './lease-id.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type LeaseReference} from './slot-messages.js';
import {type HeldLease, type UpstreamEntry} from './upstream-entry.js';
import {type UpstreamTable} from './upstream-table.js';

/** Options of {@link HeldLeases}. */
export type HeldLeasesOptions = {
	readonly service: string;
	readonly context: SchedulerContext;
	readonly table: UpstreamTable;
};

/**
 * Stores the leases of one service that this entry VM holds, and returns them to their owners.
 * @internal
 */
export class HeldLeases {
	readonly #options: HeldLeasesOptions;
	readonly #context: SchedulerContext;
	readonly #table: UpstreamTable;

	constructor(options: HeldLeasesOptions) {
		this.#options = options;
		this.#context = options.context;
		this.#table = options.table;
	}

	/**
	 * Adds leases that another owner granted; those of unknown, owned or leaving upstreams are returned.
	 * @param leases - Leases granted.
	 * @param owner - Member that granted them.
	 */
	handleGranted(leases: readonly LeaseReference[], owner: string): void {
		this.#table.invalidateAvailable();
		for (const {id, upstream} of leases) {
			const entry = this.#table.getEntry(upstream);
			if (entry && !entry.owned && entry.listed.state === 'live') {
				entry.idleLeases.push({id, idleSince: this.#context.clock.getMonotonicTime(), isVoid: false});
			} else {
				this.#context.getOutbox(owner)?.addReturn(this.#options.service, id);
			}
		}
	}

	/**
	 * Removes leases that their owner revoked because it has no such lease; tasks that run on them continue.
	 * @param ids - Identifiers of the leases.
	 */
	handleRevoked(ids: readonly string[]): void {
		this.#table.invalidateAvailable();
		const revoked = new Set(ids);
		for (const entry of this.#table.getEntries()) {
			const remainingLeases = entry.idleLeases.filter(lease => !revoked.has(lease.id));
			entry.idleLeases.splice(0, entry.idleLeases.length, ...remainingLeases);
			for (const lease of voidRunningLeases(entry, ({id}) => revoked.has(id))) {
				this.#context.events.addEvent('lease-void', entry.listed.name, lease.id);
			}
		}
	}

	/**
	 * Gets the held leases of the upstreams that a member owns, and those that it granted.
	 * @param owner - Identifier of the member.
	 */
	getClaims(owner: string): readonly LeaseReference[] {
		return this.#table.getEntries().flatMap(entry => entry.getHeldLeases()
			.filter(lease => entry.owner === owner || isLeaseGrantedBy(lease.id, owner))
			.map(lease => ({id: lease.id, upstream: entry.listed.name})));
	}

	/**
	 * Returns idle leases to their owners.
	 * @param shouldReturn - Gets whether a lease is returned.
	 */
	returnIdle(shouldReturn: (lease: HeldLease, entry: UpstreamEntry) => boolean): void {
		for (const entry of this.#table.getEntries()) {
			for (const lease of entry.idleLeases.filter(idle => shouldReturn(idle, entry))) {
				entry.idleLeases.splice(entry.idleLeases.indexOf(lease), 1);
				this.#table.updateAvailable(entry);
				this.#sendReturn(entry, lease);
			}
		}
	}

	/**
	 * Keeps a lease whose task ended for the next task; returns it if it is void or its upstream is leaving or not healthy.
	 * @param lease - Lease whose task ended.
	 * @param entry - Upstream of the lease.
	 */
	releaseLease(lease: HeldLease, entry: UpstreamEntry): void {
		if (lease.isVoid || entry.listed.state === 'leaving' || entry.health.getState() !== 'healthy') {
			this.#sendReturn(entry, lease);
			return;
		}

		lease.idleSince = this.#context.clock.getMonotonicTime();
		entry.idleLeases.push(lease);
	}

	/** Returns all idle leases and voids those in use, after other members may have considered this process down. */
	voidAll(): void {
		this.returnIdle(() => true);
		for (const entry of this.#table.getEntries()) {
			voidRunningLeases(entry, () => true);
		}
	}

	#sendReturn(entry: UpstreamEntry, lease: HeldLease): void {
		if (entry.owner !== undefined) {
			this.#context.getOutbox(entry.owner)?.addReturn(this.#options.service, lease.id);
		}
	}
}

/** Voids leases that run tasks; returns them. */
function voidRunningLeases(entry: UpstreamEntry, shouldVoid: (lease: HeldLease) => boolean): readonly HeldLease[] {
	const voided: HeldLease[] = [];
	for (const {lease} of entry.running) {
		if (lease && shouldVoid(lease)) {
			lease.isVoid = true;
			voided.push(lease);
		}
	}

	return voided;
}
