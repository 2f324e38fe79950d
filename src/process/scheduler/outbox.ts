/**
 * Messages to the scheduler of another entry VM, sent in batches.
 */
import {type Clock, type Timer} from '../../seams/index.js';
import {type SchedulerCounters} from './scheduler-counters.js';
import {
	type LeaseReference, type ServiceUpdate, type SlotDemand, type SlotMessage, type TeamUpdate,
} from './slot-messages.js';

/** Options of an {@link Outbox}. */
export type OutboxOptions = {
	readonly clock: Clock;
	readonly counters: SchedulerCounters;
	/** Time for which changes are gathered into one message, in milliseconds. */
	readonly batchMs: number;
	readonly send: (message: SlotMessage) => boolean;
	/** Gets the leases held of the member's upstreams, at the time of sending. */
	readonly getClaims: (service: string) => readonly LeaseReference[];
};

/** Changes of one service that wait to be sent. */
type PendingUpdate = {
	demand?: SlotDemand;
	granted: LeaseReference[];
	returned: string[];
	revoked: string[];
	claimRound?: number;
	claimsForRound?: number;
};

/** Time without a message after which the next one is not held back for others, in milliseconds. */
const quietMs = 50;

/** Time after which a message is tried again that the link did not take, in milliseconds. */
const resendMs = 50;

/**
 * Gathers what is to be told to one member into few messages.
 * @internal
 */
export class Outbox {
	/** Number of the last message that was taken from the member. */
	lastReceived = 0;
	readonly #options: OutboxOptions;
	readonly #services = new Map<string, PendingUpdate>();
	readonly #teams = new Map<string, TeamUpdate>();
	#number = 0;
	#lastSentAt = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;

	constructor(options: OutboxOptions) {
		this.#options = options;
	}

	/** Gets the number that the next message will have. */
	getNextNumber(): number {
		return this.#number + 1;
	}

	/**
	 * Sets the demand to be told; the latest one counts.
	 * @param service - Service that the demand is for.
	 * @param demand - Demand to tell.
	 */
	setDemand(service: string, demand: SlotDemand): void {
		this.#getPending(service).demand = demand;
	}

	/**
	 * Adds a lease that the member gets.
	 * @param service - Service of the upstream.
	 * @param lease - Lease to grant.
	 */
	addGrant(service: string, lease: LeaseReference): void {
		this.#getPending(service).granted.push(lease);
	}

	/**
	 * Adds a lease that goes back to the member.
	 * @param service - Service of the upstream.
	 * @param id - Identifier of the lease.
	 */
	addReturn(service: string, id: string): void {
		this.#getPending(service).returned.push(id);
	}

	/**
	 * Adds a lease that the member must not use again.
	 * @param service - Service of the upstream.
	 * @param id - Identifier of the lease.
	 */
	addRevocation(service: string, id: string): void {
		this.#getPending(service).revoked.push(id);
	}

	/**
	 * Asks for the leases that the member holds.
	 * @param service - Service of the upstreams.
	 * @param round - Number to be repeated in the answer.
	 */
	addClaimRequest(service: string, round: number): void {
		this.#getPending(service).claimRound = round;
	}

	/**
	 * Tells all leases held of the member's upstreams.
	 * @param service - Service of the upstreams.
	 * @param round - Number that the member asked with; 0 when it did not ask.
	 */
	addClaims(service: string, round: number): void {
		this.#getPending(service).claimsForRound = round;
	}

	/**
	 * Adds to what is told about a team's quota.
	 * @param update - What to tell.
	 */
	addTeamUpdate(update: TeamUpdate): void {
		this.#teams.set(update.team, {...this.#teams.get(update.team), ...update});
		this.#startTimer(this.#getGatherMs());
	}

	/** Sends what has been gathered. */
	flush(): void {
		this.#timer?.close();
		this.#timer = undefined;
		if (this.#services.size === 0 && this.#teams.size === 0) {
			return;
		}

		const message = this.#createMessage();
		if (!this.#options.send(message)) {
			this.#startTimer(resendMs);
			return;
		}

		this.#number = message.number;
		this.#lastSentAt = this.#options.clock.getMonotonicTime();
		this.#countMessage(message);
		this.#services.clear();
		this.#teams.clear();
	}

	/** Drops what has been gathered. */
	close(): void {
		this.#timer?.close();
		this.#timer = undefined;
		this.#services.clear();
		this.#teams.clear();
	}

	#createMessage(): SlotMessage {
		return {
			number: this.#number + 1,
			lastReceived: this.lastReceived,
			services: [...this.#services].map(([service, pending]) => this.#createUpdate(service, pending)),
			teams: [...this.#teams.values()],
		};
	}

	#countMessage(message: SlotMessage): void {
		const {counters} = this.#options;
		counters.messages++;
		counters.teamUpdates += message.teams.length;
		for (const update of message.services) {
			counters.demands += update.demand ? 1 : 0;
			counters.grants += update.granted?.length ?? 0;
			counters.returns += update.returned?.length ?? 0;
			counters.revocations += update.revoked?.length ?? 0;
			counters.claims += update.claims ? 1 : 0;
		}
	}

	#getPending(service: string): PendingUpdate {
		this.#startTimer(this.#getGatherMs());
		const known = this.#services.get(service);
		if (known) {
			return known;
		}

		const created: PendingUpdate = {granted: [], returned: [], revoked: []};
		this.#services.set(service, created);
		return created;
	}

	/** Gets the time for which changes are gathered; the first one after a quiet time goes at once, so that a lone request hardly waits. */
	#getGatherMs(): number {
		const {clock, batchMs} = this.#options;
		return clock.getMonotonicTime() - this.#lastSentAt > quietMs ? 0 : batchMs;
	}

	#startTimer(delayMs: number): void {
		this.#timer ??= this.#options.clock.setTimer(() => {
			this.flush();
		}, delayMs);
	}

	#createUpdate(service: string, pending: PendingUpdate): ServiceUpdate {
		const {demand, granted, returned, revoked, claimRound, claimsForRound} = pending;
		return {
			service,
			...(demand && {demand}),
			...(granted.length > 0 && {granted}),
			...(returned.length > 0 && {returned}),
			...(revoked.length > 0 && {revoked}),
			...(claimRound !== undefined && {claimRound}),
			...(claimsForRound !== undefined && {claims: {round: claimsForRound, leases: this.#options.getClaims(service)}}),
		};
	}
}
