/**
 * Batched messages to the scheduler of another entry VM.
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
	/** Time for which changes are collected into one message, in milliseconds. */
	readonly batchMs: number;
	/** Sends a message; returns false when the link did not accept it. */
	readonly send: (message: SlotMessage) => boolean;
	/** Gets the leases currently held of the member's upstreams; called when a message is sent. */
	readonly getClaims: (service: string) => readonly LeaseReference[];
};

/** Unsent changes of one service. */
type PendingUpdate = {
	demand?: SlotDemand;
	granted: LeaseReference[];
	returned: string[];
	revoked: string[];
	claimRound?: number;
	claimsForRound?: number;
};

/** Time without a message after which the next one is sent without a batch delay, in milliseconds. */
const quietPeriodMs = 50;

/** Delay before another attempt to send a message that the link did not accept, in milliseconds. */
const sendRetryMs = 50;

/**
 * Batches the updates for one member into few messages.
 * @internal
 */
export class Outbox {
	/** Number of the last message received from the member. */
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
	 * Sets the demand to send; it replaces an unsent one.
	 * @param service - Service that the demand is for.
	 * @param demand - Demand to send.
	 */
	setDemand(service: string, demand: SlotDemand): void {
		this.#getPending(service).demand = demand;
	}

	/**
	 * Adds a lease granted to the member.
	 * @param service - Service of the upstream.
	 * @param lease - Lease to grant.
	 */
	addGrant(service: string, lease: LeaseReference): void {
		this.#getPending(service).granted.push(lease);
	}

	/**
	 * Adds a lease returned to the member.
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
	 * Adds a request for the leases that the member holds.
	 * @param service - Service of the upstreams.
	 * @param round - Number of the claim round, repeated in the answer.
	 */
	addClaimRequest(service: string, round: number): void {
		this.#getPending(service).claimRound = round;
	}

	/**
	 * Adds the claims for all leases held of the member's upstreams.
	 * @param service - Service of the upstreams.
	 * @param round - Number of the claim round that the member requested; 0 without a request.
	 */
	addClaims(service: string, round: number): void {
		this.#getPending(service).claimsForRound = round;
	}

	/**
	 * Adds an update of a team's quota; it is merged into an unsent one.
	 * @param update - Update to send.
	 */
	addTeamUpdate(update: TeamUpdate): void {
		this.#teams.set(update.team, {...this.#teams.get(update.team), ...update});
		this.#startTimer(this.#getBatchDelayMs());
	}

	/** Sends the collected changes now; they are kept for another attempt when the link does not accept the message. */
	flush(): void {
		this.#timer?.close();
		this.#timer = undefined;
		if (this.#services.size === 0 && this.#teams.size === 0) {
			return;
		}

		const message = this.#createMessage();
		if (!this.#options.send(message)) {
			this.#startTimer(sendRetryMs);
			return;
		}

		this.#number = message.number;
		this.#lastSentAt = this.#options.clock.getMonotonicTime();
		this.#countMessage(message);
		this.#services.clear();
		this.#teams.clear();
	}

	/** Stops the timer and discards the collected changes. */
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
		this.#startTimer(this.#getBatchDelayMs());
		const existing = this.#services.get(service);
		if (existing) {
			return existing;
		}

		const created: PendingUpdate = {granted: [], returned: [], revoked: []};
		this.#services.set(service, created);
		return created;
	}

	/** Gets the batch delay; the first change after a quiet period is sent immediately, so that a single request hardly waits. */
	#getBatchDelayMs(): number {
		const {clock, batchMs} = this.#options;
		return clock.getMonotonicTime() - this.#lastSentAt > quietPeriodMs ? 0 : batchMs;
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
