import {type ListedUpstream} from '../../platform/index.js';
import {ClaimRound} from './claim-round.js';
import {HolderWatch} from './holder-watch.js';
import {type MemberView} from './member-view.js';
import {getOwner} from './owner-table.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type LeaseName, type ServiceUpdate} from './slot-messages.js';
import {type HeldLease, type HeldSlot, UpstreamEntry} from './upstream-entry.js';

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

/** Time for which a count of the usable slots is good enough, in milliseconds. */
const usableValidMs = 5;

/**
 * The slots of one service that this entry VM may use: those of the upstreams it owns, and those it leases.
 * @internal
 */
export class SlotPool {
	readonly #options: SlotPoolOptions;
	readonly #context: SchedulerContext;
	readonly #entries = new Map<string, UpstreamEntry>();
	readonly #available = new Set<UpstreamEntry>();
	readonly #claims: ClaimRound;
	readonly #holderWatch: HolderWatch;
	#view: MemberView;
	#isAvailableStale = true;
	#usableSlots = 0;
	#usableCountedAt = Number.NEGATIVE_INFINITY;
	#lastLease = 0;

	constructor(options: SlotPoolOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#view = view;
		const {clock} = this.#context;
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
	getEntries(): readonly UpstreamEntry[] {
		return [...this.#entries.values()];
	}

	/** Gets the upstreams on which a task may start now. */
	getAvailable(): readonly UpstreamEntry[] {
		if (this.#isAvailableStale) {
			this.#isAvailableStale = false;
			this.#available.clear();
			for (const entry of this.#entries.values()) {
				this.#updateAvailable(entry);
			}
		}

		return [...this.#available];
	}

	/** Tells that the health of an upstream changed. */
	handleHealthChange(): void {
		this.#isAvailableStale = true;
		this.returnLeases((_lease, entry) => entry.health.getState() !== 'healthy');
	}

	/**
	 * Takes a slot for a task on an upstream that is available.
	 * @param entry - Upstream to use.
	 */
	takeSlot(entry: UpstreamEntry): HeldSlot {
		const slot = entry.takeSlot();
		this.#updateAvailable(entry);
		return slot;
	}

	/** Gets the number of slots that this entry VM has for its own tasks, free or in use, as of a moment ago. */
	getUsableSlots(): number {
		const now = this.#context.clock.getMonotonicTime();
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

	/** Gets the slots of this data centre divided by the number of its entry VMs. */
	getEvenShare(): number {
		let sum = 0;
		for (const {isLocal, listed} of this.#entries.values()) {
			sum += isLocal && listed.state === 'live' ? listed.slots : 0;
		}

		return sum / (this.#view.owners.get(this.#context.self.dataCenter)?.length ?? 1);
	}

	/** Gets the other members that own upstreams of this service, by whether they are of this data centre. */
	getOtherOwners(isLocal: boolean): readonly string[] {
		const owners = new Set<string>();
		for (const entry of this.#entries.values()) {
			if (entry.owner !== undefined && !entry.owned && entry.isLocal === isLocal && this.#view.up.has(entry.owner)) {
				owners.add(entry.owner);
			}
		}

		return [...owners];
	}

	/** Gets the members that hold leases of this entry VM. */
	getHolders(): readonly string[] {
		return [...this.#getAllHolders()].filter(holder => this.#view.up.has(holder));
	}

	/**
	 * Takes a new list of the service's upstreams.
	 * @param upstreams - Upstreams of the service that this entry VM may use.
	 */
	setUpstreams(upstreams: readonly ListedUpstream[]): void {
		this.#isAvailableStale = true;
		const names = new Set(upstreams.map(upstream => upstream.name));
		for (const name of this.#entries.keys()) {
			if (!names.has(name)) {
				this.#entries.delete(name);
			}
		}

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
		this.#isAvailableStale = true;
		this.#view = view;
		this.#updateOwners();
		this.#holderWatch.update(this.#getAllHolders(), view.up);
		this.#claims.keepOnly(view.up);
	}

	/**
	 * Ends the use of a slot; a lease is kept for the next task unless it is void.
	 * @param slot - Slot whose task ended.
	 */
	releaseSlot(slot: HeldSlot): void {
		this.#releaseSlot(slot);
		if (this.#entries.get(slot.entry.listed.name) === slot.entry) {
			this.#updateAvailable(slot.entry);
		}
	}

	/**
	 * Leases a free slot to another member, on the healthiest upstream with the most free slots.
	 * @param holder - Member that gets the lease.
	 */
	grantLease(holder: string): boolean {
		const outbox = this.#context.getOutbox(holder);
		const entry = this.#chooseGrant();
		if (!outbox || !entry) {
			return false;
		}

		const id = this.#createLeaseId();
		entry.owned!.addLease({id, holder, messageNumber: outbox.getNextNumber()});
		entry.owned!.checkSum();
		outbox.addGrant(this.#options.service, {id, upstream: entry.listed.name});
		this.#updateAvailable(entry);
		return true;
	}

	/** Gets the number of slots that could be leased out now. */
	getGrantableSlots(): number {
		let sum = 0;
		for (const entry of this.#entries.values()) {
			sum += entry.isGrantable() ? entry.getFreeSlots() : 0;
		}

		return sum;
	}

	/**
	 * Takes leases that another owner granted; those of unknown or leaving upstreams go back.
	 * @param leases - Leases granted.
	 * @param owner - Member that granted them.
	 */
	takeGranted(leases: readonly LeaseName[], owner: string): void {
		this.#isAvailableStale = true;
		for (const {id, upstream} of leases) {
			const entry = this.#entries.get(upstream);
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
		this.#isAvailableStale = true;
		for (const id of ids) {
			for (const entry of this.#entries.values()) {
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
		this.#isAvailableStale = true;
		const revoked = new Set(ids);
		for (const entry of this.#entries.values()) {
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
		this.#isAvailableStale = true;
		const named = new Set(claims.leases.map(lease => lease.id));
		for (const entry of this.#entries.values()) {
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
		return this.getEntries().flatMap(entry => entry.getHeldLeases()
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
		for (const entry of this.#entries.values()) {
			for (const lease of entry.idleLeases.filter(idle => shouldReturn(idle, entry))) {
				entry.idleLeases.splice(entry.idleLeases.indexOf(lease), 1);
				this.#updateAvailable(entry);
				this.#tellReturn(entry, lease);
			}
		}
	}

	/** Gets the earliest time since when a lease runs no task. */
	getOldestIdleTime(): number | undefined {
		let oldest: number | undefined;
		for (const entry of this.#available) {
			for (const {idleSince} of entry.idleLeases) {
				oldest = Math.min(oldest ?? idleSince, idleSince);
			}
		}

		return oldest;
	}

	/** Makes all leases in hand void, after this process may have been taken for dead. */
	voidLeases(): void {
		this.returnLeases(() => true);
		for (const entry of this.#entries.values()) {
			for (const {lease} of entry.running) {
				if (lease) {
					lease.isVoid = true;
				}
			}
		}
	}

	/** Asks the other members for the leases they hold before any owned slot is used. */
	reclaimOwned(): void {
		this.#askClaims(this.getEntries().filter(entry => entry.owned));
	}

	/** Gives back all leases and stops the timers. */
	close(): void {
		this.voidLeases();
		this.#claims.close();
		this.#holderWatch.close();
	}

	#setUpstream(upstream: ListedUpstream): void {
		const entry = this.#entries.get(upstream.name);
		if (!entry) {
			const isLocal = upstream.dataCenter === this.#context.self.dataCenter;
			this.#entries.set(upstream.name, new UpstreamEntry(upstream, isLocal, this.#options.getTaskMs()));
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
		for (const entry of this.#entries.values()) {
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
		this.#isAvailableStale = true;
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
		this.#isAvailableStale = true;
		for (const entry of this.#entries.values()) {
			entry.isClaimed = false;
		}

		this.#options.onChange();
	}

	#takeClaim(lease: LeaseName, holder: string): void {
		const owned = this.#entries.get(lease.upstream)?.owned;
		if (!owned || owned.getLease(lease.id)?.holder === holder) {
			return;
		}

		if (!owned.addLease({id: lease.id, holder, messageNumber: 0})) {
			this.#context.getOutbox(holder)?.addRevocation(this.#options.service, lease.id);
		}
	}

	#getAllHolders(): ReadonlySet<string> {
		return new Set(this.getEntries().flatMap(entry => entry.owned?.getLeases() ?? []).map(lease => lease.holder));
	}

	#freeHolder(holder: string): void {
		this.#isAvailableStale = true;
		for (const {owned} of this.#entries.values()) {
			for (const lease of owned?.getLeases() ?? []) {
				owned!.removeLease(lease.id, holder);
			}
		}

		this.#options.onChange();
	}

	#updateAvailable(entry: UpstreamEntry): void {
		if (entry.isAvailable()) {
			this.#available.add(entry);
		} else {
			this.#available.delete(entry);
		}
	}

	#chooseGrant(): UpstreamEntry | undefined {
		let best: UpstreamEntry | undefined;
		for (const entry of this.#entries.values()) {
			if (entry.isGrantable() && (!best || entry.getFreeSlots() > best.getFreeSlots())) {
				best = entry;
			}
		}

		return best;
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
