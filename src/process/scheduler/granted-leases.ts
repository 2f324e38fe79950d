/**
 * Leases that this entry VM granted on the upstreams that it owns.
 */
import {ClaimRound} from './claim-round.js';
import {DepartedHolderTimers} from './departed-holder-timers.js';
import {type MemberView} from './member-view.js';
import {type GrantedLease} from './owned-slots.js';
import {type SchedulerContext} from './scheduler-context.js';
import {type LeaseReference, type ServiceUpdate} from './slot-messages.js';
import {type UpstreamEntry} from './upstream-entry.js';
import {type UpstreamTable} from './upstream-table.js';

/** Options of {@link GrantedLeases}. */
export type GrantedLeasesOptions = {
	readonly service: string;
	readonly context: SchedulerContext;
	readonly table: UpstreamTable;
	/** Gets the longest time that a task may run. */
	readonly getTaskTimeoutMs: () => number;
	/** Creates an identifier that no other lease has. */
	readonly createLeaseId: () => string;
	/** Called when slots may have become available by themselves. */
	readonly onChange: () => void;
};

/**
 * The leases of one service that this entry VM granted: grants them, takes them back, and asks the holders for those
 * they hold.
 * @internal
 */
export class GrantedLeases {
	readonly #options: GrantedLeasesOptions;
	readonly #context: SchedulerContext;
	readonly #table: UpstreamTable;
	readonly #claims: ClaimRound;
	readonly #holderWatch: DepartedHolderTimers;
	#view: MemberView;

	constructor(options: GrantedLeasesOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#table = options.table;
		this.#view = view;
		const {clock} = this.#context;
		this.#claims = new ClaimRound(clock, () => {
			this.#endClaims();
		});
		this.#holderWatch = new DepartedHolderTimers({
			clock,
			getTaskTimeoutMs: options.getTaskTimeoutMs,
			onExpired: holder => {
				this.#freeHolder(holder);
			},
		});
	}

	/**
	 * Takes a new view of the members.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
	}

	/** Waits for the tasks of holders that are gone, and no longer for the answers of members that are not up. */
	updateHolders(): void {
		this.#holderWatch.update(this.#table.getHolders(), this.#view.up);
		this.#claims.keepOnly(this.#view.up);
	}

	/** Gets the members that hold leases of this entry VM. */
	getHolders(): readonly string[] {
		return [...this.#table.getHolders()].filter(holder => this.#view.up.has(holder));
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

		const id = this.#options.createLeaseId();
		entry.owned!.addLease({id, holder, messageNumber: outbox.getNextNumber()});
		entry.owned!.assertConsistent();
		outbox.addGrant(this.#options.service, {id, upstream: entry.listed.name});
		this.#table.updateAvailable(entry);
		return true;
	}

	/**
	 * Takes back leases that their holder no longer needs.
	 * @param ids - Identifiers of the leases.
	 * @param holder - Member that held them.
	 */
	handleReturned(ids: readonly string[], holder: string): void {
		this.#table.invalidateAvailable();
		for (const id of ids) {
			for (const entry of this.#table.getEntries()) {
				if (entry.owned?.removeLease(id, holder)) {
					entry.owned.assertConsistent();
					break;
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
	handleClaims(claims: NonNullable<ServiceUpdate['claims']>, holder: string, lastReceived: number): void {
		this.#table.invalidateAvailable();
		const named = new Set(claims.leases.map(lease => lease.id));
		this.#removeLeases(lease => lease.holder === holder && lease.messageNumber <= lastReceived && !named.has(lease.id));
		for (const lease of claims.leases) {
			this.#takeClaim(lease, holder);
		}

		this.#claims.addAnswer(holder, claims.round);
	}

	/** Asks each holder for the leases it holds, so that a lost message leaves no slot unused. */
	requestClaims(): void {
		this.#askClaims(this.getHolders());
	}

	/**
	 * Asks the other members for the leases they hold of some upstreams before any slot of these is used.
	 * @param entries - Owned upstreams.
	 */
	collectClaims(entries: readonly UpstreamEntry[]): void {
		this.#table.invalidateAvailable();
		for (const entry of entries) {
			entry.isAwaitingClaims = true;
		}

		const {dataCenter} = this.#context.self;
		const members = [...this.#view.up].filter(member => this.#view.dataCenters.get(member) === dataCenter);
		this.#claims.start(members);
		this.#askClaims(members);
	}

	/** Stops the timers. */
	close(): void {
		this.#claims.close();
		this.#holderWatch.close();
	}

	#askClaims(members: readonly string[]): void {
		for (const member of members) {
			this.#context.getOutbox(member)?.addClaimRequest(this.#options.service, this.#claims.getNumber());
		}
	}

	#endClaims(): void {
		this.#table.invalidateAvailable();
		for (const entry of this.#table.getEntries()) {
			entry.isAwaitingClaims = false;
		}

		this.#options.onChange();
	}

	#takeClaim(lease: LeaseReference, holder: string): void {
		const owned = this.#table.getEntry(lease.upstream)?.owned;
		if (!owned || owned.getLease(lease.id)?.holder === holder) {
			return;
		}

		if (!owned.addLease({id: lease.id, holder, messageNumber: 0})) {
			this.#context.getOutbox(holder)?.addRevocation(this.#options.service, lease.id);
		}
	}

	#freeHolder(holder: string): void {
		this.#table.invalidateAvailable();
		this.#removeLeases(lease => lease.holder === holder);
		this.#options.onChange();
	}

	#removeLeases(shouldRemove: (lease: GrantedLease) => boolean): void {
		for (const {owned} of this.#table.getEntries()) {
			for (const lease of owned?.getLeases().filter(granted => shouldRemove(granted)) ?? []) {
				owned!.removeLease(lease.id, lease.holder);
			}
		}
	}
}
