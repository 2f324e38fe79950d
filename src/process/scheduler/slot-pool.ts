/**
 * Slots of one service that one entry VM may use.
 */
import {type ListedUpstream} from '../../platform/index.js';
import {GrantedLeases} from './granted-leases.js';
import {HeldLeases} from './held-leases.js';
import {createLeaseId} from './lease-id.js';
import {type MemberView} from './member-view.js';
import {getOwner} from './owner-choice.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type HeldSlot, UpstreamEntry} from './upstream-entry.js';
import {UpstreamTable} from './upstream-table.js';

/** Options of a {@link SlotPool}. */
export type SlotPoolOptions = {
	readonly service: string;
	readonly context: SchedulerContext;
	/** Gets the expected run time of a task in milliseconds, for upstreams without observations. */
	readonly getExpectedTaskMs: () => number;
	/** Gets the maximum run time of a task, in milliseconds. */
	readonly getTaskTimeoutMs: () => number;
	/** Called when slots may have become available without a call from outside. */
	readonly onChange: () => void;
};

/**
 * The slots of one service that this entry VM may use: those of the upstreams it owns, and those it leases.
 * @internal
 */
export class SlotPool {
	readonly #options: SlotPoolOptions;
	readonly #context: SchedulerContext;
	readonly #table: UpstreamTable;
	readonly #heldLeases: HeldLeases;
	readonly #granted: GrantedLeases;
	#view: MemberView;
	#lastLeaseNumber = 0;

	constructor(options: SlotPoolOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#view = view;
		this.#table = new UpstreamTable(this.#context.clock);
		const {service, context, getTaskTimeoutMs, onChange} = options;
		const table = this.#table;
		this.#heldLeases = new HeldLeases({service, context, table});
		this.#granted = new GrantedLeases({
			service, context, table, getTaskTimeoutMs, onChange, createLeaseId: () => this.#createLeaseId(),
		}, view);
	}

	/** Gets the leases that this entry VM holds. */
	getHeldLeases(): HeldLeases {
		return this.#heldLeases;
	}

	/** Gets the leases that this entry VM granted. */
	getGrantedLeases(): GrantedLeases {
		return this.#granted;
	}

	/** Gets the upstreams. */
	getUpstreamTable(): UpstreamTable {
		return this.#table;
	}

	/** Handles a change of an upstream's health: returns the idle leases of upstreams that are not healthy. */
	handleHealthChange(): void {
		this.#table.invalidateAvailable();
		this.#heldLeases.returnIdle((_lease, entry) => entry.health.getState() !== 'healthy');
	}

	/**
	 * Takes a slot for a task on an available upstream.
	 * @param entry - Upstream to use.
	 */
	takeSlot(entry: UpstreamEntry): HeldSlot {
		const slot = entry.takeSlot();
		this.#table.updateAvailable(entry);
		return slot;
	}

	/** Gets the number of slots of this data centre divided by the number of its owners. */
	getEvenShare(): number {
		return this.#table.getLocalSlots() / (this.#view.owners.get(this.#context.self.dataCenter)?.length ?? 1);
	}

	/**
	 * Gets the other members that are up and own upstreams of this service.
	 * @param isLocal - Whether to get those of this data centre or those of the others.
	 */
	getOtherOwners(isLocal: boolean): readonly string[] {
		const owners = new Set<string>();
		for (const entry of this.#table.getEntries()) {
			if (entry.owner !== undefined && !entry.owned && entry.isLocal === isLocal && this.#view.up.has(entry.owner)) {
				owners.add(entry.owner);
			}
		}

		return [...owners];
	}

	/**
	 * Updates the upstreams of the service.
	 * @param upstreams - All upstreams of the service that this entry VM may use.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#table.invalidateAvailable();
		const names = new Set(upstreams.map(upstream => upstream.name));
		this.#table.keepOnly(names);

		for (const upstream of upstreams) {
			this.#setUpstream(upstream);
		}

		this.#updateOwners();
	}

	/**
	 * Updates the members and the owners of the upstreams.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#table.invalidateAvailable();
		this.#view = view;
		this.#granted.setMembers(view);
		this.#updateOwners();
		this.#granted.updateHolders();
	}

	/**
	 * Releases a slot; a lease is kept for the next task or returned to its owner.
	 * @param slot - Slot whose task ended.
	 */
	releaseSlot(slot: HeldSlot): void {
		const {entry, lease} = slot;
		entry.running.delete(slot);
		if (lease) {
			this.#heldLeases.releaseLease(lease, entry);
		} else {
			entry.owned?.releaseSlot();
			entry.owned?.assertConsistent();
		}

		this.#table.updateAvailable(entry);
	}

	/** Requests the claims of the other members before any owned slot is used. */
	collectClaims(): void {
		this.#granted.collectClaims(this.#table.getEntries().filter(entry => entry.owned));
	}

	/** Returns all leases and stops the timers. */
	close(): void {
		this.#heldLeases.voidAll();
		this.#granted.close();
	}

	#setUpstream(upstream: ListedUpstream): void {
		const entry = this.#table.getEntry(upstream.name);
		if (!entry) {
			const isLocal = upstream.dataCenter === this.#context.self.dataCenter;
			this.#table.addEntry(new UpstreamEntry(upstream, isLocal, this.#options.getExpectedTaskMs()));
			return;
		}

		const isNewlyLeaving = upstream.state === 'leaving' && entry.listed.state === 'live';
		entry.listed = upstream;
		entry.owned?.setCapacity(upstream.slots);
		if (isNewlyLeaving) {
			this.#context.events.addEvent('upstream-leaving', upstream.name);
			this.#heldLeases.returnIdle((lease, other) => other === entry);
		}
	}

	#updateOwners(): void {
		const gainedEntries: UpstreamEntry[] = [];
		const newOwners = new Set<string>();
		for (const entry of this.#table.getEntries()) {
			const owner = getOwner(entry.listed.name, this.#view.owners.get(entry.listed.dataCenter) ?? []);
			if (owner === entry.owner) {
				continue;
			}

			this.#setOwner(entry, owner);
			if (entry.owned) {
				gainedEntries.push(entry);
			} else if (owner !== undefined && entry.getHeldLeases().length > 0) {
				newOwners.add(owner);
			}
		}

		for (const owner of newOwners) {
			this.#context.getOutbox(owner)?.addClaims(this.#options.service, 0);
		}

		if (gainedEntries.length > 0) {
			this.#context.events.addEvent('owners-changed', this.#options.service, `${gainedEntries.length} upstreams gained`);
			this.#granted.collectClaims(gainedEntries);
		}
	}

	#setOwner(entry: UpstreamEntry, owner: string | undefined): void {
		entry.owner = owner;
		if (owner === this.#context.self.id) {
			entry.startOwning();
		} else if (entry.owned) {
			entry.stopOwning(() => ({id: this.#createLeaseId(), idleSince: 0, isVoid: false}));
		}
	}

	#createLeaseId(): string {
		this.#lastLeaseNumber++;
		return createLeaseId(this.#context.self.id, this.#lastLeaseNumber);
	}
}
