import {type ListedUpstream} from '../../platform/index.js';
import {ClaimRound} from './claim-round.js';
import {HolderWatch} from './holder-watch.js';
import {type MemberView} from './member-view.js';
import {getOwner} from './owner-table.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type LeaseName, type ServiceUpdate} from './slot-messages.js';
import {type HeldLease, type HeldSlot, UpstreamEntry} from './upstream-entry.js';
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
	readonly #claims: ClaimRound;
	readonly #holderWatch: HolderWatch;
	#view: MemberView;
	#lastLease = 0;

	constructor(options: SlotPoolOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#view = view;
		const {clock} = this.#context;
		this.#table = new UpstreamTable(clock);
		this.#claims = new ClaimRound(clock, () => {
			this.#endClaims();
		});
		this.#holderWatch = new HolderWatch({
			clock,
			getTaskTimeoutMs: options.getTaskTimeoutMs,
			onGone: holder => {
				this.#freeHolder(holder);
			},
		});
	}

	/** Gets the upstreams. */
	getTable(): UpstreamTable {
		return this.#table;
	}

	/** Tells that the health of an upstream changed. */
	handleHealthChange(): void {
		this.#table.updateAllAvailable();
		this.returnLeases((_lease, entry) => entry.health.getState() !== 'healthy');
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

	/** Gets the members that hold leases of this entry VM. */
	getHolders(): readonly string[] {
		return [...this.#table.getHolders()].filter(holder => this.#view.up.has(holder));
	}

	/**
	 * Takes a new list of the service's upstreams.
	 * @param upstreams - Upstreams of the service that this entry VM may use.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#table.updateAllAvailable();
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
		this.#table.updateAllAvailable();
		this.#view = view;
		this.#updateOwners();
		this.#holderWatch.update(this.#table.getHolders(), view.up);
		this.#claims.keepOnly(view.up);
	}

	/**
	 * Ends the use of a slot; a lease is kept for the next task unless it is void.
	 * @param slot - Slot whose task ended.
	 */
	releaseSlot(slot: HeldSlot): void {
		this.#releaseSlot(slot);
		this.#table.updateAvailable(slot.entry);
	}

	/**
	 * Leases a free slot to another member, on the healthiest upstream with the most free slots.
	 * @param holder - Member that gets the lease.
	 */
	grantLease(holder: string): boolean {
		const outbox = this.#context.getOutbox(holder);
		const entry = this.#table.getMostGrantable();
		if (!outbox || !entry) {
			return false;
		}

		const id = this.#createLeaseId();
		entry.owned!.addLease({id, holder, messageNumber: outbox.getNextNumber()});
		entry.owned!.checkSum();
		outbox.addGrant(this.#options.service, {id, upstream: entry.listed.name});
		this.#table.updateAvailable(entry);
		return true;
	}

	/**
	 * Takes leases that another owner granted; those of unknown or leaving upstreams go back.
	 * @param leases - Leases granted.
	 * @param owner - Member that granted them.
	 */
	takeGranted(leases: readonly LeaseName[], owner: string): void {
		this.#table.updateAllAvailable();
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
	 * Takes back leases that their holder no longer needs.
	 * @param ids - Identifiers of the leases.
	 * @param holder - Member that held them.
	 */
	takeReturned(ids: readonly string[], holder: string): void {
		this.#table.updateAllAvailable();
		for (const id of ids) {
			for (const entry of this.#table.getEntries()) {
				if (entry.owned?.removeLease(id, holder)) {
					entry.owned.checkSum();
					break;
				}
			}
		}
	}

	/**
	 * Ends leases whose owner doesn't know them; tasks that run on them go on.
	 * @param ids - Identifiers of the leases.
	 */
	takeRevoked(ids: readonly string[]): void {
		this.#table.updateAllAvailable();
		const revoked = new Set(ids);
		for (const entry of this.#table.getEntries()) {
			const kept = entry.idleLeases.filter(lease => !revoked.has(lease.id));
			entry.idleLeases.splice(0, entry.idleLeases.length, ...kept);
			for (const {lease} of entry.running) {
				if (lease && revoked.has(lease.id)) {
					lease.isVoid = true;
					this.#context.events.addEvent('lease-void', entry.listed.name, lease.id);
				}
			}
		}
	}

	/**
	 * Takes the statement of a member about all leases that it holds here, and frees those that it doesn't name.
	 * @param claims - Leases that the member holds.
	 * @param holder - Member that states them.
	 * @param lastReceived - Number of the last message that the member had taken; later grants stay.
	 */
	takeClaims(claims: NonNullable<ServiceUpdate['claims']>, holder: string, lastReceived: number): void {
		this.#table.updateAllAvailable();
		const named = new Set(claims.leases.map(lease => lease.id));
		for (const entry of this.#table.getEntries()) {
			for (const lease of entry.owned?.getLeases() ?? []) {
				if (lease.holder === holder && lease.messageNumber <= lastReceived && !named.has(lease.id)) {
					entry.owned!.removeLease(lease.id, holder);
				}
			}
		}

		for (const lease of claims.leases) {
			this.#takeClaim(lease, holder);
		}

		this.#claims.addAnswer(holder, claims.round);
	}

	/**
	 * Gets the leases held of the upstreams that a member owns, or that it granted.
	 * @param owner - Member that owns the upstreams.
	 */
	getClaims(owner: string): readonly LeaseName[] {
		return this.#table.getEntries().flatMap(entry => entry.getHeldLeases()
			.filter(lease => entry.owner === owner || lease.id.startsWith(`${owner}:`))
			.map(lease => ({id: lease.id, upstream: entry.listed.name})));
	}

	/** Asks each holder for the leases it holds, so that a lost message leaves no slot unused. */
	askHolders(): void {
		for (const holder of this.getHolders()) {
			this.#context.getOutbox(holder)?.askClaims(this.#options.service, this.#claims.getNumber());
		}
	}

	/**
	 * Gives back idle leases.
	 * @param shouldReturn - Tells which leases go back.
	 */
	returnLeases(shouldReturn: (lease: HeldLease, entry: UpstreamEntry) => boolean): void {
		for (const entry of this.#table.getEntries()) {
			for (const lease of entry.idleLeases.filter(idle => shouldReturn(idle, entry))) {
				entry.idleLeases.splice(entry.idleLeases.indexOf(lease), 1);
				this.#table.updateAvailable(entry);
				this.#tellReturn(entry, lease);
			}
		}
	}

	/** Makes all leases in hand void, after this process may have been taken for dead. */
	voidLeases(): void {
		this.returnLeases(() => true);
		for (const entry of this.#table.getEntries()) {
			for (const {lease} of entry.running) {
				if (lease) {
					lease.isVoid = true;
				}
			}
		}
	}

	/** Asks the other members for the leases they hold before any owned slot is used. */
	reclaimOwned(): void {
		this.#askClaims(this.#table.getEntries().filter(entry => entry.owned));
	}

	/** Gives back all leases and stops the timers. */
	close(): void {
		this.voidLeases();
		this.#claims.close();
		this.#holderWatch.close();
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
			this.returnLeases((lease, holding) => holding === entry);
		}
	}

	#updateOwners(): void {
		const gained: UpstreamEntry[] = [];
		const lost = new Set<string>();
		for (const entry of this.#table.getEntries()) {
			const owner = getOwner(entry.listed.name, this.#view.owners.get(entry.listed.dataCenter) ?? []);
			if (owner === entry.owner) {
				continue;
			}

			entry.owner = owner;
			if (owner === this.#context.self.id) {
				entry.becomeOwner();
				gained.push(entry);
				continue;
			}

			if (entry.owned) {
				entry.ceaseOwner(() => this.#createLease());
			}

			if (owner !== undefined && entry.getHeldLeases().length > 0) {
				lost.add(owner);
			}
		}

		for (const owner of lost) {
			this.#context.getOutbox(owner)?.setClaims(this.#options.service, 0);
		}

		if (gained.length > 0) {
			this.#context.events.addEvent('owners-changed', this.#options.service, `${gained.length} upstreams gained`);
			this.#askClaims(gained);
		}
	}

	#askClaims(entries: readonly UpstreamEntry[]): void {
		this.#table.updateAllAvailable();
		for (const entry of entries) {
			entry.isClaimed = true;
		}

		const {dataCenter} = this.#context.self;
		const members = [...this.#view.up].filter(member => this.#view.dataCenters.get(member) === dataCenter);
		this.#claims.start(members);
		for (const member of members) {
			this.#context.getOutbox(member)?.askClaims(this.#options.service, this.#claims.getNumber());
		}
	}

	#endClaims(): void {
		this.#table.updateAllAvailable();
		for (const entry of this.#table.getEntries()) {
			entry.isClaimed = false;
		}

		this.#options.onChange();
	}

	#takeClaim(lease: LeaseName, holder: string): void {
		const owned = this.#table.getEntry(lease.upstream)?.owned;
		if (!owned || owned.getLease(lease.id)?.holder === holder) {
			return;
		}

		if (!owned.addLease({id: lease.id, holder, messageNumber: 0})) {
			this.#context.getOutbox(holder)?.addRevocation(this.#options.service, lease.id);
		}
	}

	#freeHolder(holder: string): void {
		this.#table.updateAllAvailable();
		for (const {owned} of this.#table.getEntries()) {
			for (const lease of owned?.getLeases() ?? []) {
				owned!.removeLease(lease.id, holder);
			}
		}

		this.#options.onChange();
	}

	#tellReturn(entry: UpstreamEntry, lease: HeldLease): void {
		if (entry.owner !== undefined) {
			this.#context.getOutbox(entry.owner)?.addReturn(this.#options.service, lease.id);
		}
	}

	#createLease(): HeldLease {
		return {id: this.#createLeaseId(), idleSince: 0, isVoid: false};
	}

	#createLeaseId(): string {
		this.#lastLease++;
		return `${this.#context.self.id}:${this.#options.service}:${this.#lastLease}`;
	}

	#releaseSlot(slot: HeldSlot): void {
		const {entry, lease} = slot;
		entry.running.delete(slot);
		if (!lease) {
			entry.owned?.releaseSlot();
			entry.owned?.checkSum();
			return;
		}

		if (lease.isVoid || entry.listed.state === 'leaving' || entry.health.getState() !== 'healthy') {
			this.#tellReturn(entry, lease);
			return;
		}

		lease.idleSince = this.#context.clock.getMonotonicTime();
		entry.idleLeases.push(lease);
	}
}
