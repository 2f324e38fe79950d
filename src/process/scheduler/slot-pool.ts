/**
 * Slots of one service, as one entry VM sees them.
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
	/** Gets the expected time of a task, for upstreams that none was observed on. */
	readonly getTaskMs: () => number;
	/** Gets the longest time that a task may run. */
	readonly getTaskTimeoutMs: () => number;
	/** Called when slots may have become available by themselves. */
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
	readonly #held: HeldLeases;
	readonly #granted: GrantedLeases;
	#view: MemberView;
	#lastLease = 0;

	constructor(options: SlotPoolOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#view = view;
		this.#table = new UpstreamTable(this.#context.clock);
		const {service, context, getTaskTimeoutMs, onChange} = options;
		const table = this.#table;
		this.#held = new HeldLeases({service, context, table});
		this.#granted = new GrantedLeases({
			service, context, table, getTaskTimeoutMs, onChange, createLeaseId: () => this.#createLeaseId(),
		}, view);
	}

	/** Gets the leases that this entry VM holds. */
	getHeldLeases(): HeldLeases {
		return this.#held;
	}

	/** Gets the leases that this entry VM granted. */
	getGrantedLeases(): GrantedLeases {
		return this.#granted;
	}

	/** Gets the upstreams. */
	getUpstreamTable(): UpstreamTable {
		return this.#table;
	}

	/** Tells that the health of an upstream changed. */
	handleHealthChange(): void {
		this.#table.invalidateAvailable();
		this.#held.returnIdle((_lease, entry) => entry.health.getState() !== 'healthy');
	}

	/**
	 * Takes a slot for a task on an upstream that is available.
	 * @param entry - Upstream to use.
	 */
	takeSlot(entry: UpstreamEntry): HeldSlot {
		const slot = entry.takeSlot();
		this.#table.updateAvailable(entry);
		return slot;
	}

	/** Gets the slots of this data centre divided by the number of its entry VMs. */
	getEvenShare(): number {
		return this.#table.getLocalSlots() / (this.#view.owners.get(this.#context.self.dataCenter)?.length ?? 1);
	}

	/** Gets the other members that own upstreams of this service, by whether they are of this data centre. */
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
	 * Takes a new list of the service's upstreams.
	 * @param upstreams - Upstreams of the service that this entry VM may use.
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
	 * Takes a new view of the members.
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
	 * Ends the use of a slot; a lease is kept for the next task unless it is void.
	 * @param slot - Slot whose task ended.
	 */
	releaseSlot(slot: HeldSlot): void {
		const {entry, lease} = slot;
		entry.running.delete(slot);
		if (lease) {
			this.#held.releaseLease(lease, entry);
		} else {
			entry.owned?.releaseSlot();
			entry.owned?.assertConsistent();
		}

		this.#table.updateAvailable(entry);
	}

	/** Asks the other members for the leases they hold before any owned slot is used. */
	collectClaims(): void {
		this.#granted.collectClaims(this.#table.getEntries().filter(entry => entry.owned));
	}

	/** Gives back all leases and stops the timers. */
	close(): void {
		this.#held.voidAll();
		this.#granted.close();
	}

	#setUpstream(upstream: ListedUpstream): void {
		const entry = this.#table.getEntry(upstream.name);
		if (!entry) {
			const isLocal = upstream.dataCenter === this.#context.self.dataCenter;
			this.#table.addEntry(new UpstreamEntry(upstream, isLocal, this.#options.getTaskMs()));
			return;
		}

		const isNewlyLeaving = upstream.state === 'leaving' && entry.listed.state === 'live';
		entry.listed = upstream;
		entry.owned?.setCapacity(upstream.slots);
		if (isNewlyLeaving) {
			this.#context.events.addEvent('upstream-leaving', upstream.name);
			this.#held.returnIdle((lease, holding) => holding === entry);
		}
	}

	#updateOwners(): void {
		const gained: UpstreamEntry[] = [];
		const toldOwners = new Set<string>();
		for (const entry of this.#table.getEntries()) {
			const owner = getOwner(entry.listed.name, this.#view.owners.get(entry.listed.dataCenter) ?? []);
			if (owner === entry.owner) {
				continue;
			}

			this.#setOwner(entry, owner);
			if (entry.owned) {
				gained.push(entry);
			} else if (owner !== undefined && entry.getHeldLeases().length > 0) {
				toldOwners.add(owner);
			}
		}

		for (const owner of toldOwners) {
			this.#context.getOutbox(owner)?.addClaims(this.#options.service, 0);
		}

		if (gained.length > 0) {
			this.#context.events.addEvent('owners-changed', this.#options.service, `${gained.length} upstreams gained`);
			this.#granted.collectClaims(gained);
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
		this.#lastLease++;
		return createLeaseId(this.#context.self.id, this.#lastLease);
	}
}
