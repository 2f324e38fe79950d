/**
 * Demand for slots, received from and sent to the other members.
 */
import {type SlotDemand} from './slot-messages.js';

/** Demand received from another member. */
export type ReceivedDemand = {
	readonly member: string;
	/** Number of slots still wanted. */
	count: number;
	/** Number of these slots that have priority over less urgent work of the owner. */
	urgentCount: number;
	/** Rank of the member's most urgent job, converted to the clock of this entry VM. */
	readonly rank: number;
	/** Monotonic time at which the demand expires, in milliseconds. */
	readonly validUntil: number;
	readonly isLocal: boolean;
	/** Whether the member has any slot. */
	readonly hasSlots: boolean;
};

/** Last demand sent to a member. */
type SentDemand = {
	readonly sentAt: number;
	count: number;
	urgentCount: number;
	readonly rank: number;
	readonly validUntil: number;
};

/**
 * Stores the demand for slots of one service, received from and sent to each member.
 * @internal
 */
export class DemandTable {
	readonly #received = new Map<string, ReceivedDemand>();
	readonly #sent = new Map<string, SentDemand>();

	/**
	 * Stores the demand of a member, in place of its previous one; a count of 0 removes it.
	 * @param demand - Demand received.
	 */
	setReceived(demand: ReceivedDemand): void {
		if (demand.count === 0) {
			this.#received.delete(demand.member);
			return;
		}

		this.#received.set(demand.member, demand);
	}

	/**
	 * Gets the demand of a member; `undefined` when there is none or it has expired.
	 * @param member - Identifier of the member.
	 * @param now - Monotonic time in milliseconds.
	 */
	getReceived(member: string, now: number): ReceivedDemand | undefined {
		const demand = this.#received.get(member);
		return demand && demand.validUntil > now ? demand : undefined;
	}

	/**
	 * Gets the most urgent demand; members of this data centre have priority. `undefined` when there is none.
	 * @param now - Monotonic time in milliseconds.
	 */
	getMostUrgent(now: number): ReceivedDemand | undefined {
		let mostUrgent: ReceivedDemand | undefined;
		for (const demand of this.#received.values()) {
			if (demand.validUntil <= now) {
				this.#received.delete(demand.member);
				continue;
			}

			if (!mostUrgent || isMoreUrgent(demand, mostUrgent)) {
				mostUrgent = demand;
			}
		}

		return mostUrgent;
	}

	/**
	 * Subtracts slots granted to a member from its demand.
	 * @param member - Identifier of the member.
	 * @param count - Number of slots.
	 */
	countGrantedSlots(member: string, count: number): void {
		const demand = this.#received.get(member);
		if (!demand) {
			return;
		}

		demand.count -= count;
		demand.urgentCount -= count;
		if (demand.count <= 0) {
			this.#received.delete(member);
		}
	}

	/**
	 * Gets the demand sent to a member; `undefined` when there is none or it has expired or been met.
	 * @param member - Identifier of the member.
	 * @param now - Monotonic time in milliseconds.
	 */
	getSent(member: string, now: number): SentDemand | undefined {
		const sent = this.#sent.get(member);
		return sent && sent.validUntil > now && sent.count > 0 ? sent : undefined;
	}

	/**
	 * Gets the monotonic time at which a demand was last sent to a member; negative infinity when there was none.
	 * @param member - Identifier of the member.
	 */
	getLastSentTime(member: string): number {
		return this.#sent.get(member)?.sentAt ?? Number.NEGATIVE_INFINITY;
	}

	/**
	 * Stores the demand sent to a member.
	 * @param member - Identifier of the member.
	 * @param demand - Demand sent.
	 * @param rank - Rank of the most urgent job.
	 * @param now - Monotonic time in milliseconds.
	 */
	setSent(member: string, demand: SlotDemand, rank: number, now: number): void {
		this.#sent.set(member, {
			sentAt: now, count: demand.count, urgentCount: demand.urgentCount, rank, validUntil: now + demand.validMs,
		});
	}

	/**
	 * Subtracts slots received from a member from the demand sent to it.
	 * @param member - Identifier of the member.
	 * @param count - Number of slots.
	 */
	countReceivedSlots(member: string, count: number): void {
		const sent = this.#sent.get(member);
		if (sent) {
			sent.count -= count;
			sent.urgentCount -= count;
		}
	}

	/**
	 * Removes the entries of a member.
	 * @param member - Identifier of the member.
	 */
	removeMember(member: string): void {
		this.#received.delete(member);
		this.#sent.delete(member);
	}

	/** Gets the identifiers of the members with an entry. */
	getMembers(): readonly string[] {
		return [...new Set([...this.#received.keys(), ...this.#sent.keys()])];
	}
}

function isMoreUrgent(a: ReceivedDemand, b: ReceivedDemand): boolean {
	return a.isLocal === b.isLocal ? a.rank < b.rank : a.isLocal;
}
