/**
 * Leases that this entry VM grants on the upstreams that it owns.
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
	/** Gets the maximum run time of a task, in milliseconds. */
	readonly getTaskTimeoutMs: () => number;
	/** Creates a unique lease identifier. */
	readonly createLeaseId: () => string;
	/** Called when slots may have become available without a call from outside. */
	readonly onChange: () => void;
};

/**
 * Grants leases of one service, removes returned ones, and reconciles the granted leases with the claims of their holders.
 * @internal
 */
export class GrantedLeases {
	readonly #options: GrantedLeasesOptions;
	readonly #context: SchedulerContext;
	readonly #table: UpstreamTable;
	readonly #claims: ClaimRound;
	readonly #departedHolders: DepartedHolderTimers;
	#view: MemberView;

	constructor(options: GrantedLeasesOptions, view: MemberView) {
		this.#options = options;
		this.#context = options.context;
		this.#table = options.table;
		this.#view = view;
		const {clock} = this.#context;
		this.#claims = new ClaimRound(clock, () => {
			this.#endClaimRound();
		});
		this.#departedHolders = new DepartedHolderTimers({
			clock,
			getTaskTimeoutMs: options.getTaskTimeoutMs,
			onExpired: holder => {
				this.#removeHolderLeases(holder);
			},
		});
	}

	/**
	 * Updates the members.
	 * @param view - New view.
	 */
	setMembers(view: MemberView): void {
		this.#view = view;
	}

	/** Starts the timers of departed holders, and stops waiting for the claims of members that are not up. */
	updateHolders(): void {
		this.#departedHolders.update(this.#table.getHolders(), this.#view.up);
		this.#claims.keepOnly(this.#view.up);
	}

	/** Gets the members that are up and hold leases granted by this entry VM. */
	getHolders(): readonly string[] {
		return [...this.#table.getHolders()].filter(holder => this.#view.up.has(holder));
	}

	/**
	 * Leases a free slot to another member, on the healthy upstream with the most free slots. Returns whether it did.
	 * @param holder - Member that receives the lease.
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
	 * Removes leases that their holder returned.
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
	 * Reconciles the leases of a member with the complete list of those that it claims; the others are freed.
	 * @param claims - All leases of this owner that the member holds.
	 * @param holder - Member that sent the claims.
	 * @param lastReceived - Number of the last message that the member had received; leases granted in later messages stay.
	 */
	handleClaims(claims: NonNullable<ServiceUpdate['claims']>, holder: string, lastReceived: number): void {
		this.#table.invalidateAvailable();
		const claimed = new Set(claims.leases.map(lease => lease.id));
		this.#removeLeases(lease => lease.holder === holder && lease.messageNumber <= lastReceived && !claimed.has(lease.id));
		for (const lease of claims.leases) {
			this.#adoptClaim(lease, holder);
		}

		this.#claims.addAnswer(holder, claims.round);
	}

	/** Requests the claims of each holder, so that a lost message leaves no slot unused. */
	requestClaims(): void {
		this.#requestClaimsFrom(this.getHolders());
	}

	/**
	 * Requests the claims of the other members of this data centre. No slot of the given upstreams is used until all have
	 * answered or the round has timed out.
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
		this.#requestClaimsFrom(members);
	}

	/** Stops the timers. */
	close(): void {
		this.#claims.close();
		this.#departedHolders.close();
	}

	#requestClaimsFrom(members: readonly string[]): void {
		for (const member of members) {
			this.#context.getOutbox(member)?.addClaimRequest(this.#options.service, this.#claims.getNumber());
		}
	}

	#endClaimRound(): void {
		this.#table.invalidateAvailable();
		for (const entry of this.#table.getEntries()) {
			entry.isAwaitingClaims = false;
		}

		this.#options.onChange();
	}

	#adoptClaim(lease: LeaseReference, holder: string): void {
		const owned = this.#table.getEntry(lease.upstream)?.owned;
		if (!owned || owned.getLease(lease.id)?.holder === holder) {
			return;
		}

		if (!owned.addLease({id: lease.id, holder, messageNumber: 0})) {
			this.#context.getOutbox(holder)?.addRevocation(this.#options.service, lease.id);
		}
	}

	#removeHolderLeases(holder: string): void {
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
